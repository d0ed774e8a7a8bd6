package whinlead.engine;

/**
 * The module's clock: milliseconds that begin at Unix time and from then on follow the monotonic clock. Starts of
 * endpoints, told in Unix time, so need no conversion, and a clock that is set cannot run the module backwards.
 */
public final class Clock {
    private static final double NANOS_IN_MILLI = 1e6;

    private final double unixAtStart = System.currentTimeMillis();
    private final long nanosAtStart = System.nanoTime();

    /** Milliseconds since Unix time began. */
    public double now() {
        return unixAtStart + (System.nanoTime() - nanosAtStart) / NANOS_IN_MILLI;
    }
}
