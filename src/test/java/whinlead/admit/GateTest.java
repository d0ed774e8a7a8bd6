package whinlead.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.admit.Admission.Phase;
import whinlead.admit.Gate.CloseReason;
import whinlead.admit.Gate.Limits;

/** Limits, rates, the reserve and shortages, without a socket or a clock. */
class GateTest {
    private static final Client.Prefixes PREFIXES = new Client.Prefixes(32, 64);
    private static final Admission.Limits PHASES = new Admission.Limits(0.25, 2000, 20, 1000);
    private static final int PLACES = 8;
    private static final int KNOWN_CLIENT = 1;
    private static final int UNKNOWN_CLIENT = 9;

    private final Gate<String> gate = gate(3, 6, 1000, 4);

    private static Gate<String> gate(int perClient, int perKnown, double perSecond, int reserve) {
        return new Gate<>(
                new Limits(PREFIXES, perClient, perKnown, perSecond, perSecond, reserve, 100, 60_000), PHASES, PLACES);
    }

    private static byte[] address(int client) {
        return ByteBuffer.allocate(4).putInt(0x0a000000 + client).array();
    }

    /** Makes a client known, and leaves no connection open. */
    private static void makeKnown(Gate<String> gate, int client, double nowMs) {
        gate.connectionOpened("known", address(client), nowMs);
        for (int i = 0; i < 5; i++) {
            gate.requestReceived("known", true, nowMs);
        }
        gate.connectionClosed("known", nowMs);
    }

    private void openIdle(String connection, int client, double nowMs) {
        assertNull(gate.connectionOpened(connection, address(client), nowMs));
        gate.phaseChanged(connection, Phase.BUSY, nowMs);
        gate.phaseChanged(connection, Phase.IDLE, nowMs);
    }

    @Test
    void clientAtItsCapLosesOneOfItsOwnConnections() {
        openIdle("other", 2, 0);
        for (String c : List.of("a", "b", "c")) {
            assertNull(gate.connectionOpened(c, address(UNKNOWN_CLIENT), 100));
            gate.phaseChanged(c, c.equals("b") ? Phase.SILENT : Phase.BUSY, 100);
        }
        assertEquals("b", gate.connectionOpened("d", address(UNKNOWN_CLIENT), 200));
        gate.connectionClosed("b", 200);
        gate.phaseChanged("d", Phase.BUSY, 200);
        assertEquals(
                "e",
                gate.connectionOpened("e", address(UNKNOWN_CLIENT), 300),
                "the client's other connections are busy");
        assertEquals(2, gate.closed(CloseReason.CLIENT_CAP));
    }

    @Test
    void knownClientHasAHigherCap() {
        makeKnown(gate, KNOWN_CLIENT, 0);
        for (int i = 0; i < 6; i++) {
            assertNull(gate.connectionOpened("k" + i, address(KNOWN_CLIENT), 10));
        }
        assertNotNull(gate.connectionOpened("k6", address(KNOWN_CLIENT), 10));
    }

    @Test
    void connectionBeyondTheRateIsRejectedAndNotCounted() {
        Gate<String> slow = gate(8, 8, 2, 0);
        assertNull(slow.connectionOpened("a", address(UNKNOWN_CLIENT), 0));
        assertNull(slow.connectionOpened("b", address(UNKNOWN_CLIENT), 0));
        assertEquals("c", slow.connectionOpened("c", address(UNKNOWN_CLIENT), 0));
        assertEquals(2, slow.open());
        assertNull(slow.connectionOpened("x", address(2), 0), "the rate of another client is separate");
        assertNull(slow.connectionOpened("d", address(UNKNOWN_CLIENT), 500));
        assertEquals("e", slow.connectionOpened("e", address(UNKNOWN_CLIENT), 501));
        assertEquals(2, slow.closed(CloseReason.CLIENT_RATE));
    }

