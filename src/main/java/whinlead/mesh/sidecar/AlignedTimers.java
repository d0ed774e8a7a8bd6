package whinlead.mesh.sidecar;

import whinlead.engine.Timers;

/**
 * Timers of which those of about one period fall together: each service has modules of its own, and a sidecar would
 * wake for each of them apart. Spans of a period, a tenth more or less, end on its moments; all others end when they
 * were to. On the thread of its timers.
 */
final class AlignedTimers implements Timers {
    private static final double ABOUT = 0.11;

    private final Timers timers;
    private final double period;
    private final double phase;

    /** Moments of so many milliseconds. */
    AlignedTimers(Timers timers, double period) {
        this(timers, period, 0);
    }

    /**
     * The same, with another phase.
     *
     * @param firstAt one of the moments, in milliseconds on the clock of the timers
     */
    AlignedTimers(Timers timers, double period, double firstAt) {
        this.timers = timers;
        this.period = period;
        this.phase = firstAt % period;
    }

    @Override
    public double now() {
        return timers.now();
    }

    @Override
    public Timer after(double millis, Runnable task) {
        if (Math.abs(millis - period) > period * ABOUT) {
            return timers.after(millis, task);
        }
        double now = timers.now();
        // The nearest, but never sooner than half a period, by which the next one is nearer.
        return timers.after(Math.rint((now + millis - phase) / period) * period + phase - now, task);
    }
}
