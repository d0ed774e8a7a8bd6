package whinlead.mesh.consensus;

import java.util.List;
import java.util.SplittableRandom;

/**
 * One control node's part in the consensus: its vote ({@link Acceptor}), the operations that it executes one after the
 * other ({@link OperationRunner}), and its membership among the voters ({@link Membership}). There is no leader. Pure:
 * it takes events with the time and emits actions; one thread; times in milliseconds on this control node's steady
 * clock.
 */
public final class ConsensusNode {
    /** The result of an operator's call. */
    public enum CallResult {
        /** The change is in force, or the read was confirmed. */
        TAKEN,
        /** Rejected: it builds on a version that is not the newest. */
        MISMATCH,
        /** Rejected: its version does not exceed the newest. */
        OLD_VERSION,
        /** The outcome is unknown: it may still come into force. */
        UNCLEAR
    }

    /** Actions that the driver of a consensus node must execute. */
    public interface Actions {
        /**
         * Sends a message to a control node, which may be this one, at once or not at all. A null recipient means all
         * known control nodes.
         */
        void send(String recipient, Message message);

        /** Syncs the state, then sends the message; if the sync fails, sends nothing. */
        void sync(Acceptor.State state, String recipient, Message message);

        /** Reports the result of an operator's call. */
        void replaceCompleted(long call, CallResult result);

        /** Reports the newest decision to a reader, or null if none could be confirmed. */
        void readCompleted(long call, Decision newest);

        /** A decision was learned; it need not be written before the consensus goes on. */
        void decisionLearned(Decision decision);
    }

    /** An own vote open for longer than this without a known decision is completed, in milliseconds. */
    private static final double OPEN_VOTE_LIMIT_MS = 400;

    private final String self;
    private final Acceptor acceptor;
    private final SplittableRandom random;
    private final Actions actions;
    private final ContactTracker contact = new ContactTracker();
    private final QuorumMonitor quorum;
    private final FailureDetector failures;
    private final Membership membership;
    private final OperationRunner operations;
    private final JoinTimer joinTimer = new JoinTimer();
    /** Since when a vote of this control node has been open; NaN if none is. */
    private double openVoteSinceMs;
    /** Whether the first event was handled. */
    private boolean started;
    /** The newest slot that is on this node's disk, or -1. */
    private long storedSlot;

    /**
     * A node of the consensus.
     *
     * @param self its id, newly drawn for each new disk
     * @param state the state on its disk
     * @param seed for all random choices; must differ in each process, or an earlier ballot could be reused
     */
    public ConsensusNode(String self, Acceptor.State state, long seed, Actions actions) {
        this.self = self;
        this.acceptor = new Acceptor(state);
        this.random = new SplittableRandom(seed);
        this.actions = actions;
        this.quorum = new QuorumMonitor(self, contact);
        this.failures = new FailureDetector(self, contact);
        this.membership = new Membership(self, contact, failures);
        // Makes ballots unique to this process, which may not remember the ballots of an earlier one.
        String proposerName = self + "/" + Long.toHexString(random.nextLong());
        this.operations = new OperationRunner(self, proposerName, random, new Host(), actions);
        this.openVoteSinceMs = state.vote() == null ? Double.NaN : Double.NEGATIVE_INFINITY;
        this.storedSlot = decidedSlot();
        if (decided() != null) {
            membership.decisionLearned(Double.NEGATIVE_INFINITY, decided());
        }
    }

    /** The network address contained in a control node's id. */
    public static String address(String id) {
        return Membership.address(id);
    }

    /** The newest known decision, or null. */
    public Decision decided() {
        return acceptor.decided();
    }

    /** Whether this control node is a voter. */
    public boolean isVoter() {
        return decided() != null && decided().voters().contains(self);
    }

    /** The newest slot that is on this node's disk, or -1. */
    public long storedSlot() {
        return storedSlot;
    }

    /**
     * Whether this control node is in contact with a quorum: more than half of the voters, counting itself if it is
     * one, have answered a ping sent at most {@code withinMs} ago, and none of them knows a newer decision.
     */
    public boolean isInContactWithQuorum(double nowMs, double withinMs) {
        return quorum.hasContactWithQuorum(nowMs, withinMs, decided());
    }