    @Test
    void reserveIsNotGivenToUnknownClients() {
        makeKnown(gate, KNOWN_CLIENT, 0);
        for (int i = 0; i < 4; i++) {
            assertNull(gate.connectionOpened("k" + i, address(KNOWN_CLIENT), 10));
            gate.phaseChanged("k" + i, Phase.BUSY, 10);
        }
        // Their peak of four is remembered while only one is open.
        for (int i = 1; i < 4; i++) {
            gate.connectionClosed("k" + i, 20);
        }
        for (int i = 0; i < 4; i++) {
            assertNull(gate.connectionOpened("s" + i, address(10 + i), 30));
            gate.phaseChanged("s" + i, Phase.BUSY, 30);
        }
        assertEquals("s4", gate.connectionOpened("s4", address(14), 40));
        assertEquals(1, gate.closed(CloseReason.RESERVE));
        gate.connectionClosed("s4", 40);
        for (int i = 1; i < 4; i++) {
            assertNull(
                    gate.connectionOpened("n" + i, address(KNOWN_CLIENT), 50), "known clients get the reserved places");
        }
    }

    @Test
    void unneededReserveIsOpenToAll() {
        for (int i = 0; i < PLACES; i++) {
            assertNull(gate.connectionOpened("s" + i, address(10 + i), 0));
        }
        assertNotNull(gate.connectionOpened("more", address(30), 1));
        assertEquals(1, gate.closed(CloseReason.FULL));
    }

    @Test
    void knownClientDisplacesAnUnknownOneWhenFull() {
        makeKnown(gate, KNOWN_CLIENT, 0);
        makeKnown(gate, 2, 0);
        // Connections of known clients have been idle for longer than those of unknown ones.
        for (int i = 0; i < 4; i++) {
            openIdle("k" + i, KNOWN_CLIENT, 0);
        }
        for (int i = 0; i < 4; i++) {
            openIdle("s" + i, 10 + i, 3000);
        }
        assertEquals("s0", gate.connectionOpened("new", address(2), 3100));
    }

    @Test
    void newConnectionIsClosedWhenAllOthersAreBusy() {
        makeKnown(gate, KNOWN_CLIENT, 0);
        for (int i = 0; i < PLACES; i++) {
            assertNull(gate.connectionOpened("s" + i, address(10 + i), 0));
            gate.phaseChanged("s" + i, Phase.BUSY, 0);
        }
        assertEquals("k", gate.connectionOpened("k", address(KNOWN_CLIENT), 1));
    }

    @Test
    void knownStatusDecaysAndBadRequestsReduceIt() {
        makeKnown(gate, KNOWN_CLIENT, 0);
        // After ten half-lives the client has the cap of an unknown one.
        for (int i = 0; i < 3; i++) {
            assertNull(gate.connectionOpened("k" + i, address(KNOWN_CLIENT), 600_000));
        }
        assertNotNull(gate.connectionOpened("k3", address(KNOWN_CLIENT), 600_000));
        makeKnown(gate, 2, 600_000);
        gate.connectionOpened("bad", address(2), 600_000);
        gate.requestReceived("bad", false, 600_000);
        gate.requestReceived("bad", false, 600_000);
        gate.connectionOpened("b1", address(2), 600_000);
        gate.connectionOpened("b2", address(2), 600_000);
        assertNotNull(gate.connectionOpened("b3", address(2), 600_000));
    }

    @Test
    void descriptorShortageClosesOneLowersPlacesAndDoublesThePause() {
        for (int i = 0; i < 6; i++) {
            assertNull(gate.connectionOpened("s" + i, address(10 + i), 0));
        }
        assertEquals("s0", gate.descriptorsExhausted(100));
        double pause = gate.pauseMs();
        gate.connectionClosed("s0", 100);
        gate.connectionClosed(gate.descriptorsExhausted(120), 120);
        assertEquals(2 * pause, gate.pauseMs());
        assertEquals(4, gate.open());
        // Four places now, and one more per second.
        assertNotNull(gate.connectionOpened("more", address(20), 200));
        gate.connectionClosed("more", 200);
        assertNull(gate.connectionOpened("later", address(20), 1200));
        assertNotNull(gate.connectionOpened("again", address(21), 1300));
        gate.connectionClosed("again", 1300);
        assertNull(gate.connectionOpened("all", address(21), 60_000));
        gate.descriptorsExhausted(120_000);
        assertEquals(pause, gate.pauseMs(), "a later shortage starts with the shortest pause");
    }

    @Test
    void withoutLimitsOnlyPlacesAreBounded() {
        Gate<Integer> open = new Gate<>(Limits.none(), PHASES, 500);
        for (int i = 0; i < 500; i++) {
            assertNull(open.connectionOpened(i, address(i), i * 0.001));
        }
        assertNotNull(open.connectionOpened(500, address(0), 1));
        assertEquals(1, open.closed(CloseReason.FULL));
    }

