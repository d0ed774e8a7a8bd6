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
import whinlead.admit.Gate.Limits;
import whinlead.admit.Gate.Why;

/** Caps, rates, the reserve and shortages, without a socket or a clock. */
class GateTest {
    private static final Client.Prefixes WHOLE = new Client.Prefixes(32, 64);
    private static final Admission.Limits PHASES = new Admission.Limits(0.25, 2000, 20, 1000);
    private static final int PLACES = 8;
    private static final int GOOD = 1;
    private static final int STRANGER = 9;

    private final Gate<String> gate = gate(3, 6, 1000, 4);

    private static Gate<String> gate(int perClient, int perKnown, double perSecond, int reserve) {
        return new Gate<>(
                new Limits(WHOLE, perClient, perKnown, perSecond, perSecond, reserve, 100, 60_000), PHASES, PLACES);
    }

    private static byte[] from(int client) {
        return ByteBuffer.allocate(4).putInt(0x0a000000 + client).array();
    }

    /** Comes to be known, and leaves no connection. */
    private static void makeKnown(Gate<String> gate, int client, double now) {
        gate.arrived("known", from(client), now);
        for (int i = 0; i < 5; i++) {
            gate.asked("known", true, now);
        }
        gate.left("known", now);
    }

    private void idle(String connection, int client, double now) {
        assertNull(gate.arrived(connection, from(client), now));
        gate.entered(connection, Phase.HELD, now);
        gate.entered(connection, Phase.IDLE, now);
    }

    @Test
    void oneAtItsCapMakesRoomAmongItsOwn() {
        idle("other", 2, 0);
        for (String c : List.of("a", "b", "c")) {
            assertNull(gate.arrived(c, from(STRANGER), 100));
            gate.entered(c, c.equals("b") ? Phase.SILENT : Phase.HELD, 100);
        }
        assertEquals("b", gate.arrived("d", from(STRANGER), 200));
        gate.left("b", 200);
        gate.entered("d", Phase.HELD, 200);
        assertEquals("e", gate.arrived("e", from(STRANGER), 300), "the rest hold requests");
        assertEquals(2, gate.closed(Why.CLIENT_CAP));
    }

    @Test
    void aKnownOneMayHaveMore() {
        makeKnown(gate, GOOD, 0);
        for (int i = 0; i < 6; i++) {
            assertNull(gate.arrived("k" + i, from(GOOD), 10));
        }
        assertNotNull(gate.arrived("k6", from(GOOD), 10));
    }

    @Test
    void oneThatComesTooFastIsTurnedAwayAndCountsNot() {
        Gate<String> slow = gate(8, 8, 2, 0);
        assertNull(slow.arrived("a", from(STRANGER), 0));
        assertNull(slow.arrived("b", from(STRANGER), 0));
        assertEquals("c", slow.arrived("c", from(STRANGER), 0));
        assertEquals(2, slow.open());
        assertNull(slow.arrived("x", from(2), 0), "another client is not held to it");
        assertNull(slow.arrived("d", from(STRANGER), 500));
        assertEquals("e", slow.arrived("e", from(STRANGER), 501));
        assertEquals(2, slow.closed(Why.CLIENT_RATE));
    }

    @Test
    void strangersDoNotGetTheReserve() {
        makeKnown(gate, GOOD, 0);
        for (int i = 0; i < 4; i++) {
            assertNull(gate.arrived("k" + i, from(GOOD), 10));
            gate.entered("k" + i, Phase.HELD, 10);
        }
        // Their need of four is remembered while they have but one.
        for (int i = 1; i < 4; i++) {
            gate.left("k" + i, 20);
        }
        for (int i = 0; i < 4; i++) {
            assertNull(gate.arrived("s" + i, from(10 + i), 30));
            gate.entered("s" + i, Phase.HELD, 30);
        }
        assertEquals("s4", gate.arrived("s4", from(14), 40));
        assertEquals(1, gate.closed(Why.RESERVE));
        gate.left("s4", 40);
        for (int i = 1; i < 4; i++) {
            assertNull(gate.arrived("n" + i, from(GOOD), 50), "known ones find their places");
        }
    }

    @Test
    void aReserveThatNobodyNeedsIsForAll() {
        for (int i = 0; i < PLACES; i++) {
            assertNull(gate.arrived("s" + i, from(10 + i), 0));
        }
        assertNotNull(gate.arrived("more", from(30), 1));
        assertEquals(1, gate.closed(Why.FULL));
    }

    @Test
    void aKnownOneAtAFullTableDisplacesAStranger() {
        makeKnown(gate, GOOD, 0);
        makeKnown(gate, 2, 0);
        // Known ones have been idle for longer than any stranger.
        for (int i = 0; i < 4; i++) {
            idle("k" + i, GOOD, 0);
        }
        for (int i = 0; i < 4; i++) {
            idle("s" + i, 10 + i, 3000);
        }
        assertEquals("s0", gate.arrived("new", from(2), 3100));
    }

    @Test
    void withNothingButRequestsHeldTheNewcomerGoes() {
        makeKnown(gate, GOOD, 0);
        for (int i = 0; i < PLACES; i++) {
            assertNull(gate.arrived("s" + i, from(10 + i), 0));
            gate.entered("s" + i, Phase.HELD, 0);
        }
        assertEquals("k", gate.arrived("k", from(GOOD), 1));
    }

