package whinlead.mesh.consensus;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Executes the waiting operations of this control node one after the other: proposes changes ({@link ConsensusRound}),
 * confirms reads and rejections by a quorum ({@link QuorumRead}), and interleaves changes of voters
 * ({@link MembershipTurn}). Not safe for several threads; times in milliseconds on this control node's steady clock.
 */
final class OperationRunner {
    /** The control node whose operations these are. */
    interface Host {
        /** The newest known decision, or null. */
        Decision decided();

        /** The highest ballot that this control node has promised. */
        Ballot promised();

        /** The change of voters that this control node should propose now, or null. */
        VoterChange dueChange(double nowMs);

        /** Learns a decision that was agreed on. */
        void learn(double nowMs, Decision decision);

        /** A quorum has no vote open in the current slot, so this control node has none to complete. */
        void voteFinished();
    }

    private final String self;
    private final SplittableRandom random;
    private final Host host;
    private final ConsensusNode.Actions actions;
    private final OperationQueue queue = new OperationQueue();
    private final QuorumRead quorumRead = new QuorumRead();
    private final MembershipTurn membershipTurn = new MembershipTurn();
    private final ConsensusRound round;
    /** The operation for which the current ballot runs; null for a change of voters. */
    private PendingOperation proposedOperation;

    /**
     * A runner without operations.
     *
     * @param proposerName the name in this process's ballots, which no other process uses
     */
    OperationRunner(
            String self, String proposerName, SplittableRandom random, Host host, ConsensusNode.Actions actions) {
        this.self = self;
        this.random = random;
        this.host = host;
        this.actions = actions;
        this.round = new ConsensusRound(proposerName, random);
    }

    /** Whether no operation waits. */
    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Enqueues an operation; if the queue is full, rejects it at once. */
    void submit(double nowMs, PendingOperation operation) {
        if (queue.offer(nowMs, operation)) {
            advance(nowMs);
        } else {
            reject(operation);
        }
    }

    /** Completes an operation that was not accepted, with an unknown outcome. */
    void reject(PendingOperation operation) {
        complete(operation, ConsensusNode.CallResult.UNCLEAR);
    }

    /** A nonce that was never used before, not even by an earlier process. */
    long nextNonce() {
        return random.nextLong() | 1;
    }

    /** A decision was learned: the ballot or read for its slot is over. */
    void decisionLearned() {
        round.cancel();
        quorumRead.reset();
    }

    /** A voter's reply to a ballot. */
    void replyReceived(double nowMs, String from, Message message) {
        round.replyReceived(nowMs, from, message);
    }

    /** A voter's answer to a read. */
    void stateReceived(String from, Message.State state) {
        quorumRead.stateReceived(from, state, host.decided());
    }

    /** Completes operations whose deadline has passed, or all of them if no quorum is in contact. */
    void expireOverdue(double nowMs, boolean withoutQuorum) {
        PendingOperation head = queue.head();
        List<PendingOperation> overdue = withoutQuorum ? queue.removeAll() : queue.removeExpired(nowMs);
        overdue.forEach(operation -> {
            membershipTurn.operationEnded();
            complete(operation, ConsensusNode.CallResult.UNCLEAR);
        });
        if (queue.head() != head) {
            quorumRead.reset();
        }
        if (withoutQuorum || proposedOperation != null && proposedOperation != queue.head()) {
            round.cancel();
        }
    }

    /** Advances the current operation, or starts the next, as far as possible now. */
    void advance(double nowMs) {
        boolean progressed = true;
        while (progressed && host.decided() != null && round.isBackoffOver(nowMs)) {
            progressed = round.isActive() ? advanceRound(nowMs) : beginNext(nowMs);
        }
    }

    // Returns false if it must wait or there is nothing to do.
    private boolean beginNext(double nowMs) {
        boolean betweenOperations = quorumRead.state() == QuorumRead.State.IDLE;
        if (betweenOperations && (queue.isEmpty() || membershipTurn.isNext())) {
            VoterChange change = host.dueChange(nowMs);
            if (change != null) {
                Decision decided = host.decided();
                propose(nowMs, null, decided.successor(change.applyTo(decided.voters())));
                return true;
            }
        }
        return !queue.isEmpty() && advance(nowMs, queue.head());
    }

