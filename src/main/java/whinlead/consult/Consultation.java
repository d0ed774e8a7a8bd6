package whinlead.consult;

import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;
import whinlead.engine.Engine;
import whinlead.engine.ResponseSink;
import whinlead.engine.Timers;
import whinlead.engine.Transport;

/**
 * One request that a caller asks about, sends itself and reports on. Implements both the {@link ResponseSink} and the
 * {@link Transport} of the engine's request. At most one attempt is out at a time. The states:
 *
 * <pre>
 * asked ---> told to send ---> reported ---> told to send again, or waiting for the caller to ask again
 *   |             |               |             |
 *   +-------------+---------------+-------------+--> ended, with or without an attempt still out
 * </pre>
 */
final class Consultation implements ResponseSink<Void>, Transport<Void> {
    /** Share of an attempt's time for which it waits to be picked up, so that it is withdrawn before its timeout. */
    private static final double PICK_UP_SHARE = 0.9;

    private final Consultations owner;
    private final String id;
    private Peer peer;
    private final Contract.Effect effect;
    private final double endByMs;
    private Engine.PendingRequest<Void> engineRequest;
    /** The call that waits for the next directive; null if none does. */
    private Consultations.Reply waiting;
    /** The attempt that is out, waits for approval or waits to be picked up. */
    private Directive.Send currentAttempt;

    private OutcomeListener<Void> outcomeListener;
    /**
     * The engine's number of the attempt. The caller may have been given another, since other group members count too.
     */
    private int engineAttempt;
    /** Runs while {@link #currentAttempt} waits for its caller; null once the attempt was delivered. */
    private Timers.TimerHandle pickUpTimer;

    private boolean everSent;
    private Directive end;
    private boolean endUndelivered;
    /** The request as shared with other members; null if it is not shared. */
    private final Keeper.SharedRequest sharedRequest;
    /** The call that gets {@link #currentAttempt} once other members have approved it; null if none waits. */
    private Consultations.Reply awaitingApproval;
    /** The calls that get the end once other members have agreed; null before the end and after the agreement. */
    private List<Consultations.Reply> awaitingEnd;

    private boolean heldElsewhere;

    Consultation(
            Consultations owner,
            String id,
            Peer peer,
            Contract.Effect effect,
            double endBy,
            Keeper.SharedRequest kept,
            Consultations.Reply firstReply) {
        this.sharedRequest = kept;
        this.owner = owner;
        this.id = id;
        this.peer = peer;
        this.effect = effect;
        this.endByMs = endBy;
        this.waiting = firstReply;
    }

    String id() {
        return id;
    }

    Peer peer() {
        return peer;
    }

    /** True if the request must not run again once it may have run. */
    boolean mustNotRunTwice() {
        return effect != Contract.Effect.SAFE;
    }

    /** The time until which the client waits. */
    double endByMs() {
        return endByMs;
    }

    /** True if the request ended while no call waited for the end. */
    boolean endUndelivered() {
        return endUndelivered;
    }

    Directive end() {
        return end;
    }

    /** True if another member of the group holds the request, or its holder is unknown. */
    boolean heldElsewhere() {
        return heldElsewhere;
    }

    /** True while an attempt that was delivered to a caller is out. */
    boolean attemptOut() {
        return currentAttempt != null && pickUpTimer == null && awaitingApproval == null;
    }

    private boolean isEnding() {
        return end != null || awaitingEnd != null;
    }

    /** True if the request has ended and no attempt is out. */
    boolean done() {
        return end != null && currentAttempt == null;
    }

    void engineRequest(Engine.PendingRequest<Void> taken) {
        engineRequest = taken;
        // The request may have ended before the engine returned.
        owner.removeIfDone(this);
    }

    /** Handles another ask for the same request, possibly on another connection of the same proxy. */
    void join(Peer caller, double remainingMs, Consultations.Reply reply) {
        if (end != null) {
            reply.onDirective(end);
        } else if (awaitingEnd != null) {
            awaitEnd(remainingMs, reply);
        } else if (currentAttempt != null && pickUpTimer != null) {
            peer.remove(this);
            peer = caller;
            peer.add(this);
            deliver(reply);
        } else {
            reply.onDirective(new Directive.AlreadyOut());
        }
    }

