package whinlead.testbed.mesh.hardening;

/**
 * An operator's call at one control node: invoked, and answered or not.
 *
 * @param change what is to be put in place, or null for a read
 * @param from when the control node got it, in milliseconds
 * @param to when the control node ended it; infinite if it never did
 * @param end how
 * @param seen what a read found; null if it found out nothing
 */
record Operation(Change change, double from, double to, End end, Value seen) {
    /** A configuration built on another. */
    record Change(long version, long builtOn, String digest) {
        Value value() {
            return new Value(version, digest);
        }
    }

    /** What the register holds. */
    record Value(long version, String digest) {
        /** Before the first configuration. */
        static final Value NONE = new Value(0, "");
    }

    /** How a call ended. */
    enum End {
        /** In place, by this call or by the same one sent before. */
        TAKEN,
        /** Refused: another version than the one built on is in place. */
        MISMATCH,
        /** Refused: its number does not exceed the one in place. */
        OLD,
        /** It may take effect now, later or never. */
        UNCLEAR,
        /** A read that found a value. */
        READ
    }
}
