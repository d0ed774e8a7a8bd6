package whinlead.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import whinlead.Contract;
import whinlead.Contract.Outcome;
import whinlead.membership.EndpointList;
import whinlead.testbed.DrivenClock;
import whinlead.testbed.Settings;

/** The engine between a scripted front, a scripted transport and a scripted module, without sockets. */
class EngineTest {
    private static final int READ = 0;
    private static final int WRITE = 1;
    private static final double TIMEOUT = 1000;

    private final DrivenClock clock = new DrivenClock();
    private final List<String> log = new ArrayList<>();
    private final List<Integer> lists = new ArrayList<>();
    private final ScriptedModule module = new ScriptedModule();
    private final Engine engine = with(module);
    private final ScriptedTransport transport = new ScriptedTransport();
    private final ScriptedFront front = new ScriptedFront();

    private Engine with(ScriptedModule scripted) {
        return new Engine(
                clock,
                Settings.of(
                        true,
                        Settings.type("read", 1, Contract.Effect.SAFE),
                        Settings.type("write", 1, Contract.Effect.UNSAFE)),
                actions -> {
                    scripted.actions = actions;
                    return scripted;
                },
                list -> lists.add(list.entries().size()),
                log::add);
    }

    private Engine.Held<String> take(int classIndex) {
        return engine.take(new Request(classIndex, -1, TIMEOUT, false), transport, front);
    }

    private void send(String server) {
        module.actions.send(module.requests.get(0), server, 0);
    }

    @Test
    void whatIsServedEndsOnceAndTheModuleHearsThatItIsOver() {
        take(READ);
        send("a");
        assertEquals("a", transport.sent.get(0).endpoint);
        transport.sent.get(0).ends(Outcome.SERVED);
        transport.sent.get(0).ends(Outcome.RESET);
        clock.runTo(10 * TIMEOUT);
        assertEquals(List.of("served answer"), front.ends);
        assertEquals(List.of("request 0", "outcome 0/0 SERVED over"), module.heard);
    }

    @Test
    void anAttemptHasTheRequestsTimeLessTheWayBack() {
        take(READ);
        clock.runTo(100);
        send("a");
        assertEquals(TIMEOUT - 100 - 25, transport.sent.get(0).within);
    }

    @Test
    void whatTheModuleForgetsIsFailedAtItsDeadline() {
        take(READ);
        clock.runTo(TIMEOUT);
        assertEquals(List.of("failed"), front.ends);
        assertEquals(List.of("request 0", "abandoned 0"), module.heard);
        send("a");
        assertTrue(transport.sent.isEmpty(), "nothing goes out for what is over");
    }

    @Test
    void anAttemptOutOfTimeIsGivenUpAndMayHaveRun() {
        take(READ);
        send("a");
        clock.runTo(TIMEOUT);
        assertTrue(transport.sent.get(0).givenUp);
        assertEquals("outcome 0/0 TIMED_OUT", module.heard.get(1));
        assertEquals(List.of("failed"), front.ends);
    }