    // The call arrived later or has less time than the first: it gets the end within its own time, or that an attempt
    // is already out.
    private void awaitEnd(double remainingMs, Consultations.Reply reply) {
        Consultations.Reply[] replyCell = new Consultations.Reply[1];
        Timers.TimerHandle timeout = owner.timers().schedule(remainingMs, () -> {
            // The list may have been replaced or removed by now; the call is answered in any case.
            if (awaitingEnd != null) {
                awaitingEnd.remove(replyCell[0]);
            }
            reply.onDirective(new Directive.AlreadyOut());
        });
        replyCell[0] = directive -> {
            timeout.cancel();
            reply.onDirective(directive);
        };
        awaitingEnd.add(replyCell[0]);
    }

    private void deliver(Consultations.Reply reply) {
        if (pickUpTimer != null) {
            pickUpTimer.cancel();
            pickUpTimer = null;
        }
        if (sharedRequest == null) {
            everSent = true;
            reply.onDirective(currentAttempt);
            return;
        }
        awaitingApproval = reply;
        double askedMs = owner.timers().nowMs();
        sharedRequest.requestAttempt(
                currentAttempt.endpoint(), currentAttempt.validMs(), verdict -> approvalDecided(verdict, askedMs));
    }

    // Handles the verdict of the other members on the attempt to be delivered.
    private void approvalDecided(Keeper.Verdict verdict, double askedMs) {
        Consultations.Reply reply = awaitingApproval;
        awaitingApproval = null;
        if (verdict instanceof Keeper.Verdict.Granted granted) {
            double elapsedMs = owner.timers().nowMs() - askedMs;
            currentAttempt = new Directive.Send(
                    currentAttempt.endpoint(),
                    currentAttempt.address(),
                    granted.attempt(),
                    Math.max(0, currentAttempt.withinMs() - elapsedMs),
                    Math.max(0, currentAttempt.validMs() - elapsedMs));
            everSent = true;
            reply.onDirective(currentAttempt);
        } else if (verdict instanceof Keeper.Verdict.Draining) {
            waiting = reply;
            attemptEnded(Contract.Outcome.NEVER_SENT, null);
        } else {
            heldElsewhere = true;
            // The attempt was delivered to no caller, whatever the module does on the abandonment.
            awaitingApproval = reply;
            engineRequest.abandon();
            end = verdict instanceof Keeper.Verdict.Over over
                    ? over.end()
                    : verdict instanceof Keeper.Verdict.Unknown ? new Directive.Failed() : new Directive.AlreadyOut();
            if (currentAttempt != null) {
                attemptEnded(Contract.Outcome.NEVER_SENT, null);
            }
            awaitingApproval = null;
            waiting = null;
            reply.onDirective(end);
            owner.removeIfDone(this);
        }
    }

    @Override
    public AttemptHandle send(String endpoint, int attempt, double within, OutcomeListener<Void> outcomes) {
        String address = owner.address(endpoint);
        if (address == null || currentAttempt != null || isEnding() || attempt > 0 && !peer.retries()) {
            // One caller can't be given a second concurrent attempt, and not every caller can be given a retry.
            outcomes.ended(Contract.Outcome.NEVER_SENT, null, null);
            return () -> false;
        }
        currentAttempt = new Directive.Send(endpoint, address, attempt, within, Math.min(within, owner.validMs()));
        engineAttempt = attempt;
        outcomeListener = outcomes;
        Consultations.Reply reply = waiting;
        waiting = null;
        if (reply != null) {
            deliver(reply);
        } else {
            pickUpTimer = owner.timers().schedule(Math.min(owner.bounds().pickUpMs(), PICK_UP_SHARE * within), () -> {
                owner.countEvent(Tally.Kind.NOT_PICKED_UP, id);
                withdrawAttempt();
            });
        }
        return () -> attemptGivenUp(outcomes);
    }

    // The attempt was delivered to no caller, so it can't run; the outcome says nothing about the endpoint.
    private void withdrawAttempt() {
        attemptEnded(Contract.Outcome.NEVER_SENT, null);
    }

    /** Withdraws an attempt that waits for its caller if its endpoint no longer accepts new requests. */
    void listChanged() {
        if (currentAttempt != null && pickUpTimer != null && owner.address(currentAttempt.endpoint()) == null) {
            withdrawAttempt();
        }
    }

    private boolean attemptGivenUp(OutcomeListener<Void> listener) {
        if (listener != outcomeListener) {
            return true;
        }
        boolean wasOut = attemptOut();
        if (wasOut) {
            owner.countEvent(Tally.Kind.NOT_REPORTED, id);
        }
        clear();
        owner.removeLater(this);
        return wasOut;
    }

