package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Whether what is refused is refused for another reason than load. */
class ReliefTest {
    private static final double PERIOD = 50;
    private final Relief relief = new Relief();
    private final Node[] subset = {new Node(1, 0)};

    /** Periods in each of which so many are asked for, refused and answered; the last verdict. */
    private double periods(int count, int asked, int refused, int answered) {
        double verdict = 0;
        for (int i = 0; i < count; i++) {
            relief.asked = asked;
            relief.refused = refused;
            relief.answered = answered;
            verdict = relief.period(PERIOD, subset);
        }
        return verdict;
    }

    @Test
    void anOverloadIsNoReliefForTheServersAnswerAllTheyCan() {
        periods(100, 50, 0, 50);
        assertEquals(0, periods(200, 300, 250, 50));
    }

    @Test
    void mostRefusedAndLittleAnsweredIsNotLoad() {
        periods(100, 50, 0, 50);
        assertEquals(0.98, periods(100, 50, 49, 1), 0.01);
    }

    @Test
    void littleAskedForIsNoReasonEither() {
        periods(100, 50, 0, 50);
        assertEquals(0, periods(100, 2, 0, 2), 1e-9);
    }

    @Test
    void serversThatCallThemselvesBusyAreBelieved() {
        periods(100, 50, 0, 50);
        for (int i = 0; i < 100; i++) {
            subset[0].reported.strain(new Contract.Report(Double.NaN, Double.NaN, 0.95, Double.NaN, 20, 0), 0);
        }
        assertEquals(0, periods(100, 50, 49, 1));
        for (int i = 0; i < 100; i++) {
            subset[0].reported.strain(new Contract.Report(Double.NaN, Double.NaN, 0.1, Double.NaN, 20, 0), 0);
        }
        assertTrue(periods(100, 50, 49, 1) > 0.9);
    }
}
