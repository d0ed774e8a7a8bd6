package whinlead.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import whinlead.consult.Directive;
import whinlead.consult.Keeper;
import whinlead.engine.Timers;
import whinlead.plan.Calendar;

/** A member's side of its promises, before a group that answers, answers late or doesn't. */
class ReplicationClientTest {
    private static final double TIME = 1000;
    private static final double VALID = 200;

    private final Calendar world = new Calendar();
    private final List<Command> asked = new ArrayList<>();
    private final List<Consumer<Reply>> answers = new ArrayList<>();
    private final List<Object> told = new ArrayList<>();
    private final List<String> steps = new ArrayList<>();
    private final Timers timers = new Timers() {
        @Override
        public double now() {
            return world.now();
        }

        @Override
        public Timer after(double millis, Runnable task) {
            Calendar.Due due = world.after(Math.max(0, millis), task);
            return due::cancel;
        }
    };
    private double time;
    private final ReplicationClient.Group group = new ReplicationClient.Group() {
        @Override
        public void submit(Command command, Consumer<Reply> answer) {
            asked.add(command);
            answers.add(answer);
        }

        @Override
        public long time(String id) {
            return (long) time;
        }
    };
    private final ReplicationClient desk = new ReplicationClient(
            "a/1",
            timers,
            new ReplicationClient.Waits(60, 25, 150, 500, 1000, 5000),
            group,
            (id, ending) -> {},
            (id, step, detail) -> steps.add(id + " " + step + " " + detail));
    private final Keeper.Kept kept = desk.open("r", "proxy", false, false, TIME);

    private Command last() {
        return asked.get(asked.size() - 1);
    }

    private void answer(Reply reply) {
        answers.get(answers.size() - 1).accept(reply);
    }

    @Test
    void anAttemptIsToldOnceTheGroupKnowsItAndALostQuestionIsAskedAgain() {
        kept.allow("e", VALID, told::add);
        world.runTo(130);
        assertEquals(3, asked.size());
        assertEquals(1, asked.stream().distinct().count());
        answer(new Reply.Granted(4));
        answers.get(0).accept(new Reply.Granted(4));
        world.runTo(TIME);
        assertEquals(List.of(new Keeper.Verdict.Granted(4)), told);
        assertEquals(3, asked.size());
    }

    /** Another group's time is known only once a member of it has answered. */
    @Test
    void nothingIsAskedForBeforeTheTimeOfTheGroupIsKnownAndItsLimitIsWhatIsLeftThen() {
        time = -1;
        kept.allow("e", VALID, told::add);
        world.runTo(59);
        assertEquals(List.of(), asked);
        time = 7000;
        world.runTo(61);
        assertEquals(7000 + (long) VALID - 60, ((Command.Allow) last()).until());
        answer(new Reply.Granted(0));
        assertEquals(List.of(new Keeper.Verdict.Granted(0)), told);
    }

    @Test
    void whatNobodyAnswersIsNotRefusedAndIsTakenBack() {
        kept.allow("e", VALID, told::add);
        world.runTo(VALID + 1);
        assertEquals(List.of(new Keeper.Verdict.Unknown()), told);
        assertEquals(new Command.Attempt("a/1", 1), ((Command.Withdraw) last()).attempt());
    }

    @Test
    void whatTheGroupTurnsAwayIsRefusedOnlyOnceAllKnowThat() {
        kept.allow("e", VALID, told::add);
        answer(new Reply.Full());
        assertTrue(told.isEmpty());
        assertEquals(List.of(1L), ((Command.Refuse) last()).neverRan());
        answer(new Reply.Over(Command.Ending.REFUSED));
        assertEquals(List.of(new Keeper.Verdict.Over(new Directive.Refused(1000))), told);
    }

    @Test
    void aCallerThatIsGoneHearsNothingOfARefusalThatIsUnderWay() {
        kept.allow("e", VALID, told::add);
        answer(new Reply.Late());
        kept.cancel();
        answer(new Reply.Over(Command.Ending.REFUSED));
        world.runTo(TIME);
        assertEquals(List.of(), told);
    }

    @Test
    void aRefusalOfOnesOwnTellsWhatTheGroupKnows() {
        kept.end(new Directive.Refused(70), told::add);
        answer(new Reply.Over(Command.Ending.REFUSED));
        kept.end(new Directive.Refused(70), told::add);
        answer(new Reply.Over(Command.Ending.SERVED));
        kept.end(new Directive.Refused(70), told::add);
        answer(new Reply.Out());
        kept.end(new Directive.Refused(70), told::add);
        world.runTo(150 + 1);
        assertEquals(
                List.of(
                        new Directive.Refused(70),
                        new Directive.Served(),
                        new Directive.AlreadyOut(),
                        new Directive.Failed()),
                told);
    }

    @Test
    void anEndThatCanNotBeAgreedOnIsToldInTimeAllTheSame() {
        kept.allow("e", VALID, told::add);
        answer(new Reply.Granted(0));
        told.clear();
        kept.end(new Directive.Failed(), told::add);
        world.runTo(TIME - 26);
        assertEquals(List.of(), told);
        world.runTo(TIME);
        assertEquals(List.of(new Directive.Failed()), told);
    }

    @Test
    void anEndThatWasAnotherForAllIsToldAsThat() {
        kept.allow("e", VALID, told::add);
        answer(new Reply.Granted(0));
        told.clear();
        kept.end(new Directive.Failed(), told::add);
        answer(new Reply.Over(Command.Ending.SERVED));
        assertEquals(List.of(new Directive.Served()), told);
    }

    @Test
    void oneThatStoodStillTakesBackWhatItWasGranted() {
        // Its timers have not run yet when the answer is read.
        double[] jump = new double[1];
        ReplicationClient slow = new ReplicationClient(
                "b/1",
                new Timers() {
                    @Override
                    public double now() {
                        return jump[0];
                    }

                    @Override
                    public Timer after(double millis, Runnable task) {
                        return () -> {};
                    }
                },
                new ReplicationClient.Waits(60, 25, 150, 500, 1000, 5000),
                group,
                (id, ending) -> {},
                (id, step, detail) -> {});
        slow.open("s", "proxy", false, false, TIME).allow("e", VALID, told::add);
        jump[0] = VALID + 50;
        answer(new Reply.Granted(0));
        assertTrue(asked.stream().anyMatch(c -> c instanceof Command.Withdraw w && w.id().equals("s")));
        answer(new Reply.Over(Command.Ending.REFUSED));
        assertEquals(List.of(new Keeper.Verdict.Over(new Directive.Refused(1000))), told);
    }

    @Test
    void eachStepIsToldWithTheRequestsId() {
        kept.allow("e", VALID, told::add);
        answer(new Reply.Granted(4));
        kept.end(new Directive.Served(), told::add);
        answer(new Reply.Over(Command.Ending.SERVED));
        assertEquals(List.of("r ASKED e", "r GRANTED 4", "r ENDING SERVED", "r ENDED SERVED"), steps);
    }

    @Test
    void aDrainIsToldOnceWhileItIsOnItsWay() {
        desk.drains("e");
        desk.drains("e");
        assertEquals(1, asked.size());
        answer(new Reply.Noted());
        desk.drains("e");
        assertEquals(2, asked.size());
    }
}
