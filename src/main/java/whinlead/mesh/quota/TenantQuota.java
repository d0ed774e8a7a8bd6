package whinlead.mesh.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * One sidecar's part of each tenant's limit: a token bucket sized by the shares that control nodes have leased to it.
 * If the bucket is empty, a control node may give a token of the part that it has not leased. Without leases the bucket
 * admits nothing, because other sidecars may by then have the whole limit.
 *
 * <p>The leases follow Google's Doorman: capacity is leased to clients for a limited time and counted where it is
 * granted. Pure; one thread; times in milliseconds.
 */
public final class TenantQuota {
    /** Limit on the tenants that are stored; the least recently used one is removed beyond it. */
    private static final int MAX_TENANTS = 4096;
    /** Limit on the control nodes whose leases are stored. */
    private static final int MAX_CONTROL_NODES = 32;
    /** Demand below this, in requests a second, is not reported. */
    private static final double MIN_DEMAND_PER_S = 0.02;
    /**
     * Demand is reported at once if it differs from the last report by this factor and by more than
     * {@link #CHANGE_PER_S} requests a second.
     */
    private static final double CHANGE_FACTOR = 1.5;

    private static final double CHANGE_PER_S = 2;
    /** A tenant is certainly over its limit if its demand is this many times the limit. */
    private static final double OVER_LIMIT_FACTOR = 1.2;
    /**
     * After control nodes had no token for a tenant, they are not asked again for this time; it doubles with each
     * failure, up to {@link #MAX_PAUSE_MS}.
     */
    private static final double MIN_PAUSE_MS = 20;

    private static final double MAX_PAUSE_MS = 200;
    /** Wait that refused requests are told if it is not known when a token will be available. */
    private static final double DEFAULT_RETRY_MS = 500;

    /** One tenant at this sidecar. */
    private static final class Tenant {
        private final TokenBucket bucket;
        private final DemandAverage demand;
        private double reportedPerS;
        private double pauseMs = MIN_PAUSE_MS;
        private double pausedUntilMs = Double.NEGATIVE_INFINITY;

        private Tenant(double nowMs, QuotaAllowance allowance, double share) {
            this.bucket = new TokenBucket(nowMs, allowance, share);
            this.demand = new DemandAverage(nowMs);
        }
    }

    /** A bounded table of tenants in order of use. */
    private static final class Tenants extends LinkedHashMap<String, Tenant> {
        private static final long serialVersionUID = 1L;