    @Test
    void anAttemptNeverWrittenWholeIsKnownNotToHaveRun() {
        take(WRITE);
        module.actions.send(module.requests.get(0), "a", 50);
        transport.sent.get(0).written = false;
        clock.runTo(60);
        assertEquals("outcome 0/0 CONNECT_FAILED", module.heard.get(1));
        module.actions.refuse(module.requests.get(0), 300);
        assertEquals(List.of("refused 300"), front.ends);
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsFailedWhereTheModuleWouldRefuseIt() {
        take(WRITE);
        send("a");
        transport.sent.get(0).ends(Outcome.RESET);
        module.actions.refuse(module.requests.get(0), 300);
        module.actions.refuse(module.requests.get(0), 300);
        assertEquals(List.of("failed"), front.ends);
    }

    @Test
    void aSafeRequestMayBeRefusedWhateverRan() {
        take(READ);
        send("a");
        transport.sent.get(0).ends(Outcome.RESET);
        module.actions.refuse(module.requests.get(0), 300);
        assertEquals(List.of("refused 300"), front.ends);
    }

    @Test
    void noMoreAttemptsGoOutThanTheLimit() {
        take(READ);
        for (int i = 0; i < 5; i++) {
            send("a");
        }
        assertEquals(3, transport.sent.size());
        assertEquals("outcome 0/4 NEVER_SENT", module.heard.get(module.heard.size() - 1));
    }

    @Test
    void whatEndsAfterTheRequestIsToldToTheModuleOnly() {
        take(READ);
        send("a");
        send("b");
        transport.sent.get(1).ends(Outcome.SERVED);
        transport.sent.get(0).ends(Outcome.SERVED);
        assertEquals(List.of("served answer"), front.ends);
        assertEquals(List.of("request 0", "outcome 0/1 SERVED over", "outcome 0/0 SERVED over"), module.heard);
    }

    @Test
    void aCallerGoneHearsNothingAndTheModuleHearsItOnce() {
        Engine.Held<String> held = take(READ);
        send("a");
        held.abandon();
        held.abandon();
        send("b");
        assertEquals(1, transport.sent.size(), "nothing goes out for what is over");
        transport.sent.get(0).ends(Outcome.SERVED);
        clock.runTo(10 * TIMEOUT);
        assertEquals(List.of(), front.ends);
        assertEquals(
                List.of("request 0", "abandoned 0", "outcome 0/1 NEVER_SENT over", "outcome 0/0 SERVED over"),
                module.heard);
    }

    @Test
    void oneThatCanNotBeToldDoesNotKeepTheRestFromIt() {
        List<String> told = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int number = i;
            engine.take(new Request(READ, -1, TIMEOUT, false), transport, new ResponseSink<String>() {
                @Override
                public void served(String answer) {
                    told.add("served " + number);
                }

                @Override
                public void refused(double retryAfter) {
                    told.add("refused " + number);
                }

                @Override
                public void failed() {
                    told.add("failed " + number);
                    if (number == 0) {
                        throw new IllegalStateException("its connection is in no state for an answer");
                    }
                }
            });
        }
        engine.failAll();
        assertEquals(
                List.of("failed 0", "failed 1", "failed 2"),
                told.stream().sorted().toList());
        assertEquals(1, log.size());
    }

    @Test
    void whatIsHeldWhenTheProcessEndsIsFailed() {
        take(READ);
        send("a");
        engine.failAll();
        engine.failAll();
        assertEquals(List.of("failed"), front.ends);
    }

    @Test
    void anEventInsideAnEventWaits() {
        ScriptedModule sends = new ScriptedModule() {
            @Override
            public void request(double now, Contract.Request request) {
                actions.send(request, "a", 0);
                super.request(now, request);
            }
        };
        // Ends while it is being sent, as when there is no such endpoint.
        with(sends)
                .take(
                        new Request(READ, -1, TIMEOUT, false),
                        (endpoint, attempt, within, told) -> {
                            told.ended(Outcome.NEVER_SENT, null, null);
                            return () -> false;
                        },
                        front);
        assertEquals(List.of("request 0", "outcome 0/0 NEVER_SENT"), sends.heard);
    }

    @Test
    void aFaultInADecisionIsLoggedAndTheDeadlineEndsTheRequest() {
        ScriptedModule faulty = new ScriptedModule() {
            @Override
            public void request(double now, Contract.Request request) {
                throw new IllegalStateException("on purpose");
            }
        };
        with(faulty).take(new Request(READ, -1, TIMEOUT, false), transport, front);
        assertTrue(log.get(0).startsWith("decision failed: java.lang.IllegalStateException: on purpose"));
        clock.runTo(TIMEOUT);
        assertEquals(List.of("failed"), front.ends);
        assertFalse(faulty.heard.isEmpty());
    }

    @Test
    void aSourceFeedsTheTransportsAndThenTheModule() {
        List<String> watched = new ArrayList<>();
        engine.start(() -> watched.add("watch"), null);
        module.actions.watchServers();
        engine.outOfReach();
        assertEquals(List.of("watch"), watched);
        assertEquals(List.of("start", "servers FAILED 0"), module.heard);
        engine.list(Contract.ListKind.FULL, new EndpointList(1, true, List.of()));
        assertEquals(List.of(0), lists);
        assertEquals("servers FULL 0", module.heard.get(2));
    }
}
