package whinlead.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.replication.Command.Attempt;
import whinlead.replication.Command.AttemptOutcome;
import whinlead.replication.Command.Ending;
import whinlead.replication.Command.Guard;

/** The replicated state machine, command by command. */
class ReplicatedStateTest {
    private static final long REMAINING_MS = 1000;
    private static final ReplicatedState.Limits LIMITS = new ReplicatedState.Limits(8, 5, 2, 3000);

    private final ReplicatedState state = new ReplicatedState(LIMITS);

    private static Command.Allow allow(String id, Guard guard, String owner, long number, Long... neverRan) {
        return new Command.Allow(
                id,
                "proxy",
                guard,
                new Attempt(owner, number),
                List.of(neverRan),
                "e",
                REMAINING_MS,
                Long.MAX_VALUE,
                false);
    }

    private Reply tickAndLookUp(long time, String id) {
        state.apply(time, new Command.Tick());
        return state.lookUp(id);
    }

    private static Command.End end(String id, Ending ending, String owner, Long... neverRan) {
        return new Command.End(id, ending, owner, List.of(neverRan));
    }

    @Test
    void unsafeRequestIsGrantedAgainOnlyIfTheEarlierAttemptNeverRan() {
        assertEquals(new Reply.Granted(0), state.apply(0, allow("r", Guard.UNSAFE, "a", 1)));
        assertEquals(new Reply.Out(), state.apply(1, allow("r", Guard.UNSAFE, "a", 2)));
        assertEquals(new Reply.Out(), state.apply(1, allow("r", Guard.UNSAFE, "b", 1)));
        assertEquals(new Reply.Granted(1), state.apply(2, allow("r", Guard.UNSAFE, "a", 2, 1L)));
        assertEquals(new Reply.Out(), state.apply(2, allow("r", Guard.UNSAFE, "b", 1, 1L)));
    }

    @Test
    void keyedRequestIsGrantedAgainOnlyToTheSameOwner() {
        state.apply(0, allow("r", Guard.KEYED, "a", 1));
        assertEquals(new Reply.Out(), state.apply(1, allow("r", Guard.KEYED, "a#2", 1)));
        assertEquals(new Reply.Granted(1), state.apply(1, allow("r", Guard.KEYED, "a", 2)));
    }

    @Test
    void duplicateAllowIsGrantedOnce() {
        state.apply(0, allow("r", Guard.UNSAFE, "a", 1));
        assertEquals(new Reply.Granted(0), state.apply(0, allow("r", Guard.UNSAFE, "a", 1)));
        assertEquals(1, state.snapshot().entries().get(0).attempts().size());
    }

    @Test
    void anAttemptWithdrawnBeforeItsAllowIsNotGranted() {
        state.apply(0, new Command.Withdraw("r", new Attempt("a", 1), REMAINING_MS));
        assertEquals(new Reply.Late(), state.apply(0, allow("r", Guard.UNSAFE, "a", 1)));
        assertEquals(new Reply.Granted(1), state.apply(0, allow("r", Guard.UNSAFE, "b", 7)));
    }

    @Test
    void refusedRequestIsNotGrantedUnlessItsClientRetries() {
        Command.Refuse refuse = new Command.Refuse("r", "proxy", Guard.UNSAFE, "a", List.of(), REMAINING_MS);
        assertEquals(new Reply.Over(Ending.REFUSED), state.apply(0, refuse));
        assertEquals(new Reply.Over(Ending.REFUSED), state.apply(1, allow("r", Guard.UNSAFE, "b", 1)));
        assertEquals(
                new Reply.Granted(0),
                state.apply(
                        2,
                        new Command.Allow(
                                "r",
                                "proxy",
                                Guard.UNSAFE,
                                new Attempt("b", 2),
                                List.of(),
                                "e",
                                REMAINING_MS,
                                Long.MAX_VALUE,
                                true)));
        assertEquals(new Reply.Out(), state.apply(3, refuse));
        state.apply(3, new Command.Refuse("s", "proxy", Guard.UNSAFE, "a", List.of(), 10));
        assertEquals(new Reply.Free(), tickAndLookUp(13, "s"));
    }

