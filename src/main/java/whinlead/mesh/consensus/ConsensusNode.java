package whinlead.mesh.consensus;

import java.util.List;
import java.util.SplittableRandom;

/**
 * One control node's part in what the control nodes agree on: its vote ({@link Acceptor}), the operations that it puts
 * to the ballot one after the other ({@link OperationQueue}, {@link ConsensusRound}, {@link QuorumRead}), and its place
 * among the voters ({@link Membership}). No control node leads. Pure: events with the time in, actions out; one thread;
 * times in milliseconds on this control node's steady clock.
 */
public final class ConsensusNode {
    /** How a call of an operator ended. */
    public enum CallResult {
        TAKEN,
        MISMATCH,
        OLD_VERSION,
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

    /** An answer to a question that left so many milliseconds ago tells nothing of whom it reaches now. */
    private static final double CONTACT_LIMIT = 1000;
    /** Without contact with a quorum for so long, operations end unclear at once, in milliseconds. */
    private static final double WITHOUT_QUORUM_LIMIT = 500;
    /** A vote older than this that was never told decided is brought to its end, in milliseconds. */
    private static final double OPEN_VOTE_LIMIT = 400;
    /** How often a control node without a vote asks for one, in milliseconds. */
    private static final double JOIN_INTERVAL = 250;
    /** How often it asks at most, as what it has on disk gets newer, in milliseconds. */
    private static final double MIN_JOIN_INTERVAL = 100;

    private final String self;
    private final Acceptor acceptor;
    private final SplittableRandom random;
    private final Actions actions;
    private final ContactTracker contact = new ContactTracker();
    private final FailureDetector failures;
    private final OperationQueue queue = new OperationQueue();
    private final QuorumRead quorumRead = new QuorumRead();
    private final ConsensusRound round;
    private final Membership membership;
    private final MembershipTurn membershipTurn = new MembershipTurn();
    /** What the ballot under way is for; null for a change of voters. */
    private PendingOperation balloted;
    /** Since when a vote of this control node is open; NaN while none is. */
    private double votedAt;

    private double joinAt;
    private double joinedAt = Double.NEGATIVE_INFINITY;
    private boolean awake;
    /** Since when no quorum is in contact; NaN while one is. */
    private double withoutQuorumSince = Double.NEGATIVE_INFINITY;

    private boolean withoutQuorum;
    private long storedSlot;

