package whinlead.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whom a process asks of a group that it is no member of. */
class GroupRouteTest {
    private static final Command ANY = new Command.Report("r", 0, Command.How.SERVED);

    private record Sent(String to, long token, Command command) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<Reply> heard = new ArrayList<>();
    private final GroupRoute way =
            new GroupRoute(List.of("a", "b", "c"), 100, (to, token, command) -> sent.add(new Sent(to, token, command)));

    private Sent last() {
        return sent.get(sent.size() - 1);
    }

    @Test
    void timeIsUnknownUntilAMemberHasToldIt() {
        assertEquals(GroupRoute.UNKNOWN, way.time(10));
        assertEquals(new Sent("a", 101, null), last());
        way.answered(101, null, 5000, "", 20);
        assertEquals(5080, way.time(100));
        // What comes late is behind: it never goes back.
        way.ask(ANY, heard::add, 100);
        way.answered(102, new Reply.Noted(), 5010, "", 110);
        assertEquals(5090, way.time(110));
        assertEquals(List.of(new Reply.Noted()), heard);
    }

    @Test
    void itFollowsTheOneThatLeads() {
        way.ask(ANY, heard::add, 0);
        way.answered(101, new Reply.Noted(), 1, "c", 5);
        way.ask(ANY, heard::add, 6);
        assertEquals("c", last().to());
    }

    @Test
    void oneThatDoesNotAnswerIsAskedNoMoreAndOneThatHoldsNoSeatNeither() {
        way.ask(ANY, heard::add, 0);
        way.ask(ANY, heard::add, 80);
        assertEquals("a", last().to());
        way.ask(ANY, heard::add, 160);
        assertEquals("b", last().to());
        way.answered(last().token(), null, -1, "", 161);
        way.ask(ANY, heard::add, 162);
        assertEquals("c", last().to());
        assertEquals(List.of(), heard);
    }

    /** Another process of this name has asked it: its answer would let another request out. */
    @Test
    void whatIsNoAnswerToItsOwnQuestionIsPassedOver() {
        way.ask(ANY, heard::add, 0);
        way.answered(1, new Reply.Granted(0), 1, "c", 5);
        way.answered(101, new Reply.Granted(1), 1, "", 5);
        way.answered(101, new Reply.Granted(2), 1, "", 6);
        assertEquals(List.of(new Reply.Granted(1)), heard);
        assertEquals("a", way.target());
    }

    /** However members come and go: while one that serves can be reached, a question asked again gets to it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aQuestionAskedAgainAndAgainIsAnsweredWhileAnybodyCan(long seed) {
        Random dice = new Random(seed);
        Map<String, Integer> states = new HashMap<>();
        double now = 0;
        int asked = 0;
        for (int round = 0; round < 2000; round++) {
            String well = List.of("a", "b", "c").get(dice.nextInt(3));
            for (String m : List.of("a", "b", "c")) {
                // 0 answers, 1 is silent, 2 holds no seat.
                states.put(m, m.equals(well) ? 0 : dice.nextInt(3));
            }
            int before = heard.size();
            for (int ask = 0; heard.size() == before; ask++) {
                assertTrue(ask <= 8, "not answered after " + ask + " in " + states);
                way.ask(ANY, heard::add, now);
                asked++;
                Sent s = last();
                String leader = dice.nextInt(4) == 0 ? List.of("a", "b", "c").get(dice.nextInt(3)) : "";
                if (states.get(s.to()) == 0) {
                    way.answered(s.token(), new Reply.Noted(), (long) now, leader, now + 1);
                } else if (states.get(s.to()) == 2) {
                    way.answered(s.token(), null, -1, "", now + 1);
                }
                now += 80;
            }
        }
        assertTrue(asked < 2000 * 5, "asked " + asked);
        assertEquals(2000, heard.size());
    }
}
