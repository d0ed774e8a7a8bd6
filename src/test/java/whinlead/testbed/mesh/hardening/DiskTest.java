package whinlead.testbed.mesh.hardening;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.Decision;

/** Tests the modelled disk: what it stores, when it reports writes, and how its faults behave. */
public class DiskTest {
    private Scheduler scheduler;
    private Disk disk;
    private List<Long> completedWrites;

    @BeforeMethod
    public void createDisk() {
        scheduler = new Scheduler();
        disk = new Disk(scheduler, new SplittableRandom(1));
        completedWrites = new ArrayList<>();
    }

    private static Disk.Entry entry(long round) {
        return new Disk.Entry(
                "a#0", new Acceptor.State(Decision.founding(List.of("a#0")), new Ballot(round, "a#0"), null));
    }

    private void write(long round) {
        disk.write(entry(round), () -> completedWrites.add(round));
    }

    private void advance(double millis) {
        scheduler.runUntil(scheduler.nowMs() + millis, () -> false);
    }

    private long storedRound() {
        return disk.read().memory().promised().round();
    }

    @Test
    public void waitingWritesAreMergedIntoTheLast() {
        write(1);
        write(2);
        write(3);
        while (completedWrites.isEmpty()) {
            advance(1);
        }
        assertEquals(completedWrites, List.of(1L));
        advance(1000);
        assertEquals(completedWrites, List.of(1L, 2L, 3L));
        assertEquals(storedRound(), 3);
        assertTrue(disk.isIdle());
        assertEquals(disk.readBefore().memory().promised().round(), 1, "2 was merged into 3");
    }

    @Test
    public void writeInterruptedByPowerLossIsNotReportedAndMayBeStored() {
        Set<Long> found = new HashSet<>();
        for (long seed = 0; seed < 50; seed++) {
            disk = new Disk(scheduler, new SplittableRandom(seed));
            disk.store(entry(0));
            write(1);
            write(2);
            disk.powerLost();
            advance(1000);
            found.add(storedRound());
        }
        assertEquals(completedWrites, List.of());
        assertEquals(found, Set.of(0L, 1L), "the write of 2 had not begun");
    }

    @Test
    public void stalledDiskResumes() {
        write(1);
        disk.stallUntil(scheduler.nowMs() + 60_000);
        advance(5000);
        assertEquals(completedWrites, List.of());
        assertFalse(disk.isIdle());
        disk.stallUntil(0);
        advance(500);
        assertEquals(completedWrites, List.of(1L));
    }

    @Test
    public void slowDiskCanBecomeFastDuringAWrite() {
        int slow = 0;
        for (long seed = 0; seed < 200; seed++) {
            completedWrites.clear();
            disk = new Disk(scheduler, new SplittableRandom(seed));
            disk.setSlowdown(30);
            write(1);
            advance(10);
            slow += completedWrites.size();
            disk.setSlowdown(1);
            advance(450);
            assertEquals(completedWrites, List.of(1L), "seed " + seed);
        }
        assertEquals(slow, 0, "none takes 10 ms");
    }

    @Test
    public void refusedWriteIsNotReportedAndIsRetried() {
        disk.store(entry(0));
        disk.setFull(true);
        write(1);
        advance(2000);
        assertEquals(storedRound(), 0);
        assertFalse(disk.isIdle());
        disk.setFull(false);
        advance(1000);
        assertEquals(storedRound(), 1);
        assertEquals(completedWrites, List.of(), "callbacks of the refused write never run");
        assertTrue(disk.isIdle());
    }

    @Test
    public void wipedDiskIsEmpty() {
        write(1);
        advance(1000);
        disk.wipe();
        assertNull(disk.read());
    }
}
