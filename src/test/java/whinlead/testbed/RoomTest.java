package whinlead.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import whinlead.decide.Decide;

/** The decisions alone, under a driven clock: with room at the endpoints nearly nothing is refused. */
class RoomTest {
    /** A loop that is late by up to so many milliseconds, as on a shared core. */
    private static final double JITTER = 2;

    /** What the endpoints of the days that start in an overload can do a second. */
    private static final double CAPACITY = 600;

    @ParameterizedTest
    @MethodSource("startsInOverload")
    void oneThatStartsInAnOverloadKeepsTheGoodputUp(RoomDay day) {
        Ledger.Count count = day.play(Decide::new, JITTER, 7).count(1000, 8000);
        double goodput = count.good() / (7 * CAPACITY);
        assertTrue(goodput > 0.9, () -> day.name() + ": " + goodput);
    }

    static Stream<RoomDay> startsInOverload() {
        return RoomDay.all().stream().filter(d -> d.name().startsWith("starts-in-overload"));
    }

    @ParameterizedTest
    @MethodSource("whinlead.testbed.RoomDay#all")
    void withRoomNearlyNothingIsRefused(RoomDay day) {
        Ledger ledger = day.play(Decide::new, JITTER, 7);
        assertEquals(Map.of(), ledger.broken(), day.name());
        assertTrue(day.refused(ledger) < RoomDay.MAX_REFUSED, () -> day.name() + ": " + day.refused(ledger));
        assertTrue(
                day.refusedFor(ledger) < RoomDay.BOUND_MS,
                () -> day.name() + ", milliseconds after a change: " + day.refusedFor(ledger));
    }
}