    @Test
    void goodRequestsAreForgottenAndBadOnesCount() {
        makeKnown(gate, GOOD, 0);
        // After ten half-lives the same client has a stranger's cap.
        for (int i = 0; i < 3; i++) {
            assertNull(gate.arrived("k" + i, from(GOOD), 600_000));
        }
        assertNotNull(gate.arrived("k3", from(GOOD), 600_000));
        makeKnown(gate, 2, 600_000);
        gate.arrived("bad", from(2), 600_000);
        gate.asked("bad", false, 600_000);
        gate.asked("bad", false, 600_000);
        gate.arrived("b1", from(2), 600_000);
        gate.arrived("b2", from(2), 600_000);
        assertNotNull(gate.arrived("b3", from(2), 600_000));
    }

    @Test
    void aShortageClosesOneLowersThePlacesAndPausesLongerEachTime() {
        for (int i = 0; i < 6; i++) {
            assertNull(gate.arrived("s" + i, from(10 + i), 0));
        }
        assertEquals("s0", gate.noDescriptor(100));
        double pause = gate.pause();
        gate.left("s0", 100);
        gate.left(gate.noDescriptor(120), 120);
        assertEquals(2 * pause, gate.pause());
        assertEquals(4, gate.open());
        // Four places now, and one more for each second.
        assertNotNull(gate.arrived("more", from(20), 200));
        gate.left("more", 200);
        assertNull(gate.arrived("later", from(20), 1200));
        assertNotNull(gate.arrived("again", from(21), 1300));
        gate.left("again", 1300);
        assertNull(gate.arrived("all", from(21), 60_000));
        gate.noDescriptor(120_000);
        assertEquals(pause, gate.pause(), "a new one begins anew");
    }

    @Test
    void withoutLimitsOnlyThePlacesCount() {
        Gate<Integer> open = new Gate<>(Limits.none(), PHASES, 500);
        for (int i = 0; i < 500; i++) {
            assertNull(open.arrived(i, from(i), i * 0.001));
        }
        assertNotNull(open.arrived(500, from(0), 1));
        assertEquals(1, open.closed(Why.FULL));
    }

    @Test
    void aMillionAddressesCostNoMoreThanWhatIsRemembered() {
        makeKnown(gate, GOOD, 0);
        for (int i = 0; i < 1_000_000; i++) {
            double now = i * 0.01;
            String connection = "c" + i;
            if (gate.arrived(connection, from(100 + i), now) == null) {
                gate.left(connection, now);
            }
            if (i % 100_000 == 0) {
                assertTrue(gate.clients() <= 100, "kept " + gate.clients());
            }
        }
        // The known one is still known: strangers pushed out strangers.
        for (int i = 0; i < 6; i++) {
            assertNull(gate.arrived("k" + i, from(GOOD), 10_000));
        }
    }

    @Test
    void limitsAreChecked() {
        assertThrows(IllegalArgumentException.class, () -> new Limits(WHOLE, 0, 1, 1, 1, 0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(WHOLE, 2, 1, 1, 1, 0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(WHOLE, 1, 1, 0, 1, 0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(WHOLE, 1, 1, 1, 1, -1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(WHOLE, 1, 1, 1, 1, 0, 0, 1));
    }

    // Whatever comes: no taken request is closed, no more is open than there are places, but for those
    // that hold requests, and each client keeps to its cap.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsKeepEveryBound(long seed) {
        Random dice = new Random(seed);
        Limits limits = new Limits(WHOLE, 4, 8, 50, 20, 10, 30, 5000);
        Gate<Integer> all = new Gate<>(limits, PHASES, 20);
        Map<Integer, Phase> open = new HashMap<>();
        Map<Integer, Integer> owner = new HashMap<>();
        int[] turnedAway = new int[Why.values().length];
        double now = 0;
        for (int i = 0; i < 20_000; i++) {
            now += dice.nextDouble() * 10;
            List<Integer> ids = new ArrayList<>(open.keySet());
            if (ids.isEmpty() || dice.nextInt(3) == 0) {
                int client = dice.nextInt(12);
                Integer close = all.arrived(i, from(client), now);
                if (close == null || close != i) {
                    open.put(i, Phase.SILENT);
                    owner.put(i, client);
                }
                if (close != null && close != i) {
                    assertNotEquals(Phase.HELD, open.get(close));
                    open.remove(close);
                }
                if (close != null) {
                    all.left(close, now);
                }
                long held = open.values().stream().filter(p -> p == Phase.HELD).count();
                assertTrue(open.size() <= Math.max(20, held), open::toString);
                assertTrue(open.keySet().stream()
                                .filter(c -> owner.get(c) == client)
                                .count()
                        <= 8);
            } else if (dice.nextInt(200) == 0) {
                Integer close = all.noDescriptor(now);
                if (close != null) {
                    assertNotEquals(Phase.HELD, open.remove(close));
                    all.left(close, now);
                }
            } else {
                Integer id = ids.get(dice.nextInt(ids.size()));
                Phase next =
                        switch (open.get(id)) {
                            case SILENT, IDLE -> Phase.RECEIVING;
                            case RECEIVING -> Phase.HELD;
                            case HELD -> Phase.IDLE;
                        };
                if (next == Phase.IDLE && dice.nextInt(4) == 0) {
                    open.remove(id);
                    all.left(id, now);
                    continue;
                }
                open.put(id, next);
                all.entered(id, next, now);
                if (next == Phase.HELD) {
                    // Some clients ask good requests, and some hardly ever.
                    all.asked(id, owner.get(id) < 6 || dice.nextInt(5) == 0, now);
                }
            }
            assertEquals(open.size(), all.open());
            assertTrue(all.clients() <= limits.remembered() + open.size());
        }
        for (Why why : Why.values()) {
            turnedAway[why.ordinal()] = (int) all.closed(why);
        }
        assertTrue(
                turnedAway[Why.CLIENT_CAP.ordinal()] > 0
                        && turnedAway[Why.FULL.ordinal()] + turnedAway[Why.RESERVE.ordinal()] > 0,
                "it came to that");
    }
}
