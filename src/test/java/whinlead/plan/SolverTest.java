package whinlead.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.Contract;

/** Tests the search for the least number of fronts under noise and where service does not increase with fronts. */
class SolverTest {
    private static final Solver.SearchBounds BOUNDS = new Solver.SearchBounds(1, 64, 4, 32, 2000, 2);

    private static Solver.Trial noisy(IntToDoubleFunction service, double noise) {
        return (n, seeds) -> {
            double[] values = new double[seeds.length];
            for (int i = 0; i < values.length; i++) {
                values[i] = service.applyAsDouble(n) + noise * new Random(seeds[i] * 31 + n).nextGaussian();
            }
            return values;
        };
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 8, 16, 31, 60})
    void leastFrontCountIsFoundUnderNoise(int wanted) {
        Solver.Result a = new Solver(noisy(n -> n >= wanted ? 0.97 : 0.93, 0.01), 0.95, BOUNDS).solve();
        assertEquals(wanted, a.fronts());
        assertTrue(a.certain());
    }

    @Test
    void resultIsZeroWhenNoCountMeetsGoal() {
        Solver.Result a = new Solver(noisy(n -> 0.9, 0.01), 0.95, BOUNDS).solve();
        assertEquals(0, a.fronts());
        assertFalse(a.certain());
        assertEquals(Solver.Verdict.MISSED, a.points().get(64).verdict());
    }

    @Test
    void isolatedCountThatMeetsGoalIsRejected() {
        // For example where a few fronts happen to be of the fast model: three and eight meet the goal, four and
        // nine do not.
        Solver.Result a =
                new Solver(noisy(n -> n == 3 || n == 8 || n >= 21 ? 0.97 : 0.93, 0.002), 0.95, BOUNDS).solve();
        assertEquals(21, a.fronts());
    }

    @Test
    void leastCountIsFoundWhenServiceFallsAgainWithMoreFronts() {
        // Handshakes and few observations of each front: above 24 fronts the goal is missed again.
        Solver.Result a = new Solver(noisy(n -> n >= 12 && n <= 24 ? 0.97 : 0.9, 0.002), 0.95, BOUNDS).solve();
        assertTrue(a.fronts() == 12, "found " + a.fronts() + " of " + a.points().keySet());
    }

    @Test
    void goalWithinNoiseStaysUndecidedWithinRunLimit() {
        int[] runs = new int[1];
        Solver.Trial exact = noisy(n -> 0.95, 0.05);
        Solver.Result a = new Solver(
                        (n, seeds) -> {
                            runs[0] += seeds.length;
                            return exact.service(n, seeds);
                        },
                        0.95,
                        new Solver.SearchBounds(1, 64, 4, 16, 100, 1))
                .solve();
        assertFalse(a.certain() && a.fronts() > 1, "certain of " + a.fronts());
        assertTrue(runs[0] <= 100 + 16, "runs: " + runs[0]);
    }

    @Test
    void sameSeedsAreUsedForEachCount() {
        new Solver(
                        (n, seeds) -> {
                            assertEquals(1, seeds[0] % 4, "each batch of seeds continues after the previous one");
                            double[] v = new double[seeds.length];
                            java.util.Arrays.fill(v, n >= 5 ? 1 : 0);
                            return v;
                        },
                        0.5,
                        BOUNDS)
                .solve();
    }

    @Test
    void invalidBoundsAreRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Solver(
                        (n, s) -> s == null ? null : new double[0], 1, new Solver.SearchBounds(1, 4, 1, 4, 10, 1)));
    }

    @Test
    void solvedFrontCountIsNearCapacityEstimate() {
        Fleet f = Fleets.fleet(3, Contract.Reporting.WITH_ANSWERS);
        Load load = Fleets.load(f, 0.5, 8000);
        Solver.Result a = new Solver(
                        (n, seeds) -> {
                            double[] v = new double[seeds.length];
                            for (int i = 0; i < v.length; i++) {
                                v[i] = new Simulation(f.fronts(n), seeds[i])
                                        .run(load.arrivals(seeds[i]))
                                        .worth();
                            }
                            return v;
                        },
                        0.97,
                        new Solver.SearchBounds(1, 24, 3, 6, 300, 1))
                .solve();
        // The load needs the capacity of six fronts; fewer cannot serve it, and twice as many suffice.
        assertTrue(a.fronts() >= 6 && a.fronts() <= 12, "fronts: " + a.fronts() + " " + a.points());
    }
}
