package whinlead.decide;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import whinlead.Contract;

/** The servers on the server list, and when to request the list again. */
final class ServerList {
    // Delay before the list is requested again, doubled up to the maximum.
    private static final double MIN_RETRY_MS = 300;
    private static final double MAX_RETRY_MS = 4000;
    // The requests of all sidecars are spread over this much time each, at most over this share of the time within
    // which the obligations want the list requested.
    private static final double SPREAD_PER_SIDECAR_MS = 10;
    private static final double MAX_SPREAD_SHARE = 0.4;

    private final SplittableRandom random;
    private final Contract.Actions actions;
    private final long salt;
    private final double spreadMs;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    private double watchAtMs = Double.NaN;
    private double retryWaitMs = MIN_RETRY_MS;
    private boolean watchRequested;

    ServerList(Contract.Settings settings, SplittableRandom random, Contract.Actions actions) {
        this.random = random;
        this.actions = actions;
        this.salt = random.nextLong();
        this.spreadMs = Math.min(
                settings.obligations().requestListWithin() * MAX_SPREAD_SHARE,
                settings.sidecars() * SPREAD_PER_SIDECAR_MS);
    }

    void start(double nowMs, boolean mustBeAsked) {
        if (mustBeAsked) {
            watchAtMs = nowMs + spreadMs * random.nextDouble();
        }
    }

    // Returns true if the list may have changed.
    boolean update(double nowMs, Contract.ListKind kind, List<Contract.Server> entries) {
        if (kind == Contract.ListKind.FAILED) {
            // Spread at random, so that a recovering list service does not get the requests of all sidecars at once.
            watchAtMs = nowMs + retryWaitMs * (0.5 + random.nextDouble()) + spreadMs * random.nextDouble();
            if (retryWaitMs == MIN_RETRY_MS) {
                actions.log("server list out of reach: deciding on the last one");
            }
            retryWaitMs = Math.min(MAX_RETRY_MS, retryWaitMs * 2);
            return false;
        }
        if (kind != Contract.ListKind.STALE && watchRequested) {
            if (retryWaitMs > MIN_RETRY_MS) {
                actions.log("server list back in reach");
            }
            watchAtMs = Double.NaN;
            retryWaitMs = MIN_RETRY_MS;
        }
        if (kind != Contract.ListKind.CHANGES) {
            nodes.values().forEach(n -> n.usable = n.listed = false);
        }
        for (Contract.Server entry : entries) {
            updateEntry(entry);
        }
        // Unlisted servers are removed at once or after their last attempt, so that none accumulate over rolling
        // deploys.
        nodes.values().removeIf(n -> !n.listed && n.outstanding.count == 0);
        return true;
    }

    // Called after an attempt at this server has ended.
    void removeIfUnused(Node node) {
        if (node.outstanding.count == 0 && !node.listed) {
            nodes.remove(node.entry.id());
        }
    }

    void endPeriod(double nowMs) {
        if (watchAtMs <= nowMs) {
            watchAtMs = Double.NaN;
            watchRequested = true;
            actions.watchServers();
        }
    }

    private void updateEntry(Contract.Server entry) {
        Node node = nodes.get(entry.id());
        if (node == null) {
            node = new Node(new SplittableRandom(salt + entry.id().hashCode()).nextLong(), entry.startedAt());
            nodes.put(entry.id(), node);
        } else if (entry.startedAt() > node.startedAtMs) {
            node.reset(entry.startedAt());
        }
        node.entry = entry;
        node.usable = entry.state() == Contract.ServerState.UP;
        node.listed = entry.state() != Contract.ServerState.GONE;
    }
}
