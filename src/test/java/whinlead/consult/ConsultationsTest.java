package whinlead.consult;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import whinlead.Contract;
import whinlead.Contract.Outcome;
import whinlead.decide.Decide;
import whinlead.engine.Engine;
import whinlead.engine.Request;
import whinlead.engine.ScriptedModule;
import whinlead.membership.EndpointList;
import whinlead.testbed.DrivenClock;
import whinlead.testbed.Settings;

/** Consultations on the engine with the real module and a driven clock. */
class ConsultationsTest {
    private static final int READ = 0;
    private static final int SUBMIT = 1;
    private static final double TIMEOUT_MS = 1000;
    private static final double PICK_UP_MS = 200;
    private static final double REMEMBER_MS = 60_000;
    private static final Contract.Settings SETTINGS = Settings.of(
            true,
            Settings.type("read", 1, Contract.Effect.SAFE),
            Settings.type("job-submit", 1, Contract.Effect.UNSAFE));

    private final DrivenClock clock = new DrivenClock();
    private final List<String> log = new ArrayList<>();
    private final List<Directive> directives = new ArrayList<>();
    private final Peer peer = new Peer();
    private Consultations consultations;
    private Engine engine;

    @BeforeEach
    void start() {
        build(actions -> new Decide(SETTINGS, 7, actions));
    }

    private void build(Function<Contract.Actions, Contract.Events> module) {
        engine = new Engine(clock, SETTINGS, module, list -> consultations.update(list), log::add);
        consultations =
                new Consultations(engine, clock, SETTINGS, new Bounds(10, 4, 8, REMEMBER_MS, PICK_UP_MS), log::add);
        engine.start(() -> {}, list(Contract.ServerState.UP));
    }

