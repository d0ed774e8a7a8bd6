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
import whinlead.replication.Command.Ending;
import whinlead.replication.Command.Guard;
import whinlead.replication.Command.How;

/** The state that a group's members replicate, command by command. */
class ReplicatedStateTest {
    private static final long LEFT = 1000;
    private static final ReplicatedState.Limits LIMITS = new ReplicatedState.Limits(8, 5, 2, 3000);

    private final ReplicatedState book = new ReplicatedState(LIMITS);

    private static Command.Allow allow(String id, Guard guard, String owner, long number, Long... neverRan) {
        return new Command.Allow(
                id, "proxy", guard, new Attempt(owner, number), List.of(neverRan), "e", LEFT, Long.MAX_VALUE, false);
    }

    private Reply look(long time, String id) {
        book.apply(time, new Command.Tick());
        return book.look(id);
    }

    private static Command.End end(String id, Ending ending, String owner, Long... neverRan) {
        return new Command.End(id, ending, owner, List.of(neverRan));
    }

    @Test
    void anUnsafeRequestGoesOutAgainOnlyOnceTheEarlierAttemptIsKnownNotToHaveRun() {
        assertEquals(new Reply.Granted(0), book.apply(0, allow("r", Guard.UNSAFE, "a", 1)));
        assertEquals(new Reply.Out(), book.apply(1, allow("r", Guard.UNSAFE, "a", 2)));
        assertEquals(new Reply.Out(), book.apply(1, allow("r", Guard.UNSAFE, "b", 1)));
        assertEquals(new Reply.Granted(1), book.apply(2, allow("r", Guard.UNSAFE, "a", 2, 1L)));
        assertEquals(new Reply.Out(), book.apply(2, allow("r", Guard.UNSAFE, "b", 1, 1L)));
    }

    @Test
    void aKeyedRequestGoesOutAgainByTheMemberThatLetItOutAndByNoOther() {
        book.apply(0, allow("r", Guard.KEYED, "a", 1));
        assertEquals(new Reply.Out(), book.apply(1, allow("r", Guard.KEYED, "a#2", 1)));
        assertEquals(new Reply.Granted(1), book.apply(1, allow("r", Guard.KEYED, "a", 2)));
    }

    @Test
    void whatComesTwiceIsGrantedOnce() {
        book.apply(0, allow("r", Guard.UNSAFE, "a", 1));
        assertEquals(new Reply.Granted(0), book.apply(0, allow("r", Guard.UNSAFE, "a", 1)));
        assertEquals(1, book.snapshot().entries().get(0).attempts().size());
    }

    @Test
    void whatIsTakenBackBeforeItComesIsNotGranted() {
        book.apply(0, new Command.Withdraw("r", new Attempt("a", 1), LEFT));
        assertEquals(new Reply.Late(), book.apply(0, allow("r", Guard.UNSAFE, "a", 1)));
        assertEquals(new Reply.Granted(1), book.apply(0, allow("r", Guard.UNSAFE, "b", 7)));
    }

    @Test
    void whatIsRefusedGoesOutNoMoreWhileItsClientMaySendItUnlessThatAsksAnew() {
        Command.Refuse refuse = new Command.Refuse("r", "proxy", Guard.UNSAFE, "a", List.of(), LEFT);
        assertEquals(new Reply.Over(Ending.REFUSED), book.apply(0, refuse));
        assertEquals(new Reply.Over(Ending.REFUSED), book.apply(1, allow("r", Guard.UNSAFE, "b", 1)));
        assertEquals(
                new Reply.Granted(0),
                book.apply(
                        2,
                        new Command.Allow(
                                "r",
                                "proxy",
                                Guard.UNSAFE,
                                new Attempt("b", 2),
                                List.of(),
                                "e",
                                LEFT,
                                Long.MAX_VALUE,
                                true)));
        assertEquals(new Reply.Out(), book.apply(3, refuse));
        book.apply(3, new Command.Refuse("s", "proxy", Guard.UNSAFE, "a", List.of(), 10));
        assertEquals(new Reply.Free(), look(13, "s"));
    }

    @Test
    void refusalsFillNoMoreThanAQuarterAndTheRestGoesOut() {
        for (int i = 0; i < 20; i++) {
            book.apply(0, new Command.Refuse("x" + i, "proxy", Guard.UNSAFE, "a", List.of(), LEFT));
        }
        assertEquals(LIMITS.requests() / 4, book.size());
        ReplicatedState copy = new ReplicatedState(LIMITS);
        copy.restore(book.snapshot());
        assertEquals(
                new Reply.Full(), copy.apply(1, new Command.Refuse("y", "proxy", Guard.UNSAFE, "a", List.of(), LEFT)));
        assertEquals(new Reply.Granted(0), book.apply(1, allow("r", Guard.UNSAFE, "a", 1)));
        book.apply(LEFT, new Command.Tick());
        assertEquals(
                new Reply.Over(Ending.REFUSED),
                book.apply(LEFT, new Command.Refuse("y", "proxy", Guard.UNSAFE, "a", List.of(), LEFT)));
    }

