package whinlead.mesh.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One control node's part of all tenants' limits, which it leases to sidecars by their demand.
 *
 * <p>Invariant, for each tenant: the shares of all leases that may still be in force, plus the share of the pool from
 * which single tokens are given out, add up to no more than this control node's capacity. The capacities of all control
 * nodes add up to no more than 1 ({@link GrantAuthority}). A process that starts does not know the leases that the
 * process before it granted: until all sidecars that had one have reported their shares, or all those leases have
 * ended, no share grows.
 *
 * <p>Pure; one thread; times in milliseconds.
 */
public final class QuotaGrantor {
    /** Limits on the sidecars and tenants that are stored. */
    private static final int MAX_LESSEES = 4096;

    private static final int MAX_TENANTS = 4096;
    /** The fraction that is leased of a tenant that is within its limit; the rest is given out as single tokens. */
    private static final double LEASED_FRACTION = 0.75;
    /** The leased fraction of a tenant whose demand is above {@link #BUSY_FRACTION} of its limit. */
    private static final double LEASED_FRACTION_BUSY = 0.95;

    private static final double BUSY_FRACTION = 0.9;
    /** A lease with a smaller bucket depth is of no use. */
    private static final double MIN_LEASED_DEPTH = 2;
    /**
     * A sidecar is leased at most this many times its demand, so that the first one to report does not get the whole
     * limit.
     */
    private static final double MAX_HEADROOM = 2;
    /** With less demand than this, in requests a second, single tokens serve a sidecar better than a lease. */
    private static final double MIN_LEASED_DEMAND_PER_S = 0.7;
    /** Bucket depth that each control node reserves for its pool, of a tenant that is within its limit. */
    private static final double MIN_POOL_DEPTH = 2;
    /** A share stays unchanged while the wanted share differs from it by less than this fraction. */
    private static final double SHARE_TOLERANCE = 0.2;
    /** The wait in a response without a token, while this control node may not give out any. */
    private static final double NO_CAPACITY_WAIT_MS = 50;

    /** Interval between two searches for ended leases. */
    private static final double SWEEP_INTERVAL_MS = 100;

    /** One tenant, over all sidecars. */
    private static final class Tenant {
        private final TokenBucket pool;
        private double committed;
        private double demandPerS;
        /** Tokens of the reserve that this process has given out. */
        private int reserveUsed;

        private Tenant(TokenBucket pool) {
            this.pool = pool;
        }
    }

    private final long life;
    private final double startedAtMs;
    private final boolean hasReserve;
    private final Map<String, Lessee> lessees = new LinkedHashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    /** Sidecars that may have leases of an earlier process and have not yet reported to this one. */
    private final Set<String> unreportedLessees;

    private long grantCount;
    private double capacity;
    /**
     * The fraction that may be newly leased or given out as tokens: 0 while there may be leases that are not known
     * here.
     */
    private double poolCapacity;
    /** When the pool's capacity last stopped being 0. */
    private double poolSinceMs;

    private double sweptAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a grantor without leases.
     *
     * @param life identifies this run of the process
     * @param earlierLessees sidecars to which an earlier process may have granted leases
     * @param hasReserve whether no earlier process can have given out tokens of the reserve within the last window
     */
    public QuotaGrantor(double nowMs, long life, Set<String> earlierLessees, boolean hasReserve) {
        this.life = life;
        this.startedAtMs = nowMs;
        this.unreportedLessees = new HashSet<>(earlierLessees);
        this.hasReserve = hasReserve;
        this.poolSinceMs = nowMs;
    }

    /**
     * Handles a sidecar's report of its demand and shares.
     *
     * @param recorded whether it is recorded on disk that this sidecar may have a lease
     * @return the lease, or null if none is granted
     */
    public LeaseGrant handleReport(double nowMs, String sidecar, LeaseReport report, boolean recorded) {
        advance(nowMs, capacity);
        if (report.leaving()) {
            remove(nowMs, sidecar);
            return null;
        }
        Lessee lessee = lessee(nowMs, sidecar, report.sidecarLife());
        if (lessee == null) {
            return null;
        }
        addToTotals(nowMs, lessee, -1);
        boolean accepted = lessee.applyReport(nowMs, report, life, startedAtMs + LeaseTerms.COUNTED_MS);
        report.needs().forEach(need -> tenant(nowMs, need.tenant(), need.allowance()));
        addToTotals(nowMs, lessee, 1);
        if (accepted) {
            addReturnedTokens(nowMs, report);
        }
        if (unreportedLessees.remove(sidecar)) {
            advance(nowMs, capacity);
        }
        if (!accepted || !recorded || capacity <= 0 || !lessee.hasRoomForGrant()) {
            return null;
        }
        Map<String, Double> shares = shares(lessee);
        List<QuotaShare> grantedShares = withTokens(nowMs, lessee, shares);
        addToTotals(nowMs, lessee, -1);
        // Grants of all sidecars share one counter: a sidecar that was removed and comes back must not take an old
        // grant for a new one with the same number.
        grantCount++;
        lessee.addGrant(grantCount, shares, nowMs + LeaseTerms.COUNTED_MS);
        addToTotals(nowMs, lessee, 1);
        return new LeaseGrant(life, grantCount, report.number(), grantedShares);
    }

