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

/** Consultations on the engine with the real module, under a driven clock. */
class ConsultationsTest {
    private static final int READ = 0;
    private static final int SUBMIT = 1;
    private static final double TIMEOUT = 1000;
    private static final double PICK_UP = 200;
    private static final double REMEMBER = 60_000;
    private static final Contract.Settings SETTINGS = Settings.of(
            true,
            Settings.type("read", 1, Contract.Effect.SAFE),
            Settings.type("job-submit", 1, Contract.Effect.UNSAFE));

    private final DrivenClock clock = new DrivenClock();
    private final List<String> log = new ArrayList<>();
    private final List<Directive> told = new ArrayList<>();
    private final Peer peer = new Peer();
    private Consultations all;
    private Engine engine;

    @BeforeEach
    void start() {
        build(actions -> new Decide(SETTINGS, 7, actions));
    }

    private void build(Function<Contract.Actions, Contract.Events> module) {
        engine = new Engine(clock, SETTINGS, module, list -> all.update(list), log::add);
        all = new Consultations(engine, clock, SETTINGS, new Bounds(10, 4, 8, REMEMBER, PICK_UP), log::add);
        engine.start(() -> {}, list(Contract.Standing.UP));
    }

    private static EndpointList list(Contract.Standing first) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            entries.add(new EndpointList.Entry(
                    new Contract.Server("s" + i, i == 0 ? first : Contract.Standing.UP, 1, "z", 0, 0),
                    EndpointList.address("127.0.0.1:" + (1 + i))));
        }
        return new EndpointList(1, true, entries);
    }

    private void ask(String id, int classIndex) {
        all.ask(peer, id, new Request(classIndex, -1, TIMEOUT, false), told::add);
    }

    private Directive last() {
        return told.get(told.size() - 1);
    }

    private Directive.Send sent() {
        return assertInstanceOf(Directive.Send.class, last());
    }

    private void report(String id, Outcome outcome) {
        Directive.Send send = null;
        for (Directive d : told) {
            send = d instanceof Directive.Send s ? s : send;
        }
        all.outcome(id, send.attempt(), send.endpoint(), outcome, null, told::add);
    }

    @Test
    void whatIsServedIsOverAndLeavesNothingOpen() {
        ask("r", READ);
        Directive.Send send = sent();
        assertEquals(0, send.attempt());
        assertEquals("127.0.0.1:" + (1 + Integer.parseInt(send.endpoint().substring(1))), send.address());
        // A quarter of the grace, so that a caller that obeys it sends nothing to an endpoint drained since.
        assertEquals(250, send.valid());
        report("r", Outcome.SERVED);
        assertEquals(new Directive.Served(), last());
        assertEquals(0, all.open());
        assertEquals(0, peer.open());
    }

    @Test
    void aSafeRequestThatWasResetIsTriedElsewhereInTheSameConsultation() {
        ask("r", READ);
        String first = sent().endpoint();
        report("r", Outcome.RESET);
        assertEquals(1, sent().attempt());
        assertTrue(!sent().endpoint().equals(first));
        report("r", Outcome.SERVED);
        assertEquals(new Directive.Served(), last());
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsFailedAndItsResendTooForAWhile() {
        ask("j", SUBMIT);
        report("j", Outcome.RESET);
        assertEquals(new Directive.Failed(), last());
        ask("j", SUBMIT);
        assertEquals(new Directive.Failed(), last());
        assertEquals(1, all.remembered());
        clock.runTo(REMEMBER + 1);
        ask("j", SUBMIT);
        assertInstanceOf(Directive.Send.class, last());
    }

    @Test
    void aResendBeforeTheOutcomeIsAlreadyOutAndOneAfterItHasTheSameEnd() {
        ask("j", SUBMIT);
        ask("j", SUBMIT);
        assertEquals(new Directive.AlreadyOut(), last());
        report("j", Outcome.SERVED);
        ask("j", SUBMIT);
        assertEquals(new Directive.Served(), last());
        assertEquals(2, all.tally().count(Tally.Kind.JOINED));
        assertEquals(1, told.stream().filter(Directive.Send.class::isInstance).count());
    }

    @Test
    void aRetryWaitsForACallerThatAsksAgainAndIsAFurtherAttempt() {
        ask("r", READ);
        Directive.Send first = sent();
        all.outcome("r", 0, first.endpoint(), Outcome.RESET, null, null);
        assertEquals(1, told.size());
        Peer next = new Peer();
        all.ask(next, "r", new Request(READ, -1, TIMEOUT, false), told::add);
        assertEquals(1, sent().attempt());
        all.gone(peer);
        assertEquals(1, all.open(), "the request went over to the connection that came for it");
        assertEquals(1, next.open());
    }

    @Test
    void aRetryThatNobodyComesForIsTakenBackAndBlamedOnNobody() {
        ask("r", READ);
        all.outcome("r", 0, sent().endpoint(), Outcome.FULL, null, null);
        clock.runTo(TIMEOUT);
        assertTrue(all.tally().count(Tally.Kind.NOT_PICKED_UP) > 0);
        assertEquals(0, all.open());
        assertEquals(1, told.size());
    }

    @Test
    void theEndThatNobodyHeardIsToldToTheProxysNextTry() {
        ask("j", SUBMIT);
        all.outcome("j", 0, sent().endpoint(), Outcome.RESET, null, null);
        ask("j", SUBMIT);
        assertEquals(new Directive.Failed(), last());
    }

    @Test
    void whatIsNeverReportedTimesOutAndALateReportIsDroppedAndCounted() {
        ask("j", SUBMIT);
        clock.runTo(TIMEOUT);
        assertEquals(0, all.open());
        assertEquals(1, all.tally().count(Tally.Kind.NOT_REPORTED));
        report("j", Outcome.SERVED);
        assertEquals(1, all.tally().count(Tally.Kind.LATE));
        assertEquals(new Directive.Failed(), last(), "the one end that it had");
    }

    @Test
    void aReportForAnAttemptThatWasNeverGivenChangesNothing() {
        ask("r", READ);
        all.outcome("r", 5, sent().endpoint(), Outcome.ERROR, null, told::add);
        assertEquals(new Directive.Unknown(), last());
        all.outcome("nobody", 0, null, Outcome.ERROR, null, told::add);
        assertEquals(new Directive.Unknown(), last());
        assertEquals(1, all.tally().count(Tally.Kind.STRAY));
        assertEquals(1, all.tally().count(Tally.Kind.LATE));
        report("r", Outcome.SERVED);
        assertEquals(new Directive.Served(), last());
    }

    @Test
    void whatWasSentElsewhereIsNoEvidenceAndNeverRunsAgain() {
        ask("j", SUBMIT);
        String other = sent().endpoint().equals("s1") ? "s2" : "s1";
        all.outcome("j", 0, other, Outcome.SERVED, null, told::add);
        assertEquals(1, all.tally().count(Tally.Kind.MISDIRECTED));
        assertTrue(log.stream().anyMatch(l -> l.contains("MISDIRECTED")));
        assertEquals(0, all.open());
        ask("j", SUBMIT);
        assertEquals(new Directive.Failed(), last());
    }

    @Test
    void aCallerThatDiesLeavesNothingOpenAndItsUnsafeRequestsDoNotRunAgain() {
        ask("a", SUBMIT);
        ask("b", READ);
        all.gone(peer);
        assertEquals(0, all.open());
        assertEquals(0, peer.open());
        ask("a", SUBMIT);
        assertEquals(new Directive.Failed(), last());
        ask("b", READ);
        assertInstanceOf(Directive.Send.class, last());
    }

    @Test
    void oneCallerHasItsBoundAndOthersAreStillServed() {
        for (int i = 0; i < 5; i++) {
            ask("r" + i, READ);
        }
        assertEquals(new Directive.TooMany(1000), last());
        all.ask(new Peer(), "other", new Request(READ, -1, TIMEOUT, false), told::add);
        assertInstanceOf(Directive.Send.class, last());
        assertEquals(5, all.open());
    }

    @Test
    void aRetryThatWaitsIsTakenBackFromAnEndpointThatDrains() {
        ScriptedModule module = scripted();
        ask("r", READ);
        module.actions.send(module.requests.get(0), "s1", 0);
        all.outcome("r", 0, "s1", Outcome.RESET, null, null);
        module.actions.send(module.requests.get(0), "s0", 0);
        engine.list(Contract.ListKind.FULL, list(Contract.Standing.DRAINING));
        assertTrue(module.heard.contains("outcome 0/1 NEVER_SENT"));
        ask("r", READ);
        assertEquals(new Directive.AlreadyOut(), last());
        module.actions.send(module.requests.get(0), "s0", 0);
        assertEquals("outcome 0/2 NEVER_SENT", module.heard.get(module.heard.size() - 1));
    }

    @Test
    void aRefusalThatNobodyHeardIsToldToTheProxysNextTryAndLaterTheRequestIsNew() {
        ScriptedModule module = scripted();
        ask("r", READ);
        module.actions.send(module.requests.get(0), "s1", 0);
        all.outcome("r", 0, "s1", Outcome.FULL, null, null);
        module.actions.refuse(module.requests.get(0), 300);
        ask("r", READ);
        assertEquals(new Directive.Refused(300), last());
        clock.runTo(PICK_UP + 1);
        ask("r", READ);
        assertEquals(2, module.requests.size());
    }

    @Test
    void anUnsafeRequestThatWasRefusedIsSoForItsProxyWhileTheClientWaitsAndNewForTheClient() {
        ScriptedModule module = scripted();
        ask("j", SUBMIT);
        module.actions.refuse(module.requests.get(0), 300);
        ask("j", SUBMIT);
        assertEquals(new Directive.Refused(300), last());
        assertEquals(1, module.requests.size());
        all.ask(peer, "j", new Request(SUBMIT, -1, TIMEOUT, true), told::add);
        assertEquals(2, module.requests.size());
        module.actions.refuse(module.requests.get(1), 300);
        clock.runTo(TIMEOUT + 1);
        ask("j", SUBMIT);
        assertEquals(3, module.requests.size());
    }

    // In place of the real module.
    private ScriptedModule scripted() {
        ScriptedModule module = new ScriptedModule();
        build(actions -> {
            module.actions = actions;
            return module;
        });
        return module;
    }

    @Test
    void streamingEndsWhatIsOwedAndTheOutcomeStillCounts() {
        ask("j", SUBMIT);
        all.streaming("j", 0);
        assertEquals(1, all.open());
        report("j", Outcome.RESET);
        assertEquals(new Directive.Served(), last());
        assertEquals(0, all.open());
    }

    @Test
    void theMemoryOfEndsIsBounded() {
        for (int i = 0; i < 20; i++) {
            ask("j" + i, SUBMIT);
            report("j" + i, Outcome.SERVED);
        }
        assertEquals(8, all.remembered());
        assertEquals(12, all.tally().count(Tally.Kind.FORGOTTEN));
    }
}
