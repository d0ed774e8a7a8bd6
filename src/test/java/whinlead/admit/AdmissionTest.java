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

/** Selection of the connection to close, without a socket or a clock. */
class AdmissionTest {
    private static final int PLACES = 4;
    // One silent connection of four places.
    private static final Limits LIMITS = new Limits(0.25, 2000, 20, 1000);

    private final Admission<String> admission = new Admission<>(LIMITS);

    private String toClose(double nowMs) {
        return admission.selectToClose(nowMs, c -> true, PLACES);
    }

    private void addBusy(String... names) {
        for (String name : names) {
            admission.phaseChanged(name, Phase.BUSY, 0);
        }
    }

    @Test
    void selectsOnlyEligibleConnections() {
        admission.phaseChanged("idle", Phase.IDLE, 0);
        admission.phaseChanged("mine", Phase.SILENT, 100);
        admission.phaseChanged("other", Phase.SILENT, 50);
        assertEquals("mine", admission.selectToClose(3000, c -> c.equals("mine"), PLACES));
        assertNull(admission.selectToClose(3000, c -> false, PLACES));
    }

    @Test
    void longIdleConnectionIsClosedFirst() {
        addBusy("a");
        admission.phaseChanged("idle", Phase.IDLE, 0);
        admission.phaseChanged("silent1", Phase.SILENT, 10);
        admission.phaseChanged("silent2", Phase.SILENT, 20);
        admission.phaseChanged("new", Phase.SILENT, 2001);
        assertEquals("idle", toClose(2001));
    }

    // Guards against closing the new connection, which has had no time to send a request.
    @Test
    void newConnectionStaysWhileAnotherIsIdle() {
        addBusy("a", "b", "c");
        admission.phaseChanged("idle", Phase.IDLE, 900);
        admission.phaseChanged("new", Phase.SILENT, 1000);
        assertEquals("idle", toClose(1000));
    }

    @Test
    void idleConnectionStaysWhenSilentOnesExceedTheirShare() {
        addBusy("a", "b");
        admission.phaseChanged("idle", Phase.IDLE, 900);
        admission.phaseChanged("silent", Phase.SILENT, 990);
        admission.phaseChanged("new", Phase.SILENT, 1000);
        assertEquals("silent", toClose(1000));
    }

    @Test
    void recentlyIdleConnectionIsNotClosed() {
        addBusy("a", "b", "c");
        admission.phaseChanged("idle", Phase.IDLE, 990);
        admission.phaseChanged("new", Phase.SILENT, 1000);
        assertEquals("new", toClose(1000));
    }

    @Test
    void slowRequestIsClosedBeforeTheOnlySilentConnection() {
        addBusy("a", "b", "c");
        admission.phaseChanged("slow", Phase.RECEIVING, 0);
        admission.phaseChanged("new", Phase.SILENT, 1001);
        assertEquals("slow", toClose(1001));
        admission.connectionClosed("slow");
        admission.phaseChanged("quick", Phase.RECEIVING, 500);
        assertEquals("new", toClose(1001));
    }

    @Test
    void busyConnectionIsNeverSelected() {
        addBusy("a", "b", "c", "d", "e");
        assertNull(toClose(1e9));
    }

    @Test
    void limitsOutOfRangeAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Limits(1.1, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(0, 1, 2, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(0, Double.NaN, 0, 1));
    }

    // Only busy connections may exceed the places, and silent connections keep their share.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsStayWithinPlacesAndNeverCloseABusyConnection(long seed) {
        Random random = new Random(seed);
        Limits limits = new Limits(0.25, 2000, 20, 1000);
        int places = 20;
        Admission<Integer> admissionUnderTest = new Admission<>(limits);
        Map<Integer, Phase> open = new HashMap<>();
        Map<Integer, Double> sinceMs = new HashMap<>();
        double nowMs = 0;
        int closed = 0;
        for (int i = 0; i < 20_000; i++) {
            nowMs += random.nextDouble() * 20;
            if (open.isEmpty() || random.nextInt(3) == 0) {
                open.put(i, Phase.SILENT);
                sinceMs.put(i, nowMs);
                admissionUnderTest.phaseChanged(i, Phase.SILENT, nowMs);
                Integer victim =
                        open.size() > places ? admissionUnderTest.selectToClose(nowMs, c -> true, places) : null;
                long held = open.values().stream().filter(p -> p == Phase.BUSY).count();
                if (victim != null) {
                    closed++;
                    assertNotEquals(Phase.BUSY, open.get(victim));
                    assertTrue(open.get(victim) != Phase.IDLE || nowMs - sinceMs.get(victim) >= limits.minIdleMs());
                    // An idle connection is closed only while few are silent, or when it has been idle for long.
                    long silent = open.values().stream()
                            .filter(p -> p == Phase.SILENT)
                            .count();
                    assertTrue(open.get(victim) != Phase.IDLE
                            || silent <= limits.maxSilentShare() * places
                            || nowMs - sinceMs.get(victim) > limits.longIdleMs());
                    open.remove(victim);
                    admissionUnderTest.connectionClosed(victim);
                } else {
                    assertTrue(open.size() <= places || held == open.size(), open::toString);
                }
                assertTrue(open.size() <= Math.max(places, held));
            } else {
                List<Integer> ids = new ArrayList<>(open.keySet());
                Integer id = ids.get(random.nextInt(ids.size()));
                if (random.nextInt(10) == 0) {
                    open.remove(id);
                    admissionUnderTest.connectionClosed(id);
                } else {
                    Phase next =
                            switch (open.get(id)) {
                                case SILENT, IDLE -> Phase.RECEIVING;
                                case RECEIVING -> Phase.BUSY;
                                case BUSY -> Phase.IDLE;
                            };
                    open.put(id, next);
                    sinceMs.put(id, nowMs);
                    admissionUnderTest.phaseChanged(id, next, nowMs);
                }
            }
            assertEquals(open.size(), admissionUnderTest.open());
        }
        assertNotEquals(0, closed);
    }
}