    /** Handles a sidecar's request for one token of the part that is not leased. */
    public TokenResponse handleTokenRequest(double nowMs, TokenRequest request) {
        advance(nowMs, capacity);
        Tenant tenant = tenant(nowMs, request.tenant(), request.allowance());
        if (tenant != null && takeFromReserve(tenant)) {
            return new TokenResponse(request.number(), true, 0);
        }
        if (tenant == null || tenant.pool.share() <= 0) {
            return new TokenResponse(request.number(), false, NO_CAPACITY_WAIT_MS);
        }
        boolean granted = tenant.pool.tryTake(nowMs);
        double waitMs = granted ? 0 : Math.min(NO_CAPACITY_WAIT_MS, tenant.pool.msUntilNextToken(nowMs));
        return new TokenResponse(request.number(), granted, waitMs);
    }

    // The reserve is used only while the leases in force are not known: its size at most once in the life of this
    // process, and once in a window over all processes of this control node.
    private boolean takeFromReserve(Tenant tenant) {
        double reserve = tenant.pool.allowance().reserve() * capacity;
        if (unreportedLessees.isEmpty() || !hasReserve || tenant.reserveUsed + 1 > reserve) {
            return false;
        }
        tenant.reserveUsed++;
        return true;
    }

    /** The sidecars that may have leases now. */
    public Set<String> lessees() {
        Set<String> all = new HashSet<>(unreportedLessees);
        all.addAll(lessees.keySet());
        return all;
    }

    /** Whether no share may grow because leases of an earlier process may be in force that are not known here. */
    public boolean isRecovering() {
        return !unreportedLessees.isEmpty();
    }

    /**
     * Advances the time. To be called often, and at once when the capacity changes.
     *
     * @param newCapacity the fraction of all limits that this control node may grant from now on; 0 for none
     */
    public void advance(double nowMs, double newCapacity) {
        if (nowMs >= startedAtMs + LeaseTerms.COUNTED_MS) {
            unreportedLessees.clear();
        }
        if (nowMs >= sweptAtMs + SWEEP_INTERVAL_MS) {
            sweptAtMs = nowMs;
            removeEnded(nowMs);
        }
        double newPoolCapacity = unreportedLessees.isEmpty() ? newCapacity : 0;
        if (poolCapacity <= 0) {
            poolSinceMs = nowMs;
        }
        capacity = newCapacity;
        if (poolCapacity != newPoolCapacity) {
            poolCapacity = newPoolCapacity;
            tenants.values().forEach(tenant -> updatePool(nowMs, tenant));
        }
    }

    private void removeEnded(double nowMs) {
        List<Lessee> ended = lessees.values().stream()
                .filter(lessee -> lessee.hasEnded(nowMs))
                .toList();
        ended.forEach(lessee -> addToTotals(nowMs, lessee, -1));
        lessees.values().removeAll(ended);
    }

    private void remove(double nowMs, String sidecar) {
        Lessee removed = lessees.remove(sidecar);
        if (removed != null) {
            addToTotals(nowMs, removed, -1);
        }
        if (unreportedLessees.remove(sidecar)) {
            advance(nowMs, capacity);
        }
    }

    // Returns null if there is no room. A new process at a known sidecar's address has no leases; the process before
    // it has ended, and its leases with it.
    private Lessee lessee(double nowMs, String sidecar, long sidecarLife) {
        Lessee known = lessees.get(sidecar);
        if (known != null && known.sidecarLife() == sidecarLife) {
            return known;
        }
        if (known != null) {
            addToTotals(nowMs, known, -1);
        } else if (lessees.size() >= MAX_LESSEES) {
            return null;
        }
        Lessee created = new Lessee(sidecarLife);
        lessees.put(sidecar, created);
        return created;
    }

