package whinlead.testbed.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Groups of sidecars under seeded schedules of faults; and that the checker finds what is planted. */
class CopiesDayTest {
    private static final int SCHEDULES = 500;
    private static final int FLEET_SCHEDULES = 200;

    /** Kept, or its level goes with it: consensus tells of each vote, a thousand times a schedule. */
    private static final Logger CONSENSUS = Logger.getLogger("io.microraft");

    @BeforeAll
    static void quiet() {
        CONSENSUS.setLevel(Level.OFF);
    }

    private static int members(long seed) {
        return seed % 3 == 0 ? 5 : 3;
    }

    @Test
    void noScheduleOfFaultsBreaksAPromise() {
        Map<Long, Map<String, Integer>> broken = new TreeMap<>();
        Map<String, Integer> seen = new TreeMap<>();
        LongStream.rangeClosed(1, SCHEDULES)
                .parallel()
                .mapToObj(seed -> Map.entry(seed, CopiesDay.play(seed, members(seed), Bug.NONE)))
                .forEachOrdered(e -> {
                    if (!e.getValue().broken().isEmpty()) {
                        broken.put(e.getKey(), e.getValue().broken());
                    }
                    e.getValue().seen().forEach((k, v) -> seen.merge(k, v, Integer::sum));
                });
        assertEquals(Map.of(), broken);
        assertEquals(0, seen.getOrDefault(CopiesDay.STOPPED, 0));
        // Days on which nothing happens prove nothing.
        for (String what : new String[] {
            "killed",
            "killed with its disk",
            "freeze",
            "cut",
            "bad weather",
            "drain",
            "Granted",
            "Out",
            "Over",
            "Unknown",
            "send",
            "served",
            "fail",
            "refuse",
            "already_out"
        }) {
            assertTrue(seen.getOrDefault(what, 0) > 0, () -> what + " never came: " + seen);
        }
    }

    /** Two groups, processes that pass on what is another group's, and others that take the seats of the lost. */
    @Test
    void noScheduleOfFaultsBreaksAPromiseOfAFleet() {
        Map<Long, Map<String, Integer>> broken = new TreeMap<>();
        Map<String, Integer> seen = new TreeMap<>();
        LongStream.rangeClosed(1, FLEET_SCHEDULES)
                .parallel()
                .mapToObj(seed -> Map.entry(seed, CopiesDay.playFleet(seed, Bug.NONE)))
                .forEachOrdered(e -> {
                    if (!e.getValue().broken().isEmpty()) {
                        broken.put(e.getKey(), e.getValue().broken());
                    }
                    e.getValue().seen().forEach((k, v) -> seen.merge(k, v, Integer::sum));
                });
        assertEquals(Map.of(), broken, seen::toString);
        assertEquals(0, seen.getOrDefault(CopiesDay.STOPPED, 0), seen::toString);
        for (String what : new String[] {
            "killed with its disk",
            "stays away",
            "is asked in as a guest",
            "has no seat any more",
            "Granted",
            "Out",
            "Over",
            "served"
        }) {
            assertTrue(seen.getOrDefault(what, 0) > 0, () -> what + " never came: " + seen);
        }
    }

    /**
     * Schedules that stop a group for good where Member does not guard against a fault of the library: 15 and 22,
     * entries right behind a snapshot; 793, entries that begin before one's end; 56, a piece of a snapshot that was
     * lost; 869, one that knows most but is of a lower term; 329, nobody that looks after the leader.
     */
    @ParameterizedTest
    @ValueSource(longs = {15, 22, 56, 329, 793, 869})
    void whatOnceStoppedAGroupDoesNot(long seed) {
        CopiesDay.Result result = CopiesDay.play(seed, members(seed), Bug.NONE);
        assertEquals(Map.of(), result.broken());
        assertEquals(0, result.seen().getOrDefault(CopiesDay.STOPPED, 0));
    }

    @Test
    void theSameSeedPlaysTheSameSchedule() {
        assertEquals(CopiesDay.play(7, 3, Bug.NONE), CopiesDay.play(7, 3, Bug.NONE));
    }

    @ParameterizedTest
    @CsvSource({"ANSWER_BEFORE_COPY, 1, 100", "VOTE_AFTER_LOST_DISK, 1, 800", "BLIND_TO_STANDING_STILL, 1, 300"})
    void plantedFaultsAreFound(Bug bug, long from, long to) {
        assertFalse(LongStream.rangeClosed(from, to)
                .parallel()
                .allMatch(seed ->
                        CopiesDay.play(seed, members(seed), bug).broken().isEmpty()));
    }
}
