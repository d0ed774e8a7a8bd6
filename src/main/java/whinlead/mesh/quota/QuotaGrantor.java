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
 * <p>Invariant, of each tenant: what is leased and may still be in force, and what is kept to be given out by single
 * tokens, add up to no more than this control node's capacity. The capacities of all control nodes add up to no more
 * than 1 ({@link GrantAuthority}). A process that starts knows nothing of the leases that the one before it gave: until
 * all sidecars that had one have told what they hold, or all those leases have ended, nothing grows.
 *
 * <p>Pure; one thread; times in milliseconds.
 */
public final class QuotaGrantor {
    /** Sidecars, and tenants, that are kept at most. */
    private static final int MAX_LESSEES = 4096;

    private static final int MAX_TENANTS = 4096;
    /** Of a tenant that is within its limit, the part that is leased; the rest goes out by single tokens. */
    private static final double LEASED_PART = 0.75;
    /** The same of a tenant that asks for so much of its limit, or more. */
    private static final double LEASED_PART_BUSY = 0.95;

    private static final double BUSY_PART = 0.9;
    /** A lease with room for fewer tokens is of no use. */
    private static final double MIN_LEASED_DEPTH = 2;
    /** So many times its demand is the most that a sidecar is leased: who reports first must not take all. */
    private static final double MAX_HEADROOM = 2;
    /** With less demand than this, in requests a second, single tokens serve a sidecar better than a lease. */
    private static final double MIN_LEASED_DEMAND_PER_S = 0.7;
    /** Room for tokens that each control node keeps of a tenant that is within its limit. */
    private static final double MIN_POOL_DEPTH = 2;
    /** A share is left as it is while the one that demand asks for differs by less. */
    private static final double TOLERANCE = 0.2;
    /** What an answer without a token tells to wait while this control node may give none. */
    private static final double NO_CAPACITY_WAIT_MS = 50;

    /** How often it is looked for leases that have ended. */
    private static final double SWEEP_MS = 100;

    /** One tenant over all sidecars. */
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
    private final double startedAt;
    private final boolean hasReserve;
    private final Map<String, Lessee> lessees = new LinkedHashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    /** Sidecars that may hold leases of an earlier process, and have not reported to this one. */
    private final Set<String> unheard;

    private long grants;
    private double capacity;
    /** What may be leased anew or given out by tokens: nothing, while leases are in force that are not known. */
    private double poolCapacity;
    /** Since when the pool's capacity has not been 0. */
    private double poolSince;

    private double sweptAt = Double.NEGATIVE_INFINITY;

    /**
     * A control node's part that is not leased yet.
     *
     * @param life tells this process from an earlier one
     * @param earlierLessees sidecars that an earlier process may have given leases
     * @param hasReserve whether no earlier process can have given tokens of the reserve within the last window
     */
    public QuotaGrantor(double now, long life, Set<String> earlierLessees, boolean hasReserve) {
        this.life = life;
        this.startedAt = now;
        this.unheard = new HashSet<>(earlierLessees);
        this.hasReserve = hasReserve;
        this.poolSince = now;
    }

    /**
     * A sidecar reports its demand and what it holds.
     *
     * @param recorded whether it is on disk that this sidecar may hold a lease
     * @return the lease, or null if none is granted
     */
    public LeaseGrant report(double now, String sidecar, LeaseReport report, boolean recorded) {
        advance(now, capacity);
        if (report.leaving()) {
            remove(now, sidecar);
            return null;
        }
        Lessee lessee = lessee(now, sidecar, report.sidecarLife());
        if (lessee == null) {
            return null;
        }
        count(now, lessee, -1);
        boolean taken = lessee.take(now, report, life, startedAt + LeaseTerms.COUNTED_MS);
        report.needs().forEach(need -> tenant(now, need.tenant(), need.allowance()));
        count(now, lessee, 1);
        if (taken) {
            takeBack(now, report);
        }
        if (unheard.remove(sidecar)) {
            advance(now, capacity);
        }
        if (!taken || !recorded || capacity <= 0 || !lessee.mayBeGranted()) {
            return null;
        }
        Map<String, Double> shares = shares(lessee);
        List<QuotaShare> told = told(now, lessee, shares);
        count(now, lessee, -1);
        // One count for all sidecars: one that is forgotten and comes back must not take an old number for a new
        // grant's.
        grants++;
        lessee.grant(grants, shares, now + LeaseTerms.COUNTED_MS);
        count(now, lessee, 1);
        return new LeaseGrant(life, grants, report.number(), told);
    }

