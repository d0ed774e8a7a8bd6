package cobaltrack.post.ballot;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One office's part in what the offices agree on: its vote, the operators' calls that it puts to the ballot,
 * one after the other, and its place among the electors. No office leads. Pure: events with the time in,
 * actions out; one thread.
 */
public final class Council {
    /** How a call of an operator ended. */
    public enum Verdict { TAKEN, MISMATCH, OLD_VERSION, UNCLEAR }

    /** What the council has done for it. */
    public interface Actions {
        /** Sends a message to an office, this one included, now or never. */
        void send(String to, Message message);

        /** Syncs this memory, then sends the message; if that fails, it sends nothing. */
        void sync(Acceptor.Memory memory, String to, Message message);

        /** Tells an operator's call its end. */
        void replaced(long call, Verdict verdict);

        /** Tells a reader the newest decision, or null where none could be made sure of. */
        void read(long call, Decision newest);

        /** A decision was learned; it may be written down without haste. */
        void decided(Decision decision);
    }

    /** Calls that may wait; an operator is told to come back beyond. */
    private static final int CALLS_MOST = 64;
    /** What has not been answered is asked again after so many milliseconds. */
    private static final double AGAIN = 150;
    /** A call that could not be decided in so many milliseconds ends unclear: whoever sent it has gone on. */
    private static final double CALL_MOST = 2000;
    /** An answer to a question that left so many milliseconds ago tells nothing of whom it reaches now. */
    private static final double CONTACT = 1000;
    /** Without contact with a quorum for so long, calls end unclear at once, in milliseconds. */
    private static final double WITHOUT_QUORUM = 500;
    /** For a newcomer heard of so lately, one that leaves waits: it may take the seat. */
    private static final double NEWCOMER = 1000;
    /** A backoff after a lost ballot lies between these, in milliseconds, doubled up to the most. */
    private static final double BACKOFF = 8;
    private static final double BACKOFF_MOST = 250;
    /** A vote older than this that was never told decided is brought to its end, in milliseconds. */
    private static final double UNFINISHED = 400;
    /** How often an office without a seat asks for one, in milliseconds. */
    private static final double JOIN_EVERY = 250;
    /** An elector that has said nothing for so many milliseconds may lose its seat to a newcomer. */
    private static final double SILENT = 2500;

    /** So many electors are not made fewer. */
    private static final int ELECTORS_LEAST = 3;

    private enum Stage { FRESH, ASKING, ASKED, BALLOT }

    /** One thing to be done. */
    private static final class Call {
        private final long id;
        private final long version;
        private final long builtOn;
        private final String digest;
        private final byte[] body;
        private final String joiner;
        private final boolean reads;
        private double endAt;
        private Stage stage = Stage.FRESH;

        private Call(long id, long version, long builtOn, String digest, byte[] body, String joiner,
                boolean reads) {
            this.id = id;
            this.version = version;
            this.builtOn = builtOn;
            this.digest = digest;
            this.body = body;
            this.joiner = joiner;
            this.reads = reads;
        }
    }

    private final String me;
    /** Names its ballots: this life's own, for what an earlier life called it may not remember. */
    private final String caller;
    private final Acceptor acceptor;
    private final SplittableRandom random;
    private final Actions out;
    private final ArrayDeque<Call> calls = new ArrayDeque<>();
    private final Contact contact = new Contact();
    private final Set<String> answered = new HashSet<>();
    private Proposer proposer;
    private long round;
    private long nonce;
    private boolean pending;
    private double againAt;
    private double startAt;
    private double backoff = BACKOFF;
    private double votedAt = Double.NaN;
    private double joinAt;
    private double askedForSeatAt = Double.NEGATIVE_INFINITY;
    private String newcomer = "";
    private long newcomerHas;
    private boolean begun;
    /** Since when no quorum is in contact; NaN while one is. */
    private double withoutQuorumSince = Double.NEGATIVE_INFINITY;
    private long storedSlot;
    private boolean leaving;