    @Test
    void whatMayHaveRunIsNotRefused() {
        book.apply(0, allow("r", Guard.UNSAFE, "a", 1));
        assertEquals(
                new Reply.Out(), book.apply(1, new Command.Refuse("r", "proxy", Guard.UNSAFE, "b", List.of(1L), LEFT)));
        assertEquals(
                new Reply.Over(Ending.REFUSED),
                book.apply(1, new Command.Refuse("r", "proxy", Guard.UNSAFE, "a", List.of(1L), LEFT)));
    }

    @Test
    void whatComesLateIsNotGrantedAndLeavesNothingBehind() {
        Command late =
                new Command.Allow("r", "proxy", Guard.UNSAFE, new Attempt("a", 1), List.of(), "e", LEFT, 10, false);
        assertEquals(new Reply.Late(), book.apply(11, late));
        assertEquals(0, book.size());
    }

    @Test
    void theFirstEndStands() {
        book.apply(0, allow("r", Guard.UNSAFE, "a", 1));
        assertEquals(new Reply.Over(Ending.FAILED), book.apply(0, end("r", Ending.FAILED, "a")));
        assertEquals(new Reply.Over(Ending.FAILED), book.apply(0, end("r", Ending.SERVED, "a")));
        assertEquals(new Reply.Over(Ending.FAILED), book.apply(0, new Command.Report("r", 0, How.SERVED)));
        assertEquals(new Reply.Over(Ending.FAILED), book.apply(0, allow("r", Guard.UNSAFE, "a", 1)));
    }

    @Test
    void aRefusalOfWhatMayHaveRunIsAFailure() {
        book.apply(0, allow("r", Guard.UNSAFE, "a", 1));
        assertEquals(new Reply.Over(Ending.FAILED), book.apply(0, end("r", Ending.REFUSED, "a")));
        book.apply(0, allow("s", Guard.UNSAFE, "a", 2));
        assertEquals(new Reply.Over(Ending.REFUSED), book.apply(0, end("s", Ending.REFUSED, "a", 2L)));
        book.apply(0, allow("t", Guard.UNSAFE, "a", 3));
        assertEquals(new Reply.Over(Ending.REFUSED), book.apply(0, new Command.Report("t", 0, How.NEVER_RAN)));
        book.apply(0, allow("u", Guard.UNSAFE, "a", 4));
        assertEquals(new Reply.Over(Ending.FAILED), book.apply(0, new Command.Report("u", 0, How.MAY_HAVE_RAN)));
    }

    @Test
    void whatRunsOutIsEndedOnceAndForgottenLater() {
        book.apply(0, allow("r", Guard.UNSAFE, "a", 1));
        book.apply(0, allow("s", Guard.UNSAFE, "a", 2));
        book.apply(1, new Command.Withdraw("s", new Attempt("a", 2), LEFT));
        assertEquals(new Reply.Over(Ending.FAILED), look(LEFT, "r"));
        // What was refused is known while its client may send it, and no longer.
        assertEquals(new Reply.Free(), look(LEFT, "s"));
        assertEquals(1, book.size());
        assertEquals(LEFT + LIMITS.remember(), book.next());
        assertEquals(new Reply.Over(Ending.FAILED), look(LEFT + LIMITS.remember() - 1, "r"));
        assertEquals(new Reply.Free(), look(LEFT + LIMITS.remember(), "r"));
        assertEquals(0, book.size());
        assertEquals(Long.MAX_VALUE, book.next());
    }

    @Test
    void aStampThatGoesBackMovesNothingBack() {
        book.apply(500, allow("r", Guard.UNSAFE, "a", 1));
        book.apply(20, allow("s", Guard.UNSAFE, "a", 2));
        assertEquals(500, book.time());
        assertEquals(new Reply.Out(), look(500 + LEFT - 1, "s"));
    }

    @Test
    void oneCallerCannotTakeAllAndWhatIsFullForgetsNothing() {
        for (int i = 0; i < LIMITS.perCaller(); i++) {
            assertEquals(new Reply.Granted(0), book.apply(0, allow("r" + i, Guard.UNSAFE, "a", i)));
        }
        assertEquals(new Reply.Full(), book.apply(0, allow("more", Guard.UNSAFE, "a", 99)));
        book.apply(0, end("r0", Ending.FAILED, "a"));
        assertEquals(new Reply.Granted(0), book.apply(0, allow("more", Guard.UNSAFE, "a", 99)));
        for (int i = 0; i < LIMITS.perCaller(); i++) {
            book.apply(0, end("r" + i, Ending.FAILED, "a"));
            book.apply(0, allow("s" + i, Guard.UNSAFE, "a", 100 + i));
        }
        assertEquals(LIMITS.requests(), book.size());
        assertEquals(new Reply.Full(), book.apply(0, allow("last", Guard.UNSAFE, "a", 200)));
        assertEquals(new Reply.Over(Ending.FAILED), look(0, "r0"));
    }

