package whinlead.testbed.mesh.hardening;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import whinlead.engine.Timers;
import whinlead.plan.Calendar;

/**
 * Schedules the tasks of a process: while it is frozen, arrivals and due timers wait; when it resumes, either kind may
 * run first. Tasks of an earlier incarnation are dropped. Single-threaded, with driven time.
 */
final class RelayProcess implements Timers, Executor {
    private final Calendar calendar;
    private final SplittableRandom random;
    private final double clockOffsetMs;
    private final ArrayDeque<Runnable> arrivals = new ArrayDeque<>();
    private final ArrayDeque<Runnable> dueTimers = new ArrayDeque<>();
    private double frozenUntilMs;
    private int incarnation;

    /**
     * Creates a process.
     *
     * @param clockOffsetMs its monotonic clock at the start of the schedule, in milliseconds
     */
    RelayProcess(Calendar calendar, SplittableRandom random, double clockOffsetMs) {
        this.calendar = calendar;
        this.random = random;
        this.clockOffsetMs = clockOffsetMs;
    }

    @Override
    public double nowMs() {
        return calendar.nowMs() + clockOffsetMs;
    }

    @Override
    public TimerHandle schedule(double millis, Runnable task) {
        boolean[] cancelled = {false};
        calendar.schedule(Math.max(0, millis), whenRunning(dueTimers, () -> {
            if (!cancelled[0]) {
                task.run();
            }
        }));
        return () -> cancelled[0] = true;
    }

    /** Runs an arrival. */
    @Override
    public void execute(Runnable task) {
        whenRunning(arrivals, task).run();
    }

    private Runnable whenRunning(ArrayDeque<Runnable> queue, Runnable task) {
        int ownIncarnation = incarnation;
        return () -> {
            if (ownIncarnation != incarnation) {
                return;
            }
            if (isFrozen()) {
                queue.add(task);
            } else {
                task.run();
            }
        };
    }

    /** Whether the process is frozen. */
    boolean isFrozen() {
        return calendar.nowMs() < frozenUntilMs;
    }

    /** Freezes the process for the given time. */
    void freeze(double millis) {
        frozenUntilMs = calendar.nowMs() + millis;
        int ownIncarnation = incarnation;
        calendar.schedule(millis, () -> {
            if (ownIncarnation == incarnation && !isFrozen()) {
                boolean timersFirst = random.nextBoolean();
                drain(timersFirst ? dueTimers : arrivals);
                drain(timersFirst ? arrivals : dueTimers);
            }
        });
    }

    private static void drain(ArrayDeque<Runnable> queue) {
        while (!queue.isEmpty()) {
            queue.poll().run();
        }
    }

    /** Ends this incarnation of the process and starts the next one. */
    void restart() {
        incarnation++;
        frozenUntilMs = 0;
        arrivals.clear();
        dueTimers.clear();
    }
}