    private static EndpointList list(Contract.ServerState first) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            entries.add(new EndpointList.Entry(
                    new Contract.Server("s" + i, i == 0 ? first : Contract.ServerState.UP, 1, "z", 0, 0),
                    EndpointList.address("127.0.0.1:" + (1 + i))));
        }
        return new EndpointList(1, true, entries);
    }

    private void ask(String id, int classIndex) {
        consultations.ask(peer, id, new Request(classIndex, -1, TIMEOUT_MS, false), directives::add);
    }

    private Directive lastDirective() {
        return directives.get(directives.size() - 1);
    }

    private Directive.Send lastSend() {
        return assertInstanceOf(Directive.Send.class, lastDirective());
    }

    private void report(String id, Outcome outcome) {
        Directive.Send send = null;
        for (Directive d : directives) {
            send = d instanceof Directive.Send s ? s : send;
        }
        consultations.outcome(id, send.attempt(), send.endpoint(), outcome, null, directives::add);
    }

    @Test
    void servedRequestEndsAndLeavesNothingOpen() {
        ask("r", READ);
        Directive.Send send = lastSend();
        assertEquals(0, send.attempt());
        assertEquals("127.0.0.1:" + (1 + Integer.parseInt(send.endpoint().substring(1))), send.address());
        // A quarter of the grace, so that a conforming caller sends nothing to an endpoint that has drained since.
        assertEquals(250, send.validMs());
        report("r", Outcome.SERVED);
        assertEquals(new Directive.Served(), lastDirective());
        assertEquals(0, consultations.open());
        assertEquals(0, peer.open());
    }

    @Test
    void resetSafeRequestIsRetriedOnAnotherEndpoint() {
        ask("r", READ);
        String first = lastSend().endpoint();
        report("r", Outcome.RESET);
        assertEquals(1, lastSend().attempt());
        assertTrue(!lastSend().endpoint().equals(first));
        report("r", Outcome.SERVED);
        assertEquals(new Directive.Served(), lastDirective());
    }

    @Test
    void unsafeRequestThatMayHaveRunFailsAndSoDoesItsResendUntilForgotten() {
        ask("j", SUBMIT);
        report("j", Outcome.RESET);
        assertEquals(new Directive.Failed(), lastDirective());
        ask("j", SUBMIT);
        assertEquals(new Directive.Failed(), lastDirective());
        assertEquals(1, consultations.remembered());
        clock.runTo(REMEMBER_MS + 1);
        ask("j", SUBMIT);
        assertInstanceOf(Directive.Send.class, lastDirective());
    }

    @Test
    void resendBeforeTheOutcomeIsAlreadyOutAndOneAfterItGetsTheSameEnd() {
        ask("j", SUBMIT);
        ask("j", SUBMIT);
        assertEquals(new Directive.AlreadyOut(), lastDirective());
        report("j", Outcome.SERVED);
        ask("j", SUBMIT);
        assertEquals(new Directive.Served(), lastDirective());
        assertEquals(2, consultations.tally().count(Tally.Kind.JOINED));
        assertEquals(
                1, directives.stream().filter(Directive.Send.class::isInstance).count());
    }

    @Test
    void retryWaitsUntilACallerAsksAgain() {
        ask("r", READ);
        Directive.Send first = lastSend();
        consultations.outcome("r", 0, first.endpoint(), Outcome.RESET, null, null);
        assertEquals(1, directives.size());
        Peer next = new Peer();
        consultations.ask(next, "r", new Request(READ, -1, TIMEOUT_MS, false), directives::add);
        assertEquals(1, lastSend().attempt());
        consultations.abandoned(peer);
        assertEquals(1, consultations.open(), "the request moved to the connection that picked it up");
        assertEquals(1, next.open());
    }

    @Test
    void retryThatIsNotPickedUpIsWithdrawn() {
        ask("r", READ);
        consultations.outcome("r", 0, lastSend().endpoint(), Outcome.FULL, null, null);
        clock.runTo(TIMEOUT_MS);
        assertTrue(consultations.tally().count(Tally.Kind.NOT_PICKED_UP) > 0);
        assertEquals(0, consultations.open());
        assertEquals(1, directives.size());
    }

    @Test
    void undeliveredFailureIsReturnedToTheNextAsk() {
        ask("j", SUBMIT);
        consultations.outcome("j", 0, lastSend().endpoint(), Outcome.RESET, null, null);
        ask("j", SUBMIT);
        assertEquals(new Directive.Failed(), lastDirective());
    }

    @Test
    void unreportedAttemptTimesOutAndALateReportIsCounted() {
        ask("j", SUBMIT);
        clock.runTo(TIMEOUT_MS);
        assertEquals(0, consultations.open());
        assertEquals(1, consultations.tally().count(Tally.Kind.NOT_REPORTED));
        report("j", Outcome.SERVED);
        assertEquals(1, consultations.tally().count(Tally.Kind.LATE));
        assertEquals(new Directive.Failed(), lastDirective(), "the request has only one end");
    }

    @Test
    void reportOnAnUnknownAttemptChangesNothing() {
        ask("r", READ);
        consultations.outcome("r", 5, lastSend().endpoint(), Outcome.ERROR, null, directives::add);
        assertEquals(new Directive.Unknown(), lastDirective());
        consultations.outcome("nobody", 0, null, Outcome.ERROR, null, directives::add);
        assertEquals(new Directive.Unknown(), lastDirective());
        assertEquals(1, consultations.tally().count(Tally.Kind.STRAY));
        assertEquals(1, consultations.tally().count(Tally.Kind.LATE));
        report("r", Outcome.SERVED);
        assertEquals(new Directive.Served(), lastDirective());
    }

    @Test
    void reportFromAnotherEndpointIsIgnoredAndTheRequestDoesNotRunAgain() {
        ask("j", SUBMIT);
        String other = lastSend().endpoint().equals("s1") ? "s2" : "s1";
        consultations.outcome("j", 0, other, Outcome.SERVED, null, directives::add);
        assertEquals(1, consultations.tally().count(Tally.Kind.MISDIRECTED));
        assertTrue(log.stream().anyMatch(l -> l.contains("MISDIRECTED")));
        assertEquals(0, consultations.open());
        ask("j", SUBMIT);
        assertEquals(new Directive.Failed(), lastDirective());
    }

    @Test
    void lostCallerLeavesNothingOpenAndItsUnsafeRequestsDoNotRunAgain() {
        ask("a", SUBMIT);
        ask("b", READ);
        consultations.abandoned(peer);
        assertEquals(0, consultations.open());
        assertEquals(0, peer.open());
        ask("a", SUBMIT);
        assertEquals(new Directive.Failed(), lastDirective());
        ask("b", READ);
        assertInstanceOf(Directive.Send.class, lastDirective());
    }

    @Test
    void callerAtItsBoundDoesNotBlockOthers() {
        for (int i = 0; i < 5; i++) {
            ask("r" + i, READ);
        }
        assertEquals(new Directive.TooMany(1000), lastDirective());
        consultations.ask(new Peer(), "other", new Request(READ, -1, TIMEOUT_MS, false), directives::add);
        assertInstanceOf(Directive.Send.class, lastDirective());
        assertEquals(5, consultations.open());
    }

    @Test
    void waitingRetryIsWithdrawnFromADrainingEndpoint() {
        ScriptedModule module = scripted();
        ask("r", READ);
        module.actions.send(module.requests.get(0), "s1", 0);
        consultations.outcome("r", 0, "s1", Outcome.RESET, null, null);
        module.actions.send(module.requests.get(0), "s0", 0);
        engine.listReceived(Contract.ListKind.FULL, list(Contract.ServerState.DRAINING));
        assertTrue(module.received.contains("outcome 0/1 NEVER_SENT"));
        ask("r", READ);
        assertEquals(new Directive.AlreadyOut(), lastDirective());
        module.actions.send(module.requests.get(0), "s0", 0);
        assertEquals("outcome 0/2 NEVER_SENT", module.received.get(module.received.size() - 1));
    }

    @Test
    void undeliveredRefusalIsReturnedToTheNextAskUntilPickUpTimeIsOver() {
        ScriptedModule module = scripted();
        ask("r", READ);
        module.actions.send(module.requests.get(0), "s1", 0);
        consultations.outcome("r", 0, "s1", Outcome.FULL, null, null);
        module.actions.refuse(module.requests.get(0), 300);
        ask("r", READ);
        assertEquals(new Directive.Refused(300), lastDirective());
        clock.runTo(PICK_UP_MS + 1);
        ask("r", READ);
        assertEquals(2, module.requests.size());
    }

    @Test
    void refusedUnsafeRequestStaysRefusedUntilItsClientRepeatsItOrItsTimeIsOver() {
        ScriptedModule module = scripted();
        ask("j", SUBMIT);
        module.actions.refuse(module.requests.get(0), 300);
        ask("j", SUBMIT);
        assertEquals(new Directive.Refused(300), lastDirective());
        assertEquals(1, module.requests.size());
        consultations.ask(peer, "j", new Request(SUBMIT, -1, TIMEOUT_MS, true), directives::add);
        assertEquals(2, module.requests.size());
        module.actions.refuse(module.requests.get(1), 300);
        clock.runTo(TIMEOUT_MS + 1);
        ask("j", SUBMIT);
        assertEquals(3, module.requests.size());
    }

    // Replaces the real module.
    private ScriptedModule scripted() {
        ScriptedModule module = new ScriptedModule();
        build(actions -> {
            module.actions = actions;
            return module;
        });
        return module;
    }

    @Test
    void streamingEndsTheRequestAndTheOutcomeIsStillReceived() {
        ask("j", SUBMIT);
        consultations.streaming("j", 0);
        assertEquals(1, consultations.open());
        report("j", Outcome.RESET);
        assertEquals(new Directive.Served(), lastDirective());
        assertEquals(0, consultations.open());
    }

    @Test
    void rememberedEndsAreBounded() {
        for (int i = 0; i < 20; i++) {
            ask("j" + i, SUBMIT);
            report("j" + i, Outcome.SERVED);
        }
        assertEquals(8, consultations.remembered());
        assertEquals(12, consultations.tally().count(Tally.Kind.FORGOTTEN));
    }
}
