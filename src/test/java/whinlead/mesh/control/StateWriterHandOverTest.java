package whinlead.mesh.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import whinlead.mesh.storage.StateStoreException;

/**
 * The two threads that share a control node's state, its loop and the one that writes to the disk. Switches between
 * them at every hand-over point in a seeded order, and also runs real threads that yield there.
 */
public class StateWriterHandOverTest {
    private static final int SCHEDULES = 5000;
    private static final int STEPS = 60;
    private static final int RUNS = 50;
    private static final int STATES = 100;
    private static final long WAIT_S = 20;

    /** The state on disk, and the states whose callbacks have run. */
    private static final class Record {
        private int onDisk = -1;
        private int notified = -1;
        private int violations;

        private synchronized void written(int number) {
            violations += number < onDisk ? 1 : 0;
            onDisk = number;
        }

        private synchronized void notified(int number) {
            violations += number > onDisk || number <= notified ? 1 : 0;
            notified = number;
        }
    }

    private static byte[] encode(int number) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(number).array();
    }

    private static int number(byte[] bytes) {
        return ByteBuffer.wrap(bytes).getInt();
    }

    /** One schedule: after every hand-over the other thread may run. */
    private static final class Schedule {
        private final SplittableRandom random;
        private final Record record = new Record();
        private final Queue<Runnable> loop = new ArrayDeque<>();
        private final List<String> faults = new ArrayList<>();
        private final StateWriter stateWriter = new StateWriter(this::write, this::queue, () -> 0);
        private int newest = -1;
        private boolean refuses;

        private Schedule(long seed) {
            random = new SplittableRandom(seed);
        }

        private void write(byte[] bytes) throws StateStoreException {
            switchToLoop();
            if (refuses && random.nextBoolean()) {
                throw new StateStoreException("refused");
            }
            record.written(number(bytes));
            switchToLoop();
        }

        private void queue(Runnable task) {
            loop.add(task);
            switchToLoop();
        }

        private void switchToLoop() {
            while (random.nextInt(3) == 0) {
                runLoopStep();
            }
        }

        private void runLoopStep() {
            Runnable task = random.nextBoolean() ? loop.poll() : null;
            if (task != null) {
                task.run();
            } else if (random.nextInt(4) > 0) {
                int number = ++newest;
                stateWriter.write(encode(number), () -> record.notified(number));
            } else if (stateWriter.isSynced() && record.onDisk != newest) {
                faults.add("reported as synced with state " + record.onDisk + " of " + newest);
            }
        }

        private void run() {
            refuses = random.nextBoolean();
            for (int i = 0; i < STEPS; i++) {
                if (random.nextBoolean()) {
                    runLoopStep();
                } else {
                    stateWriter.writeOnce();
                }
            }
            refuses = false;
            while (!stateWriter.isSynced()) {
                stateWriter.writeOnce();
            }
            while (!loop.isEmpty()) {
                loop.poll().run();
            }
        }
    }

    @Test
    public void callbacksRunOnlyAfterSyncInRandomSchedules() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            Schedule schedule = new Schedule(seed);
            schedule.run();
            assertEquals(schedule.faults, List.of(), "seed " + seed);
            assertEquals(schedule.record.violations, 0, "seed " + seed);
            assertEquals(schedule.record.onDisk, schedule.newest, "seed " + seed);
            assertFalse(schedule.stateWriter.isFailing(), "seed " + seed);
        }
    }

    // Yields up to three times, depending on the seed.
    private static void yieldRandomly(SplittableRandom random) {
        for (int i = random.nextInt(4); i > 0; i--) {
            Thread.yield();
        }
    }

    @Test
    public void callbacksRunOnlyAfterSyncWithRealThreads() throws InterruptedException {
        for (int run = 0; run < RUNS; run++) {
            Record record = new Record();
            BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
            SplittableRandom disk = new SplittableRandom(run);
            SplittableRandom own = disk.split();
            StateWriter stateWriter = new StateWriter(
                    bytes -> {
                        yieldRandomly(disk);
                        record.written(number(bytes));
                        yieldRandomly(disk);
                    },
                    loop::add,
                    () -> 0);
            stateWriter.start();
            int next = 0;
            while (record.notified < STATES - 1) {
                if (next < STATES) {
                    int number = next++;
                    stateWriter.write(encode(number), () -> record.notified(number));
                    yieldRandomly(own);
                }
                Runnable task = next < STATES ? loop.poll() : loop.poll(WAIT_S, TimeUnit.SECONDS);
                assertTrue(
                        task != null || next < STATES,
                        "run " + run + ": " + record.notified + " was the last state whose callback ran");
                if (task != null) {
                    task.run();
                }
            }
            assertEquals(record.violations, 0, "run " + run);
            assertEquals(record.onDisk, STATES - 1, "run " + run);
        }
    }
}