    @Test
    void nothingIsAllowedToADrainingEndpointWhileThatIsKnown() {
        book.apply(0, new Command.Drain("e", 100));
        assertEquals(new Reply.Drains(), book.apply(99, allow("r", Guard.UNSAFE, "a", 1)));
        assertEquals(new Reply.Granted(0), book.apply(100, allow("r", Guard.UNSAFE, "a", 1)));
        for (int i = 0; i < 10; i++) {
            book.apply(100, new Command.Drain("d" + i, 100));
        }
        assertEquals(LIMITS.drains(), book.snapshot().drains().size());
    }

    private static Command any(Random dice) {
        String id = "r" + dice.nextInt(10);
        String owner = "m" + dice.nextInt(3);
        Attempt attempt = new Attempt(owner, dice.nextInt(6));
        List<Long> never = dice.nextInt(3) > 0 ? List.of() : List.of((long) dice.nextInt(6));
        return switch (dice.nextInt(8)) {
            case 0 -> new Command.Withdraw(id, attempt, LEFT);
            case 1 -> new Command.Report(id, dice.nextInt(3) - 1, How.values()[dice.nextInt(3)]);
            case 2 -> new Command.End(id, Ending.values()[dice.nextInt(3)], owner, never);
            case 3 -> new Command.Refuse(id, "proxy", Guard.UNSAFE, owner, never, LEFT);
            case 4 -> new Command.Drain("e" + dice.nextInt(4), dice.nextInt(200));
            default ->
                new Command.Allow(
                        id,
                        "p" + dice.nextInt(2),
                        Guard.values()[dice.nextInt(2)],
                        attempt,
                        never,
                        "e" + dice.nextInt(4),
                        LEFT,
                        dice.nextInt(20_000),
                        dice.nextInt(4) == 0);
        };
    }

    // Random commands: what each rule promises holds after each, and a copy by snapshot says the same.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void whateverComesTheInvariantsHoldAndACopyAgrees(long seed) {
        Random dice = new Random(seed);
        ReplicatedState copy = new ReplicatedState(LIMITS);
        Map<String, ReplicatedState.Entry> ended = new HashMap<>();
        long stamp = 0;
        long last = 0;
        for (int i = 0; i < 5000; i++) {
            stamp += dice.nextInt(10) == 0 ? -dice.nextInt(100) : dice.nextInt(30);
            Command command = any(dice);
            if (dice.nextInt(50) == 0) {
                ReplicatedState restored = new ReplicatedState(LIMITS);
                restored.restore(book.snapshot());
                copy = restored;
            }
            Reply reply = book.apply(stamp, command);
            assertEquals(reply, copy.apply(stamp, command));
            assertEquals(book.snapshot(), copy.snapshot());
            assertEquals(book.next(), copy.next());
            assertTrue(book.time() >= last && book.next() > book.time());
            last = book.time();
            check(book.snapshot(), ended);
        }
    }

    private static void check(ReplicatedState.Snapshot all, Map<String, ReplicatedState.Entry> ended) {
        Set<String> here = new HashSet<>();
        Map<String, Integer> open = new HashMap<>();
        for (ReplicatedState.Entry e : all.entries()) {
            here.add(e.id());
            List<Attempt> standing = new ArrayList<>();
            for (int i = 0; i < e.attempts().size(); i++) {
                if (!e.neverRan().get(i)) {
                    standing.add(e.attempts().get(i));
                }
            }
            if (e.guard() == Guard.UNSAFE) {
                assertTrue(standing.size() <= 1, () -> "out twice: " + e);
            }
            assertTrue(standing.stream().map(Attempt::owner).distinct().count() <= 1, () -> "two let it out: " + e);
            assertTrue(e.attempts().size() <= ReplicatedState.MAX_ATTEMPTS);
            if (e.ending() == Ending.REFUSED) {
                assertTrue(standing.isEmpty(), () -> "refused, but it may have run: " + e);
            }
            if (e.ending() == null) {
                open.merge(e.caller(), 1, Integer::sum);
                ended.remove(e.id());
            } else {
                ReplicatedState.Entry known = ended.get(e.id());
                if (known != null && all.time() < known.due()) {
                    assertEquals(known.ending(), e.ending());
                }
                ended.put(e.id(), e);
            }
        }
        ended.keySet().retainAll(here);
        assertTrue(here.size() <= LIMITS.requests());
        assertTrue(all.drains().size() <= LIMITS.drains());
        assertTrue(open.entrySet().stream()
                .filter(o -> o.getKey().startsWith("p"))
                .allMatch(o -> o.getValue() <= LIMITS.perCaller()));
    }
}
