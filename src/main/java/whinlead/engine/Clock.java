package whinlead.engine;

/**
 * The module's clock, in milliseconds: starts at the Unix time and then follows the monotonic clock. So the start times
 * of endpoints, which are Unix times, need no conversion, and setting the system clock cannot turn back the module's
 * time.
 */
public final class Clock {
    private static final double NANOS_PER_MILLI = 1e6;

    private final double unixMsAtStart = System.currentTimeMillis();
    private final long nanosAtStart = System.nanoTime();

    /** Milliseconds since the Unix epoch. */
    public double nowMs() {
        return unixMsAtStart + (System.nanoTime() - nanosAtStart) / NANOS_PER_MILLI;
    }
}
