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

/** Descriptors by purpose, and their transfer between purposes. */
class BudgetTest {
    private static final Share HALF = new Share(160, 80);

    private final Budget budget = new Budget(Map.of(CLIENTS, HALF, ENDPOINTS, HALF));

    private void refuse(Purpose purpose, int ticks) {
        for (int i = 0; i < ticks; i++) {
            budget.recordRefusal(purpose);
            budget.tick();
        }
    }

    @Test
    void singleRefusalMovesNothing() {
        refuse(CLIENTS, 1);
        budget.tick();
        refuse(CLIENTS, 1);
        assertEquals(160, budget.limit(CLIENTS));
    }

    @Test
    void unusedDescriptorsGoToTheRefusedPurpose() {
        budget.setUsed(ENDPOINTS, 40);
        refuse(CLIENTS, 100);
        // The lender keeps its minimum of half, and its use plus a margin.
        assertEquals(240, budget.limit(CLIENTS));
        assertEquals(80, budget.limit(ENDPOINTS));
    }

    @Test
    void purposeThatUsesItsShareLendsNothing() {
        budget.setUsed(ENDPOINTS, 150);
        refuse(CLIENTS, 100);
        assertEquals(160, budget.limit(CLIENTS));
    }

    @Test
    void lenderRegainsFreeDescriptorsAtOnce() {
        refuse(CLIENTS, 100);
        budget.setUsed(CLIENTS, 230);
        refuse(ENDPOINTS, 1);
        assertEquals(160, budget.limit(CLIENTS));
        assertEquals(90, budget.limit(ENDPOINTS), "70 are still in use by clients");
        budget.setUsed(CLIENTS, 160);
        assertEquals(160, budget.limit(ENDPOINTS));
    }

    @Test
    void borrowedDescriptorsReturnGraduallyWithoutRefusals() {
        refuse(CLIENTS, 100);
        int lent = budget.limit(CLIENTS);
        for (int i = 0; i < 149; i++) {
            budget.tick();
        }
        assertEquals(lent, budget.limit(CLIENTS));
        for (int i = 0; i < 151 * 10; i++) {
            budget.tick();
        }
        assertEquals(160, budget.limit(CLIENTS));
        assertEquals(160, budget.limit(ENDPOINTS));
    }

    @Test
    void fixedBudgetNeverChanges() {
        Budget fixed = Budget.fixed(CLIENTS, 7);
        for (int i = 0; i < 50; i++) {
            fixed.recordRefusal(CLIENTS);
            fixed.tick();
        }
        assertEquals(7, fixed.limit(CLIENTS));
    }

    // The descriptors in use never exceed the sum of the initial shares.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsNeverExceedTheTotal(long seed) {
        Random random = new Random(seed);
        Map<Purpose, Integer> used = new EnumMap<>(Map.of(CLIENTS, 0, ENDPOINTS, 0));
        Map<Purpose, Integer> highest = new EnumMap<>(Map.of(CLIENTS, 0, ENDPOINTS, 0));
        double bias = random.nextDouble();
        for (int i = 0; i < 100_000; i++) {
            if (random.nextInt(2000) == 0) {
                bias = random.nextDouble();
            }
            Purpose purpose = random.nextDouble() < bias ? CLIENTS : ENDPOINTS;
            if (random.nextInt(5) < 3) {
                if (used.get(purpose) < budget.limit(purpose)) {
                    used.merge(purpose, 1, Integer::sum);
                } else {
                    budget.recordRefusal(purpose);
                }
            } else if (used.get(purpose) > 0) {
                used.merge(purpose, -1, Integer::sum);
            }
            budget.setUsed(purpose, used.get(purpose));
            if (random.nextInt(20) == 0) {
                budget.tick();
            }
            highest.merge(purpose, used.get(purpose), Math::max);
            assertTrue(used.get(CLIENTS) + used.get(ENDPOINTS) <= 320, used::toString);
            assertTrue(budget.limit(CLIENTS) >= 1 && budget.limit(ENDPOINTS) >= 1);
        }
        assertTrue(highest.values().stream().anyMatch(h -> h > 160), "no descriptors were moved: " + highest);
    }
}