    @Test
    void refusalsFillAtMostAQuarterOfTheCapacity() {
        for (int i = 0; i < 20; i++) {
            state.apply(0, new Command.Refuse("x" + i, "proxy", Guard.UNSAFE, "a", List.of(), REMAINING_MS));
        }
        assertEquals(LIMITS.requests() / 4, state.size());
        ReplicatedState copy = new ReplicatedState(LIMITS);
        copy.restore(state.snapshot());
        assertEquals(
                new Reply.Full(),
                copy.apply(1, new Command.Refuse("y", "proxy", Guard.UNSAFE, "a", List.of(), REMAINING_MS)));
        assertEquals(new Reply.Granted(0), state.apply(1, allow("r", Guard.UNSAFE, "a", 1)));
        state.apply(REMAINING_MS, new Command.Tick());
        assertEquals(
                new Reply.Over(Ending.REFUSED),
                state.apply(
                        REMAINING_MS, new Command.Refuse("y", "proxy", Guard.UNSAFE, "a", List.of(), REMAINING_MS)));
    }

    @Test
    void aRequestThatMayHaveRunIsNotRefused() {
        state.apply(0, allow("r", Guard.UNSAFE, "a", 1));
        assertEquals(
                new Reply.Out(),
                state.apply(1, new Command.Refuse("r", "proxy", Guard.UNSAFE, "b", List.of(1L), REMAINING_MS)));
        assertEquals(
                new Reply.Over(Ending.REFUSED),
                state.apply(1, new Command.Refuse("r", "proxy", Guard.UNSAFE, "a", List.of(1L), REMAINING_MS)));
    }

    @Test
    void lateAllowIsNotGrantedAndLeavesNoState() {
        Command late = new Command.Allow(
                "r", "proxy", Guard.UNSAFE, new Attempt("a", 1), List.of(), "e", REMAINING_MS, 10, false);
        assertEquals(new Reply.Late(), state.apply(11, late));
        assertEquals(0, state.size());
    }

    @Test
    void theFirstEndStands() {
        state.apply(0, allow("r", Guard.UNSAFE, "a", 1));
        assertEquals(new Reply.Over(Ending.FAILED), state.apply(0, end("r", Ending.FAILED, "a")));
        assertEquals(new Reply.Over(Ending.FAILED), state.apply(0, end("r", Ending.SERVED, "a")));
        assertEquals(new Reply.Over(Ending.FAILED), state.apply(0, new Command.Report("r", 0, AttemptOutcome.SERVED)));
        assertEquals(new Reply.Over(Ending.FAILED), state.apply(0, allow("r", Guard.UNSAFE, "a", 1)));
    }

    @Test
    void aRefusalOfWhatMayHaveRunIsAFailure() {
        state.apply(0, allow("r", Guard.UNSAFE, "a", 1));
        assertEquals(new Reply.Over(Ending.FAILED), state.apply(0, end("r", Ending.REFUSED, "a")));
        state.apply(0, allow("s", Guard.UNSAFE, "a", 2));
        assertEquals(new Reply.Over(Ending.REFUSED), state.apply(0, end("s", Ending.REFUSED, "a", 2L)));
        state.apply(0, allow("t", Guard.UNSAFE, "a", 3));
        assertEquals(
                new Reply.Over(Ending.REFUSED), state.apply(0, new Command.Report("t", 0, AttemptOutcome.NEVER_RAN)));
        state.apply(0, allow("u", Guard.UNSAFE, "a", 4));
        assertEquals(
                new Reply.Over(Ending.FAILED), state.apply(0, new Command.Report("u", 0, AttemptOutcome.MAY_HAVE_RAN)));
    }

