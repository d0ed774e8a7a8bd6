package whinlead.testbed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A group of real processes that are killed, stopped and cut off while proxies ask them and resend. */
class CopiesFleetTest {
    /** What depends on how busy the machine is: a call answered late by half a second. The rehearsal judges it. */
    private static final String LATE = "unanswered";

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nothingThatWasPromisedIsBroken(boolean disks) throws IOException {
        try (CopiesFleet fleet = new CopiesFleet(new CopiesFleet.Plan(1, 3, true, false, disks, 4, 20, 4))) {
            CopiesFleet.Result r = fleet.play();
            Map<String, Integer> broken = new TreeMap<>(r.ledger().broken());
            broken.remove(LATE);
            assertEquals(Map.of(), broken, () -> r.ledger().cases().toString());
            assertTrue(
                    r.ledger().seen().getOrDefault("ends compared", 0) > 20,
                    () -> r.ledger().seen().toString());
            assertTrue(
                    r.ledger().seen().keySet().stream().anyMatch(k -> k.startsWith("killed")),
                    () -> r.ledger().seen().toString());
        }
    }

    /** Two groups of one site: a process is lost for good, and one of the other group takes its seat. */
    @Test
    void aLostMembersSeatIsTakenByAnother() throws IOException {
        try (CopiesFleet fleet = new CopiesFleet(new CopiesFleet.Plan(2, 3, true, true, false, 0, 20, 4))) {
            CopiesFleet.Loss loss = fleet.lose(6);
            Map<String, Integer> broken = new TreeMap<>(fleet.ledger().broken());
            broken.remove(LATE);
            assertEquals(Map.of(), broken, () -> fleet.ledger().cases().toString());
            assertEquals(1, loss.lost());
            assertEquals(1, loss.moved());
            assertTrue(
                    fleet.ledger().seen().getOrDefault("ends compared", 0) > 20,
                    () -> fleet.ledger().seen().toString());
        }
    }

    /** A disk that takes nothing any more: its member steps aside, tells so, and passes on what it is asked. */
    @Test
    void aFullDiskMakesAMemberStepAsideAndNothingIsLost() throws IOException {
        try (CopiesFleet fleet = new CopiesFleet(new CopiesFleet.Plan(1, 3, true, false, true, 0, 100, 4))) {
            String told = fleet.fill(256 << 10);
            assertTrue(told.contains("its disk takes nothing"), told);
            Map<String, Integer> broken = new TreeMap<>(fleet.ledger().broken());
            broken.remove(LATE);
            assertEquals(Map.of(), broken, () -> fleet.ledger().cases().toString());
            assertTrue(
                    fleet.ledger().seen().getOrDefault("ends compared", 0) > 100,
                    () -> fleet.ledger().seen().toString());
        }
    }
}