    /** The decision of this slot is on this node's disk. */
    public void decisionStored(double nowMs, long slot) {
        noteRunning(nowMs);
        if (slot > storedSlot) {
            storedSlot = slot;
            if (!isVoter()) {
                joinTimer.decisionStored(nowMs);
            }
        }
    }

    /**
     * Another control node answered a ping.
     *
     * @param sentAtMs when the ping was sent
     * @param slot the newest decision that the other node has on disk, or -1
     */
    public void pongReceived(double sentAtMs, String from, long slot) {
        if (decided() != null && decided().voters().contains(from)) {
            contact.replyReceived(sentAtMs, from, slot);
        }
        // The node that announced it may have stopped, or the message was lost: a node that is behind asks until it
        // has it.
        if (slot > decidedSlot()) {
            actions.send(from, new Message.Query(0, decidedSlot()));
        }
    }

    /**
     * Prepares to stop. If there are more than three voters, this node first has itself removed from them by consensus:
     * the vote of a stopped node makes no quorum smaller, and two such votes make it larger. Three voters are not
     * reduced, because two would leave the agreed state on no third disk, and this node may return.
     */
    public void leave(double nowMs) {
        noteRunning(nowMs);
        membership.leave(decided());
        operations.advance(nowMs);
    }

    /**
     * Whether it may stop: it has no vote or need not give it up, and a quorum and all voters in contact have stored
     * the decision that says so.
     */
    public boolean mayStop(double nowMs) {
        return decided() == null || membership.mayStop(nowMs, decided(), storedSlot);
    }

    /** An operator submits a configuration that builds on a given version. */
    public void replace(double nowMs, long call, long version, long builtOn, String digest, byte[] body) {
        submit(nowMs, new PendingOperation.Replace(call, version, builtOn, digest, body));
    }

    /** A client requests the newest configuration. */
    public void read(double nowMs, long call) {
        submit(nowMs, new PendingOperation.Read(call));
    }

    private void submit(double nowMs, PendingOperation operation) {
        noteRunning(nowMs);
        quorum.update(nowMs, decided());
        // A node that may stop accepts nothing new: the caller then goes to a control node that stays.
        boolean mayStop = membership.isLeaving() && mayStop(nowMs);
        if (quorum.isLost() || mayStop) {
            operations.reject(operation);
        } else {
            operations.submit(nowMs, operation);
        }
    }

    // The first event starts the silence of each voter, so a voter that stopped before this node started becomes
    // silent.
    private void noteRunning(double nowMs) {
        contact.noteRunning(nowMs);
        if (!started && decided() != null) {
            retainVoters(nowMs, decided().voters());
        }
        started = true;
    }

    /** Handles a message, which may come from this control node itself. */
    public void messageReceived(double nowMs, String from, Message message) {
        noteRunning(nowMs);
        if (message instanceof Message.Prepare prepare) {
            sendReply(from, acceptor.prepare(prepare));
        } else if (message instanceof Message.Accept accept) {
            handleAccept(nowMs, from, accept);
        } else if (message instanceof Message.Query query) {
            answerQuery(nowMs, from, query);
        } else if (message instanceof Message.Decided update) {
            learn(nowMs, update.decision());
        } else if (message instanceof Message.Join join) {
            handleJoin(nowMs, from, join.slot());
        } else if (message instanceof Message.State state) {
            operations.stateReceived(from, state);
            failures.opinionsReceived(nowMs, from, state);
        } else if (message instanceof Message.Lagging lagging) {
            if (lagging.decidedSlot() < decidedSlot()) {
                actions.send(from, new Message.Decided(decided()));
            }
        } else {
            operations.replyReceived(nowMs, from, message);
        }
        operations.advance(nowMs);
    }

    private void handleAccept(double nowMs, String from, Message.Accept accept) {
        sendReply(from, acceptor.accept(accept));
        if (acceptor.state().vote() != null && Double.isNaN(openVoteSinceMs)) {
            openVoteSinceMs = nowMs;
        }
    }

