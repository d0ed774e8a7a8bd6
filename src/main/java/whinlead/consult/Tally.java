package whinlead.consult;

/** What callers did that they should not, or that came to nothing; counts since the start. */
public final class Tally {
    /** Kinds of it. */
    public enum Kind {
        /** An ask for a request that is open already. */
        JOINED,
        /** An ask beyond what a caller, or all of them, may hold. */
        TOO_MANY,
        /** A report on a request that is not open. */
        LATE,
        /** A report on an attempt that is not out. */
        STRAY,
        /** A report that names another endpoint than the one that was told. */
        MISDIRECTED,
        /** An attempt told to nobody, for no caller came for it. */
        NOT_PICKED_UP,
        /** An attempt whose end no caller told. */
        NOT_REPORTED,
        /** An end forgotten before its time, for want of room. */
        FORGOTTEN
    }

    private final long[] counts = new long[Kind.values().length];

    /** So many of this kind. */
    public long count(Kind kind) {
        return counts[kind.ordinal()];
    }

    /** One more; true for the 1st, 2nd, 4th, 8th and so on, which are worth a line in the log. */
    boolean add(Kind kind) {
        long now = ++counts[kind.ordinal()];
        return (now & now - 1) == 0;
    }
}
