package whinlead.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static whinlead.admit.Budget.Purpose.CLIENTS;
import static whinlead.admit.Budget.Purpose.ENDPOINTS;

import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.admit.Budget.Purpose;
import whinlead.admit.Budget.Share;

/** Descriptors by purpose, and how they move. */
class BudgetTest {
    private static final Share HALF = new Share(160, 80);

    private final Budget budget = new Budget(Map.of(CLIENTS, HALF, ENDPOINTS, HALF));

    private void refuse(Purpose purpose, int ticks) {
        for (int i = 0; i < ticks; i++) {
            budget.refused(purpose);
            budget.tick();
        }
    }

    @Test
    void oneRefusalMovesNothing() {
        refuse(CLIENTS, 1);
        budget.tick();
        refuse(CLIENTS, 1);
        assertEquals(160, budget.may(CLIENTS));
    }

    @Test
    void whatAnotherDoesNotUseGoesToTheOneThatIsRefused() {
        budget.used(ENDPOINTS, 40);
        refuse(CLIENTS, 100);
        // The lender keeps half, and what it uses with a margin.
        assertEquals(240, budget.may(CLIENTS));
        assertEquals(80, budget.may(ENDPOINTS));
    }

    @Test
    void oneThatUsesItsShareLendsNothing() {
        budget.used(ENDPOINTS, 150);
        refuse(CLIENTS, 100);
        assertEquals(160, budget.may(CLIENTS));
    }

    @Test
    void theLenderHasItBackAtOnceAsFarAsItIsFree() {
        refuse(CLIENTS, 100);
        budget.used(CLIENTS, 230);
        refuse(ENDPOINTS, 1);
        assertEquals(160, budget.may(CLIENTS));
        assertEquals(90, budget.may(ENDPOINTS), "70 are still held by clients");
        budget.used(CLIENTS, 160);
        assertEquals(160, budget.may(ENDPOINTS));
    }

    @Test
    void aCalmTimeGivesItBackByAndBy() {
        refuse(CLIENTS, 100);
        int lent = budget.may(CLIENTS);
        for (int i = 0; i < 149; i++) {
            budget.tick();
        }
        assertEquals(lent, budget.may(CLIENTS));
        for (int i = 0; i < 151 * 10; i++) {
            budget.tick();
        }
        assertEquals(160, budget.may(CLIENTS));
        assertEquals(160, budget.may(ENDPOINTS));
    }

    @Test
    void aFixedOneNeverMoves() {
        Budget fixed = Budget.fixed(CLIENTS, 7);
        for (int i = 0; i < 50; i++) {
            fixed.refused(CLIENTS);
            fixed.tick();
        }
        assertEquals(7, fixed.may(CLIENTS));
    }

    // Whatever comes, no more is ever open than the first shares together.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsNeverExceedTheWhole(long seed) {
        Random dice = new Random(seed);
        Map<Purpose, Integer> used = new EnumMap<>(Map.of(CLIENTS, 0, ENDPOINTS, 0));
        Map<Purpose, Integer> highest = new EnumMap<>(Map.of(CLIENTS, 0, ENDPOINTS, 0));
        double bias = dice.nextDouble();
        for (int i = 0; i < 100_000; i++) {
            if (dice.nextInt(2000) == 0) {
                bias = dice.nextDouble();
            }
            Purpose p = dice.nextDouble() < bias ? CLIENTS : ENDPOINTS;
            if (dice.nextInt(5) < 3) {
                if (used.get(p) < budget.may(p)) {
                    used.merge(p, 1, Integer::sum);
                } else {
                    budget.refused(p);
                }
            } else if (used.get(p) > 0) {
                used.merge(p, -1, Integer::sum);
            }
            budget.used(p, used.get(p));
            if (dice.nextInt(20) == 0) {
                budget.tick();
            }
            highest.merge(p, used.get(p), Math::max);
            assertTrue(used.get(CLIENTS) + used.get(ENDPOINTS) <= 320, used::toString);
            assertTrue(budget.may(CLIENTS) >= 1 && budget.may(ENDPOINTS) >= 1);
        }
        assertTrue(highest.values().stream().anyMatch(h -> h > 160), "it moved: " + highest);
    }
}