    // Returns false if it must wait.
    private boolean advance(double nowMs, PendingOperation operation) {
        if (operation instanceof PendingOperation.FinishVote) {
            propose(nowMs, operation, null);
        } else if (operation instanceof PendingOperation.Replace replace
                && quorumRead.state() == QuorumRead.State.IDLE) {
            advance(nowMs, replace);
        } else {
            return advanceRead(nowMs, operation);
        }
        return true;
    }

    private void advance(double nowMs, PendingOperation.Replace replace) {
        switch (verdict(replace)) {
            case ALREADY_APPLIED -> completeHead(ConsensusNode.CallResult.TAKEN);
            case OUTCOME_UNKNOWN -> completeHead(ConsensusNode.CallResult.UNCLEAR);
            case APPLICABLE ->
                propose(nowMs, replace, host.decided().successor(replace.version(), replace.digest(), replace.body()));
            case VERSION_MISMATCH, OLD_VERSION -> quorumRead.begin(nowMs, nextNonce());
            default -> throw new IllegalStateException("unknown verdict on a configuration change");
        }
    }

    // Advances a read, or a change that may only be rejected after a read. Returns false if it must wait.
    private boolean advanceRead(double nowMs, PendingOperation operation) {
        switch (quorumRead.state()) {
            case IDLE -> quorumRead.begin(nowMs, nextNonce());
            case ASKING -> {
                Decision decided = host.decided();
                if (!quorumRead.confirm(decided)) {
                    Message.Query question = quorumRead.query(decided);
                    quorumRead.unanswered(nowMs, decided).forEach(voter -> actions.send(voter, question));
                    return false;
                }
                if (quorumRead.isVoteOpen()) {
                    propose(nowMs, operation, null);
                }
            }
            case CONFIRMED -> completeHead(refusalResult(operation));
            default -> throw new IllegalStateException("unknown state of a quorum read");
        }
        return true;
    }

    private ConsensusNode.CallResult refusalResult(PendingOperation operation) {
        boolean isOld =
                operation instanceof PendingOperation.Replace replace && verdict(replace) == ReplaceVerdict.OLD_VERSION;
        return isOld ? ConsensusNode.CallResult.OLD_VERSION : ConsensusNode.CallResult.MISMATCH;
    }

    private ReplaceVerdict verdict(PendingOperation.Replace replace) {
        return ReplaceVerdict.evaluate(host.decided(), replace.version(), replace.builtOn(), replace.digest());
    }

    private void propose(double nowMs, PendingOperation operation, Decision proposal) {
        proposedOperation = operation;
        round.begin(nowMs, host.decided(), proposal, host.promised());
    }

    // Returns false if it must wait.
    private boolean advanceRound(double nowMs) {
        switch (round.advance(nowMs, actions::send)) {
            case WON -> {
                roundWon(nowMs, round.wonDecision());
                return true;
            }
            case PREEMPTED -> {
                if (quorumRead.state() == QuorumRead.State.CONFIRMED) {
                    quorumRead.reset();
                }
                return false;
            }
            case NOTHING_TO_FINISH -> {
                if (proposedOperation instanceof PendingOperation.FinishVote) {
                    host.voteFinished();
                    removeHead();
                }
                return true;
            }
            default -> {
                return false;
            }
        }
    }

    private void roundWon(double nowMs, Decision decision) {
        if (!decision.voters().equals(host.decided().voters())) {
            membershipTurn.votersChanged();
        }
        host.learn(nowMs, decision);
        decision.voters().stream()
                .filter(voter -> !voter.equals(self))
                .forEach(voter -> actions.send(voter, new Message.Decided(decision)));
        if (proposedOperation instanceof PendingOperation.FinishVote) {
            removeHead();
        }
    }

    private void completeHead(ConsensusNode.CallResult result) {
        PendingOperation operation = queue.head();
        removeHead();
        complete(operation, result);
    }

    private void removeHead() {
        queue.removeHead();
        membershipTurn.operationEnded();
        quorumRead.reset();
    }

    private void complete(PendingOperation operation, ConsensusNode.CallResult result) {
        if (operation instanceof PendingOperation.Read read) {
            actions.readCompleted(read.call(), result == ConsensusNode.CallResult.UNCLEAR ? null : host.decided());
        } else if (operation instanceof PendingOperation.Replace replace) {
            actions.replaceCompleted(replace.call(), result);
        }
    }
}
