package whinlead.mesh.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Who holds a duty, by votes that end. */
public class DutyCandidateTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");

    /** A voter that stands as well; its questions are answered at once by those that are in reach. */
    private final class Member {
        private final DutyQuorum quorum;
        private DutyVoter voter;
        private final DutyCandidate candidate;
        private boolean reachable = true;

        private Member(String id, DutyPromise promise) {
            quorum = new DutyQuorum(now, id, 0, VOTERS);
            voter = new DutyVoter(now, promise, true);
            candidate = new DutyCandidate(id, quorum, (other, request) -> {
                Member asked = members.get(other);
                if (asked != null && (other.equals(id) || reachable && asked.reachable)) {
                    DutyVote vote = asked.voter.vote(now, id, request, asked.quorum.mayVote(now));
                    members.get(id).candidate.answered(now, other, vote);
                }
            });
        }

        private boolean holds() {
            return candidate.isHolder(now, true);
        }
    }

    private final Map<String, Member> members = new HashMap<>();
    private double now;

    @BeforeMethod
    public void start() {
        now = 0;
        members.clear();
        VOTERS.forEach(id -> members.put(id, new Member(id, DutyPromise.NONE)));
    }

    private void run(double ms) {
        for (double end = now + ms; now < end; now += 50) {
            VOTERS.forEach(id -> {
                Member member = members.get(id);
                member.candidate.tick(now, member.voter, true);
            });
            assertTrue(members.values().stream().filter(Member::holds).count() <= 1, "two hold it at " + now);
        }
    }

    @Test
    public void theFirstInTheOrderOfTheVotersHoldsItAndKeepsIt() {
        run(10_000);
        assertTrue(members.get("a").holds());
        assertTrue(members.get("a").candidate.isFirstTerm());
        assertEquals(members.get("a").candidate.epoch(), 1);
    }

    @Test
    public void anotherHoldsItUnderAHigherEpochOnceTheTermOfOneOutOfReachIsOver() {
        run(2000);
        members.get("a").reachable = false;
        run(3500);
        assertFalse(members.get("a").holds());
        Member next = members.get("b");
        assertTrue(next.holds());
        assertTrue(next.candidate.epoch() > 1);
        assertFalse(next.candidate.isFirstTerm());
    }

    @Test
    public void aVoterWithALaterVoteOfItsOwnEndsNoTermThatTheOthersHoldUp() {
        run(2000);
        members.get("c").reachable = false;
        run(5000);
        members.get("c").reachable = true;
        long epoch = members.get("a").candidate.epoch();
        run(10_000);
        assertTrue(members.get("a").holds());
        assertEquals(members.get("a").candidate.epoch(), epoch);
    }

    @Test
    public void aVoterThatStartsAgainKeepsTheVoteOnItsDisk() {
        run(2000);
        DutyVoter again = new DutyVoter(now, members.get("b").voter.promise(), true);
        assertFalse(again.vote(now + 10, "c", new DutyRequest(1, 50), true).granted());
        assertTrue(again.vote(now + 10, "a", new DutyRequest(1, 1), true).granted(), "the same one's again");
        assertTrue(again.vote(now + 10 + DutyTerms.KEPT_MS, "c", new DutyRequest(1, 50), true)
                .granted());
    }

    @Test
    public void whoGetsAVoteGivesNoneUntilEarlierVotesHaveEnded() {
        DutyQuorum quorum = new DutyQuorum(0, "d", 5, VOTERS);
        quorum.decided(100, 6, List.of("a", "b", "d"));
        assertFalse(quorum.mayVote(100 + DutyTerms.KEPT_MS));
        assertTrue(quorum.mayVote(100 + DutyTerms.SETTLED_MS));
        quorum.decided(200, 7, List.of("a", "b", "d", "e", "f"));
        quorum.decided(10_000, 8, List.of("a"));
        assertEquals(quorum.needed(10_100), 3, "the larger set may have elected a holder");
        assertEquals(quorum.needed(10_000 + DutyTerms.SETTLED_MS), 1);
    }
}
