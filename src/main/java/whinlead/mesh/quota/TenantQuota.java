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
 * One sidecar's part of each tenant's limit: a token bucket by the shares that control nodes have leased to it. Where a
 * bucket has no token, a control node may give one out of what it has not leased. Without leases nothing passes, for
 * others may have the whole limit by then.
 *
 * <p>Leases as in Google's Doorman: capacity leased to clients for a time, counted where it is granted. Pure; one
 * thread; times in milliseconds.
 */
public final class TenantQuota {
    /** Tenants that are counted at most; beyond, the longest unused goes. */
    private static final int MAX_TENANTS = 4096;
    /** Control nodes whose leases are kept at most. */
    private static final int MAX_CONTROL_NODES = 32;
    /** Less demand than this is not worth a lease, in requests a second. */
    private static final double MIN_DEMAND_PER_S = 0.02;
    /** Demand that differs by this factor, and by so many requests a second, from what was told is told at once. */
    private static final double NEWS_FACTOR = 1.5;

    private static final double NEWS_PER_S = 2;
    /** A tenant is over its limit for sure if it asks for so many times as much. */
    private static final double OVER_LIMIT = 1.2;
    /**
     * After a control node had no token, none is asked for a token of this tenant for so long; doubles up to a most.
     */
    private static final double MIN_PAUSE_MS = 20;

    private static final double MAX_PAUSE_MS = 200;
    /** What refused requests are told to wait where nothing tells when a token comes. */
    private static final double DEFAULT_RETRY_MS = 500;

    /** One tenant at this sidecar. */
    private static final class Tenant {
        private final TokenBucket bucket;
        private final DemandAverage demand;
        private double toldPerS;
        private double pauseMs = MIN_PAUSE_MS;
        private double pausedUntil = Double.NEGATIVE_INFINITY;

        private Tenant(double now, QuotaAllowance allowance, double share) {
            this.bucket = new TokenBucket(now, allowance, share);
            this.demand = new DemandAverage(now);
        }
    }

    /** A bounded table. */
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
    private long reports;
    private double evenShare;

    /**
     * A sidecar's part, without leases.
     *
     * @param life tells this process from an earlier one at the same address
     */
    public TenantQuota(QuotaRules rules, long life) {
        this.rules = rules;
        this.life = life;
    }

    /**
     * Gives up all leases, and returns the report that tells so. What is on its way for earlier reports counts no more.
     */
    public LeaseReport release(double now) {
        expireLeases(now);
        leases.values().forEach(QuotaLease::expire);
        leases.values().forEach(QuotaLease::reconnected);
        updateShares(now, Set.copyOf(tenants.keySet()));
        return new LeaseReport(life, ++reports, 0, 0, List.of(), true);
    }

    /** Decides on one request of a tenant with this limit; a limit of 0 is none. */
    public QuotaDecision acquire(double now, String name, double limitPerS, double burst) {
        if (limitPerS <= 0) {
            return new QuotaDecision.Admitted();
        }
        expireLeases(now);
        QuotaAllowance allowance = rules.allowance(limitPerS, burst);
        Tenant tenant = tenant(now, name, allowance);
        tenant.demand.countRequest(now);
        if (tenant.bucket.tryTake(now)) {
            return new QuotaDecision.Admitted();
        }
        if (now < tenant.pausedUntil || isOverLimit(name, limitPerS) && tenant.bucket.share() > 0) {
            return new QuotaDecision.Refused(retryAfterMs(now, tenant));
        }
        return new QuotaDecision.NeedsToken(name, allowance);
    }

    private Tenant tenant(double now, String name, QuotaAllowance allowance) {
        Tenant tenant = tenants.get(name);
        if (tenant == null) {
            tenant = new Tenant(now, allowance, share(name));
            tenants.put(name, tenant);
        } else if (!tenant.bucket.allowance().equals(allowance)) {
            tenant.bucket.change(now, allowance, tenant.bucket.share());
        }
        return tenant;
    }

    // Then nearly all of the limit is leased, and asking for more would be in vain.
    private boolean isOverLimit(String name, double limitPerS) {
        return leases.values().stream()
                .map(lease -> lease.share(name))
                .anyMatch(share -> share != null && share.demandPerS() >= limitPerS * OVER_LIMIT);
    }

    private double retryAfterMs(double now, Tenant tenant) {
        double nextMs = Math.max(tenant.bucket.untilNextMs(now), tenant.pausedUntil - now);
        return Double.isFinite(nextMs) ? Math.min(nextMs, rules.windowS() * 1000) : DEFAULT_RETRY_MS;
    }

    /** A control node gave a token to a request of this tenant. */
    public void tokenGranted(String name) {
        Tenant tenant = tenants.get(name);
        if (tenant != null) {
            tenant.pauseMs = MIN_PAUSE_MS;
        }
    }

    /** A control node gave a token that no request needs: it is told so with the next report, and may give it again. */
    public void tokenUnused(String controlNode, String name) {
        QuotaLease lease = leases.get(controlNode);
        if (lease != null && tenants.containsKey(name)) {
            lease.returnTokens(name, 1);
        }
    }

