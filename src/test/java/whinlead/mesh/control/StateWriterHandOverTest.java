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
 * The two threads that share a control node's memory, its loop and the one that writes to the disk, switched at every
 * point where one hands over to the other, in a seeded order; and as real threads that give way there.
 */
public class StateWriterHandOverTest {
    private static final int SCHEDULES = 5000;
    private static final int STEPS = 60;
    private static final int RUNS = 50;
    private static final int MEMORIES = 100;
    private static final long WAIT_S = 20;

    /** What a disk holds, and which memories were said to be on it. */
    private static final class Record {
        private int onDisk = -1;
        private int said = -1;
        private int wrong;

        private synchronized void written(int memory) {
            wrong += memory < onDisk ? 1 : 0;
            onDisk = memory;
        }

        private synchronized void said(int memory) {
            wrong += memory > onDisk || memory <= said ? 1 : 0;
            said = memory;
        }
    }

    private static byte[] bytes(int memory) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(memory).array();
    }

    private static int memory(byte[] bytes) {
        return ByteBuffer.wrap(bytes).getInt();
    }

    /** One schedule: every hand-over may be followed by work of the other thread. */
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
            record.written(memory(bytes));
            switchToLoop();
        }

        private void queue(Runnable task) {
            loop.add(task);
            switchToLoop();
        }

        private void switchToLoop() {
            while (random.nextInt(3) == 0) {
                loopActs();
            }
        }

        private void loopActs() {
            Runnable task = random.nextBoolean() ? loop.poll() : null;
            if (task != null) {
                task.run();
            } else if (random.nextInt(4) > 0) {
                int memory = ++newest;
                stateWriter.write(bytes(memory), () -> record.said(memory));
            } else if (stateWriter.isSynced() && record.onDisk != newest) {
                faults.add("settled with " + record.onDisk + " of " + newest);
            }
        }

        private void play() {
            refuses = random.nextBoolean();
            for (int i = 0; i < STEPS; i++) {
                if (random.nextBoolean()) {
                    loopActs();
                } else {
                    stateWriter.step();
                }
            }
            refuses = false;
            while (!stateWriter.isSynced()) {
                stateWriter.step();
            }
            while (!loop.isEmpty()) {
                loop.poll().run();
            }
        }
    }

    @Test
    public void nothingIsSaidBeforeItIsOnDiskHoweverTheThreadsAreSwitched() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            Schedule schedule = new Schedule(seed);
            schedule.play();
            assertEquals(schedule.faults, List.of(), "seed " + seed);
            assertEquals(schedule.record.wrong, 0, "seed " + seed);
            assertEquals(schedule.record.onDisk, schedule.newest, "seed " + seed);
            assertFalse(schedule.stateWriter.isFailing(), "seed " + seed);
        }
    }

    // Gives way, or not, by the seed.
    private static void giveWay(SplittableRandom random) {
        for (int i = random.nextInt(4); i > 0; i--) {
            Thread.yield();
        }
    }

    @Test
    public void realThreadsThatGiveWayAtEachHandOverSayNothingTooSoon() throws InterruptedException {
        for (int run = 0; run < RUNS; run++) {
            Record record = new Record();
            BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
            SplittableRandom disk = new SplittableRandom(run);
            SplittableRandom own = disk.split();
            StateWriter stateWriter = new StateWriter(
                    bytes -> {
                        giveWay(disk);
                        record.written(memory(bytes));
                        giveWay(disk);
                    },
                    loop::add,
                    () -> 0);
            stateWriter.start();
            int next = 0;
            while (record.said < MEMORIES - 1) {
                if (next < MEMORIES) {
                    int memory = next++;
                    stateWriter.write(bytes(memory), () -> record.said(memory));
                    giveWay(own);
                }
                Runnable task = next < MEMORIES ? loop.poll() : loop.poll(WAIT_S, TimeUnit.SECONDS);
                assertTrue(task != null || next < MEMORIES, "run " + run + ": " + record.said + " were said");
                if (task != null) {
                    task.run();
                }
            }
            assertEquals(record.wrong, 0, "run " + run);
            assertEquals(record.onDisk, MEMORIES - 1, "run " + run);
        }
    }
}
