package whinlead.mesh.keys;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Compares the map with an array of values, and merges routes in different orders. */
public class KeyMapTest {
    private static final int KEYS = 64;

    @Test
    public void mapBehavesLikeAnArray() {
        Random random = new Random(3);
        KeyMap<Integer> map = new KeyMap<>();
        Integer[] array = new Integer[KEYS];
        for (int i = 0; i < 5000; i++) {
            int first = random.nextInt(KEYS);
            KeyRange range = new KeyRange(first, first + random.nextInt(KEYS - first));
            int value = random.nextInt(5);
            int operation = random.nextInt(3);
            if (operation == 0) {
                map.put(range, value);
            } else if (operation == 1) {
                map.remove(range);
            } else {
                map.update(range, each -> each == value ? null : each + 1);
            }
            for (int key = range.firstKey(); key <= range.lastKey(); key++) {
                boolean isRemoved = operation == 1 || operation == 2 && (array[key] == null || array[key] == value);
                array[key] = isRemoved ? null : operation == 0 ? value : Integer.valueOf(array[key] + 1);
            }
            assertSame(map, array, range);
        }
    }

    private static void assertSame(KeyMap<Integer> map, Integer[] array, KeyRange range) {
        for (int key = 0; key < KEYS; key++) {
            assertEquals(map.get(key), array[key], "key " + key);
        }
        int covered = 0;
        for (KeyMap.Entry<Integer> each : map.overlapping(range)) {
            covered += each.range().size();
            assertEquals(each.value(), array[each.range().firstKey()]);
        }
        for (KeyRange gap : map.gaps(range)) {
            covered += gap.size();
            assertTrue(array[gap.firstKey()] == null && array[gap.lastKey()] == null);
        }
        assertEquals(covered, range.size());
    }

    @Test
    public void routeWithTheHigherFenceAppliesInAnyOrderOfMerging() {
        List<KeyRoute> routes = List.of(
                new KeyRoute(new KeyRange(0, 100), 1, "a"),
                new KeyRoute(new KeyRange(50, 200), 3, "b"),
                new KeyRoute(new KeyRange(60, 70), 2, "c"));
        for (int first = 0; first < routes.size(); first++) {
            KeyRoutes known = new KeyRoutes();
            for (int i = 0; i < routes.size(); i++) {
                known.merge("s", List.of(routes.get((first + i) % routes.size())), service -> true);
            }
            assertEquals(known.owner("s", 10), "a");
            assertEquals(known.owner("s", 65), "b");
            assertEquals(known.owner("s", 200), "b");
        }
    }

    // Regression: routes of services that had left the configuration were kept, and no further service got any.
    @Test
    public void routesOfFormerServicesMakeRoomForOthers() {
        KeyRoutes known = new KeyRoutes();
        List<KeyRoute> routes = List.of(new KeyRoute(KeyRange.ALL, 1, "a"));
        for (int i = 0; i < 3 * KeyRoutes.MAX_SERVICES; i++) {
            String service = "s-" + i;
            assertTrue(known.merge(service, routes, each -> each.equals(service) || each.equals("s-0")));
            assertEquals(known.owner(service, 10), "a");
            assertEquals(known.owner("s-0", 10), "a", "the service is still configured");
        }
        assertTrue(known.services().size() <= KeyRoutes.MAX_SERVICES);
    }
}
