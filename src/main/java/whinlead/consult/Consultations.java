package whinlead.consult;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import whinlead.Contract;
import whinlead.engine.Engine;
import whinlead.engine.Request;
import whinlead.engine.Timers;
import whinlead.membership.EndpointList;

/**
 * Requests that other proxies ask about and send themselves. Each is one request of the engine's, known by its id
 * across calls and connections: a second ask for one that is open joins it, and one that must not run again is known
 * for a while after its end. It decides nothing: who sends where, whether again, and what is refused comes from the
 * module. On the engine's thread.
 */
public final class Consultations {
    /** Hears, at most once, what a caller is to do. */
    @FunctionalInterface
    public interface Reply {
        /** Called on the engine's thread, at once or later, but before the request's time is up. */
        void told(Directive directive);
    }

    /**
     * Of the grace after which nothing new may reach a draining endpoint: the rest is for the list's way here and for
     * the clocks of callers.
     */
    private static final double VALID_SHARE = 0.25;
    /** What a caller over its bound is told to wait: some ends of what it holds, most likely. */
    private static final double TOO_MANY_RETRY = 1000;

    private final Engine engine;
    private final Timers timers;
    private final Contract.Settings settings;
    private Bounds bounds;
    private final Consumer<String> log;
    private final Map<String, Consultation> open = new HashMap<>();
    private final Map<String, String> addresses = new HashMap<>();
    private final Ends ends;
    private final Keeper keeper;
    private final Tally tally = new Tally();

    /** None open. {@link #update} is to hear of every list. */
    public Consultations(
            Engine engine, Timers timers, Contract.Settings settings, Bounds bounds, Consumer<String> log) {
        this(engine, timers, settings, bounds, null, log);
    }

    /** The same with a keeper of what must outlive this process, or null for none. */
    public Consultations(
            Engine engine,
            Timers timers,
            Contract.Settings settings,
            Bounds bounds,
            Keeper keeper,
            Consumer<String> log) {
        this.keeper = keeper;
        this.engine = engine;
        this.timers = timers;
        this.settings = settings;
        this.bounds = bounds;
        this.log = log;
        this.ends = new Ends(bounds.remembered());
    }

    /** Takes in the list: what drains or is gone is told to nobody any more, a retry that waits included. */
    public void update(EndpointList list) {
        if (list.whole()) {
            addresses.clear();
        }
        for (EndpointList.Entry e : list.entries()) {
            if (e.server().standing() == Contract.Standing.UP && e.dial() != null) {
                addresses.put(e.server().id(), e.dial());
            } else {
                String known = addresses.remove(e.server().id());
                if (known != null && keeper != null) {
                    keeper.drains(e.server().id());
                }
            }
        }
        List.copyOf(open.values()).forEach(Consultation::listChanged);
    }

    /**
     * A caller asks what to do with a request.
     *
     * @param id by which the request is known to all callers; fronts bound its length
     */
    public void ask(Peer peer, String id, Request ask, Reply reply) {
        Directive ended = ends.of(id, timers.now());
        Consultation known = open.get(id);
        if (known != null) {
            note(Tally.Kind.JOINED, id);
            known.join(peer, ask.timeout(), reply);
        } else if (ended != null && !(ask.repeat() && ended instanceof Directive.Refused)) {
            note(Tally.Kind.JOINED, id);
            reply.told(ended);
        } else if (open.size() >= bounds.open() || peer.open() >= bounds.openPerCaller()) {
            note(Tally.Kind.TOO_MANY, id);
            reply.told(new Directive.TooMany(TOO_MANY_RETRY));
        } else {
            Contract.Effect effect = settings.classes().get(ask.classIndex()).effect();
            double endBy = timers.now() + ask.timeout();
            Keeper.Kept kept = keeper == null || effect == Contract.Effect.SAFE
                    ? null
                    : keeper.open(id, peer.name(), effect == Contract.Effect.KEYED, ask.repeat(), endBy);
            Consultation c = new Consultation(this, id, peer, effect, endBy, kept, reply);
            open.put(id, c);
            peer.add(c);
            c.held(engine.take(ask, c, c));
        }
    }

