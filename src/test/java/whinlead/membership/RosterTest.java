package whinlead.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.Contract;

/** Malformed and stale lists, and their effect on the last accepted one. */
class RosterTest {
    private static EndpointList.Entry entry(String id, Contract.ServerState standing) {
        return new EndpointList.Entry(
                new Contract.Server(id, standing, 1, "z", 0, 0), new InetSocketAddress("127.0.0.1", 7001));
    }

    private static EndpointList list(long seq, boolean whole, String... ids) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(entry(id, Contract.ServerState.UP));
        }
        return new EndpointList(seq, whole, entries);
    }

    @Test
    void listWithADuplicateIdIsRejectedButOneWithASharedAddressIsNot() {
        Roster roster = new Roster(list(5, true, "a"));
        assertNotNull(roster.accept(list(6, true, "a", "b", "a")));
        assertEquals(5, roster.acceptedVersion());
        assertNull(roster.accept(list(6, true, "a", "b")));
        assertEquals(6, roster.acceptedVersion());
        assertThrows(IllegalArgumentException.class, () -> new Roster(list(5, true, "a", "a")));
    }

    @Test
    void staleVersionIsRejectedAndTwoInARowRequestTheWholeList() {
        Roster roster = new Roster(list(50, true, "a"));
        assertNotNull(roster.accept(list(49, true, "a", "old")));
        assertEquals(50, roster.acceptedVersion());
        assertNull(roster.accept(list(50, true, "a")), "the same version again does no harm");
        assertNotNull(roster.accept(list(3, false, "a")));
        assertNotNull(roster.accept(list(4, false, "a")));
        assertNull(roster.acceptedVersion(), "the whole list is requested");
        assertNull(roster.accept(list(4, true, "a")));
        assertEquals(4, roster.acceptedVersion());
    }

    @Test
    void endpointsBeyondTheBoundAreRejectedInListsAndChanges() {
        String[] most = new String[Roster.MAX_ENDPOINTS];
        for (int i = 0; i < most.length; i++) {
            most[i] = "s" + i;
        }
        Roster roster = new Roster(null);
        assertNull(roster.accept(list(1, true, most)));
        assertNotNull(roster.accept(list(2, false, "one-more")));
        assertEquals(1, roster.acceptedVersion());
        assertNull(
                roster.accept(new EndpointList(
                        2,
                        false,
                        List.of(entry("s0", Contract.ServerState.GONE), entry("one-more", Contract.ServerState.UP)))),
                "in place of one that is gone");
        String[] more = Arrays.copyOf(most, most.length + 1);
        more[most.length] = "t";
        assertNotNull(roster.accept(list(3, true, more)));
    }

    /** Compares the state of a reader that applies the accepted lists with the true state of the source. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void acceptedListsReproduceTheSourceDespiteStaleAndMalformedLists(long seed) {
        Random random = new Random(seed);
        Map<String, Contract.ServerState> truth = new HashMap<>();
        Map<String, Contract.ServerState> accepted = new HashMap<>();
        List<EndpointList> past = new ArrayList<>();
        Roster roster = new Roster(null);
        long seq = 0;
        int acceptedCount = 0;
        for (int i = 0; i < 3000; i++) {
            String id = "s" + random.nextInt(40);
            Contract.ServerState newStanding = Contract.ServerState.values()[random.nextInt(3)];
            if (newStanding == Contract.ServerState.GONE) {
                truth.remove(id);
            } else {
                truth.put(id, newStanding);
            }
            seq++;
            List<EndpointList.Entry> all = new ArrayList<>();
            truth.forEach((s, standing) -> all.add(entry(s, standing)));
            boolean whole =
                    roster.acceptedVersion() == null || roster.acceptedVersion() < seq - 1 || random.nextInt(4) == 0;
            EndpointList good = new EndpointList(seq, whole, whole ? all : List.of(entry(id, newStanding)));
            EndpointList sent =
                    switch (random.nextInt(6)) {
                        case 0 -> past.isEmpty() ? good : past.get(random.nextInt(past.size()));
                        case 1 -> new EndpointList(seq, true, withDuplicate(all));
                        default -> good;
                    };
            past.add(good);
            Long before = roster.acceptedVersion();
            if (roster.accept(sent) == null) {
                acceptedCount++;
                assertTrue(before == null || sent.seq() >= before, "versions only grow");
                if (sent.whole()) {
                    accepted.clear();
                }
                sent.entries().forEach(e -> {
                    accepted.remove(e.server().id());
                    if (e.server().state() != Contract.ServerState.GONE) {
                        accepted.put(e.server().id(), e.server().state());
                    }
                });
            }
            if (sent == good && roster.acceptedVersion() != null && roster.acceptedVersion() == seq) {
                assertEquals(truth, accepted, "after " + i + " of seed " + seed);
            }
        }
        assertTrue(acceptedCount > 1500, "good lists must be accepted: " + acceptedCount);
    }

    private static List<EndpointList.Entry> withDuplicate(List<EndpointList.Entry> all) {
        List<EndpointList.Entry> more = new ArrayList<>(all);
        more.add(entry("x", Contract.ServerState.UP));
        more.add(entry("x", Contract.ServerState.DRAINING));
        return more;
    }
}