    /**
     * An office's council.
     *
     * @param me its id, drawn anew with each new disk
     * @param seed of all that it draws; another in each life, or it would call an old ballot anew
     */
    public Council(String me, Acceptor.Memory memory, long seed, Actions out) {
        this.me = me;
        this.acceptor = new Acceptor(memory);
        this.random = new SplittableRandom(seed);
        this.caller = me + "/" + Long.toHexString(random.nextLong());
        this.out = out;
        this.votedAt = memory.vote() == null ? Double.NaN : Double.NEGATIVE_INFINITY;
        this.storedSlot = memory.decided() == null ? -1 : memory.decided().slot();
    }

    /** The newest decision known, or null. */
    public Decision decided() {
        return acceptor.decided();
    }

    /** Whether it has a vote. */
    public boolean seated() {
        return decided() != null && decided().electors().contains(me);
    }

    /**
     * Whether it is in contact with a quorum: more than half of the electors, itself with them if it is one,
     * have answered a question that left within so many milliseconds, and none of those knows a newer
     * decision.
     */
    public boolean inTouch(double now, double within) {
        if (decided() == null) {
            return false;
        }
        List<String> reached = decided().electors().stream()
                .filter(e -> e.equals(me) || contact.reached(now, within, e)).toList();
        return reached.size() >= decided().quorum()
                && reached.stream().allMatch(e -> contact.stored(e) <= decided().slot());
    }

    /** The newest slot that is on disk here, or -1. */
    public long storedSlot() {
        return storedSlot;
    }

    /** The decision of this slot is on disk here. */
    public void stored(double now, long slot) {
        wake(now);
        if (slot > storedSlot) {
            storedSlot = slot;
            if (!seated()) {
                // What it waited for to ask for a seat.
                joinAt = now;
            }
        }
    }

    /**
     * Another office answered a question.
     *
     * @param sentAt when the question left here
     * @param slot the newest decision that the other has on disk, or -1
     */
    public void echoed(double sentAt, String from, long slot) {
        if (decided() != null && decided().electors().contains(from)) {
            contact.echoed(sentAt, from, slot);
        }
        // Whoever told it first may have gone, or the message was lost: who is behind asks until it has it.
        if (slot > (decided() == null ? -1 : decided().slot())) {
            out.send(from, new Message.Query(0, decided() == null ? -1 : decided().slot()));
        }
    }

    /**
     * This office is to end. Where there are more than three electors it goes out of them first, by
     * agreement: a seat of one that is gone makes a quorum of the others no smaller, and two such make it larger. Three
     * stay three, for two would keep what is agreed on no third disk; and this one may come back.
     */
    public void leave(double now) {
        wake(now);
        leaving = true;
        go(now);
    }

    /** Whether it may end: it is out, or need not be, and each elector in contact has the newest on disk. */
    public boolean left(double now) {
        if (decided() == null) {
            return true;
        }
        boolean stays = seated() && (leavesByAgreement() || asked(now));
        return !stays && decided().electors().stream().allMatch(e -> e.equals(me)
                || !contact.reached(now, CONTACT, e) || contact.stored(e) >= decided().slot());
    }

    private boolean leavesByAgreement() {
        return decided().electors().size() > ELECTORS_LEAST;
    }

    /** An operator sends a configuration built on another. */
    public void replace(double now, long call, long version, long builtOn, String digest, byte[] body) {
        add(now, new Call(call, version, builtOn, digest, body, null, false));
    }

    /** Someone asks for the newest configuration. */
    public void read(double now, long call) {
        add(now, new Call(call, 0, 0, null, null, null, true));
    }

    private void add(double now, Call call) {
        wake(now);
        call.endAt = now + CALL_MOST;
        if (calls.size() >= CALLS_MOST || withoutQuorum(now)) {
            end(call, Verdict.UNCLEAR);
            return;
        }
        calls.add(call);
        go(now);
    }

    // One that is dead since before this office began is silent from now on, not for ever unknown.
    private void wake(double now) {
        contact.wake(now);
        if (!begun && decided() != null) {
            contact.keep(now, decided().electors());
        }
        begun = true;
    }

