package whinlead.testbed.mesh.hardening;

/**
 * An operator's call at one control node, answered or not.
 *
 * @param change the change to apply, or null for a read
 * @param fromMs when the control node received it, in milliseconds
 * @param toMs when the control node ended it, in milliseconds; infinite if it never did
 * @param end how it ended
 * @param seen the value that a read returned; null if it returned none
 */
record Operation(Change change, double fromMs, double toMs, End end, Value seen) {
    /** A configuration built on another. */
    record Change(long version, long builtOn, String digest) {
        Value value() {
            return new Value(version, digest);
        }
    }

    /** The value of the register. */
    record Value(long version, String digest) {
        /** The value before the first configuration. */
        static final Value NONE = new Value(0, "");
    }

    /** How a call ended. */
    enum End {
        /** Applied, by this call or by the same call sent earlier. */
        TAKEN,
        /** Refused: the current version is not the one that the change builds on. */
        MISMATCH,
        /** Refused: its version does not exceed the current one. */
        OLD,
        /** It may take effect now, later or never. */
        UNCLEAR,
        /** A read that returned a value. */
        READ
    }
}
