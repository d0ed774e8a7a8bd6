package whinlead.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Where requests are kept: everywhere the same, evenly, and with little to move. */
class PlacementTest {
    private static final int IDS = 30_000;

    private static List<String> groups(int n) {
        return IntStream.range(0, n).mapToObj(i -> "g" + i).toList();
    }

    /** Two versions that differ in this would each let a request out. */
    @Test
    void whereARequestIsKeptNeverChanges() {
        Placement p = new Placement(groups(33));
        assertEquals(
                List.of("g8", "g18", "g8", "g21"),
                List.of(p.of("r1"), p.of("r2"), p.of("7f3c0a52-job-submit"), p.of("")));
        assertEquals(List.of("p2", "p1", "p3"), Placement.ranked("g0", List.of("p3", "p1", "p2")));
    }

    @Test
    void theOrderOfTheNamesDoesNotMatter() {
        assertEquals(new Placement(List.of("a", "b", "c")).of("x"), new Placement(List.of("c", "a", "b")).of("x"));
        assertThrows(IllegalArgumentException.class, () -> new Placement(List.of()));
    }

    @Test
    void eachGroupKeepsItsShare() {
        for (int n : new int[] {2, 5, 33, 100}) {
            Placement p = new Placement(groups(n));
            Map<String, Integer> kept = new HashMap<>();
            IntStream.range(0, IDS).forEach(i -> kept.merge(p.of("req-" + i), 1, Integer::sum));
            double mean = (double) IDS / n;
            // Five standard deviations of a binomial share.
            double most = mean + 5 * Math.sqrt(mean);
            assertEquals(n, kept.size());
            kept.forEach((g, k) -> assertTrue(k < most && k > 2 * mean - most, n + " groups, " + g + " " + k));
        }
    }

    @Test
    void aGroupThatIsAddedTakesOnlyItsOwnShare() {
        Placement before = new Placement(groups(20));
        Placement after = new Placement(groups(21));
        int moved = 0;
        for (int i = 0; i < IDS; i++) {
            String to = after.of("req-" + i);
            if (!to.equals(before.of("req-" + i))) {
                assertEquals("g20", to);
                moved++;
            }
        }
        assertTrue(moved > 0 && moved < IDS / 21 * 1.2, "moved " + moved);
    }
}