    // Whether no quorum has been in contact for so long that no call is worth the wait.
    private boolean withoutQuorum(double now) {
        if (decided() == null || inTouch(now, CONTACT)) {
            withoutQuorumSince = Double.NaN;
        } else if (Double.isNaN(withoutQuorumSince) || withoutQuorumSince == Double.NEGATIVE_INFINITY) {
            withoutQuorumSince = now;
        }
        return now - withoutQuorumSince > WITHOUT_QUORUM;
    }

    /** A message came, from this office itself too. */
    public void received(double now, String from, Message message) {
        wake(now);
        if (message instanceof Message.Prepare p) {
            reply(now, from, acceptor.prepare(p));
        } else if (message instanceof Message.Accept p) {
            reply(now, from, acceptor.accept(p));
            if (acceptor.memory().vote() != null && Double.isNaN(votedAt)) {
                votedAt = now;
            }
        } else if (message instanceof Message.Query q) {
            query(from, q);
        } else if (message instanceof Message.Decided d) {
            learn(now, d.decision());
        } else if (message instanceof Message.Join j) {
            join(now, from, j.slot());
        } else if (message instanceof Message.State s) {
            state(from, s);
        } else if (message instanceof Message.Lagging l) {
            if (decided() != null && l.have() < decided().slot()) {
                out.send(from, new Message.Decided(decided()));
            }
        } else if (proposer != null) {
            Proposer.State before = proposer.state();
            reply(from, message);
            if (proposer.state() != before) {
                // What comes next is not asked again but for the first time.
                againAt = now;
            }
        }
        go(now);
    }

    private void reply(String from, Message message) {
        if (message instanceof Message.Promise p && p.slot() == proposer.slot()) {
            proposer.promise(from, p);
        } else if (message instanceof Message.Accepted v && v.slot() == proposer.slot()) {
            proposer.vote(from, v);
        } else if (message instanceof Message.Nack o && o.slot() == proposer.slot()) {
            proposer.outbid(o);
        }
    }

    // An office without a seat has promised nothing that it can be held to: it answers no ballot.
    private void reply(double now, String to, Acceptor.Reply reply) {
        if (reply.message() instanceof Message.Promise || reply.message() instanceof Message.Accepted) {
            if (!seated()) {
                return;
            }
        }
        if (reply.synced()) {
            out.sync(acceptor.memory(), to, reply.message());
        } else {
            out.send(to, reply.message());
        }
    }

    private void query(String from, Message.Query q) {
        if (decided() == null) {
            return;
        }
        if (q.slot() < decided().slot()) {
            out.send(from, new Message.Decided(decided()));
        }
        out.send(from, new Message.State(q.nonce(), decided().slot(), acceptor.memory().vote() != null));
    }

    private void state(String from, Message.State s) {
        // One that knows a newer decision has sent it, and counts once that is here: schedule 4209 read
        // an old version where the two came in the other order.
        boolean current = decided() != null && s.slot() <= decided().slot();
        if (s.nonce() == nonce && current && decided().electors().contains(from)) {
            answered.add(from);
            pending |= s.voted() && s.slot() >= decided().slot();
        }
    }

    private void learn(double now, Decision decision) {
        if (acceptor.learn(decision)) {
            votedAt = Double.NaN;
            proposer = null;
            out.decided(decision);
            contact.keep(now, decision.electors());
            if (!calls.isEmpty()) {
                calls.peek().stage = Stage.FRESH;
            }
        }
    }

    // A learner first: only one that has the newest decision on disk is worth a seat.
    private void join(double now, String from, long has) {
        if (decided() == null || decided().electors().contains(from)
                || calls.stream().anyMatch(c -> from.equals(c.joiner))) {
            return;
        }
        askedForSeatAt = now;
        newcomer = from;
        newcomerHas = has;
        if (has < decided().slot()) {
            out.send(from, new Message.Decided(decided()));
        } else if (has == decided().slot()) {
            add(now, new Call(-1, has, 0, null, null, from, false));
        }
    }

