package whinlead.consult;

/** Counts of irregular calls and of attempts without effect since the start. */
public final class Tally {
    /** What is counted. */
    public enum Kind {
        /** An ask for a request that is open already. */
        JOINED,
        /** An ask beyond the bound of a caller or of all callers. */
        TOO_MANY,
        /** A report on a request that is not open. */
        LATE,
        /** A report on an attempt that is not out. */
        STRAY,
        /** A report that names another endpoint than the directive did. */
        MISDIRECTED,
        /** An attempt withdrawn because no caller picked it up. */
        NOT_PICKED_UP,
        /** An attempt whose end no caller reported. */
        NOT_REPORTED,
        /** An end evicted before its time because the bound was reached. */
        FORGOTTEN
    }

    private final long[] counts = new long[Kind.values().length];

    /** The count of this kind. */
    public long count(Kind kind) {
        return counts[kind.ordinal()];
    }

    /** Counts one event; true for the 1st, 2nd, 4th, 8th and so on, which are logged. */
    boolean add(Kind kind) {
        long newCount = ++counts[kind.ordinal()];
        return (newCount & newCount - 1) == 0;
    }
}
