package whinlead.engine;

/**
 * The engine's clock and timers, implemented by a real event loop or by a simulated clock. Tasks run on the one thread
 * that owns the engine, never inside the call that schedules them.
 */
public interface Timers {
    /** Milliseconds since the Unix epoch; never decreases. */
    double nowMs();

    /** Runs a task once, no earlier than after this delay; with 0 or less, as soon as possible. */
    TimerHandle schedule(double delayMs, Runnable task);

    /** A scheduled task. */
    @FunctionalInterface
    interface TimerHandle {
        /** Prevents the task from running; without effect once it has run. */
        void cancel();
    }
}
