package whinlead.mesh.consensus;

import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/**
 * This control node's attempts to have decisions agreed on, one ballot at a time: sends to the voters, sends again, and
 * waits a random time after a ballot that another control node outbid. Not safe for several threads; times in
 * milliseconds.
 */
final class ConsensusRound {
    /** How a ballot stands. */
    enum Progress {
        WAITING,
        WON,
        OUTBID,
        NOTHING_TO_FINISH
    }

    /** A wait after a ballot that was outbid: doubled each time up to the most. */
    private static final double BACKOFF = 8;

    private static final double MAX_BACKOFF = 250;

    private final String proposerName;
    private final SplittableRandom random;
    private final RetryTimer retry = new RetryTimer();
    private Proposer proposer;
    private Decision won;
    private long number;
    private double resumeAt;
    private double backoff = BACKOFF;

    /**
     * Rounds of one life of a control node.
     *
     * @param proposerName names its ballots, and those of no other life of any control node
     */
    ConsensusRound(String proposerName, SplittableRandom random) {
        this.proposerName = proposerName;
        this.random = random;
    }

    /** Whether a ballot is under way. */
    boolean isActive() {
        return proposer != null;
    }

    /** Whether the wait after the last ballot is over. */
    boolean mayAct(double now) {
        return now >= resumeAt;
    }

    /**
     * Begins a ballot.
     *
     * @param base the decision before
     * @param wanted the decision to have agreed on, or null to only finish what another control node began
     * @param promised the highest ballot that this control node has promised
     */
    void begin(double now, Decision base, Decision wanted, Ballot promised) {
        number = Math.max(number, promised.round()) + 1;
        proposer = new Proposer(base, new Ballot(number, proposerName), wanted);
        retry.restart(now);
    }

    /** Gives the ballot up. */
    void cancel() {
        proposer = null;
    }

    /** A voter's reply to the ballot, if it is one. */
    void received(double now, String from, Message message) {
        if (proposer == null) {
            return;
        }
        Proposer.State before = proposer.state();
        if (message instanceof Message.Promise promise && promise.slot() == proposer.slot()) {
            proposer.promise(from, promise);
        } else if (message instanceof Message.Accepted accepted && accepted.slot() == proposer.slot()) {
            proposer.vote(from, accepted);
        } else if (message instanceof Message.Nack nack && nack.slot() == proposer.slot()) {
            proposer.outbid(nack);
        }
        if (proposer.state() != before) {
            // The next phase begins without a wait.
            retry.restart(now);
        }
    }

    /** Sends what is due, and tells how the ballot stands; one that has ended is over with this call. */
    Progress advance(double now, BiConsumer<String, Message> send) {
        Proposer current = proposer;
        switch (current.state()) {
            case PREPARING, PROPOSING -> {
                sendDue(now, send);
                return Progress.WAITING;
            }
            case WON -> {
                won = current.value();
                proposer = null;
                backoff = BACKOFF;
                return Progress.WON;
            }
            case NACKED -> {
                proposer = null;
                number = Math.max(number, current.higher().round());
                resumeAt = now + backoff * (0.5 + random.nextDouble());
                backoff = Math.min(MAX_BACKOFF, backoff * 2);
                return Progress.OUTBID;
            }
            default -> {
                proposer = null;
                return Progress.NOTHING_TO_FINISH;
            }
        }
    }

    /** The decision of the last ballot that was won. */
    Decision won() {
        return won;
    }

    private void sendDue(double now, BiConsumer<String, Message> send) {
        if (!retry.isDue(now)) {
            return;
        }
        for (String voter : proposer.voters()) {
            Message message = proposer.call(voter);
            if (message != null) {
                send.accept(voter, message);
            }
        }
    }
}
