package whinlead.mesh.sidecar;

import whinlead.engine.Timers;

/**
 * Timers that align delays of about one period to common ticks. Each service has its own decision module, and without
 * alignment a sidecar would wake up for each of them separately. Delays within 11 % of the period end on a tick; all
 * other delays are left as they are. Used on the thread of the underlying timers.
 */
final class AlignedTimers implements Timers {
    private static final double PERIOD_TOLERANCE = 0.11;

    private final Timers timers;
    private final double periodMs;
    private final double phaseMs;

    /** Aligns to ticks at multiples of {@code periodMs}. */
    AlignedTimers(Timers timers, double periodMs) {
        this(timers, periodMs, 0);
    }

    /**
     * Aligns to ticks at an offset from the multiples of {@code periodMs}.
     *
     * @param firstTickMs one of the ticks, in milliseconds on the clock of the timers
     */
    AlignedTimers(Timers timers, double periodMs, double firstTickMs) {
        this.timers = timers;
        this.periodMs = periodMs;
        this.phaseMs = firstTickMs % periodMs;
    }

    @Override
    public double nowMs() {
        return timers.nowMs();
    }

    @Override
    public TimerHandle schedule(double delayMs, Runnable task) {
        if (Math.abs(delayMs - periodMs) > periodMs * PERIOD_TOLERANCE) {
            return timers.schedule(delayMs, task);
        }
        double nowMs = timers.nowMs();
        // The nearest tick. It is at least half a period away, since the delay is close to a whole period.
        return timers.schedule(Math.rint((nowMs + delayMs - phaseMs) / periodMs) * periodMs + phaseMs - nowMs, task);
    }
}
