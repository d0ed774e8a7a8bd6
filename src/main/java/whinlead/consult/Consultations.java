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
 * Requests that other proxies ask about and send themselves. Each is one request of the engine, identified by its id
 * across calls and connections: a second ask for an open request joins it, and the end of one that must not run again
 * is remembered for a while. The module makes all decisions on endpoints, retries and refusals. Runs on the engine's
 * thread.
 */
public final class Consultations {
    /** Receives, at most once, the directive for a caller. */
    @FunctionalInterface
    public interface Reply {
        /** Called on the engine's thread, immediately or later, but before the request's timeout. */
        void onDirective(Directive directive);
    }

    /**
     * Share of the drain grace for which a directive is valid. After the grace no new request may reach a draining
     * endpoint; the rest covers the propagation of the list and the clock error of callers.
     */
    private static final double VALID_SHARE = 0.25;
    /** Retry-After for a caller over its bound: by then some of its open requests have probably ended. */
    private static final double TOO_MANY_RETRY_MS = 1000;

    private final Engine engine;
    private final Timers timers;
    private final Contract.Settings settings;
    private Bounds bounds;
    private final Consumer<String> log;
    private final Map<String, Consultation> open = new HashMap<>();
    private final Map<String, String> addresses = new HashMap<>();
    private final EndedRequests ends;
    private final Keeper sharedStore;
    private final Tally tally = new Tally();

    /** Creates an instance without open requests. {@link #update} must be called for every list. */
    public Consultations(
            Engine engine, Timers timers, Contract.Settings settings, Bounds bounds, Consumer<String> log) {
        this(engine, timers, settings, bounds, null, log);
    }

    /** Creates an instance with a store for the state that must outlive this process; null for none. */
    public Consultations(
            Engine engine,
            Timers timers,
            Contract.Settings settings,
            Bounds bounds,
            Keeper sharedStore,
            Consumer<String> log) {
        this.sharedStore = sharedStore;
        this.engine = engine;
        this.timers = timers;
        this.settings = settings;
        this.bounds = bounds;
        this.log = log;
        this.ends = new EndedRequests(bounds.maxRemembered());
    }

    /**
     * Applies an endpoint list: no directive names a draining or removed endpoint any more, and retries waiting for one
     * are withdrawn.
     */
    public void update(EndpointList list) {
        if (list.whole()) {
            addresses.clear();
        }
        for (EndpointList.Entry e : list.entries()) {
            if (e.server().state() == Contract.ServerState.UP && e.dialAddress() != null) {
                addresses.put(e.server().id(), e.dialAddress());
            } else {
                String known = addresses.remove(e.server().id());
                if (known != null && sharedStore != null) {
                    sharedStore.endpointDraining(e.server().id());
                }
            }
        }
        List.copyOf(open.values()).forEach(Consultation::listChanged);
    }

    /**
     * Handles a caller's ask for what to do with a request.
     *
     * @param id identifies the request for all callers; fronts limit its length
     */
    public void ask(Peer peer, String id, Request request, Reply reply) {
        Directive ended = ends.find(id, timers.nowMs());
        Consultation known = open.get(id);
        if (known != null) {
            countEvent(Tally.Kind.JOINED, id);
            known.join(peer, request.timeoutMs(), reply);
        } else if (ended != null && !(request.repeat() && ended instanceof Directive.Refused)) {
            countEvent(Tally.Kind.JOINED, id);
            reply.onDirective(ended);
        } else if (open.size() >= bounds.maxOpen() || peer.open() >= bounds.maxOpenPerCaller()) {
            countEvent(Tally.Kind.TOO_MANY, id);
            reply.onDirective(new Directive.TooMany(TOO_MANY_RETRY_MS));
        } else {
            Contract.Effect effect =
                    settings.classes().get(request.classIndex()).effect();
            double endByMs = timers.nowMs() + request.timeoutMs();
            Keeper.SharedRequest sharedRequest = sharedStore == null || effect == Contract.Effect.SAFE
                    ? null
                    : sharedStore.open(id, peer.name(), effect == Contract.Effect.KEYED, request.repeat(), endByMs);
            Consultation consultation = new Consultation(this, id, peer, effect, endByMs, sharedRequest, reply);
            open.put(id, consultation);
            peer.add(consultation);
            consultation.engineRequest(engine.accept(request, consultation, consultation));
        }
    }

