package whinlead.testbed.mesh.hardening;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import whinlead.engine.Timers;
import whinlead.plan.Calendar;

/**
 * A process's turn on its processor: while it is frozen, what arrives and what falls due waits; once it runs again,
 * either may come first. What was left for one that has ended is dropped. One thread; driven time.
 */
final class RelayProcess implements Timers, Executor {
    private final Calendar calendar;
    private final SplittableRandom random;
    private final double clockBegan;
    private final ArrayDeque<Runnable> arrived = new ArrayDeque<>();
    private final ArrayDeque<Runnable> due = new ArrayDeque<>();
    private double frozenUntil;
    private int life;

    /**
     * A process.
     *
     * @param clockBegan what its own steady clock showed when the schedule began
     */
    RelayProcess(Calendar calendar, SplittableRandom random, double clockBegan) {
        this.calendar = calendar;
        this.random = random;
        this.clockBegan = clockBegan;
    }

    @Override
    public double now() {
        return calendar.now() + clockBegan;
    }

    @Override
    public Timer after(double millis, Runnable task) {
        boolean[] off = {false};
        calendar.after(Math.max(0, millis), turn(due, () -> {
            if (!off[0]) {
                task.run();
            }
        }));
        return () -> off[0] = true;
    }

    /** Something arrives. */
    @Override
    public void execute(Runnable task) {
        turn(arrived, task).run();
    }

    private Runnable turn(ArrayDeque<Runnable> queue, Runnable task) {
        int mine = life;
        return () -> {
            if (mine != life) {
                return;
            }
            if (frozen()) {
                queue.add(task);
            } else {
                task.run();
            }
        };
    }

    /** Whether it stands still. */
    boolean frozen() {
        return calendar.now() < frozenUntil;
    }

    /** Stands still for so long. */
    void freeze(double millis) {
        frozenUntil = calendar.now() + millis;
        int mine = life;
        calendar.after(millis, () -> {
            if (mine == life && !frozen()) {
                boolean timersFirst = random.nextBoolean();
                drain(timersFirst ? due : arrived);
                drain(timersFirst ? arrived : due);
            }
        });
    }

    private static void drain(ArrayDeque<Runnable> queue) {
        while (!queue.isEmpty()) {
            queue.poll().run();
        }
    }

    /** Ends; another life begins at once. */
    void restart() {
        life++;
        frozenUntil = 0;
        arrived.clear();
        due.clear();
    }
}
