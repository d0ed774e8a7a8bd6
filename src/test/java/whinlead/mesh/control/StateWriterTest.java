package whinlead.mesh.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.storage.StateStoreException;

/** Callbacks run only once the state is on disk, for disks that stall, are slow, are full or fail. */
public class StateWriterTest {
    private static final long WAIT_S = 20;

    private final List<Integer> onDisk = new ArrayList<>();
    private final List<String> callbacksRun = new ArrayList<>();
    private final Queue<Runnable> loop = new ArrayDeque<>();
    private boolean diskFull;
    private double nowMs;
    /** Runs while the disk is writing. */
    private Runnable duringWrite;

    private StateWriter stateWriter;

    @BeforeMethod
    public void createWriter() {
        onDisk.clear();
        callbacksRun.clear();
        loop.clear();
        diskFull = false;
        nowMs = 0;
        duringWrite = () -> {};
        stateWriter = new StateWriter(this::write, loop::add, () -> nowMs);
    }

    private void write(byte[] state) throws StateStoreException {
        Runnable task = duringWrite;
        duringWrite = () -> {};
        task.run();
        if (diskFull) {
            throw new StateStoreException("the state store can't be written: disk is full");
        }
        onDisk.add((int) state[0]);
    }

    private void submit(int state, String name) {
        stateWriter.write(new byte[] {(byte) state}, () -> {
            // Only once this state, or a later one, is on disk.
            assertTrue(onDisk.stream().anyMatch(written -> written >= state), name);
            callbacksRun.add(name);
        });
    }

    private void step() {
        stateWriter.writeOnce();
        while (!loop.isEmpty()) {
            loop.remove().run();
        }
    }

    @Test
    public void callbackRunsAfterWrite() {
        submit(1, "one");
        assertEquals(callbacksRun, List.of());
        step();
        assertEquals(callbacksRun, List.of("one"));
        step();
        assertEquals(onDisk, List.of(1), "a state was written twice");
    }

    @Test
    public void statesQueuedDuringStallAreWrittenOnceAsTheLatest() {
        submit(1, "one");
        duringWrite = () -> {
            submit(2, "two");
            submit(3, "three");
            assertEquals(callbacksRun, List.of());
            nowMs = 3000;
            assertEquals(stateWriter.stalledMs(), 3000.0);
            assertFalse(stateWriter.isFailing(), "a slow disk is not a failing one");
        };
        step();
        assertEquals(callbacksRun, List.of("one"));
        // The states submitted during the write have waited since their submission.
        assertEquals(stateWriter.stalledMs(), 3000.0);
        step();
        assertEquals(onDisk, List.of(1, 3));
        assertEquals(callbacksRun, List.of("one", "two", "three"));
        assertEquals(stateWriter.stalledMs(), 0.0);
    }

    @Test
    public void pendingCallbacksAreBounded() {
        for (int i = 0; i < StateWriter.MAX_PENDING + 2; i++) {
            submit(1, "" + i);
        }
        step();
        assertEquals(callbacksRun.size(), StateWriter.MAX_PENDING);
        assertEquals(callbacksRun.get(0), "2", "the oldest callbacks are dropped");
    }

    @Test
    public void failedWriteIsRetriedAndItsCallbacksAreDropped() {
        diskFull = true;
        submit(1, "one");
        step();
        nowMs = 500;
        assertTrue(stateWriter.isFailing());
        assertFalse(stateWriter.isSynced());
        assertEquals(stateWriter.stalledMs(), 500.0);
        step();
        assertEquals(onDisk, List.of());
        diskFull = false;
        step();
        assertEquals(onDisk, List.of(1));
        assertEquals(callbacksRun, List.of());
        assertFalse(stateWriter.isFailing());
        assertTrue(stateWriter.isSynced());
        assertEquals(stateWriter.stalledMs(), 0.0);
    }

    @Test
    public void laterStateReplacesFailedOne() {
        diskFull = true;
        submit(1, "one");
        duringWrite = () -> submit(2, "two");
        step();
        diskFull = false;
        step();
        step();
        assertEquals(onDisk, List.of(2));
        assertEquals(callbacksRun, List.of("two"));
    }

    @Test
    public void runtimeExceptionOfDiskIsRetried() {
        duringWrite = () -> {
            throw new IllegalStateException("a fault");
        };
        submit(1, "one");
        step();
        assertTrue(stateWriter.isFailing());
        step();
        assertEquals(onDisk, List.of(1));
    }

    @Test
    public void callbacksRunAsSeparateTasks() {
        stateWriter.write(new byte[] {1}, () -> {
            throw new IllegalStateException("a fault");
        });
        submit(1, "two");
        stateWriter.writeOnce();
        assertEquals(loop.size(), 2, "each callback is a separate task");
    }

    @Test
    public void threadRetriesWithoutFurtherWrites() throws InterruptedException {
        CountDownLatch written = new CountDownLatch(1);
        int[] attempts = new int[1];
        StateWriter threadedWriter = new StateWriter(
                state -> {
                    if (++attempts[0] < 3) {
                        throw new StateStoreException("the state store can't be written: disk is full");
                    }
                    written.countDown();
                },
                Runnable::run,
                () -> 0);
        threadedWriter.start();
        threadedWriter.write(new byte[] {1}, () -> {});
        assertTrue(written.await(WAIT_S, TimeUnit.SECONDS));
    }
}
