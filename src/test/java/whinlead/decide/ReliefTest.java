package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Whether refusals that load does not explain are detected. */
class ReliefTest {
    private static final double PERIOD_MS = 50;
    private final Relief relief = new Relief();
    private final Node[] subset = {new Node(1, 0)};

    /** Runs periods with these counts each, and returns the last result. */
    private double runPeriods(int count, int requests, int refused, int answered) {
        double refusedShare = 0;
        for (int i = 0; i < count; i++) {
            relief.requests = requests;
            relief.refused = refused;
            relief.answered = answered;
            refusedShare = relief.endPeriod(PERIOD_MS, subset);
        }
        return refusedShare;
    }

    @Test
    void overloadIsNotReportedAsRefusedWithoutLoad() {
        runPeriods(100, 50, 0, 50);
        assertEquals(0, runPeriods(200, 300, 250, 50));
    }

    @Test
    void mostRefusedAndLittleAnsweredIsNotLoad() {
        runPeriods(100, 50, 0, 50);
        assertEquals(0.98, runPeriods(100, 50, 49, 1), 0.01);
    }

    @Test
    void lowTrafficIsNotReported() {
        runPeriods(100, 50, 0, 50);
        assertEquals(0, runPeriods(100, 2, 0, 2), 1e-9);
    }

    @Test
    void reportedHighUtilCountsAsLoad() {
        runPeriods(100, 50, 0, 50);
        for (int i = 0; i < 100; i++) {
            subset[0].reported.excessLoad(new Contract.Report(Double.NaN, Double.NaN, 0.95, Double.NaN, 20, 0), 0);
        }
        assertEquals(0, runPeriods(100, 50, 49, 1));
        for (int i = 0; i < 100; i++) {
            subset[0].reported.excessLoad(new Contract.Report(Double.NaN, Double.NaN, 0.1, Double.NaN, 20, 0), 0);
        }
        assertTrue(runPeriods(100, 50, 49, 1) > 0.9);
    }
}