    /**
     * A control node's consensus node.
     *
     * @param self its id, drawn anew with each new disk
     * @param seed of all that it draws; another in each life, or it would call an old ballot anew
     */
    public ConsensusNode(String self, Acceptor.State memory, long seed, Actions actions) {
        this.self = self;
        this.acceptor = new Acceptor(memory);
        this.random = new SplittableRandom(seed);
        this.actions = actions;
        // Names this life's ballots: what an earlier life called, this one may not remember.
        this.round = new ConsensusRound(self + "/" + Long.toHexString(random.nextLong()), random);
        this.failures = new FailureDetector(self, contact);
        this.membership = new Membership(self, contact, failures);
        this.votedAt = memory.vote() == null ? Double.NaN : Double.NEGATIVE_INFINITY;
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
    public boolean inTouch(double now, double within) {
        if (decided() == null) {
            return false;
        }
        List<String> reached = decided().voters().stream()
                .filter(voter -> voter.equals(self) || contact.reached(now, within, voter))
                .toList();
        return reached.size() >= decided().quorum()
                && reached.stream()
                        .allMatch(voter -> contact.stored(voter) <= decided().slot());
    }

    /** The decision of this slot is on disk here. */
    public void stored(double now, long slot) {
        wake(now);
        if (slot > storedSlot) {
            storedSlot = slot;
            if (!isVoter()) {
                // What it waited for to ask for a vote.
                joinAt = Math.min(joinAt, Math.max(now, joinedAt + MIN_JOIN_INTERVAL));
            }
        }
    }

    /**
     * Another control node answered a question.
     *
     * @param sentAt when the question left here
     * @param slot the newest decision that the other has on disk, or -1
     */
    public void echoed(double sentAt, String from, long slot) {
        if (decided() != null && decided().voters().contains(from)) {
            contact.echoed(sentAt, from, slot);
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
        advance(now);
    }

    /** Whether it may end: it is out, or need not be, and a quorum and all in contact store why. */
    public boolean left(double now) {
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
        watchQuorum(now);
        // One that may end takes on nothing new: whoever asks goes on to a control node that stays.
        boolean ending = membership.isLeaving() && left(now);
        if (withoutQuorum || ending || !queue.offer(now, operation)) {
            end(operation, CallResult.UNCLEAR);
            return;
        }
        advance(now);
    }

    // One that is dead since before this control node began is silent from now on, not for ever unknown.
    private void wake(double now) {
        contact.wake(now);
        if (!awake && decided() != null) {
            keep(now, decided().voters());
        }
        awake = true;
    }

    // Whether no quorum has been in contact for so long that no operation is worth the wait.
    private void watchQuorum(double now) {
        if (decided() == null || inTouch(now, CONTACT_LIMIT)) {
            withoutQuorumSince = Double.NaN;
        } else if (Double.isNaN(withoutQuorumSince) || withoutQuorumSince == Double.NEGATIVE_INFINITY) {
            withoutQuorumSince = now;
        }
        withoutQuorum = now - withoutQuorumSince > WITHOUT_QUORUM_LIMIT;
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
            quorumRead.answered(from, state, decided());
            failures.answered(now, from, state);
        } else if (message instanceof Message.Lagging lagging) {
            if (lagging.have() < decidedSlot()) {
                actions.send(from, new Message.Decided(decided()));
            }
        } else {
            round.received(now, from, message);
        }
        advance(now);
    }

    private void accept(double now, String from, Message.Accept accept) {
        reply(from, acceptor.accept(accept));
        if (acceptor.memory().vote() != null && Double.isNaN(votedAt)) {
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
            actions.sync(acceptor.memory(), to, reply.message());
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
        boolean voted = acceptor.memory().vote() != null;
        actions.send(
                from,
                new Message.State(query.nonce(), decided().slot(), voted, failures.opinions(now, query.suspects())));
    }

    private void learn(double now, Decision decision) {
        if (acceptor.learn(decision)) {
            votedAt = Double.NaN;
            round.cancel();
            quorumRead.reset();
            actions.decided(decision);
            keep(now, decision.voters());
            membership.learned(now, decision);
        }
    }

    private void keep(double now, List<String> voters) {
        contact.keep(now, voters);
        failures.keep(voters);
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
        watchQuorum(now);
        endOverdue(now);
        if (!isVoter()) {
            askForVote(now);
        } else if (!withoutQuorum) {
            askAboutSilent(now);
            finishOpenVote(now);
        }
        advance(now);
    }

    private void endOverdue(double now) {
        PendingOperation head = queue.head();
        List<PendingOperation> overdue = withoutQuorum ? queue.removeAll() : queue.removeExpired(now);
        overdue.forEach(operation -> {
            membershipTurn.operationEnded();
            end(operation, CallResult.UNCLEAR);
        });
        if (queue.head() != head) {
            quorumRead.reset();
        }
        if (withoutQuorum || balloted != null && balloted != queue.head()) {
            round.cancel();
        }
    }

    // A vote that nobody came back for: it may be decided, and nobody knows.
    private void finishOpenVote(double now) {
        if (queue.isEmpty() && now - votedAt > OPEN_VOTE_LIMIT * (1 + random.nextDouble())) {
            votedAt = now;
            submit(now, new PendingOperation.FinishVote());
        }
    }

    // A second opinion on whoever is silent here, from the voters that are not.
    private void askAboutSilent(double now) {
        List<String> voters = decided().voters();
        SuspicionTracker.Question question = failures.question(now, voters, this::nextNonce);
        if (question != null) {
            Message.Query query = new Message.Query(question.nonce(), decided().slot(), question.suspects());
            failures.witnesses(now, voters).forEach(voter -> actions.send(voter, query));
        }
    }

    // To all that it knows of: who is asked by name is the driver's to know while there is no decision.
    private void askForVote(double now) {
        if (now < joinAt) {
            return;
        }
        joinAt = now + JOIN_INTERVAL * (0.75 + 0.5 * random.nextDouble());
        if (storedSlot >= 0 && !membership.isLeaving()) {
            joinedAt = now;
            decided().voters().forEach(voter -> actions.send(voter, new Message.Join(storedSlot)));
        }
        actions.send(null, new Message.Query(0, decidedSlot()));
    }

    // Carries what is under way, or else what is next, as far as it goes now.
    private void advance(double now) {
        boolean progressed = true;
        while (progressed && decided() != null && round.mayAct(now)) {
            progressed = round.isActive() ? advanceRound(now) : beginNext(now);
        }
    }

    // False while it waits, or nothing is to be done.
    private boolean beginNext(double now) {
        boolean betweenOperations = quorumRead.state() == QuorumRead.State.IDLE;
        if (betweenOperations && (queue.isEmpty() || membershipTurn.isNext())) {
            VoterChange change = isVoter() && !withoutQuorum ? membership.due(now, decided()) : null;
            if (change != null) {
                propose(now, null, decided().with(change.applyTo(decided().voters())));
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
            case TAKEN -> finishHead(CallResult.TAKEN);
            case FORGOTTEN -> finishHead(CallResult.UNCLEAR);
            case NEXT -> propose(now, replace, decided().with(replace.version(), replace.digest(), replace.body()));
            case MISMATCH, OLD_VERSION -> quorumRead.begin(now, nextNonce());
            default -> throw new IllegalStateException("no such ruling");
        }
    }

    // A read, or a change that may only be refused after one. False while it waits.
    private boolean advanceRead(double now, PendingOperation operation) {
        switch (quorumRead.state()) {
            case IDLE -> quorumRead.begin(now, nextNonce());
            case ASKING -> {
                if (!quorumRead.confirm(decided())) {
                    quorumRead
                            .unanswered(now, decided())
                            .forEach(voter -> actions.send(voter, quorumRead.question(decided())));
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

    private CallResult refusal(PendingOperation operation) {
        boolean isOld =
                operation instanceof PendingOperation.Replace replace && ruling(replace) == OrderRuling.OLD_VERSION;
        return isOld ? CallResult.OLD_VERSION : CallResult.MISMATCH;
    }

    private OrderRuling ruling(PendingOperation.Replace replace) {
        return OrderRuling.of(decided(), replace.version(), replace.builtOn(), replace.digest());
    }

    private long nextNonce() {
        return random.nextLong() | 1;
    }

    private void propose(double now, PendingOperation operation, Decision wanted) {
        balloted = operation;
        round.begin(now, decided(), wanted, acceptor.memory().promised());
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
                    votedAt = Double.NaN;
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
        if (!decision.voters().equals(decided().voters())) {
            membershipTurn.changed();
        }
        learn(now, decision);
        decision.voters().stream()
                .filter(voter -> !voter.equals(self))
                .forEach(voter -> actions.send(voter, new Message.Decided(decision)));
        if (balloted instanceof PendingOperation.FinishVote) {
            removeHead();
        }
    }

    private void finishHead(CallResult verdict) {
        PendingOperation operation = queue.head();
        removeHead();
        end(operation, verdict);
    }

    private void removeHead() {
        queue.removeHead();
        membershipTurn.operationEnded();
        quorumRead.reset();
    }

    private void end(PendingOperation operation, CallResult verdict) {
        if (operation instanceof PendingOperation.Read read) {
            actions.read(read.call(), verdict == CallResult.UNCLEAR ? null : decided());
        } else if (operation instanceof PendingOperation.Replace replace) {
            actions.replaced(replace.call(), verdict);
        }
    }

    private long decidedSlot() {
        return decided() == null ? -1 : decided().slot();
    }
}
