package whinlead.mesh.consensus;

/**
 * The verdict of the newest decision on an operator's change request, that is on a configuration and the version that
 * it builds on. All control nodes that know the decision reach the same verdict. A rejection is reported only once a
 * quorum has confirmed that there is no newer decision.
 */
public enum ReplaceVerdict {
    /** Exactly this configuration was applied before: acknowledged again. */
    ALREADY_APPLIED,
    /** It builds on the newest version and may become the next decision. */
    APPLICABLE,
    /** Rejected: it builds on a version that is not in force. */
    VERSION_MISMATCH,
    /** Rejected: its version does not exceed the one in force. */
    OLD_VERSION,
    /** It may have been applied before the remembered versions: neither rejected nor acknowledged. */
    OUTCOME_UNKNOWN;

    /**
     * Returns the verdict on a change request.
     *
     * @param version of the configuration
     * @param builtOn the version that it builds on
     * @param digest of the configuration as it was sent
     */
    public static ReplaceVerdict evaluate(Decision newest, long version, long builtOn, String digest) {
        if (newest.isApplied(version, digest)) {
            return ALREADY_APPLIED;
        }
        // A request whose version does not exceed the one it builds on can never have been applied.
        if (version > builtOn && !newest.coversVersion(version)) {
            return OUTCOME_UNKNOWN;
        }
        if (builtOn != newest.version()) {
            return VERSION_MISMATCH;
        }
        return version > builtOn ? APPLICABLE : OLD_VERSION;
    }
}
