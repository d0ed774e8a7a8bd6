package whinlead.consult;

import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;
import whinlead.engine.Engine;
import whinlead.engine.ResponseSink;
import whinlead.engine.Timers;
import whinlead.engine.Transport;

/**
 * One request that a caller asks about, sends itself and reports on: its {@link ResponseSink} and its {@link Transport}
 * at once. At most one attempt of it is out. Its states:
 *
 * <pre>
 * asked ---> told to send ---> reported ---> told to send again, or waiting for the caller to come for it
 *   |             |               |             |
 *   +-------------+---------------+-------------+--> ended, with or without an attempt still out
 * </pre>
 */
final class Consultation implements ResponseSink<Void>, Transport<Void> {
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
    /** The engine's number of it; its caller may know it by another, for other members count too. */
    private int engineAttempt;
    /** Runs while {@link #current} waits for its caller; null once it was told. */
    private Timers.Timer pickUp;

    private boolean everTold;
    private Directive end;
    private boolean unheard;
    /** What others know of it; null where nothing is kept with others. */
    private final Keeper.Kept kept;
    /** Who is to be told of {@link #current} once others know it; null while nobody is. */
    private Consultations.Reply copying;
    /** Who is to be told of the end once others know it; null while it has not ended or all know. */
    private List<Consultations.Reply> closing;

    private boolean foreign;

