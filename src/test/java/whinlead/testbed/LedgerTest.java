package whinlead.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** The ledger must see each kind of broken rule: a check that can't fail shows nothing. */
class LedgerTest {
    private static final int SAFE = 0;
    private static final int UNSAFE = 1;
    private final Ledger ledger = new Ledger(List.of(
            Settings.type("safe", 5, Contract.Effect.SAFE), Settings.type("unsafe", 2, Contract.Effect.UNSAFE)));

    @Test
    void aRequestThatNeverEndsIsLost() {
        ledger.asked(1, SAFE, 0, 2000);
        assertEquals(Map.of("lost", 1), ledger.broken());
    }

    @Test
    void aSecondEndAndALateOneAreSeen() {
        ledger.asked(1, SAFE, 0, 2000);
        ledger.ended(1, Ledger.End.FAILED, 2001);
        ledger.ended(1, Ledger.End.SERVED, 2002);
        assertEquals(Map.of("ended twice", 1, "ended after its time", 1), ledger.broken());
    }

    @Test
    void anUnsafeRequestMayRunOnceAndASafeOneOften() {
        for (int id : new int[] {SAFE, UNSAFE}) {
            ledger.asked(id, id, 0, 2000);
            ledger.ran(id);
            ledger.ran(id);
            ledger.ran(id);
            ledger.ended(id, Ledger.End.SERVED, 10);
        }
        assertEquals(Map.of("unsafe ran twice", 1), ledger.broken());
    }

    @Test
    void aRefusalOfWhatRanIsSeenWhicheverComesFirst() {
        ledger.asked(1, UNSAFE, 0, 2000);
        ledger.ran(1);
        ledger.ended(1, Ledger.End.REFUSED, 10);
        ledger.asked(2, UNSAFE, 0, 2000);
        ledger.ended(2, Ledger.End.REFUSED, 10);
        ledger.ran(2);
        assertEquals(Map.of("refused though it ran", 2), ledger.broken());
    }

    @Test
    void countsAreOfTheTimeAsked() {
        ledger.asked(1, SAFE, 0, 2000);
        ledger.ended(1, Ledger.End.SERVED, Settings.AIM + 1);
        ledger.asked(2, SAFE, 100, 2100);
        ledger.ended(2, Ledger.End.REFUSED, 100);
        ledger.asked(3, UNSAFE, 100, 2100);
        ledger.ended(3, Ledger.End.SERVED, 150);
        assertEquals(new Ledger.Count(1, 1, 0, 0, 0, 0), ledger.count(0, 100));
        assertEquals(new Ledger.Count(2, 1, 1, 1, 0, 0), ledger.count(100, 200));
        assertEquals(0.5, ledger.count(100, 200).refusedShare());
        assertEquals(0, ledger.count(200, 300).refusedShare());
    }
}
