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

/** Which member of a group a process outside the group queries. */
class GroupRouteTest {
    private static final Command ANY_COMMAND = new Command.Report("r", 0, Command.AttemptOutcome.SERVED);

    private record Sent(String member, long token, Command command) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<Reply> replies = new ArrayList<>();
    private final GroupRoute route =
            new GroupRoute(List.of("a", "b", "c"), 100, (to, token, command) -> sent.add(new Sent(to, token, command)));

    private Sent lastSent() {
        return sent.get(sent.size() - 1);
    }

    @Test
    void timeIsUnknownUntilTheFirstReply() {
        assertEquals(GroupRoute.UNKNOWN, route.time(10));
        assertEquals(new Sent("a", 101, null), lastSent());
        route.receiveReply(101, null, 5000, "", 20);
        assertEquals(5080, route.time(100));
        // A late reply has an earlier time: the time never goes back.
        route.query(ANY_COMMAND, replies::add, 100);
        route.receiveReply(102, new Reply.Noted(), 5010, "", 110);
        assertEquals(5090, route.time(110));
        assertEquals(List.of(new Reply.Noted()), replies);
    }

    @Test
    void queriesFollowTheReportedLeader() {
        route.query(ANY_COMMAND, replies::add, 0);
        route.receiveReply(101, new Reply.Noted(), 1, "c", 5);
        route.query(ANY_COMMAND, replies::add, 6);
        assertEquals("c", lastSent().member());
    }

    @Test
    void silentMembersAndMembersWithoutASeatAreSkipped() {
        route.query(ANY_COMMAND, replies::add, 0);
        route.query(ANY_COMMAND, replies::add, 80);
        assertEquals("a", lastSent().member());
        route.query(ANY_COMMAND, replies::add, 160);
        assertEquals("b", lastSent().member());
        route.receiveReply(lastSent().token(), null, -1, "", 161);
        route.query(ANY_COMMAND, replies::add, 162);
        assertEquals("c", lastSent().member());
        assertEquals(List.of(), replies);
    }

    /** A reply to another process of the same name must be ignored: it would grant an attempt at another request. */
    @Test
    void repliesToUnknownOrAnsweredTokensAreIgnored() {
        route.query(ANY_COMMAND, replies::add, 0);
        route.receiveReply(1, new Reply.Granted(0), 1, "c", 5);
        route.receiveReply(101, new Reply.Granted(1), 1, "", 5);
        route.receiveReply(101, new Reply.Granted(2), 1, "", 6);
        assertEquals(List.of(new Reply.Granted(1)), replies);
        assertEquals("a", route.target());
    }

    /** Members come and go at random: while one that serves is reachable, a repeated query reaches it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aRepeatedQueryIsAnsweredWhileOneMemberServes(long seed) {
        Random random = new Random(seed);
        Map<String, Integer> states = new HashMap<>();
        double nowMs = 0;
        int queries = 0;
        for (int round = 0; round < 2000; round++) {
            String healthy = List.of("a", "b", "c").get(random.nextInt(3));
            for (String member : List.of("a", "b", "c")) {
                // 0: replies, 1: silent, 2: has no seat.
                states.put(member, member.equals(healthy) ? 0 : random.nextInt(3));
            }
            int repliesBefore = replies.size();
            for (int attempt = 0; replies.size() == repliesBefore; attempt++) {
                assertTrue(attempt <= 8, "not answered after " + attempt + " in " + states);
                route.query(ANY_COMMAND, replies::add, nowMs);
                queries++;
                Sent query = lastSent();
                String leader = random.nextInt(4) == 0 ? List.of("a", "b", "c").get(random.nextInt(3)) : "";
                if (states.get(query.member()) == 0) {
                    route.receiveReply(query.token(), new Reply.Noted(), (long) nowMs, leader, nowMs + 1);
                } else if (states.get(query.member()) == 2) {
                    route.receiveReply(query.token(), null, -1, "", nowMs + 1);
                }
                nowMs += 80;
            }
        }
        assertTrue(queries < 2000 * 5, "asked " + queries);
        assertEquals(2000, replies.size());
    }
}
