package whinlead.mesh.keys;

/** Generates fences: each is higher than all before it in this term and than those of all earlier terms. One thread. */
public final class FenceCounter {
    /** Fences per term. Epoch and counter together must fit into an integer up to 2^53. */
    public static final int FENCES_PER_TERM = 1 << 20;

    private final long epoch;
    private int issued;

    /** Creates the counter of a term. */
    public FenceCounter(long epoch) {
        this(epoch, 0);
    }

    /**
     * Creates the counter of a term.
     *
     * @param issued number of fences that were issued in this term
     */
    public FenceCounter(long epoch, int issued) {
        this.epoch = epoch;
        this.issued = issued;
    }

    /** The next fence. */
    public long next() {
        if (isExhausted()) {
            throw new IllegalStateException("no fence left in epoch " + epoch);
        }
        return epoch * FENCES_PER_TERM + issued++;
    }

    /** Whether no fence is left in this term. */
    public boolean isExhausted() {
        return issued >= FENCES_PER_TERM;
    }

    /** The term's epoch. */
    public long epoch() {
        return epoch;
    }
}
