package whinlead.decide;

import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;

/** A request, its attempts, and the rules on what may still be done for it. */
final class Call {
    final Contract.Request request;
    final Contract.RequestClass requestClass;
    final int level;
    final double targetAtMs;
    final double deadlineMs;
    final List<Attempt> attempts = new ArrayList<>(1);
    boolean ended;
    // The first attempt that may have run; null while none may have run.
    Attempt mayHaveRun;

    Call(double nowMs, Contract.Request request, Contract.RequestClass type, int level) {
        this.request = request;
        this.requestClass = type;
        this.level = level;
        this.targetAtMs = nowMs + type.latencyTarget();
        this.deadlineMs = nowMs + request.timeLeft;
    }

    // The attempt with that index while it is in flight, else null, so that each outcome is processed once.
    Attempt inFlightAttempt(int index) {
        Attempt attempt = index >= 0 && index < attempts.size() ? attempts.get(index) : null;
        return attempt != null && attempt.inFlight ? attempt : null;
    }

    // A keyed request that may have run and whose repeat only some servers discard.
    boolean needsDedupGroup() {
        return mayHaveRun != null
                && requestClass.effect() == Contract.Effect.KEYED
                && requestClass.dedupGroup() != Contract.Group.ALL;
    }

    // Never a server that was already tried. A keyed request that may have run stays within its group and window.
    boolean mayUse(double nowMs, Node node) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).node == node) {
                return false;
            }
        }
        if (mayHaveRun == null || requestClass.effect() != Contract.Effect.KEYED) {
            return true;
        }
        Contract.Server server = mayHaveRun.node.entry;
        return nowMs < mayHaveRun.sentAtMs + requestClass.dedupWindow()
                && switch (requestClass.dedupGroup()) {
                    case ALL -> true;
                    case ZONE -> server.zone().equals(node.entry.zone());
                    case CELL -> server.cell() == node.entry.cell();
                };
    }

    // A refusal promises that a retry does no harm, so it is given only where that is known.
    boolean mayRefuse(double nowMs) {
        return nowMs < deadlineMs && (mayHaveRun == null || clientMayRepeat());
    }

    boolean clientMayRepeat() {
        return requestClass.effect() == Contract.Effect.SAFE
                || requestClass.effect() == Contract.Effect.KEYED && requestClass.dedupGroup() == Contract.Group.ALL;
    }

    // How long an attempt may stay in flight, in ms; 0 for as long as the client waits.
    double attemptTimeoutMs(double nowMs) {
        boolean stopAtAim = requestClass.lateWorth() <= 0 && !clientMayRepeat();
        return stopAtAim && targetAtMs < deadlineMs ? Math.max(1, targetAtMs - nowMs) : 0;
    }
}
