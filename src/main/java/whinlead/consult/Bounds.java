package whinlead.consult;

/**
 * Limits on the consultations of callers and on the ends that are remembered.
 *
 * @param maxOpen open consultations of all callers together; at least 1
 * @param maxOpenPerCaller open consultations of one caller; at least 1
 * @param maxRemembered remembered ends of requests that are closed but must not run again; at least 1
 * @param rememberMs milliseconds for which such an end is remembered
 * @param pickUpMs milliseconds for which a retry waits for a caller to ask again
 */
public record Bounds(int maxOpen, int maxOpenPerCaller, int maxRemembered, double rememberMs, double pickUpMs) {
    /** Checks the ranges. */
    public Bounds {
        if (maxOpen < 1 || maxOpenPerCaller < 1 || maxRemembered < 1 || !(rememberMs >= 0) || !(pickUpMs >= 0)) {
            throw new IllegalArgumentException("consultation bounds out of range");
        }
    }
}