    /** A sidecar asks for one token out of what is not leased. */
    public TokenResponse take(double now, TokenRequest request) {
        advance(now, capacity);
        Tenant tenant = tenant(now, request.tenant(), request.allowance());
        if (tenant != null && takeOfReserve(tenant)) {
            return new TokenResponse(request.number(), true, 0);
        }
        if (tenant == null || tenant.pool.share() <= 0) {
            return new TokenResponse(request.number(), false, NO_CAPACITY_WAIT_MS);
        }
        boolean granted = tenant.pool.tryTake(now);
        double waitMs = granted ? 0 : Math.min(NO_CAPACITY_WAIT_MS, tenant.pool.untilNextMs(now));
        return new TokenResponse(request.number(), granted, waitMs);
    }

    // While it is not known what is leased: once in this process's time, and once a window in all of them.
    private boolean takeOfReserve(Tenant tenant) {
        double reserve = tenant.pool.allowance().reserve() * capacity;
        if (unheard.isEmpty() || !hasReserve || tenant.reserveUsed + 1 > reserve) {
            return false;
        }
        tenant.reserveUsed++;
        return true;
    }

    /** The sidecars that may hold leases now. */
    public Set<String> lessees() {
        Set<String> all = new HashSet<>(unheard);
        all.addAll(lessees.keySet());
        return all;
    }

    /** Whether nothing may grow, for leases of an earlier process may be in force that are not known here. */
    public boolean isRecovering() {
        return !unheard.isEmpty();
    }

    /**
     * Time passes. To be called often, and at once when the capacity changes.
     *
     * @param newCapacity the part of all limits that this control node may grant from now on; 0 for none
     */
    public void advance(double now, double newCapacity) {
        if (now >= startedAt + LeaseTerms.COUNTED_MS) {
            unheard.clear();
        }
        if (now >= sweptAt + SWEEP_MS) {
            sweptAt = now;
            removeEnded(now);
        }
        double newPoolCapacity = unheard.isEmpty() ? newCapacity : 0;
        if (poolCapacity <= 0) {
            poolSince = now;
        }
        capacity = newCapacity;
        if (poolCapacity != newPoolCapacity) {
            poolCapacity = newPoolCapacity;
            tenants.values().forEach(tenant -> updatePool(now, tenant));
        }
    }

    private void removeEnded(double now) {
        List<Lessee> ended =
                lessees.values().stream().filter(lessee -> lessee.isOver(now)).toList();
        ended.forEach(lessee -> count(now, lessee, -1));
        lessees.values().removeAll(ended);
    }

    private void remove(double now, String sidecar) {
        Lessee left = lessees.remove(sidecar);
        if (left != null) {
            count(now, left, -1);
        }
        if (unheard.remove(sidecar)) {
            advance(now, capacity);
        }
    }

    // Null where there is no room. A process that starts at a sidecar's address holds nothing, and the one before it
    // has
    // ended: with it, what that one held.
    private Lessee lessee(double now, String sidecar, long sidecarLife) {
        Lessee known = lessees.get(sidecar);
        if (known != null && known.sidecarLife() == sidecarLife) {
            return known;
        }
        if (known != null) {
            count(now, known, -1);
        } else if (lessees.size() >= MAX_LESSEES) {
            return null;
        }
        Lessee fresh = new Lessee(sidecarLife);
        lessees.put(sidecar, fresh);
        return fresh;
    }