    private OutcomeListener<Void> clear() {
        OutcomeListener<Void> listener = outcomeListener;
        if (awaitingApproval != null) {
            sharedRequest.cancel();
            waiting = awaitingApproval;
            awaitingApproval = null;
        }
        currentAttempt = null;
        outcomeListener = null;
        if (pickUpTimer != null) {
            pickUpTimer.cancel();
            pickUpTimer = null;
        }
        return listener;
    }

    /** Ends the current attempt. */
    private void attemptEnded(Contract.Outcome outcome, Contract.Report report) {
        OutcomeListener<Void> listener = clear();
        listener.ended(outcome, null, report);
        owner.removeIfDone(this);
    }

    /** Handles a caller's report on how an attempt ended; {@code reply} may be null. */
    void reported(
            int attempt, String endpoint, Contract.Outcome outcome, Contract.Report report, Consultations.Reply reply) {
        if (!attemptOut() || attempt != currentAttempt.attempt()) {
            owner.countEvent(Tally.Kind.STRAY, id);
            if (end == null && awaitingEnd != null && reply != null) {
                awaitingEnd.add(reply);
            } else {
                answer(reply, end != null ? end : new Directive.Unknown());
            }
        } else if (endpoint != null && !endpoint.equals(currentAttempt.endpoint())) {
            // An outcome on another endpoint says nothing about this one, and the caller already has an answer of its
            // own.
            owner.countEvent(Tally.Kind.MISDIRECTED, id);
            abandoned();
            answer(reply, new Directive.Unknown());
        } else if (end != null) {
            Directive known = end;
            attemptEnded(outcome, report);
            answer(reply, known);
        } else if (awaitingEnd != null) {
            if (reply != null) {
                awaitingEnd.add(reply);
            }
            attemptEnded(outcome, report);
        } else {
            if (sharedRequest != null && outcome.neverRan) {
                sharedRequest.neverRan();
            }
            waiting = reply;
            attemptEnded(outcome, report);
        }
    }

    private static void answer(Consultations.Reply reply, Directive directive) {
        if (reply != null) {
            reply.onDirective(directive);
        }
    }

    /** The caller has started to pass the answer on to its client. */
    void streaming(int attempt) {
        if (attemptOut() && attempt == currentAttempt.attempt() && !isEnding()) {
            if (sharedRequest == null) {
                end = new Directive.Served();
            }
            engineRequest.streaming(engineAttempt);
            if (sharedRequest != null) {
                finish(new Directive.Served());
            }
        } else {
            owner.countEvent(Tally.Kind.STRAY, id);
        }
    }

    /** The caller is lost or has abandoned the request. */
    void abandoned() {
        boolean wasOut = attemptOut();
        if (!isEnding()) {
            // A caller that asks again gets a failure, unless nothing can have run.
            Directive directive = everSent ? new Directive.Failed() : new Directive.Refused(0);
            if (sharedRequest == null) {
                end = directive;
            }
            engineRequest.abandon();
            if (sharedRequest != null) {
                waiting = null;
                finish(directive);
            }
        }
        if (currentAttempt != null) {
            attemptEnded(wasOut ? Contract.Outcome.CANCELLED : Contract.Outcome.NEVER_SENT, null);
        }
        waiting = null;
        owner.removeIfDone(this);
    }

    private void finish(Directive directive) {
        Consultations.Reply reply = waiting;
        waiting = null;
        if (sharedRequest == null) {
            end = directive;
            endUndelivered = reply == null;
            answer(reply, directive);
            owner.removeIfDone(this);
            return;
        }
        awaitingEnd = new ArrayList<>(1);
        if (reply != null) {
            awaitingEnd.add(reply);
        }
        sharedRequest.end(directive, agreed -> {
            List<Consultations.Reply> replies = awaitingEnd;
            awaitingEnd = null;
            end = agreed;
            // The end is not known to this member.
            heldElsewhere |= agreed instanceof Directive.AlreadyOut;
            endUndelivered = replies.isEmpty();
            replies.forEach(r -> r.onDirective(agreed));
            owner.removeIfDone(this);
        });
    }

    @Override
    public void served(Void answer) {
        finish(new Directive.Served());
    }

    @Override
    public void refused(double retryAfter) {
        finish(new Directive.Refused(retryAfter));
    }

    @Override
    public void failed() {
        finish(new Directive.Failed());
    }
}