    Consultation(
            Consultations owner,
            String id,
            Peer peer,
            Contract.Effect effect,
            double endBy,
            Keeper.Kept kept,
            Consultations.Reply first) {
        this.kept = kept;
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

    /** True if another member of the group holds it, or nobody can. */
    boolean foreign() {
        return foreign;
    }

    /** True while an attempt is out that was told to a caller. */
    boolean out() {
        return current != null && pickUp == null && copying == null;
    }

    private boolean ending() {
        return end != null || closing != null;
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
    void join(Peer by, double left, Consultations.Reply reply) {
        if (end != null) {
            reply.told(end);
        } else if (closing != null) {
            await(left, reply);
        } else if (current != null && pickUp != null) {
            peer.remove(this);
            peer = by;
            peer.add(this);
            tell(reply);
        } else {
            reply.told(new Directive.AlreadyOut());
        }
    }

    // Its call came late or has less time than the first: it hears of the end by its own time, or that one is
    // out.
    private void await(double left, Consultations.Reply reply) {
        Consultations.Reply[] once = new Consultations.Reply[1];
        Timers.Timer late = owner.timers().after(left, () -> {
            // The list may be another by now, or gone: it is told all the same.
            if (closing != null) {
                closing.remove(once[0]);
            }
            reply.told(new Directive.AlreadyOut());
        });
        once[0] = directive -> {
            late.cancel();
            reply.told(directive);
        };
        closing.add(once[0]);
    }

    private void tell(Consultations.Reply reply) {
        if (pickUp != null) {
            pickUp.cancel();
            pickUp = null;
        }
        if (kept == null) {
            everTold = true;
            reply.told(current);
            return;
        }
        copying = reply;
        double asked = owner.timers().now();
        kept.allow(current.endpoint(), current.valid(), verdict -> decided(verdict, asked));
    }

    // What others say to the attempt that is to be told.
    private void decided(Keeper.Verdict verdict, double asked) {
        Consultations.Reply reply = copying;
        copying = null;
        if (verdict instanceof Keeper.Verdict.Granted granted) {
            double took = owner.timers().now() - asked;
            current = new Directive.Send(
                    current.endpoint(),
                    current.address(),
                    granted.attempt(),
                    Math.max(0, current.within() - took),
                    Math.max(0, current.valid() - took));
            everTold = true;
            reply.told(current);
        } else if (verdict instanceof Keeper.Verdict.Draining) {
            waiting = reply;
            ends(Contract.Outcome.NEVER_SENT, null);
        } else {
            foreign = true;
            // It was told to nobody, whatever the module makes of that.
            copying = reply;
            held.abandon();
            end = verdict instanceof Keeper.Verdict.Over over
                    ? over.end()
                    : verdict instanceof Keeper.Verdict.Unknown ? new Directive.Failed() : new Directive.AlreadyOut();
            if (current != null) {
                ends(Contract.Outcome.NEVER_SENT, null);
            }
            copying = null;
            waiting = null;
            reply.told(end);
            owner.tidy(this);
        }
    }

    @Override
    public Sending send(String endpoint, int attempt, double within, Outcomes<Void> outcomes) {
        String address = owner.address(endpoint);
        if (address == null || current != null || ending() || attempt > 0 && !peer.retries()) {
            // A second copy beside the first can't be told to one caller, and a retry not to every one.
            outcomes.ended(Contract.Outcome.NEVER_SENT, null, null);
            return () -> false;
        }
        current = new Directive.Send(endpoint, address, attempt, within, Math.min(within, owner.valid()));
        engineAttempt = attempt;
        told = outcomes;
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
        return () -> giveUp(outcomes);
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

    private boolean giveUp(Outcomes<Void> which) {
        if (which != told) {
            return true;
        }
        boolean wasTold = out();
        if (wasTold) {
            owner.note(Tally.Kind.NOT_REPORTED, id);
        }
        clear();
        owner.later(this);
        return wasTold;
    }

    private Outcomes<Void> clear() {
        Outcomes<Void> listener = told;
        if (copying != null) {
            kept.cancel();
            waiting = copying;
            copying = null;
        }
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
    void reported(
            int attempt, String endpoint, Contract.Outcome outcome, Contract.Report report, Consultations.Reply reply) {
        if (!out() || attempt != current.attempt()) {
            owner.note(Tally.Kind.STRAY, id);
            if (end == null && closing != null && reply != null) {
                closing.add(reply);
            } else {
                answer(reply, end != null ? end : new Directive.Unknown());
            }
        } else if (endpoint != null && !endpoint.equals(current.endpoint())) {
            // What ran elsewhere tells nothing of this endpoint, and the caller has had an answer of its own.
            owner.note(Tally.Kind.MISDIRECTED, id);
            gone();
            answer(reply, new Directive.Unknown());
        } else if (end != null) {
            Directive known = end;
            ends(outcome, report);
            answer(reply, known);
        } else if (closing != null) {
            if (reply != null) {
                closing.add(reply);
            }
            ends(outcome, report);
        } else {
            if (kept != null && outcome.neverRan) {
                kept.neverRan();
            }
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
        if (out() && attempt == current.attempt() && !ending()) {
            if (kept == null) {
                end = new Directive.Served();
            }
            held.streaming(engineAttempt);
            if (kept != null) {
                over(new Directive.Served());
            }
        } else {
            owner.note(Tally.Kind.STRAY, id);
        }
    }

    /** The caller is gone with the request, or wants nothing of it any more. */
    void gone() {
        boolean wasTold = out();
        if (!ending()) {
            // To one that comes back it has failed, unless nothing can have run.
            Directive how = everTold ? new Directive.Failed() : new Directive.Refused(0);
            if (kept == null) {
                end = how;
            }
            held.abandon();
            if (kept != null) {
                waiting = null;
                over(how);
            }
        }
        if (current != null) {
            ends(wasTold ? Contract.Outcome.CANCELLED : Contract.Outcome.NEVER_SENT, null);
        }
        waiting = null;
        owner.tidy(this);
    }

    private void over(Directive how) {
        Consultations.Reply reply = waiting;
        waiting = null;
        if (kept == null) {
            end = how;
            unheard = reply == null;
            answer(reply, how);
            owner.tidy(this);
            return;
        }
        closing = new ArrayList<>(1);
        if (reply != null) {
            closing.add(reply);
        }
        kept.end(how, agreed -> {
            List<Consultations.Reply> replies = closing;
            closing = null;
            end = agreed;
            // Nobody here knows how it will end.
            foreign |= agreed instanceof Directive.AlreadyOut;
            unheard = replies.isEmpty();
            replies.forEach(r -> r.told(agreed));
            owner.tidy(this);
        });
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