    // A control node without a vote is not bound by promises: it sends no reply that would bind it.
    private void sendReply(String recipient, Acceptor.Reply reply) {
        boolean isBinding = reply.message() instanceof Message.Promise || reply.message() instanceof Message.Accepted;
        if (isBinding && !isVoter()) {
            return;
        }
        if (reply.requiresSync()) {
            actions.sync(acceptor.state(), recipient, reply.message());
        } else {
            actions.send(recipient, reply.message());
        }
    }

    private void answerQuery(double nowMs, String from, Message.Query query) {
        if (decided() == null) {
            return;
        }
        if (query.slot() < decided().slot()) {
            actions.send(from, new Message.Decided(decided()));
        }
        boolean voted = acceptor.state().vote() != null;
        actions.send(
                from,
                new Message.State(query.nonce(), decided().slot(), voted, failures.opinions(nowMs, query.suspects())));
    }

    private void learn(double nowMs, Decision decision) {
        if (acceptor.learn(decision)) {
            openVoteSinceMs = Double.NaN;
            operations.decisionLearned();
            actions.decisionLearned(decision);
            retainVoters(nowMs, decision.voters());
            membership.decisionLearned(nowMs, decision);
        }
    }

    private void retainVoters(double nowMs, List<String> voters) {
        contact.retain(nowMs, voters);
        failures.retain(voters);
    }

    private void handleJoin(double nowMs, String from, long slot) {
        if (decided() == null || decided().voters().contains(from)) {
            return;
        }
        membership.voteRequested(nowMs, from, slot);
        if (slot < decided().slot()) {
            actions.send(from, new Message.Decided(decided()));
        }
    }

    /** Advances time; must be called some tens of times a second. */
    public void tick(double nowMs) {
        noteRunning(nowMs);
        quorum.update(nowMs, decided());
        operations.expireOverdue(nowMs, quorum.isLost());
        if (!isVoter()) {
            requestVote(nowMs);
        } else if (!quorum.isLost()) {
            requestOpinions(nowMs);
            finishOpenVote(nowMs);
        }
        operations.advance(nowMs);
    }

    // Completes an own vote whose proposer did not return: its value may be decided without anybody knowing.
    private void finishOpenVote(double nowMs) {
        if (operations.isEmpty() && nowMs - openVoteSinceMs > OPEN_VOTE_LIMIT_MS * (1 + random.nextDouble())) {
            openVoteSinceMs = nowMs;
            submit(nowMs, new PendingOperation.FinishVote());
        }
    }

    // Asks the voters that are not silent for a second opinion on the silent ones.
    private void requestOpinions(double nowMs) {
        List<String> voters = decided().voters();
        SuspicionTracker.Question question = failures.question(nowMs, voters, operations::nextNonce);
        if (question != null) {
            Message.Query query = new Message.Query(question.nonce(), decided().slot(), question.suspects());
            failures.witnesses(nowMs, voters).forEach(voter -> actions.send(voter, query));
        }
    }

    // The query goes to all known control nodes: without a decision only the driver knows addresses.
    private void requestVote(double nowMs) {
        if (!joinTimer.isDue(nowMs)) {
            return;
        }
        joinTimer.restart(nowMs, random.nextDouble());
        if (storedSlot >= 0 && !membership.isLeaving()) {
            joinTimer.voteRequested(nowMs);
            decided().voters().forEach(voter -> actions.send(voter, new Message.Join(storedSlot)));
        }
        actions.send(null, new Message.Query(0, decidedSlot()));
    }

    private long decidedSlot() {
        return decided() == null ? -1 : decided().slot();
    }

    /** The view of this control node that its operations need. */
    private final class Host implements OperationRunner.Host {
        @Override
        public Decision decided() {
            return acceptor.decided();
        }

        @Override
        public Ballot promised() {
            return acceptor.state().promised();
        }

        @Override
        public VoterChange dueChange(double nowMs) {
            return isVoter() && !quorum.isLost() ? membership.dueChange(nowMs, acceptor.decided()) : null;
        }

        @Override
        public void learn(double nowMs, Decision decision) {
            ConsensusNode.this.learn(nowMs, decision);
        }

        @Override
        public void voteFinished() {
            openVoteSinceMs = Double.NaN;
        }
    }
}
