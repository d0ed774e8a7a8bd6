package whinlead.mesh.consensus;

/**
 * The verdict of the newest decision on an operator's change request, that is on a configuration and the version that
 * it builds on. All control nodes that know the decision reach the same verdict. A rejection is reported only once a
 * quorum has confirmed that there is no newer decision.
 */
public enum OrderRuling {
    /** Exactly this configuration was applied before: acknowledged again. */
    TAKEN,
    /** It builds on the newest version and may become the next decision. */
    NEXT,
    /** Rejected: it builds on a version that is not in force. */
    MISMATCH,
    /** Rejected: its version does not exceed the one in force. */
    OLD_VERSION,
    /** It may have been applied before the remembered versions: neither rejected nor acknowledged. */
    FORGOTTEN;

    /**
     * Returns the verdict on a change request.
     *
     * @param version of the configuration
     * @param builtOn the version that it builds on
     * @param digest of the configuration as it was sent
     */
    public static OrderRuling of(Decision newest, long version, long builtOn, String digest) {
        if (newest.has(version, digest)) {
            return TAKEN;
        }
        // A request whose version does not exceed the one it builds on can never have been applied.
        if (version > builtOn && !newest.coversVersion(version)) {
            return FORGOTTEN;
        }
        if (builtOn != newest.version()) {
            return MISMATCH;
        }
        return version > builtOn ? NEXT : OLD_VERSION;
    }
}
