package whinlead.engine;

/**
 * The engine's time and timers, so that it runs by a real loop or by a driven clock. Tasks run on the one thread that
 * owns the engine, never inside {@link #after}.
 */
public interface Timers {
    /** Milliseconds since Unix time began; never falls. */
    double now();

    /** Runs a task once, no sooner than after so many milliseconds; 0 or less means soon. */
    Timer after(double millis, Runnable task);

    /** A task that waits. */
    @FunctionalInterface
    interface Timer {
        /** Has it not run; without effect once it has. */
        void cancel();
    }
}
