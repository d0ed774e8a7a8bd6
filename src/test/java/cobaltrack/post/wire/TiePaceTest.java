package cobaltrack.post.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** When ties look at their links. */
public class TiePaceTest {
    private static final long EVERY = 300;

    @Test
    public void allTiesOfAProcessLookAtTheSameMoments() {
        Set<Long> moments = new HashSet<>();
        for (long up = 10_000; up < 10_000 + EVERY; up += 7) {
            // Each came up at its own moment.
            long at = up;
            for (int looks = 0; looks < 4; looks++) {
                long wait = Tie.untilNext(at, EVERY);
                assertTrue(wait >= EVERY / 2 && wait <= EVERY * 3 / 2, wait + " ms");
                at += wait;
            }
            moments.add(Math.floorMod(at, EVERY));
        }
        assertEquals(moments.size(), 1);
    }
}
