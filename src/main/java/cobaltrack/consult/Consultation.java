package cobaltrack.consult;

import cobaltrack.Contract;
import cobaltrack.engine.Caller;
import cobaltrack.engine.Carrier;
import cobaltrack.engine.Engine;
import cobaltrack.engine.Timers;

/**
 * One request that a caller asks about, sends itself and reports on: its {@link Caller} and its {@link
 * Carrier} at once. At most one attempt of it is out. Its states:
 *
 * <pre>
 * asked ---> told to send ---> reported ---> told to send again, or waiting for the caller to come for it
 *   |             |               |             |
 *   +-------------+---------------+-------------+--> ended, with or without an attempt still out
 * </pre>
 */
final class Consultation implements Caller<Void>, Carrier<Void> {
    /** Of the time that an attempt has: one that nobody came for ends before its time does. */
    private static final double PICK_UP_SHARE = 0.9;

    private final Consultations owner;
    private final String id;
    private Peer peer;
    private final Contract.Effect effect;
    private final double endBy;
    private Engine.Held<Void> held;
    /** Who waits for what is to be done next; null if nobody does. */
    private Consultations.Reply waiting;
    /** The attempt that is out or waits to be picked up. */
    private Directive.Send current;
    private Outcomes<Void> told;
    /** Runs while {@link #current} waits for its caller; null once it was told. */
    private Timers.Timer pickUp;
    private boolean everTold;
    private Directive end;
    private boolean unheard;

    Consultation(Consultations owner, String id, Peer peer, Contract.Effect effect, double endBy,
            Consultations.Reply first) {
        this.owner = owner;
        this.id = id;
        this.peer = peer;
        this.effect = effect;
        this.endBy = endBy;
        this.waiting = first;
    }

    String id() {
        return id;
    }

    Peer peer() {
        return peer;
    }

    /** True if it must not run again once it may have run. */
    boolean fragile() {
        return effect != Contract.Effect.SAFE;
    }

    /** Until when its client waits. */
    double endBy() {
        return endBy;
    }

    /** True if it ended while nobody waited for its end. */
    boolean unheard() {
        return unheard;
    }

    Directive end() {
        return end;
    }

    /** True while an attempt is out that was told to a caller. */
    boolean out() {
        return current != null && pickUp == null;
    }

    /** Nothing is owed and nothing out any more. */
    boolean done() {
        return end != null && current == null;
    }

    void held(Engine.Held<Void> taken) {
        held = taken;
        // It may have ended before the engine returned.
        owner.tidy(this);
    }

    /** Another call for the same request, perhaps by another connection of the same proxy. */
    void join(Peer by, Consultations.Reply reply) {
        if (end != null) {
            reply.told(end);
        } else if (current != null && pickUp != null) {
            peer.remove(this);
            peer = by;
            peer.add(this);
            tell(reply);
        } else {
            reply.told(new Directive.AlreadyOut());
        }
    }

    private void tell(Consultations.Reply reply) {
        if (pickUp != null) {
            pickUp.cancel();
            pickUp = null;
        }
        everTold = true;
        reply.told(current);
    }

    @Override
    public Sending send(String endpoint, int attempt, double within, Outcomes<Void> outcomes) {
        String address = owner.address(endpoint);
        if (address == null || current != null || end != null || attempt > 0 && !peer.retries()) {
            // A second copy beside the first can't be told to one caller, and a retry not to every one.
            outcomes.ended(Contract.Outcome.NEVER_SENT, null, null);
            return () -> false;
        }
        current = new Directive.Send(endpoint, address, attempt, within, Math.min(within, owner.valid()));
        told = outcomes;
        Directive.Send mine = current;
        Consultations.Reply reply = waiting;
        waiting = null;
        if (reply != null) {
            tell(reply);
        } else {
            pickUp = owner.timers().after(Math.min(owner.bounds().pickUp(), PICK_UP_SHARE * within), () -> {
                owner.note(Tally.Kind.NOT_PICKED_UP, id);
                takeBack();
            });
        }
        return () -> giveUp(mine);
    }

    // Nobody was told of it, so it can't run; and the endpoint is not to blame.
    private void takeBack() {
        ends(Contract.Outcome.NEVER_SENT, null);
    }

    /** Takes back an attempt that still waits for its caller, if its endpoint takes nothing new any more. */
    void listChanged() {
        if (current != null && pickUp != null && owner.address(current.endpoint()) == null) {
            takeBack();
        }
    }

    private boolean giveUp(Directive.Send which) {
        if (which != current) {
            return true;
        }
        boolean wasTold = pickUp == null;
        if (wasTold) {
            owner.note(Tally.Kind.NOT_REPORTED, id);
        }
        clear();
        owner.later(this);
        return wasTold;
    }

    private Outcomes<Void> clear() {
        Outcomes<Void> listener = told;
        current = null;
        told = null;
        if (pickUp != null) {
            pickUp.cancel();
            pickUp = null;
        }
        return listener;
    }

    /** The current attempt's end. */
    private void ends(Contract.Outcome outcome, Contract.Report report) {
        Outcomes<Void> listener = clear();
        listener.ended(outcome, null, report);
        owner.tidy(this);
    }

    /** A caller tells how an attempt ended; {@code reply} may be null. */
    void reported(int attempt, String endpoint, Contract.Outcome outcome, Contract.Report report,
            Consultations.Reply reply) {
        if (!out() || attempt != current.attempt()) {
            owner.note(Tally.Kind.STRAY, id);
            answer(reply, end != null ? end : new Directive.Unknown());
        } else if (endpoint != null && !endpoint.equals(current.endpoint())) {
            // What ran elsewhere tells nothing of this endpoint, and the caller has had an answer of its own.
            owner.note(Tally.Kind.MISDIRECTED, id);
            gone();
            answer(reply, new Directive.Unknown());
        } else if (end != null) {
            Directive known = end;
            ends(outcome, report);
            answer(reply, known);
        } else {
            waiting = reply;
            ends(outcome, report);
        }
    }

    private static void answer(Consultations.Reply reply, Directive directive) {
        if (reply != null) {
            reply.told(directive);
        }
    }

    /** The caller has begun to pass the answer on. */
    void streaming(int attempt) {
        if (out() && attempt == current.attempt() && end == null) {
            end = new Directive.Served();
            held.streaming(attempt);
        } else {
            owner.note(Tally.Kind.STRAY, id);
        }
    }

    /** The caller is gone with the request, or wants nothing of it any more. */
    void gone() {
        waiting = null;
        if (end == null) {
            // To one that comes back it has failed, unless nothing can have run.
            end = everTold ? new Directive.Failed() : new Directive.Refused(0);
            held.abandon();
        }
        if (current != null) {
            ends(pickUp == null ? Contract.Outcome.CANCELLED : Contract.Outcome.NEVER_SENT, null);
        }
        owner.tidy(this);
    }

    private void over(Directive how) {
        end = how;
        Consultations.Reply reply = waiting;
        waiting = null;
        unheard = reply == null;
        answer(reply, how);
        owner.tidy(this);
    }

    @Override
    public void served(Void answer) {
        over(new Directive.Served());
    }

    @Override
    public void refused(double retryAfter) {
        over(new Directive.Refused(retryAfter));
    }

    @Override
    public void failed() {
        over(new Directive.Failed());
    }
}