    /**
     * Handles a caller's report on how an attempt ended; the reply gets the next directive.
     *
     * @param endpoint where the attempt was sent, or null if not reported
     * @param report load report of the endpoint, or null
     * @param reply null if the caller asks for the next directive in a separate call
     */
    public void outcome(
            String id, int attempt, String endpoint, Contract.Outcome outcome, Contract.Report report, Reply reply) {
        Consultation consultation = open.get(id);
        if (consultation != null) {
            consultation.reported(attempt, endpoint, outcome, report, reply);
            return;
        }
        countEvent(Tally.Kind.LATE, id);
        Directive ended = ends.find(id, timers.nowMs());
        // A refusal known here says nothing about an attempt that another member has approved since.
        if ((ended == null || ended instanceof Directive.Refused) && sharedStore != null) {
            sharedStore.report(id, attempt, runResult(outcome), end -> answer(reply, end));
        } else {
            answer(reply, ended);
        }
    }

    private static Keeper.RunResult runResult(Contract.Outcome outcome) {
        return outcome == Contract.Outcome.SERVED
                ? Keeper.RunResult.SERVED
                : outcome.neverRan ? Keeper.RunResult.NEVER_RAN : Keeper.RunResult.MAY_HAVE_RAN;
    }

    private static void answer(Reply reply, Directive end) {
        if (reply != null) {
            reply.onDirective(end != null ? end : new Directive.Unknown());
        }
    }

    /** A caller has started to pass an attempt's answer on to its client; the outcome is reported later. */
    public void streaming(String id, int attempt) {
        Consultation consultation = open.get(id);
        if (consultation == null) {
            countEvent(Tally.Kind.LATE, id);
        } else {
            consultation.streaming(attempt);
        }
    }

    /** The client of this request has disconnected, or its caller abandons it. */
    public void abandoned(String id) {
        Consultation consultation = open.get(id);
        if (consultation != null) {
            consultation.abandoned();
        }
    }

    /** A caller is lost: all its open requests are abandoned. */
    public void abandoned(Peer peer) {
        peer.all().forEach(Consultation::abandoned);
    }

    /** How a request ended, while that is remembered; null while it is open or if it is unknown. */
    public Directive ended(String id) {
        Consultation consultation = open.get(id);
        return consultation != null ? consultation.end() : ends.find(id, timers.nowMs());
    }

    /** Number of requests that are open or have an attempt out. */
    public int open() {
        return open.size();
    }

    /** Number of remembered ends. */
    public int remembered() {
        return ends.size();
    }

    /** Counts of irregular calls. */
    public Tally tally() {
        return tally;
    }

    /** Changes the bounds. Open requests beyond them stay; ends beyond them are forgotten. */
    public void bounds(Bounds changed) {
        bounds = changed;
        ends.setCapacity(changed.maxRemembered());
    }

    Bounds bounds() {
        return bounds;
    }

    Timers timers() {
        return timers;
    }

    /** The address of this endpoint; null if it accepts no new requests. */
    String address(String endpoint) {
        return addresses.get(endpoint);
    }

    /** Milliseconds for which a caller may act on a directive. */
    double validMs() {
        return settings.obligations().drainGrace() * VALID_SHARE;
    }

    void countEvent(Tally.Kind kind, String id) {
        if (tally.add(kind)) {
            log.accept("consult: " + kind + " " + tally.count(kind) + ", last of request " + id);
        }
    }

    /** Removes a consultation once it is done. */
    void removeIfDone(Consultation consultation) {
        if (consultation.done() && open.remove(consultation.id(), consultation)) {
            consultation.peer().remove(consultation);
            double retentionMs = retentionMs(consultation);
            if (retentionMs > 0 && !ends.add(consultation.id(), consultation.end(), timers.nowMs(), retentionMs)) {
                countEvent(Tally.Kind.FORGOTTEN, consultation.id());
            }
        }
    }

    // Milliseconds for which the end is remembered. A refused request has not run: the proxy's own retry comes while
    // the client still waits, and the client's retry comes later or is marked as a repeat.
    private double retentionMs(Consultation consultation) {
        double undeliveredMs = consultation.endUndelivered() ? bounds.pickUpMs() : 0;
        if (consultation.heldElsewhere()) {
            // The member that holds the request remembers its end.
            return 0;
        }
        if (!consultation.mustNotRunTwice()) {
            return undeliveredMs;
        }
        return consultation.end() instanceof Directive.Refused
                ? Math.max(undeliveredMs, consultation.endByMs() - timers.nowMs())
                : bounds.rememberMs();
    }

    /** Removes a consultation once it is done, after the engine's current event. */
    void removeLater(Consultation consultation) {
        timers.schedule(0, () -> removeIfDone(consultation));
    }
}
