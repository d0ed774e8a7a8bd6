package cobaltrack.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltrack.plan.Bounds;
import cobaltrack.plan.Fleet;
import cobaltrack.plan.Load;
import cobaltrack.plan.tool.Description;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The planner's answer beside a real sidecar before stand-ins, briefly; {@code rehearse plan} does it at
 * length.
 */
class PlanDayTest {
    @Test
    void givenArrivalsAreAskedOnceEachByOneOfTheSidecars() throws Exception {
        Description d = Description.of("/cobaltrack/plan/rehearsal.json");
        Load load = new Load(200, d.load().mix(), List.of(), 2000);
        PlanDay day = new PlanDay(d.fleet(), load, Habit.NONE);
        PlanDay.Result said = day.predict(1, load.arrivals(1));
        PlanDay.Result done = day.measure(1, () -> load.arrivals(1), load.length());
        assertEquals(said.worth(), done.worth(), 0.05, "said " + said + ", done " + done);
    }

    @Test
    void anOverloadIsServedAsFarAsThePlannerSays() throws Exception {
        Description d = Description.of("/cobaltrack/plan/rehearsal.json");
        Fleet small = new Fleet(d.fleet().settings(), d.fleet().models(), d.fleet().zones(), 4,
                d.fleet().work(),
                d.fleet().front(), d.fleet().sidecar(), d.fleet().shares(), d.fleet().clients(), List.of());
        Load load = new Load(2 * d.load().perSecond() / Bounds.utilisation(small, d.load()), d.load().mix(),
                List.of(),
                4000);
        PlanDay day = new PlanDay(small, load, Habit.NONE);
        PlanDay.Result said = day.predict(1);
        PlanDay.Result done = day.measure(1);
        assertTrue(said.refused() > 0.2, "an overload: " + said);
        assertEquals(said.worth(), done.worth(), 0.12, "said " + said + ", done " + done);
    }
}
