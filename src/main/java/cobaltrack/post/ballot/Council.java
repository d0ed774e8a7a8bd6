package cobaltrack.post.ballot;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
        /** Sends a slip to an office, this one included, now or never. */
        void send(String to, Slip slip);

        /** Syncs this memory, then sends the slip; if that fails, it sends nothing. */
        void sync(Elector.Memory memory, String to, Slip slip);

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
    /** A call that could not be decided in so many milliseconds ends unclear. */
    private static final double CALL_MOST = 4000;
    /** A backoff after a lost ballot lies between these, in milliseconds, doubled up to the most. */
    private static final double BACKOFF = 8;
    private static final double BACKOFF_MOST = 250;
    /** A vote older than this that was never told decided is brought to its end, in milliseconds. */
    private static final double UNFINISHED = 400;
    /** How often an office without a seat asks for one, in milliseconds. */
    private static final double JOIN_EVERY = 250;
    /** An elector that has said nothing for so many milliseconds may lose its seat to a newcomer. */
    private static final double SILENT = 2500;
    /** One that has said nothing for so long may be about to: a newcomer waits, for a seat beside a dead one
     *  would leave no room for the next loss. */
    private static final double QUIET = 1000;

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
    private final Elector elector;
    private final SplittableRandom random;
    private final Actions out;
    private final ArrayDeque<Call> calls = new ArrayDeque<>();
    private final Map<String, Double> heard = new HashMap<>();
    private final Set<String> answered = new HashSet<>();
    private Candidacy candidacy;
    private long round;
    private long nonce;
    private boolean pending;
    private double againAt;
    private double startAt;
    private double backoff = BACKOFF;
    private double votedAt = Double.NaN;
    private double joinAt;

    /**
     * An office's council.
     *
     * @param me its id, drawn anew with each new disk
     */
    public Council(String me, Elector.Memory memory, long seed, Actions out) {
        this.me = me;
        this.elector = new Elector(memory);
        this.random = new SplittableRandom(seed);
        this.out = out;
        this.votedAt = memory.vote() == null ? Double.NaN : Double.NEGATIVE_INFINITY;
    }

    /** The newest decision known, or null. */
    public Decision decided() {
        return elector.decided();
    }

    /** Whether it has a vote. */
    public boolean seated() {
        return decided() != null && decided().electors().contains(me);
    }

    /** Whether more than half of the electors have been heard within so many milliseconds. */
    public boolean inTouch(double now, double within) {
        return decided() != null && decided().electors().stream().filter(e -> e.equals(me)
                || now - heard.getOrDefault(e, Double.NEGATIVE_INFINITY) < within).count()
                >= decided().majority();
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
        call.endAt = now + CALL_MOST;
        if (calls.size() >= CALLS_MOST) {
            end(call, Verdict.UNCLEAR);
            return;
        }
        calls.add(call);
        go(now);
    }

    /** Another office was heard of. */
    public void heard(double now, String from) {
        if (decided() == null || decided().electors().contains(from)) {
            heard.put(from, now);
        }
    }

    /** A slip came, from this office itself too. */
    public void received(double now, String from, Slip slip) {
        heard(now, from);
        if (slip instanceof Slip.Prepare p) {
            reply(now, from, elector.prepare(p));
        } else if (slip instanceof Slip.Propose p) {
            reply(now, from, elector.propose(p));
            if (elector.memory().vote() != null && Double.isNaN(votedAt)) {
                votedAt = now;
            }
        } else if (slip instanceof Slip.Query q) {
            query(from, q);
        } else if (slip instanceof Slip.Decided d) {
            learn(now, d.decision());
        } else if (slip instanceof Slip.Join) {
            join(now, from);
        } else if (slip instanceof Slip.State s) {
            state(from, s);
        } else if (slip instanceof Slip.Lagging l) {
            if (decided() != null && l.have() < decided().slot()) {
                out.send(from, new Slip.Decided(decided()));
            }
        } else if (candidacy != null) {
            Candidacy.State before = candidacy.state();
            reply(from, slip);
            if (candidacy.state() != before) {
                // What comes next is not asked again but for the first time.
                againAt = now;
            }
        }
        go(now);
    }

    private void reply(String from, Slip slip) {
        if (slip instanceof Slip.Promise p && p.slot() == candidacy.slot()) {
            candidacy.promise(from, p);
        } else if (slip instanceof Slip.Voted v && v.slot() == candidacy.slot()) {
            candidacy.vote(from, v);
        } else if (slip instanceof Slip.Outbid o && o.slot() == candidacy.slot()) {
            candidacy.outbid(o);
        }
    }

    // An office without a seat has promised nothing that it can be held to: it answers no ballot.
    private void reply(double now, String to, Elector.Reply reply) {
        if (reply.slip() instanceof Slip.Promise || reply.slip() instanceof Slip.Voted) {
            if (!seated()) {
                return;
            }
        }
        if (reply.synced()) {
            out.sync(elector.memory(), to, reply.slip());
        } else {
            out.send(to, reply.slip());
        }
    }

    private void query(String from, Slip.Query q) {
        if (decided() == null) {
            return;
        }
        if (q.slot() < decided().slot()) {
            out.send(from, new Slip.Decided(decided()));
        }
        out.send(from, new Slip.State(q.nonce(), decided().slot(), elector.memory().vote() != null));
    }

    private void state(String from, Slip.State s) {
        // One that knows a newer decision has sent it, and counts once that is here: schedule 4209 read an old
        // version where the two came in the other order.
        boolean current = decided() != null && s.slot() <= decided().slot();
        if (s.nonce() == nonce && current && decided().electors().contains(from)) {
            answered.add(from);
            pending |= s.voted() && s.slot() >= decided().slot();
        }
    }

    private void learn(double now, Decision decision) {
        if (elector.learn(decision)) {
            votedAt = Double.NaN;
            candidacy = null;
            out.decided(decision);
            heard.keySet().retainAll(decision.electors());
            // One that has just got its seat is no silent one.
            decision.electors().forEach(e -> heard.putIfAbsent(e, now));
            if (!calls.isEmpty()) {
                calls.peek().stage = Stage.FRESH;
            }
        }
    }

    private void join(double now, String from) {
        if (decided() == null || decided().electors().contains(from)
                || calls.stream().anyMatch(c -> from.equals(c.joiner))) {
            return;
        }
        add(now, new Call(-1, 0, 0, null, null, from, false));
    }

    /** Time passes; to be called some tens of times a second. */
    public void tick(double now) {
        while (!calls.isEmpty() && now > calls.peek().endAt) {
            candidacy = null;
            end(calls.poll(), Verdict.UNCLEAR);
        }
        if (decided() == null || !seated()) {
            if (now >= joinAt) {
                joinAt = now + JOIN_EVERY * (0.75 + 0.5 * random.nextDouble());
                askForSeat();
            }
        } else {
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
        if (have >= 0) {
            decided().electors().forEach(e -> out.send(e, new Slip.Join()));
        }
        out.send(null, new Slip.Query(0, have));
    }

    // With an even number of seats one that is silent is given up: the count that it leaves has the same
    // majority less one.
    private void retire(double now) {
        List<String> electors = decided().electors();
        if (electors.size() % 2 == 0 && electors.size() > 2 && calls.isEmpty() && silent(now) != null) {
            add(now, new Call(-1, 0, 0, null, null, "", false));
        }
    }

    private String silent(double now) {
        return decided().electors().stream().filter(e -> !e.equals(me)
                && now - heard.getOrDefault(e, now) > SILENT).findFirst().orElse(null);
    }

    private double quietest(double now) {
        return decided().electors().stream().filter(e -> !e.equals(me))
                .mapToDouble(e -> now - heard.getOrDefault(e, now)).max().orElse(0);
    }

    /** Where an id's office can be found: the address in it. */
    public static String address(String id) {
        int mark = id.indexOf('#');
        return mark < 0 ? id : id.substring(0, mark);
    }

    private Decision seatFor(double now, String joiner) {
        List<String> electors = new ArrayList<>(decided().electors());
        String old = electors.stream().filter(e -> address(e).equals(address(joiner))).findFirst()
                .orElse(null);
        String gone = old != null ? old : silent(now);
        if (gone == null && quietest(now) > QUIET) {
            return null;
        }
        if (joiner.isEmpty()) {
            return gone != null && electors.size() % 2 == 0 && electors.remove(gone)
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
            if (candidacy != null) {
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
                    Decision seat = seatFor(now, call.joiner);
                    if (seat == null) {
                        calls.poll();
                    } else {
                        run(now, seat);
                    }
                } else if (call.body != null && decided().has(call.version, call.digest)) {
                    end(calls.poll(), Verdict.TAKEN);
                } else if (call.body != null && call.builtOn == decided().version()
                        && call.version > call.builtOn) {
                    run(now, decided().with(call.version, call.digest, call.body));
                } else if (call.body == null && !call.reads) {
                    run(now, null);
                } else {
                    ask(now, call);
                }
            }
            case ASKING -> {
                if (answered.size() < decided().majority()) {
                    again(now, () -> decided().electors().stream().filter(e -> !answered.contains(e))
                            .forEach(e -> out.send(e, new Slip.Query(nonce, decided().slot()))));
                    return false;
                }
                call.stage = Stage.ASKED;
                if (pending) {
                    run(now, null);
                }
            }
            case ASKED -> {
                calls.poll();
                end(call, call.builtOn != decided().version() ? Verdict.MISMATCH : Verdict.OLD_VERSION);
            }
            default -> throw new IllegalStateException("in a ballot that is over");
        }
        return true;
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
        round = Math.max(round, elector.memory().promised().round()) + 1;
        candidacy = new Candidacy(decided(), new Ballot(round, me), wanted);
        againAt = now;
    }

    // False while it waits.
    private boolean ballot(double now) {
        Candidacy c = candidacy;
        Candidacy.State before = c.state();
        switch (before) {
            case PREPARING, PROPOSING -> {
                again(now, () -> decided().electors().forEach(e -> {
                    Slip slip = c.call(e);
                    if (slip != null) {
                        out.send(e, slip);
                    }
                }));
                if (candidacy == c && c.state() != before) {
                    againAt = now;
                    return true;
                }
                return candidacy != c;
            }
            case WON -> {
                candidacy = null;
                backoff = BACKOFF;
                Decision won = c.value();
                learn(now, won);
                won.electors().stream().filter(e -> !e.equals(me))
                        .forEach(e -> out.send(e, new Slip.Decided(won)));
                finished(won);
                return true;
            }
            case OUTBID -> {
                candidacy = null;
                round = Math.max(round, c.higher().round());
                startAt = now + backoff * (0.5 + random.nextDouble());
                backoff = Math.min(BACKOFF_MOST, backoff * 2);
                if (!calls.isEmpty() && calls.peek().stage == Stage.ASKED) {
                    calls.peek().stage = Stage.FRESH;
                }
                return false;
            }
            default -> {
                candidacy = null;
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
