package whinlead.mesh.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * A control node's record of one sidecar: the shares that it may have by grants, and its demand. The control node does
 * not know which of several recent grants is in force at the sidecar, so for each tenant the largest share counts until
 * the sidecar names a later grant. Pure.
 */
final class Lessee {
    /**
     * Maximum number of grants that may be in force; a sidecar that has accepted none of this many gets no further
     * grant.
     */
    private static final int MAX_OPEN_GRANTS = 16;

    private record Grant(long number, Map<String, Double> shares) {}

    private final long sidecarLife;
    private final Deque<Grant> openGrants = new ArrayDeque<>();
    private final Map<String, Double> committed = new HashMap<>();
    private final Map<String, Double> demandPerS = new HashMap<>();
    private double reportedAtMs = Double.NEGATIVE_INFINITY;
    private long reportNumber = -1;
    private double countedUntilMs = Double.NEGATIVE_INFINITY;

    /** Creates a record of a sidecar without leases. */
    Lessee(long sidecarLife) {
        this.sidecarLife = sidecarLife;
    }

    long sidecarLife() {
        return sidecarLife;
    }

    /** Applies a report; returns false if a later one has been received before. */
    boolean applyReport(double nowMs, LeaseReport report, long grantorLife, double earlierGrantsUntilMs) {
        if (report.number() <= reportNumber) {
            return false;
        }
        reportNumber = report.number();
        reportedAtMs = nowMs;
        if (report.grantorLife() == grantorLife) {
            openGrants.removeIf(grant -> grant.number() < report.grantNumber());
        } else {
            addEarlierShares(report, earlierGrantsUntilMs);
        }
        updateCommitted();
        demandPerS.clear();
        report.needs().forEach(need -> demandPerS.put(need.tenant(), need.demandPerS()));
        return true;
    }

    // The sidecar has shares that an earlier process of this control node granted, and none of this process's grants
    // yet.
    private void addEarlierShares(LeaseReport report, double earlierGrantsUntilMs) {
        Map<String, Double> heldShares = new HashMap<>();
        report.needs().forEach(need -> heldShares.put(need.tenant(), need.heldShare()));
        openGrants.removeIf(grant -> grant.number() == 0);
        openGrants.addFirst(new Grant(0, heldShares));
        if (!heldShares.isEmpty()) {
            countedUntilMs = Math.max(countedUntilMs, earlierGrantsUntilMs);
        }
    }

    boolean hasRoomForGrant() {
        return openGrants.size() < MAX_OPEN_GRANTS;
    }

    /**
     * Whether the newest grant is certainly in force at the sidecar, so that no tokens that were granted are still in
     * transit.
     */
    boolean isNewestGrantInForce() {
        return openGrants.size() <= 1;
    }

    /** Records a grant that is sent now; its number is higher than those of all grants before. */
    void addGrant(long number, Map<String, Double> shares, double untilMs) {
        openGrants.addLast(new Grant(number, shares));
        countedUntilMs = untilMs;
        updateCommitted();
    }

    /** Whether its leases have ended and it has not reported since. */
    boolean hasEnded(double nowMs) {
        return countedUntilMs <= nowMs && reportedAtMs + LeaseTerms.COUNTED_MS <= nowMs;
    }

    /** The largest share that the sidecar may have of each tenant. */
    Map<String, Double> committed() {
        return committed;
    }

    double committed(String tenant) {
        return committed.getOrDefault(tenant, 0.0);
    }

    Map<String, Double> demandPerS() {
        return demandPerS;
    }

    private void updateCommitted() {
        committed.clear();
        for (Grant grant : openGrants) {
            grant.shares().forEach((tenant, share) -> {
                if (share > 0) {
                    committed.merge(tenant, share, Math::max);
                }
            });
        }
    }
}
