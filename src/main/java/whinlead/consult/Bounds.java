package whinlead.consult;

/**
 * How much callers may have the program hold.
 *
 * @param open consultations of all callers together; at least 1
 * @param openPerCaller consultations of one caller; at least 1
 * @param remembered ends of requests that are no longer open but must not run again; at least 1
 * @param remember milliseconds for which such an end is kept
 * @param pickUp milliseconds for which a retry waits for a caller that is to ask again
 */
public record Bounds(int open, int openPerCaller, int remembered, double remember, double pickUp) {
    /** Checks the ranges. */
    public Bounds {
        if (open < 1 || openPerCaller < 1 || remembered < 1 || !(remember >= 0) || !(pickUp >= 0)) {
            throw new IllegalArgumentException("bounds out of range");
        }
    }
}
