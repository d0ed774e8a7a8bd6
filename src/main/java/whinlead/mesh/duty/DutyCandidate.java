package whinlead.mesh.duty;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One control node's way to the duty: it asks the voters for their votes while nobody holds it, in the order of the
 * voters, and renews them while it holds it. A term is a lease by a quorum, as in PaxosLease, published; its code was
 * not read.
 *
 * <p>Invariant: {@link #isHolder} is true at one control node at a time. A vote counts here from when it was asked for,
 * and at the voter from when it was given, so it ends here first. Pure; one thread; times in milliseconds.
 */
public final class DutyCandidate {
    /** Carries a candidate's questions. */
    public interface Voters {
        /** Sends a question to a voter, which may be this control node itself. */
        void ask(String voter, DutyRequest request);
    }

    /** Between the candidates' first questions, by the order of the voters. */
    private static final double STAGGER_MS = 250;
    /** After so long without a quorum a candidate gives way. */
    private static final double CAMPAIGN_MS = 700;
    /** Questions whose answers are waited for. */
    private static final int MAX_OPEN = 64;
    /** Epochs that one decision leaves room for before those of the next begin. */
    private static final long EPOCHS_A_SLOT = 64;

    private final String self;
    private final DutyQuorum quorum;
    private final Voters voters;
    private final Map<Long, Double> sentAt = new LinkedHashMap<>();
    /** By voter, until when its vote is valid. */
    private final Map<String, Double> validUntil = new HashMap<>();

    private long number;
    private long highestEpoch;
    /** Of the term that is held or asked for; 0 for none. */
    private long epoch;

    private double campaignSince;
    private double askedAt = Double.NEGATIVE_INFINITY;
    private double freeSince = Double.NaN;
    private double pausedUntil = Double.NEGATIVE_INFINITY;
    private boolean isHolder;
    private boolean first;

    /** A candidate that has not asked yet. */
    public DutyCandidate(String self, DutyQuorum quorum, Voters voters) {
        this.self = self;
        this.quorum = quorum;
        this.voters = voters;
    }

    /**
     * Time passes. To be called several times a second.
     *
     * @param voter this control node's own part as a voter
     * @param confirmed whether a quorum has confirmed that there is no newer decision on who votes
     */
    public void tick(double now, DutyVoter voter, boolean confirmed) {
        highestEpoch = Math.max(highestEpoch, voter.promise().epoch());
        if (epoch == 0) {
            standIfDue(now, voter, confirmed);
        } else if (isHolder && !hasQuorum(now)) {
            giveUp(now, STAGGER_MS);
        } else if (!isHolder && now - campaignSince > CAMPAIGN_MS) {
            // Most voters are out of reach, or keep another's term up, which this one does not hear of.
            giveUp(now, DutyTerms.TERM_MS / 2);
        }
        if (epoch > 0 && now - askedAt >= DutyTerms.RENEW_MS) {
            ask(now);
        }
    }

    // The first in the order of the voters that is there: each waits a little longer than the one before it.
    private void standIfDue(double now, DutyVoter voter, boolean confirmed) {
        int place = quorum.voters().indexOf(self);
        if (place < 0 || !confirmed || !voter.isFreeFor(now, self)) {
            freeSince = Double.NaN;
            return;
        }
        if (Double.isNaN(freeSince)) {
            freeSince = now;
        }
        if (now >= freeSince + place * STAGGER_MS && now >= pausedUntil) {
            epoch = Math.max(highestEpoch + 1, Math.max(1, quorum.slot() * EPOCHS_A_SLOT));
            highestEpoch = epoch;
            campaignSince = now;
            first = true;
            validUntil.clear();
            ask(now);
        }
    }

    private void ask(double now) {
        askedAt = now;
        DutyRequest request = new DutyRequest(++number, epoch);
        sentAt.put(number, now);
        if (sentAt.size() > MAX_OPEN) {
            sentAt.remove(sentAt.keySet().iterator().next());
        }
        List.copyOf(quorum.voters()).forEach(voter -> voters.ask(voter, request));
    }

    private void giveUp(double now, double pauseMs) {
        epoch = 0;
        isHolder = false;
        freeSince = Double.NaN;
        pausedUntil = now + pauseMs + STAGGER_MS * Math.max(0, quorum.voters().indexOf(self));
        sentAt.clear();
        validUntil.clear();
    }

    /** A voter answers. */
    public void answered(double now, String voter, DutyVote vote) {
        highestEpoch = Math.max(highestEpoch, vote.epoch());
        Double asked = sentAt.get(vote.number());
        if (asked == null || epoch == 0) {
            return;
        }
        if (!vote.granted()) {
            // A voter with a later vote of its own ends no term that the others hold up.
            if (vote.epoch() > epoch && !isHolder) {
                giveUp(now, STAGGER_MS);
            }
            return;
        }
        if (vote.epoch() == epoch) {
            first &= isHolder || vote.first();
            validUntil.merge(voter, asked + DutyTerms.TERM_MS, Math::max);
            isHolder |= hasQuorum(now);
        }
    }

    private boolean hasQuorum(double now) {
        return quorum.voters().stream()
                        .filter(voter -> validUntil.getOrDefault(voter, Double.NEGATIVE_INFINITY) > now)
                        .count()
                >= quorum.needed(now);
    }

    /**
     * Whether this control node holds the duty at this time, which must have been read just before: what is decided by
     * this answer must be decided by the same reading of the clock.
     */
    public boolean isHolder(double now, boolean confirmed) {
        return isHolder && confirmed && hasQuorum(now);
    }

    /** The epoch of the term that is held; of no meaning otherwise. */
    public long epoch() {
        return epoch;
    }

    /** Whether there surely was no holder before this term. */
    public boolean isFirstTerm() {
        return first;
    }
}
