package whinlead.mesh.consensus;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Carries out the operations that wait at this control node, one after the other and each to its end: puts changes to
 * the vote ({@link ConsensusRound}), confirms reads and refusals by a quorum ({@link QuorumRead}), and lets changes of
 * voters take their turn between them ({@link MembershipTurn}). Not safe for several threads; times in milliseconds on
 * this control node's steady clock.
 */
final class OperationRunner {
    /** The control node whose operations these are. */
    interface Host {
        /** The newest decision known, or null. */
        Decision decided();

        /** The highest ballot that this control node has promised. */
        Ballot promised();

        /** The change of voters that this control node is to propose now, or null. */
        VoterChange dueChange(double now);

        /** Takes in a decision that was agreed on. */
        void learn(double now, Decision decision);

        /** No voter has a vote open any more that this control node would have to bring to its end. */
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
    /** What the ballot under way is for; null for a change of voters. */
    private PendingOperation balloted;

    /**
     * A runner without operations.
     *
     * @param proposerName names the ballots of this life of the control node, and those of no other
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

    /** Takes an operation on; one that there is no room for ends at once. */
    void submit(double now, PendingOperation operation) {
        if (queue.offer(now, operation)) {
            advance(now);
        } else {
            reject(operation);
        }
    }

    /** Ends an operation that was not taken on. */
    void reject(PendingOperation operation) {
        end(operation, ConsensusNode.CallResult.UNCLEAR);
    }

    /** A number for a question that was never used before, not in an earlier life either. */
    long nextNonce() {
        return random.nextLong() | 1;
    }

    /** A decision was learned: what was under way for its slot is over. */
    void learned() {
        round.cancel();
        quorumRead.reset();
    }

    /** A voter's reply to a ballot. */
    void received(double now, String from, Message message) {
        round.received(now, from, message);
    }

    /** A voter's answer to a read. */
    void answered(String from, Message.State state) {
        quorumRead.answered(from, state, host.decided());
    }

    /** Ends operations whose time is up, or all of them where no quorum is in contact. */
    void endOverdue(double now, boolean withoutQuorum) {
        PendingOperation head = queue.head();
        List<PendingOperation> overdue = withoutQuorum ? queue.removeAll() : queue.removeExpired(now);
        overdue.forEach(operation -> {
            membershipTurn.operationEnded();
            end(operation, ConsensusNode.CallResult.UNCLEAR);
        });
        if (queue.head() != head) {
            quorumRead.reset();
        }
        if (withoutQuorum || balloted != null && balloted != queue.head()) {
            round.cancel();
        }
    }

    /** Carries what is under way, or else what is next, as far as it goes now. */
    void advance(double now) {
        boolean progressed = true;
        while (progressed && host.decided() != null && round.mayAct(now)) {
            progressed = round.isActive() ? advanceRound(now) : beginNext(now);
        }
    }

    // False while it waits, or nothing is to be done.
    private boolean beginNext(double now) {
        boolean betweenOperations = quorumRead.state() == QuorumRead.State.IDLE;
        if (betweenOperations && (queue.isEmpty() || membershipTurn.isNext())) {
            VoterChange change = host.dueChange(now);
            if (change != null) {
                Decision decided = host.decided();
                propose(now, null, decided.with(change.applyTo(decided.voters())));
                return true;
            }
        }
        return !queue.isEmpty() && advance(now, queue.head());
    }

    // False while it waits.
    private boolean advance(double now, PendingOperation operation) {
        if (operation instanceof PendingOperation.FinishVote) {
            propose(now, operation, null);
        } else if (operation instanceof PendingOperation.Replace replace
                && quorumRead.state() == QuorumRead.State.IDLE) {
            advance(now, replace);
        } else {
            return advanceRead(now, operation);
        }
        return true;
    }

    private void advance(double now, PendingOperation.Replace replace) {
        switch (ruling(replace)) {
            case TAKEN -> finishHead(ConsensusNode.CallResult.TAKEN);
            case FORGOTTEN -> finishHead(ConsensusNode.CallResult.UNCLEAR);
            case NEXT ->
                propose(now, replace, host.decided().with(replace.version(), replace.digest(), replace.body()));
            case MISMATCH, OLD_VERSION -> quorumRead.begin(now, nextNonce());
            default -> throw new IllegalStateException("no such ruling");
        }
    }

    // A read, or a change that may only be refused after one. False while it waits.
    private boolean advanceRead(double now, PendingOperation operation) {
        switch (quorumRead.state()) {
            case IDLE -> quorumRead.begin(now, nextNonce());
            case ASKING -> {
                Decision decided = host.decided();
                if (!quorumRead.confirm(decided)) {
                    Message.Query question = quorumRead.question(decided);
                    quorumRead.unanswered(now, decided).forEach(voter -> actions.send(voter, question));
                    return false;
                }
                if (quorumRead.isVoteOpen()) {
                    propose(now, operation, null);
                }
            }
            case CONFIRMED -> finishHead(refusal(operation));
            default -> throw new IllegalStateException("not a state of a read");
        }
        return true;
    }

    private ConsensusNode.CallResult refusal(PendingOperation operation) {
        boolean isOld =
                operation instanceof PendingOperation.Replace replace && ruling(replace) == OrderRuling.OLD_VERSION;
        return isOld ? ConsensusNode.CallResult.OLD_VERSION : ConsensusNode.CallResult.MISMATCH;
    }

    private OrderRuling ruling(PendingOperation.Replace replace) {
        return OrderRuling.of(host.decided(), replace.version(), replace.builtOn(), replace.digest());
    }

    private void propose(double now, PendingOperation operation, Decision wanted) {
        balloted = operation;
        round.begin(now, host.decided(), wanted, host.promised());
    }

    // False while it waits.
    private boolean advanceRound(double now) {
        switch (round.advance(now, actions::send)) {
            case WON -> {
                won(now, round.won());
                return true;
            }
            case OUTBID -> {
                if (quorumRead.state() == QuorumRead.State.CONFIRMED) {
                    quorumRead.reset();
                }
                return false;
            }
            case NOTHING_TO_FINISH -> {
                if (balloted instanceof PendingOperation.FinishVote) {
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

    private void won(double now, Decision decision) {
        if (!decision.voters().equals(host.decided().voters())) {
            membershipTurn.changed();
        }
        host.learn(now, decision);
        decision.voters().stream()
                .filter(voter -> !voter.equals(self))
                .forEach(voter -> actions.send(voter, new Message.Decided(decision)));
        if (balloted instanceof PendingOperation.FinishVote) {
            removeHead();
        }
    }

    private void finishHead(ConsensusNode.CallResult result) {
        PendingOperation operation = queue.head();
        removeHead();
        end(operation, result);
    }

    private void removeHead() {
        queue.removeHead();
        membershipTurn.operationEnded();
        quorumRead.reset();
    }

    private void end(PendingOperation operation, ConsensusNode.CallResult result) {
        if (operation instanceof PendingOperation.Read read) {
            actions.read(read.call(), result == ConsensusNode.CallResult.UNCLEAR ? null : host.decided());
        } else if (operation instanceof PendingOperation.Replace replace) {
            actions.replaced(replace.call(), result);
        }
    }
}
