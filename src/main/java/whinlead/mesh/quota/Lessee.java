package whinlead.mesh.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * One sidecar at a control node: what it may hold by grants, and its demand. Which of several grants on their way is in
 * force there is not known, so of each tenant the largest share counts until the sidecar names a later grant. Pure.
 */
final class Lessee {
    /** Grants that are told apart; a sidecar that takes in none of so many gets no further one. */
    private static final int MAX_OPEN_GRANTS = 16;

    private record Grant(long number, Map<String, Double> shares) {}

    private final long sidecarLife;
    private final Deque<Grant> open = new ArrayDeque<>();
    private final Map<String, Double> committed = new HashMap<>();
    private final Map<String, Double> demandPerS = new HashMap<>();
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private long reportNumber = -1;
    private double countedUntil = Double.NEGATIVE_INFINITY;

    /** One that holds nothing. */
    Lessee(long sidecarLife) {
        this.sidecarLife = sidecarLife;
    }

    long sidecarLife() {
        return sidecarLife;
    }

    /** Takes in a report; false if a later one came before. */
    boolean take(double now, LeaseReport report, long grantorLife, double claimsUntil) {
        if (report.number() <= reportNumber) {
            return false;
        }
        reportNumber = report.number();
        reportedAt = now;
        if (report.grantorLife() == grantorLife) {
            open.removeIf(grant -> grant.number() < report.grantNumber());
        } else {
            claim(report, claimsUntil);
        }
        commit();
        demandPerS.clear();
        report.needs().forEach(need -> demandPerS.put(need.tenant(), need.demandPerS()));
        return true;
    }

    // It holds what an earlier process of this control node granted, and none of this one's grants yet.
    private void claim(LeaseReport report, double claimsUntil) {
        Map<String, Double> held = new HashMap<>();
        report.needs().forEach(need -> held.put(need.tenant(), need.heldShare()));
        open.removeIf(grant -> grant.number() == 0);
        open.addFirst(new Grant(0, held));
        if (!held.isEmpty()) {
            countedUntil = Math.max(countedUntil, claimsUntil);
        }
    }

    boolean mayBeGranted() {
        return open.size() < MAX_OPEN_GRANTS;
    }

    /** Whether the newest grant is surely in force there: tokens that went along with it are not on their way. */
    boolean hasTakenAll() {
        return open.size() <= 1;
    }

    /** Notes a grant that is sent now, under a number above those of all grants before. */
    void grant(long number, Map<String, Double> shares, double until) {
        open.addLast(new Grant(number, shares));
        countedUntil = until;
        commit();
    }

    /** Whether what it held has ended, and it has said nothing since. */
    boolean isOver(double now) {
        return countedUntil <= now && reportedAt + LeaseTerms.COUNTED_MS <= now;
    }

    /** What it may hold by grants, of each tenant. */
    Map<String, Double> committed() {
        return committed;
    }

    double committed(String tenant) {
        return committed.getOrDefault(tenant, 0.0);
    }

    Map<String, Double> demandPerS() {
        return demandPerS;
    }

    private void commit() {
        committed.clear();
        for (Grant grant : open) {
            grant.shares().forEach((tenant, share) -> {
                if (share > 0) {
                    committed.merge(tenant, share, Math::max);
                }
            });
        }
    }
}
