package whinlead.decide;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import whinlead.Contract;

/** The servers that the list names, and when to ask for the list again. */
final class ServerList {
    // Waits before asking for the list again, doubled up to the longest.
    private static final double ASK_FIRST = 300;
    private static final double ASK_LONGEST = 4000;
    // All sidecars' calls are spread over so much time each, at most over this share of `askWithin`.
    private static final double ASK_EACH = 10;
    private static final double MAX_ASK_SPREAD = 0.4;

    private final SplittableRandom random;
    private final Contract.Actions out;
    private final long salt;
    private final double spread;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    private double askAt = Double.NaN;
    private double askWait = ASK_FIRST;
    private boolean asked;

    ServerList(Contract.Settings settings, SplittableRandom random, Contract.Actions out) {
        this.random = random;
        this.out = out;
        this.salt = random.nextLong();
        this.spread = Math.min(settings.obligations().askWithin() * MAX_ASK_SPREAD, settings.sidecars() * ASK_EACH);
    }

    void start(double now, boolean mustBeAsked) {
        if (mustBeAsked) {
            askAt = now + spread * random.nextDouble();
        }
    }

    // True if there is anything new.
    boolean told(double now, Contract.ListKind kind, List<Contract.Server> entries) {
        if (kind == Contract.ListKind.FAILED) {
            // A list service that comes back must not be met by every sidecar at once.
            askAt = now + askWait * (0.5 + random.nextDouble()) + spread * random.nextDouble();
            if (askWait == ASK_FIRST) {
                out.log("server list out of reach: deciding on the last one");
            }
            askWait = Math.min(ASK_LONGEST, askWait * 2);
            return false;
        }
        if (kind != Contract.ListKind.STALE && asked) {
            if (askWait > ASK_FIRST) {
                out.log("server list back in reach");
            }
            askAt = Double.NaN;
            askWait = ASK_FIRST;
        }
        if (kind != Contract.ListKind.CHANGES) {
            nodes.values().forEach(n -> n.usable = n.listed = false);
        }
        for (Contract.Server e : entries) {
            learn(e);
        }
        // What is off the list goes at once or with its last attempt: nothing piles up over rolling deploys.
        nodes.values().removeIf(n -> !n.listed && n.out.count == 0);
        return true;
    }

    // After a server's attempt has ended.
    void forget(Node n) {
        if (n.out.count == 0 && !n.listed) {
            nodes.remove(n.entry.id());
        }
    }

    void period(double now) {
        if (askAt <= now) {
            askAt = Double.NaN;
            asked = true;
            out.watchServers();
        }
    }

    private void learn(Contract.Server e) {
        Node n = nodes.get(e.id());
        if (n == null) {
            n = new Node(new SplittableRandom(salt + e.id().hashCode()).nextLong(), e.startedAt());
            nodes.put(e.id(), n);
        } else if (e.startedAt() > n.startedAt) {
            n.restarted(e.startedAt());
        }
        n.entry = e;
        n.usable = e.standing() == Contract.Standing.UP;
        n.listed = e.standing() != Contract.Standing.GONE;
    }
}
