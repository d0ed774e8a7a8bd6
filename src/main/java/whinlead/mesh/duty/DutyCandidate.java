package whinlead.mesh.duty;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One control node's candidacy for the duty: it requests votes while nobody holds the duty, after a delay by its rank
 * among the voters, and renews them while it holds the duty. A term is a lease granted by a quorum, as described in the
 * published PaxosLease algorithm; its code was not read.
 *
 * <p>Invariant: {@link #isHolder} is true at one control node at a time. The candidate counts a vote from when it was
 * requested, and the voter from when it was given, so the vote expires at the candidate first. Pure; one thread; times
 * in milliseconds.
 */
public final class DutyCandidate {
    /** Sends a candidate's requests. */
    public interface Voters {
        /** Sends a request to a voter, which may be this control node itself. */
        void requestVote(String voter, DutyRequest request);
    }

    /** Delay between the first requests of two candidates next to each other in the order of the voters. */
    private static final double STAGGER_MS = 250;
    /** A candidate without a quorum withdraws after this time. */
    private static final double CAMPAIGN_TIMEOUT_MS = 700;
    /** The maximum number of requests whose answers are accepted. */
    private static final int MAX_OPEN_REQUESTS = 64;
    /** The number of epochs reserved for each decision before those of the next one begin. */
    private static final long EPOCHS_PER_SLOT = 64;

    private final String self;
    private final DutyQuorum quorum;
    private final Voters voters;
    private final Map<Long, Double> sentAtMs = new LinkedHashMap<>();
    /** Until when each voter's vote is valid. */
    private final Map<String, Double> voteValidUntilMs = new HashMap<>();

    private long lastRequestNumber;
    private long highestEpoch;
    /** The epoch of the term that is held or requested; 0 for none. */
    private long epoch;

    private double campaignSinceMs;
    private double requestedAtMs = Double.NEGATIVE_INFINITY;
    private double freeSinceMs = Double.NaN;
    private double pausedUntilMs = Double.NEGATIVE_INFINITY;
    private boolean isHolder;
    private boolean firstTerm;

    /** A candidate that has not requested votes yet. */
    public DutyCandidate(String self, DutyQuorum quorum, Voters voters) {
        this.self = self;
        this.quorum = quorum;
        this.voters = voters;
    }

    /**
     * Advances time. Must be called several times a second.
     *
     * @param voter this control node's own part as a voter
     * @param confirmed whether a quorum has confirmed that there is no newer decision on who votes
     */
    public void tick(double nowMs, DutyVoter voter, boolean confirmed) {
        highestEpoch = Math.max(highestEpoch, voter.promise().epoch());
        if (epoch == 0) {
            campaignIfDue(nowMs, voter, confirmed);
        } else if (isHolder && !hasQuorum(nowMs)) {
            withdraw(nowMs, STAGGER_MS);
        } else if (!isHolder && nowMs - campaignSinceMs > CAMPAIGN_TIMEOUT_MS) {
            // Most voters are unreachable, or renew the term of a holder that this candidate has no contact with.
            withdraw(nowMs, DutyTerms.TERM_MS / 2);
        }
        if (epoch > 0 && nowMs - requestedAtMs >= DutyTerms.RENEW_INTERVAL_MS) {
            requestVotes(nowMs);
        }
    }

    // Each candidate waits a little longer than the one before it in the order of the voters, so the first available
    // one wins.
    private void campaignIfDue(double nowMs, DutyVoter voter, boolean confirmed) {
        int rank = quorum.voters().indexOf(self);
        if (rank < 0 || !confirmed || !voter.isFreeFor(nowMs, self)) {
            freeSinceMs = Double.NaN;
            return;
        }
        if (Double.isNaN(freeSinceMs)) {
            freeSinceMs = nowMs;
        }
        if (nowMs >= freeSinceMs + rank * STAGGER_MS && nowMs >= pausedUntilMs) {
            epoch = Math.max(highestEpoch + 1, Math.max(1, quorum.slot() * EPOCHS_PER_SLOT));
            highestEpoch = epoch;
            campaignSinceMs = nowMs;
            firstTerm = true;
            voteValidUntilMs.clear();
            requestVotes(nowMs);
        }
    }

    private void requestVotes(double nowMs) {
        requestedAtMs = nowMs;
        DutyRequest request = new DutyRequest(++lastRequestNumber, epoch);
        sentAtMs.put(lastRequestNumber, nowMs);
        if (sentAtMs.size() > MAX_OPEN_REQUESTS) {
            sentAtMs.remove(sentAtMs.keySet().iterator().next());
        }
        List.copyOf(quorum.voters()).forEach(voter -> voters.requestVote(voter, request));
    }

    private void withdraw(double nowMs, double pauseMs) {
        epoch = 0;
        isHolder = false;
        freeSinceMs = Double.NaN;
        pausedUntilMs =
                nowMs + pauseMs + STAGGER_MS * Math.max(0, quorum.voters().indexOf(self));
        sentAtMs.clear();
        voteValidUntilMs.clear();
    }

    /** Gives up the duty, or the campaign for it. A later term has a higher epoch. */
    public void resign(double nowMs) {
        if (epoch > 0) {
            withdraw(nowMs, STAGGER_MS);
        }
    }

    /** A voter answers. */
    public void voteReceived(double nowMs, String voter, DutyVote vote) {
        highestEpoch = Math.max(highestEpoch, vote.epoch());
        Double requestSentAtMs = sentAtMs.get(vote.number());
        if (requestSentAtMs == null || epoch == 0) {
            return;
        }
        if (!vote.granted()) {
            // A refusal from one voter with a later vote does not end a term that a quorum still renews.
            if (vote.epoch() > epoch && !isHolder) {
                withdraw(nowMs, STAGGER_MS);
            }
            return;
        }
        if (vote.epoch() == epoch) {
            firstTerm &= isHolder || vote.first();
            voteValidUntilMs.merge(voter, requestSentAtMs + DutyTerms.TERM_MS, Math::max);
            isHolder |= hasQuorum(nowMs);
        }
    }

    private boolean hasQuorum(double nowMs) {
        return quorum.voters().stream()
                        .filter(voter -> voteValidUntilMs.getOrDefault(voter, Double.NEGATIVE_INFINITY) > nowMs)
                        .count()
                >= quorum.requiredVotes(nowMs);
    }

    /**
     * Whether this control node holds the duty at this time, which must have been read just before: whatever is decided
     * based on the result must use the same reading of the clock.
     */
    public boolean isHolder(double nowMs, boolean confirmed) {
        return isHolder && confirmed && hasQuorum(nowMs);
    }

    /** The epoch of the term that is held; meaningless if none is held. */
    public long epoch() {
        return epoch;
    }

    /** Whether there certainly was no holder before this term. */
    public boolean isFirstTerm() {
        return firstTerm;
    }
}