        private Tenants() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Tenant> eldest) {
            return size() > MAX_TENANTS;
        }
    }

    private final QuotaRules rules;
    private final long life;
    private final Tenants tenants = new Tenants();
    private final Map<String, QuotaLease> leases = new LinkedHashMap<>();
    private long reportCount;
    private double evenShare;

    /**
     * Creates a quota without leases.
     *
     * @param life identifies this run of the sidecar's process, among those at the same address
     */
    public TenantQuota(QuotaRules rules, long life) {
        this.rules = rules;
        this.life = life;
    }

    /**
     * Gives up all leases and returns the report that says so. Answers to earlier reports that are still in transit are
     * ignored.
     */
    public LeaseReport releaseAll(double nowMs) {
        expireLeases(nowMs);
        leases.values().forEach(QuotaLease::expire);
        leases.values().forEach(QuotaLease::dropOpenReports);
        updateShares(nowMs, Set.copyOf(tenants.keySet()));
        return new LeaseReport(life, ++reportCount, 0, 0, List.of(), true);
    }

    /** Decides on one request of a tenant with this limit; a limit of 0 means that there is none. */
    public QuotaDecision acquire(double nowMs, String name, double limitPerS, double burst) {
        if (limitPerS <= 0) {
            return new QuotaDecision.Admitted();
        }
        expireLeases(nowMs);
        QuotaAllowance allowance = rules.allowance(limitPerS, burst);
        Tenant tenant = tenant(nowMs, name, allowance);
        tenant.demand.countRequest(nowMs);
        if (tenant.bucket.tryTake(nowMs)) {
            return new QuotaDecision.Admitted();
        }
        if (nowMs < tenant.pausedUntilMs || isOverLimit(name, limitPerS) && tenant.bucket.share() > 0) {
            return new QuotaDecision.Refused(retryAfterMs(nowMs, tenant));
        }
        return new QuotaDecision.NeedsToken(name, allowance);
    }

    private Tenant tenant(double nowMs, String name, QuotaAllowance allowance) {
        Tenant tenant = tenants.get(name);
        if (tenant == null) {
            tenant = new Tenant(nowMs, allowance, share(name));
            tenants.put(name, tenant);
        } else if (!tenant.bucket.allowance().equals(allowance)) {
            tenant.bucket.update(nowMs, allowance, tenant.bucket.share());
        }
        return tenant;
    }

    // If so, nearly all of the limit is leased, and asking for more would be in vain.
    private boolean isOverLimit(String name, double limitPerS) {
        return leases.values().stream()
                .map(lease -> lease.share(name))
                .anyMatch(share -> share != null && share.demandPerS() >= limitPerS * OVER_LIMIT_FACTOR);
    }

    private double retryAfterMs(double nowMs, Tenant tenant) {
        double nextMs = Math.max(tenant.bucket.msUntilNextToken(nowMs), tenant.pausedUntilMs - nowMs);
        return Double.isFinite(nextMs) ? Math.min(nextMs, rules.windowS() * 1000) : DEFAULT_RETRY_MS;
    }

    /** Records that a control node gave a token to a request of this tenant. */
    public void tokenGranted(String name) {
        Tenant tenant = tenants.get(name);
        if (tenant != null) {
            tenant.pauseMs = MIN_PAUSE_MS;
        }
    }

    /** Records a token that no request needs any more: the next report returns it to the control node that gave it. */
    public void tokenUnused(String controlNode, String name) {
        QuotaLease lease = leases.get(controlNode);
        if (lease != null && tenants.containsKey(name)) {
            lease.addReturnedTokens(name, 1);
        }
    }

    /**
     * Records that no control node had a token, or that none answered.
     *
     * @param waitMs when a control node may have one
     * @return the wait that the request is told, in milliseconds
     */
    public double tokenDenied(double nowMs, String name, double waitMs) {
        Tenant tenant = tenants.get(name);
        if (tenant == null) {
            return DEFAULT_RETRY_MS;
        }
        double pauseMs = Math.min(MAX_PAUSE_MS, Math.max(waitMs, tenant.pauseMs));
        tenant.pauseMs = Math.min(MAX_PAUSE_MS, tenant.pauseMs * 2);
        tenant.pausedUntilMs = Math.max(tenant.pausedUntilMs, nowMs + pauseMs);
        return retryAfterMs(nowMs, tenant);
    }

    /** Whether demand has changed so much since the last report that a report is due at once. */
    public boolean hasDemandChanged(double nowMs) {
        for (Tenant tenant : tenants.values()) {
            double demandPerS = tenant.demand.perSecond(nowMs);
            double higherPerS = Math.max(demandPerS, tenant.reportedPerS);
            double lowerPerS = Math.min(demandPerS, tenant.reportedPerS);
            if (higherPerS > lowerPerS * CHANGE_FACTOR && higherPerS > lowerPerS + CHANGE_PER_S) {
                return true;
            }
        }
        return false;
    }

    /** Whether a report to this control node would contain any needs. */
    public boolean hasNeeds(double nowMs, String controlNode) {
        return !needs(nowMs, leases.get(controlNode)).isEmpty();
    }

    /** Handles a new connection to a control node: answers to earlier reports no longer arrive. */
    public void onConnected(String controlNode) {
        QuotaLease lease = leases.get(controlNode);
        if (lease != null) {
            lease.dropOpenReports();
        }
    }

    /** Creates a report for a control node, which must be sent at once; null if there is no room for its leases. */
    public LeaseReport createReport(double nowMs, String controlNode) {
        expireLeases(nowMs);
        if (!leases.containsKey(controlNode) && leases.size() >= MAX_CONTROL_NODES) {
            leases.values().removeIf(lease -> lease.validUntilMs() <= nowMs);
            if (leases.size() >= MAX_CONTROL_NODES) {
                return null;
            }
        }
        QuotaLease lease = leases.computeIfAbsent(controlNode, name -> new QuotaLease());
        lease.retainTenants(tenants.keySet());
        List<QuotaNeed> needs = needs(nowMs, lease);
        lease.clearReturnedTokens();
        needs.forEach(need -> tenants.get(need.tenant()).reportedPerS = need.demandPerS());
        lease.recordReportSent(nowMs, ++reportCount);
        return new LeaseReport(life, reportCount, lease.grantorLife(), lease.grantNumber(), needs);
    }

    private List<QuotaNeed> needs(double nowMs, QuotaLease lease) {
        List<QuotaNeed> needs = new ArrayList<>();
        tenants.forEach((name, tenant) -> {
            QuotaShare leasedShare = lease == null ? null : lease.share(name);
            double heldShare = leasedShare == null ? 0 : leasedShare.share();
            double returnedTokens = lease == null ? 0 : lease.returnedTokens(name);
            double demandPerS = tenant.demand.perSecond(nowMs);
            if (demandPerS > MIN_DEMAND_PER_S || heldShare > 0 || returnedTokens > 0) {
                needs.add(new QuotaNeed(name, demandPerS, tenant.bucket.allowance(), returnedTokens, heldShare));
            }
        });
        return needs;
    }

    /** Applies a lease that a control node has granted. */
    public void applyGrant(double nowMs, String controlNode, LeaseGrant grant) {
        expireLeases(nowMs);
        QuotaLease lease = leases.get(controlNode);
        if (lease == null || !lease.accepts(grant)) {
            return;
        }
        Set<String> affected = new LinkedHashSet<>(lease.tenants());
        lease.replace(grant);
        affected.addAll(lease.tenants());
        if (lease.validUntilMs() <= nowMs) {
            lease.expire();
        }
        updateShares(nowMs, affected).forEach(lease::addReturnedTokens);
        grant.shares().forEach(share -> {
            Tenant tenant = tenants.get(share.tenant());
            if (tenant != null) {
                tenant.bucket.add(nowMs, share.tokens());
            }
        });
    }

    /**
     * Sets a share of every limit that is used without a lease, for a mesh whose control nodes are of an earlier
     * version and grant none. 0 ends this.
     */
    public void useEvenShare(double nowMs, double share) {
        if (share != evenShare) {
            evenShare = share;
            updateShares(nowMs, Set.copyOf(tenants.keySet()));
        }
    }

    // In the order of their ends, because each bucket fills by the shares that were in force at the time.
    private void expireLeases(double nowMs) {
        List<QuotaLease> ended = leases.values().stream()
                .filter(lease ->
                        lease.validUntilMs() <= nowMs && !lease.tenants().isEmpty())
                .sorted(Comparator.comparingDouble(QuotaLease::validUntilMs))
                .toList();
        for (QuotaLease lease : ended) {
            Set<String> affected = Set.copyOf(lease.tenants());
            lease.expire();
            updateShares(lease.validUntilMs(), affected);
        }
    }

    // Returns the tokens by tenant that there is no more room for.
    private Map<String, Double> updateShares(double nowMs, Set<String> names) {
        Map<String, Double> excess = new HashMap<>();
        for (String name : names) {
            Tenant tenant = tenants.get(name);
            if (tenant != null) {
                excess.put(name, tenant.bucket.update(nowMs, tenant.bucket.allowance(), share(name)));
            }
        }
        return excess;
    }

    private double share(String name) {
        double leased = 0;
        for (QuotaLease lease : leases.values()) {
            QuotaShare share = lease.share(name);
            leased += share == null ? 0 : share.share();
        }
        return leased + evenShare;
    }

    /** Describes the leases of this tenant for log events. */
    public String describe(double nowMs, String name) {
        expireLeases(nowMs);
        long leaseCount = leases.values().stream()
                .filter(lease -> lease.share(name) != null)
                .count();
        double demandPerS = leases.values().stream()
                .map(lease -> lease.share(name))
                .mapToDouble(share -> share == null ? 0 : share.demandPerS())
                .max()
                .orElse(0);
        return String.format(
                Locale.ROOT,
                "%s share %.4f by %d leases, total demand %.1f/s",
                name,
                share(name),
                leaseCount,
                demandPerS);
    }
}
