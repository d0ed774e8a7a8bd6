package whinlead.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.admit.Admission.Limits;
import whinlead.admit.Admission.Phase;

/** Who makes room, without a socket or a clock. */
class AdmissionTest {
    private static final int PLACES = 4;
    // One silent connection of the four.
    private static final Limits LIMITS = new Limits(0.25, 2000, 20, 1000);

    private final Admission<String> admission = new Admission<>(LIMITS);

    private String toClose(double now) {
        return admission.choose(now, c -> true, PLACES);
    }

    private void fill(String... names) {
        for (String name : names) {
            admission.entered(name, Phase.HELD, 0);
        }
    }

    @Test
    void onlyThoseAskedForAreChosen() {
        admission.entered("idle", Phase.IDLE, 0);
        admission.entered("mine", Phase.SILENT, 100);
        admission.entered("other", Phase.SILENT, 50);
        assertEquals("mine", admission.choose(3000, c -> c.equals("mine"), PLACES));
        assertNull(admission.choose(3000, c -> false, PLACES));
    }

    @Test
    void oneThatIdledLongGoesBeforeAllOthers() {
        fill("a");
        admission.entered("idle", Phase.IDLE, 0);
        admission.entered("silent1", Phase.SILENT, 10);
        admission.entered("silent2", Phase.SILENT, 20);
        admission.entered("new", Phase.SILENT, 2001);
        assertEquals("idle", toClose(2001));
    }

    // What the decisions of before did not do: they closed the newcomer, which had no time to ask.
    @Test
    void aNewcomerStaysWhileOneIsIdle() {
        fill("a", "b", "c");
        admission.entered("idle", Phase.IDLE, 900);
        admission.entered("new", Phase.SILENT, 1000);
        assertEquals("idle", toClose(1000));
    }

    @Test
    void knownOnesAreNotClosedForMoreSilentOnesThanAreAllowed() {
        fill("a", "b");
        admission.entered("idle", Phase.IDLE, 900);
        admission.entered("silent", Phase.SILENT, 990);
        admission.entered("new", Phase.SILENT, 1000);
        assertEquals("silent", toClose(1000));
    }

    @Test
    void oneWhoseNextRequestMayBeOnItsWayStays() {
        fill("a", "b", "c");
        admission.entered("idle", Phase.IDLE, 990);
        admission.entered("new", Phase.SILENT, 1000);
        assertEquals("new", toClose(1000));
    }

    @Test
    void oneThatIsSlowToSendGoesBeforeTheOnlyNewcomer() {
        fill("a", "b", "c");
        admission.entered("slow", Phase.RECEIVING, 0);
        admission.entered("new", Phase.SILENT, 1001);
        assertEquals("slow", toClose(1001));
        admission.left("slow");
        admission.entered("quick", Phase.RECEIVING, 500);
        assertEquals("new", toClose(1001));
    }

    @Test
    void whatHoldsARequestIsNeverChosen() {
        fill("a", "b", "c", "d", "e");
        assertNull(toClose(1e9));
    }

    @Test
    void limitsAreChecked() {
        assertThrows(IllegalArgumentException.class, () -> new Limits(1.1, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(0, 1, 2, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(0, Double.NaN, 0, 1));
    }

    // Whatever comes: as many as are allowed and those that hold requests, and a share for those that come.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsKeepTheBudgetAndEveryTakenRequest(long seed) {
        Random dice = new Random(seed);
        Limits limits = new Limits(0.25, 2000, 20, 1000);
        int most = 20;
        Admission<Integer> all = new Admission<>(limits);
        Map<Integer, Phase> open = new HashMap<>();
        Map<Integer, Double> since = new HashMap<>();
        double now = 0;
        int closed = 0;
        for (int i = 0; i < 20_000; i++) {
            now += dice.nextDouble() * 20;
            if (open.isEmpty() || dice.nextInt(3) == 0) {
                open.put(i, Phase.SILENT);
                since.put(i, now);
                all.entered(i, Phase.SILENT, now);
                Integer victim = open.size() > most ? all.choose(now, c -> true, most) : null;
                long held = open.values().stream().filter(p -> p == Phase.HELD).count();
                if (victim != null) {
                    closed++;
                    assertNotEquals(Phase.HELD, open.get(victim));
                    assertTrue(open.get(victim) != Phase.IDLE || now - since.get(victim) >= limits.idleLeast());
                    // A known one goes for a new one only while few are new, or when it has idled for long.
                    long silent = open.values().stream()
                            .filter(p -> p == Phase.SILENT)
                            .count();
                    assertTrue(open.get(victim) != Phase.IDLE
                            || silent <= limits.unknownPart() * most
                            || now - since.get(victim) > limits.idleLong());
                    open.remove(victim);
                    all.left(victim);
                } else {
                    assertTrue(open.size() <= most || held == open.size(), open::toString);
                }
                assertTrue(open.size() <= Math.max(most, held));
            } else {
                List<Integer> ids = new ArrayList<>(open.keySet());
                Integer id = ids.get(dice.nextInt(ids.size()));
                if (dice.nextInt(10) == 0) {
                    open.remove(id);
                    all.left(id);
                } else {
                    Phase next =
                            switch (open.get(id)) {
                                case SILENT, IDLE -> Phase.RECEIVING;
                                case RECEIVING -> Phase.HELD;
                                case HELD -> Phase.IDLE;
                            };
                    open.put(id, next);
                    since.put(id, now);
                    all.entered(id, next, now);
                }
            }
            assertEquals(open.size(), all.open());
        }
        assertNotEquals(0, closed);
    }
}
