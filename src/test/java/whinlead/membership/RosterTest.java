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

/** Lists that no source should send, and what they leave of the last good one. */
class RosterTest {
    private static EndpointList.Entry entry(String id, Contract.Standing standing) {
        return new EndpointList.Entry(
                new Contract.Server(id, standing, 1, "z", 0, 0), new InetSocketAddress("127.0.0.1", 7001));
    }

    private static EndpointList list(long seq, boolean whole, String... ids) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(entry(id, Contract.Standing.UP));
        }
        return new EndpointList(seq, whole, entries);
    }

    @Test
    void twoEntriesOfOneIdSpoilTheListAndTwoIdsAtOneAddressDoNot() {
        Roster roster = new Roster(list(5, true, "a"));
        assertNotNull(roster.take(list(6, true, "a", "b", "a")));
        assertEquals(5, roster.after());
        assertNull(roster.take(list(6, true, "a", "b")));
        assertEquals(6, roster.after());
        assertThrows(IllegalArgumentException.class, () -> new Roster(list(5, true, "a", "a")));
    }

    @Test
    void oneVersionThatGoesBackwardsIsNotBelievedAndTwoInARowAreASourceThatCountsAnew() {
        Roster roster = new Roster(list(50, true, "a"));
        assertNotNull(roster.take(list(49, true, "a", "old")));
        assertEquals(50, roster.after());
        assertNull(roster.take(list(50, true, "a")), "the same version again does no harm");
        assertNotNull(roster.take(list(3, false, "a")));
        assertNotNull(roster.take(list(4, false, "a")));
        assertNull(roster.after(), "the whole list is asked for");
        assertNull(roster.take(list(4, true, "a")));
        assertEquals(4, roster.after());
    }

    @Test
    void thousandsAreTakenAndBeyondTheBoundNoneByListsOrByChanges() {
        String[] most = new String[Roster.MAX_ENDPOINTS];
        for (int i = 0; i < most.length; i++) {
            most[i] = "s" + i;
        }
        Roster roster = new Roster(null);
        assertNull(roster.take(list(1, true, most)));
        assertNotNull(roster.take(list(2, false, "one-more")));
        assertEquals(1, roster.after());
        assertNull(
                roster.take(new EndpointList(
                        2,
                        false,
                        List.of(entry("s0", Contract.Standing.GONE), entry("one-more", Contract.Standing.UP)))),
                "in place of one that is gone");
        String[] more = Arrays.copyOf(most, most.length + 1);
        more[most.length] = "t";
        assertNotNull(roster.take(list(3, true, more)));
    }

    /** What a reader holds that heeds what is believed, beside a source that is told truly. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void whatIsGoneStaysGoneWhateverElseIsSent(long seed) {
        Random dice = new Random(seed);
        Map<String, Contract.Standing> truth = new HashMap<>();
        Map<String, Contract.Standing> held = new HashMap<>();
        List<EndpointList> past = new ArrayList<>();
        Roster roster = new Roster(null);
        long seq = 0;
        int believed = 0;
        for (int i = 0; i < 3000; i++) {
            String id = "s" + dice.nextInt(40);
            Contract.Standing now = Contract.Standing.values()[dice.nextInt(3)];
            if (now == Contract.Standing.GONE) {
                truth.remove(id);
            } else {
                truth.put(id, now);
            }
            seq++;
            List<EndpointList.Entry> all = new ArrayList<>();
            truth.forEach((s, standing) -> all.add(entry(s, standing)));
            boolean whole = roster.after() == null || roster.after() < seq - 1 || dice.nextInt(4) == 0;
            EndpointList good = new EndpointList(seq, whole, whole ? all : List.of(entry(id, now)));
            EndpointList sent =
                    switch (dice.nextInt(6)) {
                        case 0 -> past.isEmpty() ? good : past.get(dice.nextInt(past.size()));
                        case 1 -> new EndpointList(seq, true, twice(all));
                        default -> good;
                    };
            past.add(good);
            Long before = roster.after();
            if (roster.take(sent) == null) {
                believed++;
                assertTrue(before == null || sent.seq() >= before, "versions only grow");
                if (sent.whole()) {
                    held.clear();
                }
                sent.entries().forEach(e -> {
                    held.remove(e.server().id());
                    if (e.server().standing() != Contract.Standing.GONE) {
                        held.put(e.server().id(), e.server().standing());
                    }
                });
            }
            if (sent == good && roster.after() != null && roster.after() == seq) {
                assertEquals(truth, held, "after " + i + " of seed " + seed);
            }
        }
        assertTrue(believed > 1500, "good lists are believed: " + believed);
    }

    private static List<EndpointList.Entry> twice(List<EndpointList.Entry> all) {
        List<EndpointList.Entry> more = new ArrayList<>(all);
        more.add(entry("x", Contract.Standing.UP));
        more.add(entry("x", Contract.Standing.DRAINING));
        return more;
    }
}