    /** Time passes; to be called some tens of times a second. */
    public void tick(double now) {
        wake(now);
        boolean withoutQuorum = withoutQuorum(now);
        Call first = calls.peek();
        for (Call call : List.copyOf(calls)) {
            if (now > call.endAt || withoutQuorum) {
                calls.remove(call);
                end(call, Verdict.UNCLEAR);
            }
        }
        if (calls.peek() != first) {
            proposer = null;
        }
        if (decided() == null || !seated()) {
            if (now >= joinAt) {
                joinAt = now + JOIN_EVERY * (0.75 + 0.5 * random.nextDouble());
                askForSeat();
            }
        } else if (!withoutQuorum) {
            // A vote that nobody came back for: it may be decided, and nobody knows.
            if (calls.isEmpty() && now - votedAt > UNFINISHED * (1 + random.nextDouble())) {
                votedAt = now;
                add(now, new Call(-1, 0, 0, null, null, null, false));
            }
            retire(now);
        }
        go(now);
    }

    // To all that it knows of: who is asked by name is the driver's to know while there is no decision.
    private void askForSeat() {
        long have = decided() == null ? -1 : decided().slot();
        if (have >= 0 && storedSlot == have && !leaving) {
            decided().electors().forEach(e -> out.send(e, new Message.Join(have)));
        }
        out.send(null, new Message.Query(0, have));
    }

    // With an even number of seats one that is silent is given up: the count that it leaves has the same
    // majority less one. So are two of an odd number, one after the other. One that leaves goes out whatever
    // the number, and gives its seat to a newcomer that asks.
    private void retire(double now) {
        int electors = decided().electors().size();
        long silent = decided().electors().stream().filter(e -> silent(now, e)).count();
        if (calls.isEmpty() && leaving && asked(now)) {
            add(now, new Call(-1, newcomerHas, 0, null, null, newcomer, false));
        } else if (calls.isEmpty() && electors > ELECTORS_LEAST
                && (leaving || silent >= (electors % 2 == 0 ? 1 : 2))) {
            add(now, new Call(-1, decided().slot(), 0, null, null, "", false));
        }
    }

    // Whether a newcomer has asked for a seat lately, and has none.
    private boolean asked(double now) {
        return now - askedForSeatAt < NEWCOMER && !decided().electors().contains(newcomer);
    }

    private boolean silent(double now, String elector) {
        return !elector.equals(me) && contact.silence(now, elector) > SILENT;
    }

    private String silent(double now) {
        return decided().electors().stream().filter(e -> silent(now, e)).findFirst().orElse(null);
    }

    // A seat beside one that may be dead would leave no room for the next loss.
    private boolean allReached(double now) {
        return decided().electors().stream().allMatch(e -> e.equals(me) || contact.reached(now, CONTACT, e));
    }

    /** Where an id's office can be found: the address in it. */
    public static String address(String id) {
        int mark = id.indexOf('#');
        return mark < 0 ? id : id.substring(0, mark);
    }

    // The next decision, which gives the joiner a seat or is without one that leaves; null where none is due.
    private Decision seatFor(double now, Call call) {
        String joiner = call.joiner;
        if (call.version != decided().slot()) {
            return null;
        }
        List<String> electors = new ArrayList<>(decided().electors());
        String old = electors.stream().filter(e -> address(e).equals(address(joiner))).findFirst()
                .orElse(null);
        String gone = old != null ? old : leaving && electors.contains(me) ? me : silent(now);
        if (gone == null && !allReached(now)) {
            return null;
        }
        if (joiner.isEmpty()) {
            return gone != null && electors.size() > ELECTORS_LEAST && electors.remove(gone)
                    ? decided().with(electors) : null;
        }
        if (electors.contains(joiner)) {
            return null;
        }
        if (gone != null) {
            electors.set(electors.indexOf(gone), joiner);
        } else {
            electors.add(joiner);
        }
        return decided().with(electors);
    }

    // Carries the first call as far as it goes now.
    private void go(double now) {
        while (!calls.isEmpty() && now >= startAt) {
            Call call = calls.peek();
            if (decided() == null) {
                return;
            }
            if (proposer != null) {
                if (!ballot(now)) {
                    return;
                }
                continue;
            }
            if (!step(now, call)) {
                return;
            }
        }
    }

