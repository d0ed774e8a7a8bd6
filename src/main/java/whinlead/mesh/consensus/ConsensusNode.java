package whinlead.mesh.consensus;

import java.util.List;
import java.util.SplittableRandom;

/**
 * One control node's part in what the control nodes agree on: its vote ({@link Acceptor}), the operations that it
 * carries out one after the other ({@link OperationRunner}), and its place among the voters ({@link Membership}). No
 * control node leads. Pure: events with the time in, actions out; one thread; times in milliseconds on this control
 * node's steady clock.
 */
public final class ConsensusNode {
    /** How a call of an operator ended. */
    public enum CallResult {
        /** The change is in force, or the read was confirmed. */
        TAKEN,
        /** Refused: it was built on another version than the newest. */
        MISMATCH,
        /** Refused: its version does not exceed the newest. */
        OLD_VERSION,
        /** Nobody can tell: it may come into force yet. */
        UNCLEAR
    }

    /** What the consensus node has done for it. */
    public interface Actions {
        /** Sends a message to a control node, this one included, now or never. */
        void send(String to, Message message);

        /** Syncs this memory, then sends the message; if that fails, it sends nothing. */
        void sync(Acceptor.State memory, String to, Message message);

        /** Tells an operator's call its end. */
        void replaced(long call, CallResult verdict);

        /** Tells a reader the newest decision, or null where none could be made sure of. */
        void read(long call, Decision newest);

        /** A decision was learned; it may be written down without haste. */
        void decided(Decision decision);
    }

    /** A vote older than this that was never told decided is brought to its end, in milliseconds. */
    private static final double OPEN_VOTE_LIMIT = 400;

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
    /** Since when a vote of this control node is open; NaN while none is. */
    private double votedAt;
    /** Whether it has seen its first event. */
    private boolean awake;
    /** The newest slot that is on disk here, or -1. */
    private long storedSlot;

    /**
     * A control node's part in the consensus.
     *
     * @param self its id, drawn anew with each new disk
     * @param state what its disk holds
     * @param seed of all that it draws; another in each life, or it would call an old ballot anew
     */
    public ConsensusNode(String self, Acceptor.State state, long seed, Actions actions) {
        this.self = self;
        this.acceptor = new Acceptor(state);
        this.random = new SplittableRandom(seed);
        this.actions = actions;
        this.quorum = new QuorumMonitor(self, contact);
        this.failures = new FailureDetector(self, contact);
        this.membership = new Membership(self, contact, failures);
        // Names this life's ballots: what an earlier life called, this one may not remember.
        String proposerName = self + "/" + Long.toHexString(random.nextLong());
        this.operations = new OperationRunner(self, proposerName, random, new Host(), actions);
        this.votedAt = state.vote() == null ? Double.NaN : Double.NEGATIVE_INFINITY;
        this.storedSlot = decidedSlot();
        if (decided() != null) {
            membership.learned(Double.NEGATIVE_INFINITY, decided());
        }
    }

    /** Where an id's control node can be found: the address in it. */
    public static String address(String id) {
        return Membership.address(id);
    }

    /** The newest decision known, or null. */
    public Decision decided() {
        return acceptor.decided();
    }

    /** Whether it has a vote. */
    public boolean isVoter() {
        return decided() != null && decided().voters().contains(self);
    }

    /** The newest slot that is on disk here, or -1. */
    public long storedSlot() {
        return storedSlot;
    }

    /**
     * Whether it is in contact with a quorum: more than half of the voters, itself with them if it is one, have
     * answered a question that left within so many milliseconds, and none of those knows a newer decision.
     */
    public boolean isInContactWithQuorum(double now, double within) {
        return quorum.reachesQuorum(now, within, decided());
    }

    /** The decision of this slot is on disk here. */
    public void decisionStored(double now, long slot) {
        wake(now);
        if (slot > storedSlot) {
            storedSlot = slot;
            if (!isVoter()) {
                joinTimer.stored(now);
            }
        }
    }

    /**
     * Another control node answered a question.
     *
     * @param sentAt when the question left here
     * @param slot the newest decision that the other has on disk, or -1
     */
    public void pongReceived(double sentAt, String from, long slot) {
        if (decided() != null && decided().voters().contains(from)) {
            contact.answered(sentAt, from, slot);
        }
        // Whoever told it first may have gone, or the message was lost: who is behind asks until it has it.
        if (slot > decidedSlot()) {
            actions.send(from, new Message.Query(0, decidedSlot()));
        }
    }

    /**
     * This control node is to end. Where there are more than three voters it goes out of them first, by agreement: a
     * vote of one that is gone makes a quorum of the others no smaller, and two such make it larger. Three stay three,
     * for two would keep what is agreed on no third disk; and this one may come back.
     */
    public void leave(double now) {
        wake(now);
        membership.leave(decided());
        operations.advance(now);
    }

    /** Whether it may end: it is out, or need not be, and a quorum and all in contact store why. */
    public boolean mayEnd(double now) {
        return decided() == null || membership.mayEnd(now, decided(), storedSlot);
    }

    /** An operator sends a configuration built on another. */
    public void replace(double now, long call, long version, long builtOn, String digest, byte[] body) {
        submit(now, new PendingOperation.Replace(call, version, builtOn, digest, body));
    }

    /** Someone asks for the newest configuration. */
    public void read(double now, long call) {
        submit(now, new PendingOperation.Read(call));
    }

