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

/** A member's client with a group that replies in time, late or never. */
class ReplicationClientTest {
    private static final double DEADLINE_MS = 1000;
    private static final double VALID_MS = 200;

    private final Calendar clock = new Calendar();
    private final List<Command> commands = new ArrayList<>();
    private final List<Consumer<Reply>> replyListeners = new ArrayList<>();
    private final List<Object> results = new ArrayList<>();
    private final List<String> steps = new ArrayList<>();
    private final Timers timers = new Timers() {
        @Override
        public double nowMs() {
            return clock.nowMs();
        }

        @Override
        public TimerHandle schedule(double millis, Runnable task) {
            Calendar.Event due = clock.schedule(Math.max(0, millis), task);
            return due::cancel;
        }
    };
    private double groupTimeMs;
    private final ReplicationClient.Group group = new ReplicationClient.Group() {
        @Override
        public void submit(Command command, Consumer<Reply> answer) {
            commands.add(command);
            replyListeners.add(answer);
        }

        @Override
        public long time(String id) {
            return (long) groupTimeMs;
        }
    };
    private final ReplicationClient client = new ReplicationClient(
            "a/1",
            timers,
            new ReplicationClient.Timeouts(60, 25, 150, 500, 1000, 5000),
            group,
            (id, ending) -> {},
            (id, step, detail) -> steps.add(id + " " + step + " " + detail));
    private final Keeper.SharedRequest request = client.open("r", "proxy", false, false, DEADLINE_MS);

    private Command lastCommand() {
        return commands.get(commands.size() - 1);
    }

    private void replyToLast(Reply reply) {
        replyListeners.get(replyListeners.size() - 1).accept(reply);
    }

    @Test
    void unansweredCommandIsResubmittedAndItsGrantIsReportedOnce() {
        request.requestAttempt("e", VALID_MS, results::add);
        clock.runUntil(130);
        assertEquals(3, commands.size());
        assertEquals(1, commands.stream().distinct().count());
        replyToLast(new Reply.Granted(4));
        replyListeners.get(0).accept(new Reply.Granted(4));
        clock.runUntil(DEADLINE_MS);
        assertEquals(List.of(new Keeper.Verdict.Granted(4)), results);
        assertEquals(3, commands.size());
    }

    /** Another group's time is known only after the first reply of one of its members. */
    @Test
    void noAttemptIsSubmittedUntilTheGroupTimeIsKnown() {
        groupTimeMs = -1;
        request.requestAttempt("e", VALID_MS, results::add);
        clock.runUntil(59);
        assertEquals(List.of(), commands);
        groupTimeMs = 7000;
        clock.runUntil(61);
        assertEquals(7000 + (long) VALID_MS - 60, ((Command.Allow) lastCommand()).validUntilMs());
        replyToLast(new Reply.Granted(0));
        assertEquals(List.of(new Keeper.Verdict.Granted(0)), results);
    }

    @Test
    void unansweredAttemptIsReportedUnknownAndWithdrawn() {
        request.requestAttempt("e", VALID_MS, results::add);
        clock.runUntil(VALID_MS + 1);
        assertEquals(List.of(new Keeper.Verdict.Unknown()), results);
        assertEquals(new Command.Attempt("a/1", 1), ((Command.Withdraw) lastCommand()).attempt());
    }

    @Test
    void aFullGroupIsReportedAsRefusalOnlyAfterTheGroupAgrees() {
        request.requestAttempt("e", VALID_MS, results::add);
        replyToLast(new Reply.Full());
        assertTrue(results.isEmpty());
        assertEquals(List.of(1L), ((Command.Refuse) lastCommand()).neverRan());
        replyToLast(new Reply.Over(Command.Ending.REFUSED));
        assertEquals(List.of(new Keeper.Verdict.Over(new Directive.Refused(1000))), results);
    }

    @Test
    void cancelledCallerIsNotNotifiedOfAPendingRefusal() {
        request.requestAttempt("e", VALID_MS, results::add);
        replyToLast(new Reply.Late());
        request.cancel();
        replyToLast(new Reply.Over(Command.Ending.REFUSED));
        clock.runUntil(DEADLINE_MS);
        assertEquals(List.of(), results);
    }

    @Test
    void aRefusalReportsTheEndingThatTheGroupKnows() {
        request.end(new Directive.Refused(70), results::add);
        replyToLast(new Reply.Over(Command.Ending.REFUSED));
        request.end(new Directive.Refused(70), results::add);
        replyToLast(new Reply.Over(Command.Ending.SERVED));
        request.end(new Directive.Refused(70), results::add);
        replyToLast(new Reply.Out());
        request.end(new Directive.Refused(70), results::add);
        clock.runUntil(150 + 1);
        assertEquals(
                List.of(
                        new Directive.Refused(70),
                        new Directive.Served(),
                        new Directive.AlreadyOut(),
                        new Directive.Failed()),
                results);
    }

    @Test
    void anEndingWithoutReplyIsReportedBeforeTheDeadline() {
        request.requestAttempt("e", VALID_MS, results::add);
        replyToLast(new Reply.Granted(0));
        results.clear();
        request.end(new Directive.Failed(), results::add);
        clock.runUntil(DEADLINE_MS - 26);
        assertEquals(List.of(), results);
        clock.runUntil(DEADLINE_MS);
        assertEquals(List.of(new Directive.Failed()), results);
    }

    @Test
    void theGroupsEndingOverridesTheRequestedOne() {
        request.requestAttempt("e", VALID_MS, results::add);
        replyToLast(new Reply.Granted(0));
        results.clear();
        request.end(new Directive.Failed(), results::add);
        replyToLast(new Reply.Over(Command.Ending.SERVED));
        assertEquals(List.of(new Directive.Served()), results);
    }

    @Test
    void aGrantReadAfterItsValidityIsWithdrawn() {
        // The process was suspended: its timers have not run yet when the reply is handled.
        double[] nowMs = new double[1];
        ReplicationClient slow = new ReplicationClient(
                "b/1",
                new Timers() {
                    @Override
                    public double nowMs() {
                        return nowMs[0];
                    }

                    @Override
                    public TimerHandle schedule(double millis, Runnable task) {
                        return () -> {};
                    }
                },
                new ReplicationClient.Timeouts(60, 25, 150, 500, 1000, 5000),
                group,
                (id, ending) -> {},
                (id, step, detail) -> {});
        slow.open("s", "proxy", false, false, DEADLINE_MS).requestAttempt("e", VALID_MS, results::add);
        nowMs[0] = VALID_MS + 50;
        replyToLast(new Reply.Granted(0));
        assertTrue(commands.stream().anyMatch(c -> c instanceof Command.Withdraw w && w.id().equals("s")));
        replyToLast(new Reply.Over(Command.Ending.REFUSED));
        assertEquals(List.of(new Keeper.Verdict.Over(new Directive.Refused(1000))), results);
    }

    @Test
    void eachTraceStepCarriesTheRequestId() {
        request.requestAttempt("e", VALID_MS, results::add);
        replyToLast(new Reply.Granted(4));
        request.end(new Directive.Served(), results::add);
        replyToLast(new Reply.Over(Command.Ending.SERVED));
        assertEquals(List.of("r ASKED e", "r GRANTED 4", "r ENDING SERVED", "r ENDED SERVED"), steps);
    }

    @Test
    void aDrainIsSubmittedOnceWhileItIsPending() {
        client.endpointDraining("e");
        client.endpointDraining("e");
        assertEquals(1, commands.size());
        replyToLast(new Reply.Noted());
        client.endpointDraining("e");
        assertEquals(2, commands.size());
    }
}
