package whinlead.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Requests are placed the same everywhere, evenly, and with few moves when groups change. */
class PlacementTest {
    private static final int ID_COUNT = 30_000;

    private static List<String> groups(int count) {
        return IntStream.range(0, count).mapToObj(i -> "g" + i).toList();
    }

    /** Two versions with different placements could each grant an attempt at the same request. */
    @Test
    void placementIsTheSameInAllVersions() {
        Placement placement = new Placement(groups(33));
        assertEquals(
                List.of("g8", "g18", "g8", "g21"),
                List.of(
                        placement.groupOf("r1"),
                        placement.groupOf("r2"),
                        placement.groupOf("7f3c0a52-job-submit"),
                        placement.groupOf("")));
        assertEquals(List.of("p2", "p1", "p3"), Placement.ranked("g0", List.of("p3", "p1", "p2")));
    }

    @Test
    void theOrderOfTheGroupNamesDoesNotMatter() {
        assertEquals(
                new Placement(List.of("a", "b", "c")).groupOf("x"), new Placement(List.of("c", "a", "b")).groupOf("x"));
        assertThrows(IllegalArgumentException.class, () -> new Placement(List.of()));
    }

    @Test
    void idsAreSpreadEvenlyOverGroups() {
        for (int groupCount : new int[] {2, 5, 33, 100}) {
            Placement placement = new Placement(groups(groupCount));
            Map<String, Integer> idsByGroup = new HashMap<>();
            IntStream.range(0, ID_COUNT).forEach(i -> idsByGroup.merge(placement.groupOf("req-" + i), 1, Integer::sum));
            double mean = (double) ID_COUNT / groupCount;
            // Five standard deviations of a binomial share.
            double maximum = mean + 5 * Math.sqrt(mean);
            assertEquals(groupCount, idsByGroup.size());
            idsByGroup.forEach((group, ids) -> assertTrue(
                    ids < maximum && ids > 2 * mean - maximum, groupCount + " groups, " + group + " " + ids));
        }
    }

    @Test
    void anAddedGroupTakesOnlyItsOwnShare() {
        Placement before = new Placement(groups(20));
        Placement after = new Placement(groups(21));
        int moved = 0;
        for (int i = 0; i < ID_COUNT; i++) {
            String group = after.groupOf("req-" + i);
            if (!group.equals(before.groupOf("req-" + i))) {
                assertEquals("g20", group);
                moved++;
            }
        }
        assertTrue(moved > 0 && moved < ID_COUNT / 21 * 1.2, "moved " + moved);
    }
}