    @Test
    void expiredRequestEndsOnceAndIsForgottenLater() {
        state.apply(0, allow("r", Guard.UNSAFE, "a", 1));
        state.apply(0, allow("s", Guard.UNSAFE, "a", 2));
        state.apply(1, new Command.Withdraw("s", new Attempt("a", 2), REMAINING_MS));
        assertEquals(new Reply.Over(Ending.FAILED), tickAndLookUp(REMAINING_MS, "r"));
        // A refusal is remembered only until the request's deadline.
        assertEquals(new Reply.Free(), tickAndLookUp(REMAINING_MS, "s"));
        assertEquals(1, state.size());
        assertEquals(REMAINING_MS + LIMITS.rememberMs(), state.nextDeadline());
        assertEquals(new Reply.Over(Ending.FAILED), tickAndLookUp(REMAINING_MS + LIMITS.rememberMs() - 1, "r"));
        assertEquals(new Reply.Free(), tickAndLookUp(REMAINING_MS + LIMITS.rememberMs(), "r"));
        assertEquals(0, state.size());
        assertEquals(Long.MAX_VALUE, state.nextDeadline());
    }

    @Test
    void anEarlierStampDoesNotMoveTheTimeBack() {
        state.apply(500, allow("r", Guard.UNSAFE, "a", 1));
        state.apply(20, allow("s", Guard.UNSAFE, "a", 2));
        assertEquals(500, state.timeMs());
        assertEquals(new Reply.Out(), tickAndLookUp(500 + REMAINING_MS - 1, "s"));
    }

    @Test
    void perCallerLimitHoldsAndAFullStateForgetsNothing() {
        for (int i = 0; i < LIMITS.perCaller(); i++) {
            assertEquals(new Reply.Granted(0), state.apply(0, allow("r" + i, Guard.UNSAFE, "a", i)));
        }
        assertEquals(new Reply.Full(), state.apply(0, allow("more", Guard.UNSAFE, "a", 99)));
        state.apply(0, end("r0", Ending.FAILED, "a"));
        assertEquals(new Reply.Granted(0), state.apply(0, allow("more", Guard.UNSAFE, "a", 99)));
        for (int i = 0; i < LIMITS.perCaller(); i++) {
            state.apply(0, end("r" + i, Ending.FAILED, "a"));
            state.apply(0, allow("s" + i, Guard.UNSAFE, "a", 100 + i));
        }
        assertEquals(LIMITS.requests(), state.size());
        assertEquals(new Reply.Full(), state.apply(0, allow("last", Guard.UNSAFE, "a", 200)));
        assertEquals(new Reply.Over(Ending.FAILED), tickAndLookUp(0, "r0"));
    }

    @Test
    void noAttemptIsGrantedToADrainingEndpoint() {
        state.apply(0, new Command.Drain("e", 100));
        assertEquals(new Reply.Drains(), state.apply(99, allow("r", Guard.UNSAFE, "a", 1)));
        assertEquals(new Reply.Granted(0), state.apply(100, allow("r", Guard.UNSAFE, "a", 1)));
        for (int i = 0; i < 10; i++) {
            state.apply(100, new Command.Drain("d" + i, 100));
        }
        assertEquals(LIMITS.drains(), state.snapshot().drains().size());
    }

