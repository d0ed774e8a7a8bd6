package whinlead.decide;

import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;

/** A request, its attempts, and what may still be done for it. */
final class Call {
    final Contract.Request request;
    final Contract.RequestClass type;
    final int level;
    final double aimAt;
    final double endAt;
    final List<Attempt> attempts = new ArrayList<>(1);
    boolean ended;
    // The first attempt that may have run; null while every one is known not to have.
    Attempt mayHaveRun;

    Call(double now, Contract.Request request, Contract.RequestClass type, int level) {
        this.request = request;
        this.type = type;
        this.level = level;
        this.aimAt = now + type.aim();
        this.endAt = now + request.timeLeft;
    }

    // The attempt of that number while it is out, else null: outcomes are told once.
    Attempt out(int attempt) {
        Attempt a = attempt >= 0 && attempt < attempts.size() ? attempts.get(attempt) : null;
        return a != null && a.out ? a : null;
    }

    // A keyed request that may have run, whose repeat only some servers discard.
    boolean grouped() {
        return mayHaveRun != null && type.effect() == Contract.Effect.KEYED && type.group() != Contract.Group.ALL;
    }

    // Not where it has been, and for a keyed request that may have run only within its group and window.
    boolean mayGo(double now, Node n) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).node == n) {
                return false;
            }
        }
        if (mayHaveRun == null || type.effect() != Contract.Effect.KEYED) {
            return true;
        }
        Contract.Server a = mayHaveRun.node.entry;
        return now < mayHaveRun.sentAt + type.window()
                && switch (type.group()) {
                    case ALL -> true;
                    case ZONE -> a.zone().equals(n.entry.zone());
                    case CELL -> a.cell() == n.entry.cell();
                };
    }

    // A refusal is true only where it is known that a retry does no harm.
    boolean mayRefuse(double now) {
        return now < endAt && (mayHaveRun == null || clientMayRepeat());
    }

    boolean clientMayRepeat() {
        return type.effect() == Contract.Effect.SAFE
                || type.effect() == Contract.Effect.KEYED && type.group() == Contract.Group.ALL;
    }

    // How long an attempt may stay out; 0 for as long as the client waits.
    double within(double now) {
        boolean stopAtAim = type.lateWorth() <= 0 && !clientMayRepeat();
        return stopAtAim && aimAt < endAt ? Math.max(1, aimAt - now) : 0;
    }
}