    // Null where there is no room.
    private Tenant tenant(double now, String name, QuotaAllowance allowance) {
        Tenant tenant = tenants.get(name);
        if (tenant == null) {
            if (tenants.size() >= MAX_TENANTS) {
                tenants.values().removeIf(each -> each.committed <= 0 && each.demandPerS <= 0);
            }
            if (tenants.size() >= MAX_TENANTS) {
                return null;
            }
            tenant = new Tenant(new TokenBucket(poolSince, allowance, poolCapacity));
            tenants.put(name, tenant);
        } else if (!tenant.pool.allowance().equals(allowance)) {
            tenant.pool.change(now, allowance, tenant.pool.share());
        }
        return tenant;
    }

    // Adds what a sidecar may hold, and its demand, to the sums, or takes it out of them.
    private void count(double now, Lessee lessee, int sign) {
        lessee.demandPerS().forEach((name, perS) -> {
            Tenant tenant = tenants.get(name);
            if (tenant != null) {
                tenant.demandPerS = Math.max(0, tenant.demandPerS + sign * perS);
            }
        });
        lessee.committed().forEach((name, share) -> {
            Tenant tenant = tenants.get(name);
            if (tenant != null) {
                tenant.committed = Math.max(0, tenant.committed + sign * share);
                updatePool(now, tenant);
            }
        });
    }

    // The share that they went with is back by this report, so that there is room for them.
    private void takeBack(double now, LeaseReport report) {
        for (QuotaNeed need : report.needs()) {
            Tenant tenant = tenants.get(need.tenant());
            if (tenant != null && need.returnedTokens() > 0) {
                tenant.pool.add(now, need.returnedTokens());
            }
        }
    }

    private void updatePool(double now, Tenant tenant) {
        tenant.pool.change(now, tenant.pool.allowance(), Math.max(0, poolCapacity - tenant.committed));
    }

    private Map<String, Double> shares(Lessee lessee) {
        Map<String, Double> shares = new HashMap<>();
        lessee.demandPerS().forEach((name, perS) -> {
            Tenant tenant = tenants.get(name);
            if (tenant != null) {
                shares.put(name, share(tenant, lessee.committed(name), perS));
            }
        });
        return shares;
    }

    // By demand, but no more than is free. Where the capacity has shrunk, what is held shrinks with it.
    private double share(Tenant tenant, double held, double perS) {
        double wanted = wantedShare(tenant, perS);
        double free = Math.max(0, capacity - (tenant.committed - held));
        double kept = held * Math.min(1, capacity / Math.max(capacity, tenant.committed));
        double most = unheard.isEmpty() ? Math.max(free, kept) : kept;
        boolean near = Math.abs(wanted - held) <= held * TOLERANCE;
        return Math.min(near ? held : wanted, most);
    }

    private double wantedShare(Tenant tenant, double perS) {
        if (perS < MIN_LEASED_DEMAND_PER_S || tenant.demandPerS <= 0) {
            return 0;
        }
        QuotaAllowance allowance = tenant.pool.allowance();
        // What is kept has room for some tokens, or none could be given out.
        double mostPart = 1 - MIN_POOL_DEPTH / (allowance.depth() * capacity);
        boolean busy = tenant.demandPerS > BUSY_PART * allowance.ratePerS();
        double leasedPart = busy ? LEASED_PART_BUSY : Math.min(mostPart, LEASED_PART);
        double byDemand = leasedPart * Math.min(1, perS / tenant.demandPerS);
        double part = Math.min(byDemand, MAX_HEADROOM * perS / allowance.ratePerS());
        return part * allowance.depth() < MIN_LEASED_DEPTH ? 0 : part * capacity;
    }

    // The tokens of what is leased anew go along, but only one such grant is on its way at a time: so the tokens that a
    // sidecar has and those on their way to it never exceed the depth of its share.
    private List<QuotaShare> told(double now, Lessee lessee, Map<String, Double> shares) {
        boolean withTokens = lessee.hasTakenAll() && unheard.isEmpty();
        List<QuotaShare> told = new ArrayList<>();
        shares.forEach((name, share) -> {
            Tenant tenant = tenants.get(name);
            double grown = share - lessee.committed(name);
            double tokens = withTokens && grown > 0 ? tenant.pool.split(now, grown) : 0;
            told.add(new QuotaShare(name, share, tokens, tenant.demandPerS));
        });
        return told;
    }
}
