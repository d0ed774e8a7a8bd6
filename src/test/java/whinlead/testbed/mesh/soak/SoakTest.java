package whinlead.testbed.mesh.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** One short soak, and that what it checks is found where it is broken. */
public class SoakTest {
    private static final SoakHistory.Limit LIMIT = new SoakHistory.Limit("t", 5000, 10);

    @Test
    public void aShortSoakKeepsTheRules() throws Exception {
        try (SoakRun run = new SoakRun(7, 3)) {
            assertEquals(run.play(25), List.of(), run.summary());
            assertTrue(run.summary().contains(" served"), run.summary());
        }
    }

    private static SoakHistory.Asked asked(String id, boolean repeatable, int status) {
        return new SoakHistory.Asked(id, "t", repeatable, 10_000, 10_100, status);
    }

    /** A request, how often it ran, and what is said of it. */
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {asked("a", false, 200), 2, "TWICE"},
            {asked("a", false, 503), 1, "REFUSED"},
            {asked("a", true, 200), 0, "MIXED"},
            {asked("a", true, 0), 1, "LOST"},
        };
    }

    @Test(dataProvider = "faults")
    public void whatBreaksARuleIsFound(SoakHistory.Asked request, int runs, String rule) {
        SoakHistory history = new SoakHistory();
        history.asked(request);
        for (int i = 0; i < runs; i++) {
            history.ran(new SoakHistory.Ran(request.id(), 10_050));
        }
        List<String> broken = history.broken(LIMIT);
        assertEquals(broken.size(), 1, broken.toString());
        assertTrue(broken.get(0).startsWith(rule), broken.get(0));
    }

    @Test
    public void whatIsInOrderIsNotFound() {
        SoakHistory history = new SoakHistory();
        history.asked(asked("repeated", true, 200));
        history.ran(new SoakHistory.Ran("repeated", 10_010));
        history.ran(new SoakHistory.Ran("repeated", 10_020));
        history.asked(asked("refused", false, 429));
        history.asked(asked("killed", false, 0));
        history.ran(new SoakHistory.Ran("killed", 10_050));
        history.killed(10_060);
        assertEquals(history.broken(LIMIT), List.of());
    }

    @Test
    public void aTenantOverItsLimitIsFoundInAnyWindow() {
        SoakHistory history = new SoakHistory();
        for (int i = 0; i <= 10; i++) {
            history.asked(new SoakHistory.Asked("r" + i, "t", true, 3000 + i * 450, 3000 + i * 450 + 30, 200));
            history.ran(new SoakHistory.Ran("r" + i, 3000 + i * 450 + 20));
        }
        assertEquals(history.mostInWindow(LIMIT), 11);
        assertEquals(history.broken(LIMIT).size(), 1);
    }
}