    // False while it waits.
    private boolean step(double now, Call call) {
        switch (call.stage) {
            case FRESH -> {
                if (call.joiner != null) {
                    Decision seat = seatFor(now, call);
                    if (seat == null) {
                        calls.poll();
                    } else {
                        run(now, seat);
                    }
                } else if (call.body != null) {
                    order(now, call);
                } else if (!call.reads) {
                    run(now, null);
                } else {
                    ask(now, call);
                }
            }
            case ASKING -> {
                if (answered.size() < decided().quorum()) {
                    again(now, () -> decided().electors().stream().filter(e -> !answered.contains(e))
                            .forEach(e -> out.send(e, new Message.Query(nonce, decided().slot()))));
                    return false;
                }
                call.stage = Stage.ASKED;
                if (pending) {
                    run(now, null);
                }
            }
            case ASKED -> {
                calls.poll();
                end(call, ruling(call) == OrderRuling.MISMATCH ? Verdict.MISMATCH : Verdict.OLD_VERSION);
            }
            default -> throw new IllegalStateException("in a ballot that is over");
        }
        return true;
    }

    private void order(double now, Call call) {
        switch (ruling(call)) {
            case TAKEN -> end(calls.poll(), Verdict.TAKEN);
            case FORGOTTEN -> end(calls.poll(), Verdict.UNCLEAR);
            case NEXT -> run(now, decided().with(call.version, call.digest, call.body));
            case MISMATCH, OLD_VERSION -> ask(now, call);
            default -> throw new IllegalStateException("no such ruling");
        }
    }

    private OrderRuling ruling(Call call) {
        return OrderRuling.of(decided(), call.version, call.builtOn, call.digest);
    }

    private void ask(double now, Call call) {
        call.stage = Stage.ASKING;
        answered.clear();
        pending = false;
        nonce = random.nextLong() | 1;
        againAt = now;
    }

    private void again(double now, Runnable send) {
        if (now >= againAt) {
            againAt = now + AGAIN;
            send.run();
        }
    }

    private void run(double now, Decision wanted) {
        round = Math.max(round, acceptor.memory().promised().round()) + 1;
        proposer = new Proposer(decided(), new Ballot(round, caller), wanted);
        againAt = now;
    }

    // False while it waits.
    private boolean ballot(double now) {
        Proposer c = proposer;
        Proposer.State before = c.state();
        switch (before) {
            case PREPARING, PROPOSING -> {
                again(now, () -> decided().electors().forEach(e -> {
                    Message message = c.call(e);
                    if (message != null) {
                        out.send(e, message);
                    }
                }));
                if (proposer == c && c.state() != before) {
                    againAt = now;
                    return true;
                }
                return proposer != c;
            }
            case WON -> {
                proposer = null;
                backoff = BACKOFF;
                Decision won = c.value();
                learn(now, won);
                won.electors().stream().filter(e -> !e.equals(me))
                        .forEach(e -> out.send(e, new Message.Decided(won)));
                finished(won);
                return true;
            }
            case NACKED -> {
                proposer = null;
                round = Math.max(round, c.higher().round());
                startAt = now + backoff * (0.5 + random.nextDouble());
                backoff = Math.min(BACKOFF_MOST, backoff * 2);
                if (!calls.isEmpty() && calls.peek().stage == Stage.ASKED) {
                    calls.peek().stage = Stage.FRESH;
                }
                return false;
            }
            default -> {
                proposer = null;
                Call call = calls.peek();
                if (call.body == null && !call.reads) {
                    votedAt = Double.NaN;
                    calls.poll();
                }
                return true;
            }
        }
    }

    // What was only to be brought to its end has been.
    private void finished(Decision won) {
        Call call = calls.peek();
        if (call != null && call.body == null && !call.reads && call.joiner == null) {
            calls.poll();
        } else if (call != null && call.reads) {
            call.stage = Stage.FRESH;
        }
    }

    private void end(Call call, Verdict verdict) {
        if (call.reads) {
            out.read(call.id, verdict == Verdict.UNCLEAR ? null : decided());
        } else if (call.body != null) {
            out.replaced(call.id, verdict);
        }
    }
}
