package whinlead.mesh.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Election of the holder of a duty by votes that expire. */
public class DutyCandidateTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");

    /** A voter that is also a candidate; reachable voters answer its requests at once. */
    private final class SimulatedNode {
        private final DutyQuorum quorum;
        private DutyVoter voter;
        private final DutyCandidate candidate;
        private boolean reachable = true;

        private SimulatedNode(String id, DutyPromise promise) {
            quorum = new DutyQuorum(nowMs, id, 0, VOTERS);
            voter = new DutyVoter(nowMs, promise, true);
            candidate = new DutyCandidate(id, quorum, (other, request) -> {
                SimulatedNode asked = nodes.get(other);
                if (asked != null && (other.equals(id) || reachable && asked.reachable)) {
                    DutyVote vote = asked.voter.vote(nowMs, id, request, asked.quorum.mayVote(nowMs));
                    nodes.get(id).candidate.voteReceived(nowMs, other, vote);
                }
            });
        }

        private boolean isHolder() {
            return candidate.isHolder(nowMs, true);
        }
    }

    private final Map<String, SimulatedNode> nodes = new HashMap<>();
    private double nowMs;

    @BeforeMethod
    public void start() {
        nowMs = 0;
        nodes.clear();
        VOTERS.forEach(id -> nodes.put(id, new SimulatedNode(id, DutyPromise.NONE)));
    }

    @Test
    public void holderThatResignsIsFollowedByALaterTerm() {
        run(2000);
        SimulatedNode holder = nodes.values().stream()
                .filter(SimulatedNode::isHolder)
                .findFirst()
                .orElseThrow();
        long epoch = holder.candidate.epoch();
        holder.candidate.resign(nowMs);
        assertFalse(holder.isHolder());
        run(6000);
        SimulatedNode next = nodes.values().stream()
                .filter(SimulatedNode::isHolder)
                .findFirst()
                .orElseThrow();
        assertTrue(next.candidate.epoch() > epoch, next.candidate.epoch() + " after " + epoch);
    }

    private void run(double durationMs) {
        for (double endMs = nowMs + durationMs; nowMs < endMs; nowMs += 50) {
            VOTERS.forEach(id -> {
                SimulatedNode node = nodes.get(id);
                node.candidate.tick(nowMs, node.voter, true);
            });
            assertTrue(nodes.values().stream().filter(SimulatedNode::isHolder).count() <= 1, "two holders at " + nowMs);
        }
    }

    @Test
    public void firstVoterBecomesHolderAndRenews() {
        run(10_000);
        assertTrue(nodes.get("a").isHolder());
        assertTrue(nodes.get("a").candidate.isFirstTerm());
        assertEquals(nodes.get("a").candidate.epoch(), 1);
    }

    @Test
    public void unreachableHolderIsReplacedUnderHigherEpoch() {
        run(2000);
        nodes.get("a").reachable = false;
        run(3500);
        assertFalse(nodes.get("a").isHolder());
        SimulatedNode next = nodes.get("b");
        assertTrue(next.isHolder());
        assertTrue(next.candidate.epoch() > 1);
        assertFalse(next.candidate.isFirstTerm());
    }

    @Test
    public void voterWithHigherEpochDoesNotEndTermOfQuorum() {
        run(2000);
        nodes.get("c").reachable = false;
        run(5000);
        nodes.get("c").reachable = true;
        long epoch = nodes.get("a").candidate.epoch();
        run(10_000);
        assertTrue(nodes.get("a").isHolder());
        assertEquals(nodes.get("a").candidate.epoch(), epoch);
    }

    @Test
    public void restartedVoterRetainsVoteOnDisk() {
        run(2000);
        DutyVoter restarted = new DutyVoter(nowMs, nodes.get("b").voter.promise(), true);
        assertFalse(
                restarted.vote(nowMs + 10, "c", new DutyRequest(1, 50), true).granted());
        assertTrue(
                restarted.vote(nowMs + 10, "a", new DutyRequest(1, 1), true).granted(), "a renewal by the same holder");
        assertTrue(restarted
                .vote(nowMs + 10 + DutyTerms.VOTE_RETAINED_MS, "c", new DutyRequest(1, 50), true)
                .granted());
    }

    @Test
    public void newVoterWaitsUntilEarlierVotesExpired() {
        DutyQuorum quorum = new DutyQuorum(0, "d", 5, VOTERS);
        quorum.decided(100, 6, List.of("a", "b", "d"));
        assertFalse(quorum.mayVote(100 + DutyTerms.VOTE_RETAINED_MS));
        assertTrue(quorum.mayVote(100 + DutyTerms.SETTLE_TIME_MS));
        quorum.decided(200, 7, List.of("a", "b", "d", "e", "f"));
        quorum.decided(10_000, 8, List.of("a"));
        assertEquals(quorum.requiredVotes(10_100), 3, "the larger set may have elected a holder");
        assertEquals(quorum.requiredVotes(10_000 + DutyTerms.SETTLE_TIME_MS), 1);
    }
}