    // Returns null if there is no room.
    private Tenant tenant(double nowMs, String name, QuotaAllowance allowance) {
        Tenant tenant = tenants.get(name);
        if (tenant == null) {
            if (tenants.size() >= MAX_TENANTS) {
                tenants.values().removeIf(each -> each.committed <= 0 && each.demandPerS <= 0);
            }
            if (tenants.size() >= MAX_TENANTS) {
                return null;
            }
            tenant = new Tenant(new TokenBucket(poolSinceMs, allowance, poolCapacity));
            tenants.put(name, tenant);
        } else if (!tenant.pool.allowance().equals(allowance)) {
            tenant.pool.update(nowMs, allowance, tenant.pool.share());
        }
        return tenant;
    }

    // Adds the shares that a sidecar may have and its demand to the totals (sign 1), or subtracts them (sign -1).
    private void addToTotals(double nowMs, Lessee lessee, int sign) {
        lessee.demandPerS().forEach((name, demandPerS) -> {
            Tenant tenant = tenants.get(name);
            if (tenant != null) {
                tenant.demandPerS = Math.max(0, tenant.demandPerS + sign * demandPerS);
            }
        });
        lessee.committed().forEach((name, share) -> {
            Tenant tenant = tenants.get(name);
            if (tenant != null) {
                tenant.committed = Math.max(0, tenant.committed + sign * share);
                updatePool(nowMs, tenant);
            }
        });
    }

    // The share that these tokens belonged to is returned by the same report, so there is room for them.
    private void addReturnedTokens(double nowMs, LeaseReport report) {
        for (QuotaNeed need : report.needs()) {
            Tenant tenant = tenants.get(need.tenant());
            if (tenant != null && need.returnedTokens() > 0) {
                tenant.pool.add(nowMs, need.returnedTokens());
            }
        }
    }

    private void updatePool(double nowMs, Tenant tenant) {
        tenant.pool.update(nowMs, tenant.pool.allowance(), Math.max(0, poolCapacity - tenant.committed));
    }

    private Map<String, Double> shares(Lessee lessee) {
        Map<String, Double> shares = new HashMap<>();
        lessee.demandPerS().forEach((name, demandPerS) -> {
            Tenant tenant = tenants.get(name);
            if (tenant != null) {
                shares.put(name, share(tenant, lessee.committed(name), demandPerS));
            }
        });
        return shares;
    }

    // By demand, but no more than is free. Where the capacity has shrunk, existing shares shrink in proportion.
    private double share(Tenant tenant, double heldShare, double demandPerS) {
        double wantedShare = wantedShare(tenant, demandPerS);
        double freeShare = Math.max(0, capacity - (tenant.committed - heldShare));
        double retainedShare = heldShare * Math.min(1, capacity / Math.max(capacity, tenant.committed));
        double maxShare = unreportedLessees.isEmpty() ? Math.max(freeShare, retainedShare) : retainedShare;
        boolean isWithinTolerance = Math.abs(wantedShare - heldShare) <= heldShare * SHARE_TOLERANCE;
        return Math.min(isWithinTolerance ? heldShare : wantedShare, maxShare);
    }

    private double wantedShare(Tenant tenant, double demandPerS) {
        if (demandPerS < MIN_LEASED_DEMAND_PER_S || tenant.demandPerS <= 0) {
            return 0;
        }
        QuotaAllowance allowance = tenant.pool.allowance();
        // The pool needs room for some tokens, or none could be given out.
        double maxLeasedFraction = 1 - MIN_POOL_DEPTH / (allowance.depth() * capacity);
        boolean busy = tenant.demandPerS > BUSY_FRACTION * allowance.ratePerS();
        double leasedFraction = busy ? LEASED_FRACTION_BUSY : Math.min(maxLeasedFraction, LEASED_FRACTION);
        double fractionByDemand = leasedFraction * Math.min(1, demandPerS / tenant.demandPerS);
        double fraction = Math.min(fractionByDemand, MAX_HEADROOM * demandPerS / allowance.ratePerS());
        return fraction * allowance.depth() < MIN_LEASED_DEPTH ? 0 : fraction * capacity;
    }

    // Shares that grow bring the pool's tokens along, but only one grant with tokens is in transit at a time: the
    // tokens that a sidecar has plus those in transit to it never exceed the depth of its share.
    private List<QuotaShare> withTokens(double nowMs, Lessee lessee, Map<String, Double> shares) {
        boolean mayTransferTokens = lessee.isNewestGrantInForce() && unreportedLessees.isEmpty();
        List<QuotaShare> grantedShares = new ArrayList<>();
        shares.forEach((name, share) -> {
            Tenant tenant = tenants.get(name);
            double addedShare = share - lessee.committed(name);
            double tokens = mayTransferTokens && addedShare > 0 ? tenant.pool.split(nowMs, addedShare) : 0;
            grantedShares.add(new QuotaShare(name, share, tokens, tenant.demandPerS));
        });
        return grantedShares;
    }
}
