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

/** The engine with a scripted front, transport and module, without sockets. */
class EngineTest {
    private static final int READ = 0;
    private static final int WRITE = 1;
    private static final double TIMEOUT_MS = 1000;

    private final DrivenClock clock = new DrivenClock();
    private final List<String> log = new ArrayList<>();
    private final List<Integer> listSizes = new ArrayList<>();
    private final ScriptedModule module = new ScriptedModule();
    private final Engine engine = engineWith(module);
    private final ScriptedTransport transport = new ScriptedTransport();
    private final ScriptedFront front = new ScriptedFront();

    private Engine engineWith(ScriptedModule scripted) {
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
                list -> listSizes.add(list.entries().size()),
                log::add);
    }

    private Engine.PendingRequest<String> accept(int classIndex) {
        return engine.accept(new Request(classIndex, -1, TIMEOUT_MS, false), transport, front);
    }

    private void send(String server) {
        module.actions.send(module.requests.get(0), server, 0);
    }

    @Test
    void servedRequestEndsOnceAndTheModuleIsNotified() {
        accept(READ);
        send("a");
        assertEquals("a", transport.sent.get(0).endpoint);
        transport.sent.get(0).end(Outcome.SERVED);
        transport.sent.get(0).end(Outcome.RESET);
        clock.runTo(10 * TIMEOUT_MS);
        assertEquals(List.of("served answer"), front.results);
        assertEquals(List.of("request 0", "outcome 0/0 SERVED over"), module.received);
    }

    @Test
    void attemptTimeoutLeavesAMarginForTheAnswer() {
        accept(READ);
        clock.runTo(100);
        send("a");
        assertEquals(TIMEOUT_MS - 100 - 25, transport.sent.get(0).timeoutMs);
    }

    @Test
    void requestWithoutADecisionFailsAtItsDeadline() {
        accept(READ);
        clock.runTo(TIMEOUT_MS);
        assertEquals(List.of("failed"), front.results);
        assertEquals(List.of("request 0", "abandoned 0"), module.received);
        send("a");
        assertTrue(transport.sent.isEmpty(), "no attempt is sent after the request has ended");
    }

    @Test
    void timedOutAttemptIsAbortedAndMayHaveRun() {
        accept(READ);
        send("a");
        clock.runTo(TIMEOUT_MS);
        assertTrue(transport.sent.get(0).aborted);
        assertEquals("outcome 0/0 TIMED_OUT", module.received.get(1));
        assertEquals(List.of("failed"), front.results);
    }

    @Test
    void partlyWrittenAttemptIsKnownNotToHaveRun() {
        accept(WRITE);
        module.actions.send(module.requests.get(0), "a", 50);
        transport.sent.get(0).written = false;
        clock.runTo(60);
        assertEquals("outcome 0/0 CONNECT_FAILED", module.received.get(1));
        module.actions.refuse(module.requests.get(0), 300);
        assertEquals(List.of("refused 300"), front.results);
    }

    @Test
    void unsafeRequestThatMayHaveRunFailsInsteadOfBeingRefused() {
        accept(WRITE);
        send("a");
        transport.sent.get(0).end(Outcome.RESET);
        module.actions.refuse(module.requests.get(0), 300);
        module.actions.refuse(module.requests.get(0), 300);
        assertEquals(List.of("failed"), front.results);
    }

    @Test
    void safeRequestMayBeRefusedAfterItMayHaveRun() {
        accept(READ);
        send("a");
        transport.sent.get(0).end(Outcome.RESET);
        module.actions.refuse(module.requests.get(0), 300);
        assertEquals(List.of("refused 300"), front.results);
    }

    @Test
    void attemptsAreLimited() {
        accept(READ);
        for (int i = 0; i < 5; i++) {
            send("a");
        }
        assertEquals(3, transport.sent.size());
        assertEquals("outcome 0/4 NEVER_SENT", module.received.get(module.received.size() - 1));
    }

    @Test
    void outcomeAfterTheEndGoesToTheModuleOnly() {
        accept(READ);
        send("a");
        send("b");
        transport.sent.get(1).end(Outcome.SERVED);
        transport.sent.get(0).end(Outcome.SERVED);
        assertEquals(List.of("served answer"), front.results);
        assertEquals(List.of("request 0", "outcome 0/1 SERVED over", "outcome 0/0 SERVED over"), module.received);
    }

    @Test
    void abandonedRequestHasNoAnswerAndIsReportedOnce() {
        Engine.PendingRequest<String> pending = accept(READ);
        send("a");
        pending.abandon();
        pending.abandon();
        send("b");
        assertEquals(1, transport.sent.size(), "no attempt is sent after the request has ended");
        transport.sent.get(0).end(Outcome.SERVED);
        clock.runTo(10 * TIMEOUT_MS);
        assertEquals(List.of(), front.results);
        assertEquals(
                List.of("request 0", "abandoned 0", "outcome 0/1 NEVER_SENT over", "outcome 0/0 SERVED over"),
                module.received);
    }

    @Test
    void failAllContinuesAfterASinkThrows() {
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int number = i;
            engine.accept(new Request(READ, -1, TIMEOUT_MS, false), transport, new ResponseSink<String>() {
                @Override
                public void served(String answer) {
                    answers.add("served " + number);
                }

                @Override
                public void refused(double retryAfter) {
                    answers.add("refused " + number);
                }

                @Override
                public void failed() {
                    answers.add("failed " + number);
                    if (number == 0) {
                        throw new IllegalStateException("the connection cannot take an answer");
                    }
                }
            });
        }
        engine.failAll();
        assertEquals(
                List.of("failed 0", "failed 1", "failed 2"),
                answers.stream().sorted().toList());
        assertEquals(1, log.size());
    }

    @Test
    void failAllFailsPendingRequestsOnce() {
        accept(READ);
        send("a");
        engine.failAll();
        engine.failAll();
        assertEquals(List.of("failed"), front.results);
    }

    @Test
    void nestedEventIsQueued() {
        ScriptedModule sendingModule = new ScriptedModule() {
            @Override
            public void request(double now, Contract.Request request) {
                actions.send(request, "a", 0);
                super.request(now, request);
            }
        };
        // Ends during the call that sends it, as for an unknown endpoint.
        engineWith(sendingModule)
                .accept(
                        new Request(READ, -1, TIMEOUT_MS, false),
                        (endpoint, attempt, timeoutMs, listener) -> {
                            listener.ended(Outcome.NEVER_SENT, null, null);
                            return () -> false;
                        },
                        front);
        assertEquals(List.of("request 0", "outcome 0/0 NEVER_SENT"), sendingModule.received);
    }

    @Test
    void exceptionInADecisionIsLoggedAndTheDeadlineEndsTheRequest() {
        ScriptedModule throwingModule = new ScriptedModule() {
            @Override
            public void request(double now, Contract.Request request) {
                throw new IllegalStateException("on purpose");
            }
        };
        engineWith(throwingModule).accept(new Request(READ, -1, TIMEOUT_MS, false), transport, front);
        assertTrue(log.get(0).startsWith("decision failed: java.lang.IllegalStateException: on purpose"));
        clock.runTo(TIMEOUT_MS);
        assertEquals(List.of("failed"), front.results);
        assertFalse(throwingModule.received.isEmpty());
    }

    @Test
    void listGoesToTheTransportsAndTheModule() {
        List<String> watchCalls = new ArrayList<>();
        engine.start(() -> watchCalls.add("watch"), null);
        module.actions.watchServers();
        engine.sourceUnreachable();
        assertEquals(List.of("watch"), watchCalls);
        assertEquals(List.of("start", "servers FAILED 0"), module.received);
        engine.listReceived(Contract.ListKind.FULL, new EndpointList(1, true, List.of()));
        assertEquals(List.of(0), listSizes);
        assertEquals("servers FULL 0", module.received.get(2));
    }
}
