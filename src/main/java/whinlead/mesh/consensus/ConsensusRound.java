package whinlead.mesh.consensus;

import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/**
 * This control node's proposals, one ballot at a time: sends requests to the voters, retries them, and backs off for a
 * random time after its ballot was preempted by another control node. Not safe for several threads; times in
 * milliseconds.
 */
final class ConsensusRound {
    /** The progress of a ballot. */
    enum Progress {
        WAITING,
        WON,
        PREEMPTED,
        NOTHING_TO_FINISH
    }

    /** The mean backoff after the first preempted ballot; doubled each time up to the maximum. */
    private static final double INITIAL_BACKOFF_MS = 8;

    private static final double MAX_BACKOFF_MS = 250;

    private final String proposerName;
    private final SplittableRandom random;
    private final RetryTimer retry = new RetryTimer();
    private Proposer proposer;
    private Decision wonDecision;
    private long highestRound;
    private double resumeAtMs;
    private double backoffMs = INITIAL_BACKOFF_MS;

    /**
     * Rounds of one process of a control node.
     *
     * @param proposerName the name in its ballots, which no other process of any control node uses
     */
    ConsensusRound(String proposerName, SplittableRandom random) {
        this.proposerName = proposerName;
        this.random = random;
    }

    /** Whether a ballot is in progress. */
    boolean isActive() {
        return proposer != null;
    }

    /** Whether the backoff after the last ballot is over. */
    boolean isBackoffOver(double nowMs) {
        return nowMs >= resumeAtMs;
    }

    /**
     * Begins a ballot.
     *
     * @param base the previous decision
     * @param proposal the decision to propose, or null to only complete what another control node began
     * @param promised the highest ballot that this control node has promised
     */
    void begin(double nowMs, Decision base, Decision proposal, Ballot promised) {
        highestRound = Math.max(highestRound, promised.round()) + 1;
        proposer = new Proposer(base, new Ballot(highestRound, proposerName), proposal);
        retry.restart(nowMs);
    }

    /** Abandons the ballot. */
    void cancel() {
        proposer = null;
    }

    /** Handles a voter's reply; ignores replies to other ballots. */
    void replyReceived(double nowMs, String from, Message message) {
        if (proposer == null) {
            return;
        }
        Proposer.State before = proposer.state();
        if (message instanceof Message.Promise promise && promise.slot() == proposer.slot()) {
            proposer.promiseReceived(from, promise);
        } else if (message instanceof Message.Accepted accepted && accepted.slot() == proposer.slot()) {
            proposer.voteReceived(from, accepted);
        } else if (message instanceof Message.Nack nack && nack.slot() == proposer.slot()) {
            proposer.preempt(nack);
        }
        if (proposer.state() != before) {
            // The next phase starts without waiting for the retry interval.
            retry.restart(nowMs);
        }
    }

    /** Sends the requests that are due and returns the progress; a ballot that has ended is dropped by this call. */
    Progress advance(double nowMs, BiConsumer<String, Message> send) {
        Proposer current = proposer;
        switch (current.state()) {
            case PREPARING, PROPOSING -> {
                sendDue(nowMs, send);
                return Progress.WAITING;
            }
            case WON -> {
                wonDecision = current.value();
                proposer = null;
                backoffMs = INITIAL_BACKOFF_MS;
                return Progress.WON;
            }
            case PREEMPTED -> {
                proposer = null;
                highestRound = Math.max(highestRound, current.preemptedBy().round());
                resumeAtMs = nowMs + backoffMs * (0.5 + random.nextDouble());
                backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
                return Progress.PREEMPTED;
            }
            default -> {
                proposer = null;
                return Progress.NOTHING_TO_FINISH;
            }
        }
    }

    /** The decision of the last ballot that was won. */
    Decision wonDecision() {
        return wonDecision;
    }

    private void sendDue(double nowMs, BiConsumer<String, Message> send) {
        if (!retry.isDue(nowMs)) {
            return;
        }
        for (String voter : proposer.voters()) {
            Message message = proposer.pendingRequest(voter);
            if (message != null) {
                send.accept(voter, message);
            }
        }
    }
}