    /**
     * No control node had a token, or none answered.
     *
     * @param waitMs when one may have one
     * @return what the request is told to wait, in milliseconds
     */
    public double tokenDenied(double now, String name, double waitMs) {
        Tenant tenant = tenants.get(name);
        if (tenant == null) {
            return DEFAULT_RETRY_MS;
        }
        double pauseMs = Math.min(MAX_PAUSE_MS, Math.max(waitMs, tenant.pauseMs));
        tenant.pauseMs = Math.min(MAX_PAUSE_MS, tenant.pauseMs * 2);
        tenant.pausedUntil = Math.max(tenant.pausedUntil, now + pauseMs);
        return retryAfterMs(now, tenant);
    }

    /** Whether demand has changed so much since it was last told that a report is due at once. */
    public boolean hasNews(double now) {
        for (Tenant tenant : tenants.values()) {
            double perS = tenant.demand.perSecond(now);
            double more = Math.max(perS, tenant.toldPerS);
            double less = Math.min(perS, tenant.toldPerS);
            if (more > less * NEWS_FACTOR && more > less + NEWS_PER_S) {
                return true;
            }
        }
        return false;
    }

    /** Whether a report to this control node would say anything. */
    public boolean hasNeeds(double now, String controlNode) {
        return !needs(now, leases.get(controlNode)).isEmpty();
    }

    /** A new connection to a control node: answers to earlier reports don't come any more. */
    public void connected(String controlNode) {
        QuotaLease lease = leases.get(controlNode);
        if (lease != null) {
            lease.reconnected();
        }
    }

    /**
     * What a control node is told now, as one report that is sent at once; null where there is no room for its leases.
     */
    public LeaseReport report(double now, String controlNode) {
        expireLeases(now);
        if (!leases.containsKey(controlNode) && leases.size() >= MAX_CONTROL_NODES) {
            leases.values().removeIf(lease -> lease.validUntil() <= now);
            if (leases.size() >= MAX_CONTROL_NODES) {
                return null;
            }
        }
        QuotaLease lease = leases.computeIfAbsent(controlNode, name -> new QuotaLease());
        lease.retain(tenants.keySet());
        List<QuotaNeed> needs = needs(now, lease);
        lease.tokensReturned();
        needs.forEach(need -> tenants.get(need.tenant()).toldPerS = need.demandPerS());
        lease.reportSent(now, ++reports);
        return new LeaseReport(life, reports, lease.grantorLife(), lease.grantNumber(), needs);
    }

    private List<QuotaNeed> needs(double now, QuotaLease lease) {
        List<QuotaNeed> needs = new ArrayList<>();
        tenants.forEach((name, tenant) -> {
            QuotaShare held = lease == null ? null : lease.share(name);
            double heldShare = held == null ? 0 : held.share();
            double returned = lease == null ? 0 : lease.returnedTokens(name);
            double perS = tenant.demand.perSecond(now);
            if (perS > MIN_DEMAND_PER_S || heldShare > 0 || returned > 0) {
                needs.add(new QuotaNeed(name, perS, tenant.bucket.allowance(), returned, heldShare));
            }
        });
        return needs;
    }

    /** A control node grants a lease. */
    public void granted(double now, String controlNode, LeaseGrant grant) {
        expireLeases(now);
        QuotaLease lease = leases.get(controlNode);
        if (lease == null || !lease.accepts(grant)) {
            return;
        }
        Set<String> affected = new LinkedHashSet<>(lease.tenants());
        lease.replace(grant);
        affected.addAll(lease.tenants());
        if (lease.validUntil() <= now) {
            lease.expire();
        }
        updateShares(now, affected).forEach(lease::returnTokens);
        grant.shares().forEach(share -> {
            Tenant tenant = tenants.get(share.tenant());
            if (tenant != null) {
                tenant.bucket.add(now, share.tokens());
            }
        });
    }

    /**
     * Instead of leases, this share of every limit holds: for a mesh whose control nodes are of an earlier version and
     * grant none. 0 ends it.
     */
    public void useEvenShare(double now, double share) {
        if (share != evenShare) {
            evenShare = share;
            updateShares(now, Set.copyOf(tenants.keySet()));
        }
    }

    // In the order of their ends: until then a bucket has filled by the shares of that time.
    private void expireLeases(double now) {
        List<QuotaLease> ended = leases.values().stream()
                .filter(lease -> lease.validUntil() <= now && !lease.tenants().isEmpty())
                .sorted(Comparator.comparingDouble(QuotaLease::validUntil))
                .toList();
        for (QuotaLease lease : ended) {
            Set<String> affected = Set.copyOf(lease.tenants());
            lease.expire();
            updateShares(lease.validUntil(), affected);
        }
    }

    // Returns the tokens that there is no room for any more, by tenant.
    private Map<String, Double> updateShares(double now, Set<String> names) {
        Map<String, Double> excess = new HashMap<>();
        for (String name : names) {
            Tenant tenant = tenants.get(name);
            if (tenant != null) {
                excess.put(name, tenant.bucket.change(now, tenant.bucket.allowance(), share(name)));
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

    /** For events: what is in force here for this tenant. */
    public String describe(double now, String name) {
        expireLeases(now);
        long granting = leases.values().stream()
                .filter(lease -> lease.share(name) != null)
                .count();
        double demandPerS = leases.values().stream()
                .map(lease -> lease.share(name))
                .mapToDouble(share -> share == null ? 0 : share.demandPerS())
                .max()
                .orElse(0);
        return String.format(
                Locale.ROOT,
                "%s share %.4f by %d leases, demand in all %.1f/s",
                name,
                share(name),
                granting,
                demandPerS);
    }
}