    /**
     * A caller reports how an attempt ended, and hears what to do next.
     *
     * @param endpoint where it was sent, or null if the caller does not tell
     * @param report of the endpoint's load, or null
     * @param reply null if the caller asks again for what is next
     */
    public void outcome(
            String id, int attempt, String endpoint, Contract.Outcome outcome, Contract.Report report, Reply reply) {
        Consultation c = open.get(id);
        if (c != null) {
            c.reported(attempt, endpoint, outcome, report, reply);
            return;
        }
        note(Tally.Kind.LATE, id);
        Directive ended = ends.of(id, timers.now());
        // A refusal that is known here says nothing of an attempt that another member has let out since.
        if ((ended == null || ended instanceof Directive.Refused) && keeper != null) {
            keeper.report(id, attempt, how(outcome), end -> answer(reply, end));
        } else {
            answer(reply, ended);
        }
    }

    private static Keeper.How how(Contract.Outcome outcome) {
        return outcome == Contract.Outcome.SERVED
                ? Keeper.How.SERVED
                : outcome.neverRan ? Keeper.How.NEVER_RAN : Keeper.How.MAY_HAVE_RAN;
    }

    private static void answer(Reply reply, Directive end) {
        if (reply != null) {
            reply.told(end != null ? end : new Directive.Unknown());
        }
    }

    /** A caller has begun to pass an attempt's answer on to its client; its outcome is still to come. */
    public void streaming(String id, int attempt) {
        Consultation c = open.get(id);
        if (c == null) {
            note(Tally.Kind.LATE, id);
        } else {
            c.streaming(attempt);
        }
    }

    /** The client of this request is gone, or its caller gives it up. */
    public void gone(String id) {
        Consultation c = open.get(id);
        if (c != null) {
            c.gone();
        }
    }

    /** A caller is gone with all that it had open. */
    public void gone(Peer peer) {
        peer.all().forEach(Consultation::gone);
    }

    /** How a request ended, for as long as that is kept; null while it is open or if nothing is known. */
    public Directive ended(String id) {
        Consultation c = open.get(id);
        return c != null ? c.end() : ends.of(id, timers.now());
    }

    /** Requests open, or with an attempt out. */
    public int open() {
        return open.size();
    }

    /** Ends remembered. */
    public int remembered() {
        return ends.size();
    }

    /** What went wrong between callers and this. */
    public Tally tally() {
        return tally;
    }

    /** Other bounds from now on. What is open beyond them stays; ends beyond them are forgotten. */
    public void bounds(Bounds changed) {
        bounds = changed;
        ends.bound(changed.remembered());
    }

    Bounds bounds() {
        return bounds;
    }

    Timers timers() {
        return timers;
    }

    /** Where this endpoint is; null if it takes nothing new. */
    String address(String endpoint) {
        return addresses.get(endpoint);
    }

    /** Milliseconds for which a caller may act on what it is told. */
    double valid() {
        return settings.obligations().drainGrace() * VALID_SHARE;
    }

    void note(Tally.Kind kind, String id) {
        if (tally.add(kind)) {
            log.accept("consult: " + kind + " " + tally.count(kind) + ", last of request " + id);
        }
    }

    /** Forgets it once it is done. */
    void tidy(Consultation c) {
        if (c.done() && open.remove(c.id(), c)) {
            c.peer().remove(c);
            double keep = keep(c);
            if (keep > 0 && !ends.add(c.id(), c.end(), timers.now(), keep)) {
                note(Tally.Kind.FORGOTTEN, c.id());
            }
        }
    }

    // Milliseconds for which its end is kept. What was refused has not run: a proxy's own next try comes
    // while the client still waits, and the client's later, or says that it is one.
    private double keep(Consultation c) {
        double unheard = c.unheard() ? bounds.pickUp() : 0;
        if (c.foreign()) {
            // Whoever holds it knows of its end.
            return 0;
        }
        if (!c.fragile()) {
            return unheard;
        }
        return c.end() instanceof Directive.Refused ? Math.max(unheard, c.endBy() - timers.now()) : bounds.remember();
    }

    /** The same, once the engine has heard what it is being told. */
    void later(Consultation c) {
        timers.after(0, () -> tidy(c));
    }
}