    private void submit(double now, PendingOperation operation) {
        wake(now);
        quorum.watch(now, decided());
        // One that may end takes on nothing new: whoever asks goes on to a control node that stays.
        boolean ending = membership.isLeaving() && mayEnd(now);
        if (quorum.isLost() || ending) {
            operations.reject(operation);
        } else {
            operations.submit(now, operation);
        }
    }

    // One that is dead since before this control node began is silent from now on, not for ever unknown.
    private void wake(double now) {
        contact.running(now);
        if (!awake && decided() != null) {
            keep(now, decided().voters());
        }
        awake = true;
    }

    /** A message came, from this control node itself too. */
    public void received(double now, String from, Message message) {
        wake(now);
        if (message instanceof Message.Prepare prepare) {
            reply(from, acceptor.prepare(prepare));
        } else if (message instanceof Message.Accept accept) {
            accept(now, from, accept);
        } else if (message instanceof Message.Query query) {
            answer(now, from, query);
        } else if (message instanceof Message.Decided update) {
            learn(now, update.decision());
        } else if (message instanceof Message.Join join) {
            join(now, from, join.slot());
        } else if (message instanceof Message.State state) {
            operations.answered(from, state);
            failures.answered(now, from, state);
        } else if (message instanceof Message.Lagging lagging) {
            if (lagging.have() < decidedSlot()) {
                actions.send(from, new Message.Decided(decided()));
            }
        } else {
            operations.received(now, from, message);
        }
        operations.advance(now);
    }

    private void accept(double now, String from, Message.Accept accept) {
        reply(from, acceptor.accept(accept));
        if (acceptor.state().vote() != null && Double.isNaN(votedAt)) {
            votedAt = now;
        }
    }

    // A control node without a vote has promised nothing that it can be held to: it answers no ballot.
    private void reply(String to, Acceptor.Reply reply) {
        boolean binds = reply.message() instanceof Message.Promise || reply.message() instanceof Message.Accepted;
        if (binds && !isVoter()) {
            return;
        }
        if (reply.synced()) {
            actions.sync(acceptor.state(), to, reply.message());
        } else {
            actions.send(to, reply.message());
        }
    }

    private void answer(double now, String from, Message.Query query) {
        if (decided() == null) {
            return;
        }
        if (query.slot() < decided().slot()) {
            actions.send(from, new Message.Decided(decided()));
        }
        boolean voted = acceptor.state().vote() != null;
        actions.send(
                from,
                new Message.State(query.nonce(), decided().slot(), voted, failures.opinions(now, query.suspects())));
    }

    private void learn(double now, Decision decision) {
        if (acceptor.learn(decision)) {
            votedAt = Double.NaN;
            operations.learned();
            actions.decided(decision);
            keep(now, decision.voters());
            membership.learned(now, decision);
        }
    }

    private void keep(double now, List<String> voters) {
        contact.retain(now, voters);
        failures.retain(voters);
    }

    private void join(double now, String from, long slot) {
        if (decided() == null || decided().voters().contains(from)) {
            return;
        }
        membership.requested(now, from, slot);
        if (slot < decided().slot()) {
            actions.send(from, new Message.Decided(decided()));
        }
    }

    /** Time passes; to be called some tens of times a second. */
    public void tick(double now) {
        wake(now);
        quorum.watch(now, decided());
        operations.endOverdue(now, quorum.isLost());
        if (!isVoter()) {
            askForVote(now);
        } else if (!quorum.isLost()) {
            askAboutSilent(now);
            finishOpenVote(now);
        }
        operations.advance(now);
    }

    // A vote that nobody came back for: it may be decided, and nobody knows.
    private void finishOpenVote(double now) {
        if (operations.isEmpty() && now - votedAt > OPEN_VOTE_LIMIT * (1 + random.nextDouble())) {
            votedAt = now;
            submit(now, new PendingOperation.FinishVote());
        }
    }

    // A second opinion on whoever is silent here, from the voters that are not.
    private void askAboutSilent(double now) {
        List<String> voters = decided().voters();
        SuspicionTracker.Question question = failures.question(now, voters, operations::nextNonce);
        if (question != null) {
            Message.Query query = new Message.Query(question.nonce(), decided().slot(), question.suspects());
            failures.witnesses(now, voters).forEach(voter -> actions.send(voter, query));
        }
    }

    // To all that it knows of: who is asked by name is the driver's to know while there is no decision.
    private void askForVote(double now) {
        if (!joinTimer.isDue(now)) {
            return;
        }
        joinTimer.restart(now, random.nextDouble());
        if (storedSlot >= 0 && !membership.isLeaving()) {
            joinTimer.asked(now);
            decided().voters().forEach(voter -> actions.send(voter, new Message.Join(storedSlot)));
        }
        actions.send(null, new Message.Query(0, decidedSlot()));
    }

    private long decidedSlot() {
        return decided() == null ? -1 : decided().slot();
    }

    /** What the operations need of this control node. */
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
        public VoterChange dueChange(double now) {
            return isVoter() && !quorum.isLost() ? membership.due(now, acceptor.decided()) : null;
        }

        @Override
        public void learn(double now, Decision decision) {
            ConsensusNode.this.learn(now, decision);
        }

        @Override
        public void voteFinished() {
            votedAt = Double.NaN;
        }
    }
}
