package whinlead.mesh.consensus;

/**
 * What the newest decision says of an operator's order, that is of a configuration and the version that it builds on.
 * Every control node that knows the decision rules the same. A refusal is told only once a quorum has confirmed that
 * there is no newer decision.
 */
public enum OrderRuling {
    /** This very configuration was taken: acknowledged again. */
    TAKEN,
    /** It builds on the newest version: it may become the next decision. */
    NEXT,
    /** Refused: another version is in force than the one that it builds on. */
    MISMATCH,
    /** Refused: its version does not exceed the one in force. */
    OLD_VERSION,
    /** It may have been taken before the versions that are remembered: neither refused nor acknowledged. */
    FORGOTTEN;

    /**
     * Rules on an order.
     *
     * @param version of the configuration
     * @param builtOn the version that it builds on
     * @param digest of the configuration as it was sent
     */
    public static OrderRuling of(Decision newest, long version, long builtOn, String digest) {
        if (newest.has(version, digest)) {
            return TAKEN;
        }
        // An order that does not rise above what it builds on can never have been taken.
        if (version > builtOn && !newest.remembers(version)) {
            return FORGOTTEN;
        }
        if (builtOn != newest.version()) {
            return MISMATCH;
        }
        return version > builtOn ? NEXT : OLD_VERSION;
    }
}
