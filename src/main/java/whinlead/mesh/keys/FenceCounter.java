package whinlead.mesh.keys;

/** Gives fences: each is higher than all before it in this term, and those of all earlier terms. One thread. */
public final class FenceCounter {
    /** Fences that one term has room for; a whole number up to 2^53 must hold epoch and count. */
    private static final int FENCES_A_TERM = 1 << 20;

    private final long epoch;
    private int given;

    /** The fences of a term. */
    public FenceCounter(long epoch) {
        this.epoch = epoch;
    }

    /** The next one. */
    public long next() {
        if (isSpent()) {
            throw new IllegalStateException("no fence is left in epoch " + epoch);
        }
        return epoch * FENCES_A_TERM + given++;
    }

    /** Whether none is left in this term. */
    public boolean isSpent() {
        return given >= FENCES_A_TERM;
    }

    /** The term's epoch. */
    public long epoch() {
        return epoch;
    }
}
