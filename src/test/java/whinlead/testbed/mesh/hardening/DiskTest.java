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

/** The rig's disk: what lasts, when it is told, and what its troubles do. */
public class DiskTest {
    private Agenda agenda;
    private Disk disk;
    private List<Long> told;

    @BeforeMethod
    public void begin() {
        agenda = new Agenda();
        disk = new Disk(agenda, new SplittableRandom(1));
        told = new ArrayList<>();
    }

    private static Disk.Entry entry(long round) {
        return new Disk.Entry(
                "a#0", new Acceptor.State(Decision.founding(List.of("a#0")), new Ballot(round, "a#0"), null));
    }

    private void write(long round) {
        disk.write(entry(round), () -> told.add(round));
    }

    private void pass(double millis) {
        agenda.run(agenda.now() + millis, () -> false);
    }

    private long round() {
        return disk.read().memory().promised().round();
    }

    @Test
    public void whatWaitsIsWrittenOnceAsItIsLast() {
        write(1);
        write(2);
        write(3);
        while (told.isEmpty()) {
            pass(1);
        }
        assertEquals(told, List.of(1L));
        pass(1000);
        assertEquals(told, List.of(1L, 2L, 3L));
        assertEquals(round(), 3);
        assertTrue(disk.settled());
        assertEquals(disk.readBefore().memory().promised().round(), 1, "2 was never written by itself");
    }

    @Test
    public void nothingIsToldOfWhatWasUnderWayAsThePowerWentAndItIsThereOrNot() {
        Set<Long> found = new HashSet<>();
        for (long seed = 0; seed < 50; seed++) {
            disk = new Disk(agenda, new SplittableRandom(seed));
            disk.found(entry(0));
            write(1);
            write(2);
            disk.cut();
            pass(1000);
            found.add(round());
        }
        assertEquals(told, List.of());
        assertEquals(found, Set.of(0L, 1L), "2 had not begun");
    }

    @Test
    public void aDiskThatHangsGoesOnWhenItNoLongerDoes() {
        write(1);
        disk.stall(agenda.now() + 60_000);
        pass(5000);
        assertEquals(told, List.of());
        assertFalse(disk.settled());
        disk.stall(0);
        pass(500);
        assertEquals(told, List.of(1L));
    }

    @Test
    public void aSlowDiskIsQuickAgainInTheMidstOfAWrite() {
        int slow = 0;
        for (long seed = 0; seed < 200; seed++) {
            told.clear();
            disk = new Disk(agenda, new SplittableRandom(seed));
            disk.slow(30);
            write(1);
            pass(10);
            slow += told.size();
            disk.slow(1);
            pass(450);
            assertEquals(told, List.of(1L), "seed " + seed);
        }
        assertEquals(slow, 0, "none takes 10 ms");
    }

    @Test
    public void aFullDiskTellsNothingAndIsTriedAgain() {
        disk.found(entry(0));
        disk.refuse(true);
        write(1);
        pass(2000);
        assertEquals(round(), 0);
        assertFalse(disk.settled());
        disk.refuse(false);
        pass(1000);
        assertEquals(round(), 1);
        assertEquals(told, List.of(), "what waited for the refused write never hears of it");
        assertTrue(disk.settled());
    }

    @Test
    public void aWipedDiskIsEmpty() {
        write(1);
        pass(1000);
        disk.wipe();
        assertNull(disk.read());
    }
}