    private static Command randomCommand(Random random) {
        String id = "r" + random.nextInt(10);
        String owner = "m" + random.nextInt(3);
        Attempt attempt = new Attempt(owner, random.nextInt(6));
        List<Long> neverRan = random.nextInt(3) > 0 ? List.of() : List.of((long) random.nextInt(6));
        return switch (random.nextInt(8)) {
            case 0 -> new Command.Withdraw(id, attempt, REMAINING_MS);
            case 1 -> new Command.Report(id, random.nextInt(3) - 1, AttemptOutcome.values()[random.nextInt(3)]);
            case 2 -> new Command.End(id, Ending.values()[random.nextInt(3)], owner, neverRan);
            case 3 -> new Command.Refuse(id, "proxy", Guard.UNSAFE, owner, neverRan, REMAINING_MS);
            case 4 -> new Command.Drain("e" + random.nextInt(4), random.nextInt(200));
            default ->
                new Command.Allow(
                        id,
                        "p" + random.nextInt(2),
                        Guard.values()[random.nextInt(2)],
                        attempt,
                        neverRan,
                        "e" + random.nextInt(4),
                        REMAINING_MS,
                        random.nextInt(20_000),
                        random.nextInt(4) == 0);
        };
    }

    // Random commands: the invariants hold after each, and a copy restored from a snapshot gives the same replies.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void invariantsHoldAndARestoredCopyAgreesForRandomCommands(long seed) {
        Random random = new Random(seed);
        ReplicatedState copy = new ReplicatedState(LIMITS);
        Map<String, ReplicatedState.Entry> ended = new HashMap<>();
        long stampMs = 0;
        long lastTimeMs = 0;
        for (int i = 0; i < 5000; i++) {
            stampMs += random.nextInt(10) == 0 ? -random.nextInt(100) : random.nextInt(30);
            Command command = randomCommand(random);
            if (random.nextInt(50) == 0) {
                ReplicatedState restored = new ReplicatedState(LIMITS);
                restored.restore(state.snapshot());
                copy = restored;
            }
            Reply reply = state.apply(stampMs, command);
            assertEquals(reply, copy.apply(stampMs, command));
            assertEquals(state.snapshot(), copy.snapshot());
            assertEquals(state.nextDeadline(), copy.nextDeadline());
            assertTrue(state.timeMs() >= lastTimeMs && state.nextDeadline() > state.timeMs());
            lastTimeMs = state.timeMs();
            checkInvariants(state.snapshot(), ended);
        }
    }

    private static void checkInvariants(ReplicatedState.Snapshot snapshot, Map<String, ReplicatedState.Entry> ended) {
        Set<String> presentIds = new HashSet<>();
        Map<String, Integer> openByCaller = new HashMap<>();
        for (ReplicatedState.Entry entry : snapshot.entries()) {
            presentIds.add(entry.id());
            List<Attempt> mayHaveRun = new ArrayList<>();
            for (int i = 0; i < entry.attempts().size(); i++) {
                if (!entry.neverRan().get(i)) {
                    mayHaveRun.add(entry.attempts().get(i));
                }
            }
            if (entry.guard() == Guard.UNSAFE) {
                assertTrue(mayHaveRun.size() <= 1, () -> "out twice: " + entry);
            }
            assertTrue(
                    mayHaveRun.stream().map(Attempt::owner).distinct().count() <= 1, () -> "two let it out: " + entry);
            assertTrue(entry.attempts().size() <= ReplicatedState.MAX_ATTEMPTS);
            if (entry.ending() == Ending.REFUSED) {
                assertTrue(mayHaveRun.isEmpty(), () -> "refused, but it may have run: " + entry);
            }
            if (entry.ending() == null) {
                openByCaller.merge(entry.caller(), 1, Integer::sum);
                ended.remove(entry.id());
            } else {
                ReplicatedState.Entry known = ended.get(entry.id());
                if (known != null && snapshot.time() < known.dueMs()) {
                    assertEquals(known.ending(), entry.ending());
                }
                ended.put(entry.id(), entry);
            }
        }
        ended.keySet().retainAll(presentIds);
        assertTrue(presentIds.size() <= LIMITS.requests());
        assertTrue(snapshot.drains().size() <= LIMITS.drains());
        assertTrue(openByCaller.entrySet().stream()
                .filter(count -> count.getKey().startsWith("p"))
                .allMatch(count -> count.getValue() <= LIMITS.perCaller()));
    }
}
