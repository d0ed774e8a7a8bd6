package whinlead.testbed.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The member that was asked dies between each two steps of a request: by points, not by luck. */
class PointsDayTest {
    /** Kept, or its level goes with it. */
    private static final Logger CONSENSUS = Logger.getLogger("io.microraft");

    private static final Set<String> ENDS = Set.of("served", "fail", "refuse");

    @BeforeAll
    static void quiet() {
        CONSENSUS.setLevel(Level.OFF);
    }

    static Stream<PointsDay.Plan> all() {
        List<PointsDay.Plan> plans = new ArrayList<>();
        for (Point at : Point.values()) {
            for (int i = 0; i < 8; i++) {
                plans.add(new PointsDay.Plan(at, 1 + (i & 1), (i & 2) > 0, (i & 4) > 0));
            }
        }
        return plans.stream();
    }

    @ParameterizedTest
    @MethodSource("all")
    void itRunsOnceAtMostAndAllTellTheSameEnd(PointsDay.Plan plan) {
        PointsDay.Result r = PointsDay.play(plan);
        assertEquals(Map.of(), r.broken(), r::toString);
        assertTrue(r.runs() <= 1, r::toString);
        // Where an attempt may be out its proxy hears that until its client's time is up, or else an end.
        boolean mayBeOut = plan.at().compareTo(Point.ASKED) >= 0 && plan.at().compareTo(Point.ENDING) <= 0;
        String last = r.heard().get(r.heard().size() - 1);
        assertTrue(ENDS.contains(last) || mayBeOut && last.equals("already_out"), r::toString);
        if (r.ends().contains("send")) {
            // Nobody knows of it, for nothing of it was ever agreed on: it is sent once, by one of them.
            assertTrue(plan.at().compareTo(Point.ASKED) <= 0 && r.runs() == 0, r::toString);
            assertEquals(1, r.ends().stream().filter("send"::equals).count(), r::toString);
        } else {
            assertEquals(1, r.ends().stream().distinct().count(), r::toString);
            assertTrue(ENDS.contains(r.ends().get(0)), r::toString);
        }
        if (plan.at().compareTo(Point.ENDED) >= 0) {
            assertEquals(Set.of("served"), Set.copyOf(r.ends()), r::toString);
        }
    }
}
