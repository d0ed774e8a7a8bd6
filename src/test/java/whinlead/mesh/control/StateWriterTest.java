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

/** What is said only once it is on disk, on disks that stall, are slow, are full or fail. */
public class StateWriterTest {
    private static final long WAIT_S = 20;

    private final List<Integer> onDisk = new ArrayList<>();
    private final List<String> said = new ArrayList<>();
    private final Queue<Runnable> loop = new ArrayDeque<>();
    private boolean full;
    private double now;
    /** Happens while the disk is at work. */
    private Runnable meanwhile;

    private StateWriter stateWriter;

    @BeforeMethod
    public void make() {
        onDisk.clear();
        said.clear();
        loop.clear();
        full = false;
        now = 0;
        meanwhile = () -> {};
        stateWriter = new StateWriter(this::write, loop::add, () -> now);
    }

    private void write(byte[] memory) throws StateStoreException {
        Runnable task = meanwhile;
        meanwhile = () -> {};
        task.run();
        if (full) {
            throw new StateStoreException("the state store can't be written: disk is full");
        }
        onDisk.add((int) memory[0]);
    }

    private void hand(int memory, String then) {
        stateWriter.write(new byte[] {(byte) memory}, () -> {
            // Only once this memory, or a later one, is on disk.
            assertTrue(onDisk.stream().anyMatch(m -> m >= memory), then);
            said.add(then);
        });
    }

    private void step() {
        stateWriter.step();
        while (!loop.isEmpty()) {
            loop.remove().run();
        }
    }

    @Test
    public void saysWhatIsOnDisk() {
        hand(1, "one");
        assertEquals(said, List.of());
        step();
        assertEquals(said, List.of("one"));
        step();
        assertEquals(onDisk, List.of(1), "nothing is written twice");
    }

    @Test
    public void whatWaitsForAStalledDiskIsWrittenOnceAsItIsLast() {
        hand(1, "one");
        meanwhile = () -> {
            hand(2, "two");
            hand(3, "three");
            assertEquals(said, List.of());
            now = 3000;
            assertEquals(stateWriter.stalledMs(), 3000.0);
            assertFalse(stateWriter.isFailing(), "slow is not failing");
        };
        step();
        assertEquals(said, List.of("one"));
        // Those that came meanwhile have waited since they came.
        assertEquals(stateWriter.stalledMs(), 3000.0);
        step();
        assertEquals(onDisk, List.of(1, 3));
        assertEquals(said, List.of("one", "two", "three"));
        assertEquals(stateWriter.stalledMs(), 0.0);
    }

    @Test
    public void whatAStalledDiskHoldsUpIsBounded() {
        for (int i = 0; i < StateWriter.MAX_WAITING + 2; i++) {
            hand(1, "" + i);
        }
        step();
        assertEquals(said.size(), StateWriter.MAX_WAITING);
        assertEquals(said.get(0), "2", "the oldest are as if lost on the way");
    }

    @Test
    public void whatWaitedForARefusedMemoryIsNeverSaidAndTheMemoryIsTriedAgain() {
        full = true;
        hand(1, "one");
        step();
        now = 500;
        assertTrue(stateWriter.isFailing());
        assertFalse(stateWriter.isSynced());
        assertEquals(stateWriter.stalledMs(), 500.0);
        step();
        assertEquals(onDisk, List.of());
        full = false;
        step();
        assertEquals(onDisk, List.of(1));
        assertEquals(said, List.of());
        assertFalse(stateWriter.isFailing());
        assertTrue(stateWriter.isSynced());
        assertEquals(stateWriter.stalledMs(), 0.0);
    }

    @Test
    public void aLaterMemoryTakesThePlaceOfARefusedOne() {
        full = true;
        hand(1, "one");
        meanwhile = () -> hand(2, "two");
        step();
        full = false;
        step();
        step();
        assertEquals(onDisk, List.of(2));
        assertEquals(said, List.of("two"));
    }

    @Test
    public void aFaultBelowEndsNothing() {
        meanwhile = () -> {
            throw new IllegalStateException("a fault");
        };
        hand(1, "one");
        step();
        assertTrue(stateWriter.isFailing());
        step();
        assertEquals(onDisk, List.of(1));
    }

    @Test
    public void whatIsSaidFailsAlone() {
        stateWriter.write(new byte[] {1}, () -> {
            throw new IllegalStateException("a fault");
        });
        hand(1, "two");
        stateWriter.step();
        assertEquals(loop.size(), 2, "each is a task of its own");
    }

    @Test
    public void theThreadTriesAgainByItself() throws InterruptedException {
        CountDownLatch written = new CountDownLatch(1);
        int[] tries = new int[1];
        StateWriter alone = new StateWriter(
                memory -> {
                    if (++tries[0] < 3) {
                        throw new StateStoreException("the state store can't be written: disk is full");
                    }
                    written.countDown();
                },
                Runnable::run,
                () -> 0);
        alone.start();
        alone.write(new byte[] {1}, () -> {});
        assertTrue(written.await(WAIT_S, TimeUnit.SECONDS));
    }
}