    @Test
    void millionAddressesKeepRememberedClientsBounded() {
        makeKnown(gate, KNOWN_CLIENT, 0);
        for (int i = 0; i < 1_000_000; i++) {
            double nowMs = i * 0.01;
            String connection = "c" + i;
            if (gate.connectionOpened(connection, address(100 + i), nowMs) == null) {
                gate.connectionClosed(connection, nowMs);
            }
            if (i % 100_000 == 0) {
                assertTrue(gate.clients() <= 100, "remembered: " + gate.clients());
            }
        }
        // The known client is still known: unknown clients evicted only unknown ones.
        for (int i = 0; i < 6; i++) {
            assertNull(gate.connectionOpened("k" + i, address(KNOWN_CLIENT), 10_000));
        }
    }

    @Test
    void limitsOutOfRangeAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Limits(PREFIXES, 0, 1, 1, 1, 0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(PREFIXES, 2, 1, 1, 1, 0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(PREFIXES, 1, 1, 0, 1, 0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(PREFIXES, 1, 1, 1, 1, -1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(PREFIXES, 1, 1, 1, 1, 0, 0, 1));
    }

    // No busy connection is closed, the open connections do not exceed the places except for busy ones, and no client
    // exceeds its cap.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsKeepEveryBound(long seed) {
        Random random = new Random(seed);
        Limits limits = new Limits(PREFIXES, 4, 8, 50, 20, 10, 30, 5000);
        Gate<Integer> gateUnderTest = new Gate<>(limits, PHASES, 20);
        Map<Integer, Phase> open = new HashMap<>();
        Map<Integer, Integer> owner = new HashMap<>();
        int[] closedCounts = new int[CloseReason.values().length];
        double nowMs = 0;
        for (int i = 0; i < 20_000; i++) {
            nowMs += random.nextDouble() * 10;
            List<Integer> ids = new ArrayList<>(open.keySet());
            if (ids.isEmpty() || random.nextInt(3) == 0) {
                int client = random.nextInt(12);
                Integer close = gateUnderTest.connectionOpened(i, address(client), nowMs);
                if (close == null || close != i) {
                    open.put(i, Phase.SILENT);
                    owner.put(i, client);
                }
                if (close != null && close != i) {
                    assertNotEquals(Phase.BUSY, open.get(close));
                    open.remove(close);
                }
                if (close != null) {
                    gateUnderTest.connectionClosed(close, nowMs);
                }
                long held = open.values().stream().filter(p -> p == Phase.BUSY).count();
                assertTrue(open.size() <= Math.max(20, held), open::toString);
                assertTrue(open.keySet().stream()
                                .filter(c -> owner.get(c) == client)
                                .count()
                        <= 8);
            } else if (random.nextInt(200) == 0) {
                Integer close = gateUnderTest.descriptorsExhausted(nowMs);
                if (close != null) {
                    assertNotEquals(Phase.BUSY, open.remove(close));
                    gateUnderTest.connectionClosed(close, nowMs);
                }
            } else {
                Integer id = ids.get(random.nextInt(ids.size()));
                Phase next =
                        switch (open.get(id)) {
                            case SILENT, IDLE -> Phase.RECEIVING;
                            case RECEIVING -> Phase.BUSY;
                            case BUSY -> Phase.IDLE;
                        };
                if (next == Phase.IDLE && random.nextInt(4) == 0) {
                    open.remove(id);
                    gateUnderTest.connectionClosed(id, nowMs);
                    continue;
                }
                open.put(id, next);
                gateUnderTest.phaseChanged(id, next, nowMs);
                if (next == Phase.BUSY) {
                    // Some clients send good requests, others rarely do.
                    gateUnderTest.requestReceived(id, owner.get(id) < 6 || random.nextInt(5) == 0, nowMs);
                }
            }
            assertEquals(open.size(), gateUnderTest.open());
            assertTrue(gateUnderTest.clients() <= limits.maxRemembered() + open.size());
        }
        for (CloseReason why : CloseReason.values()) {
            closedCounts[why.ordinal()] = (int) gateUnderTest.closed(why);
        }
        assertTrue(
                closedCounts[CloseReason.CLIENT_CAP.ordinal()] > 0
                        && closedCounts[CloseReason.FULL.ordinal()] + closedCounts[CloseReason.RESERVE.ordinal()] > 0,
                "some limit was never reached");
    }
}
