package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The keys that one sidecar holds by leases, and what it has granted of them to the endpoint beside it.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The endpoint is granted keys for no longer than the lease lasts, by the slowest clock that it may have.
 *   <li>Keys that were given up under a fence, or whose lease has ended, are never held again under that fence or a
 *       lower one: a lease that was on its way meanwhile counts no more.
 * </ul>
 *
 * <p>Pure; one thread; times in milliseconds. Whoever asks must have read the clock just before.
 */
public final class KeyHolder {
    /** The endpoint is granted more time once it has less left than this part of the most. */
    private static final double RENEW_PART = 0.66;
    /** A grant for less is of no use. */
    private static final double MIN_HOLD_MS = 500;
    /** After a call that came to nothing, the next one. */
    private static final double RETRY_MS = 200;
    /** Reports whose answers count; of older ones an answer is passed over. */
    private static final int MAX_OPEN_REPORTS = 16;
    /** Requests are let in until so long before the endpoint's hold ends: what runs past it is lost. */
    private static final double LAST_REQUESTS_MS = 250;
    /** Ranges that are held at most; more is no lease of ours. */
    private static final int MAX_HELD = 4096;
    /** Ranges given up that are told again until a report of them is answered. */
    private static final int MAX_UNTOLD = 4096;

    /** Keys of one lease. Immutable; times by the steady clock of this process. */
    private record Hold(
            long fence,
            String handoff,
            double leasedUntil,
            double servedUntil,
            double mayHoldUntil,
            double calledAt,
            boolean calling,
            boolean recalled,
            boolean releasing) {
        private Hold extended(double until) {
            return new Hold(fence, handoff, until, servedUntil, mayHoldUntil, calledAt, calling, recalled, releasing);
        }

        private Hold called(double now) {
            return new Hold(fence, handoff, leasedUntil, servedUntil, mayHoldUntil, now, true, recalled, releasing);
        }

        private Hold written(double until) {
            double latest = Math.max(mayHoldUntil, until);
            return new Hold(fence, handoff, leasedUntil, servedUntil, latest, calledAt, calling, recalled, releasing);
        }

        private Hold unanswered() {
            return new Hold(
                    fence, handoff, leasedUntil, servedUntil, mayHoldUntil, calledAt, false, recalled, releasing);
        }

        private Hold taken(double until) {
            return new Hold(fence, "", leasedUntil, until, mayHoldUntil, calledAt, false, recalled, releasing);
        }

        private Hold recall() {
            return new Hold(fence, handoff, leasedUntil, servedUntil, mayHoldUntil, calledAt, calling, true, releasing);
        }

        private Hold release(boolean underWay, double now) {
            return new Hold(fence, handoff, leasedUntil, servedUntil, mayHoldUntil, now, calling, true, underWay);
        }

        // The endpoint may have had it, and has it no more by any clock.
        private boolean isOverAtEndpoint(double now) {
            return !calling && mayHoldUntil > 0 && now > mayHoldUntil && now > servedUntil;
        }

        private boolean isUnknownToEndpoint() {
            return !calling && servedUntil == 0 && calledAt == Double.NEGATIVE_INFINITY;
        }

        private Hold ungranted() {
            return new Hold(fence, "", leasedUntil, 0, 0, Double.NEGATIVE_INFINITY, false, recalled, false);
        }
    }

    private record Untold(ReleasedKeys keys, long firstReport) {}

    private final double maxHoldMs;
    private final KeyMap<Hold> holds = new KeyMap<>();
    /** The highest fence under which keys were given up. */
    private final KeyMap<Long> spent = new KeyMap<>();

    private final Map<Long, Double> reportSentAt = new LinkedHashMap<>();
    private final List<Untold> untold = new ArrayList<>();
    private long reports;
    private long epoch;
    private long leaseNumber;
    private boolean news;

    /**
     * Nothing is held yet.
     *
     * @param maxHoldMs endpoints may be granted keys for so long at a time, at most
     */
    public KeyHolder(double maxHoldMs) {
        this.maxHoldMs = Math.min(maxHoldMs, KeyTerms.HOLD_MS);
    }

    /** A report is sent now; its number. */
    public long reportSent(double now) {
        reportSentAt.put(++reports, now);
        if (reportSentAt.size() > MAX_OPEN_REPORTS) {
            reportSentAt.remove(reportSentAt.keySet().iterator().next());
        }
        news = false;
        return reports;
    }

    /** Whether something has changed that the control node should hear at once. */
    public boolean hasNews() {
        return news;
    }

    /** What is held. */
    public List<HeldKeys> held(double now) {
        advance(now);
        return holds.entries().stream()
                .map(each -> new HeldKeys(each.range(), each.value().fence(), serves(now, each.value())))
                .toList();
    }

    /** What was given up and is not known to have been heard of; to be told with the next report. */
    public List<ReleasedKeys> released() {
        return untold.stream().map(Untold::keys).toList();
    }

    /** A control node leases keys. */
    public void leased(double now, KeyLease lease) {
        advance(now);
        boolean older = lease.epoch() < epoch || lease.epoch() == epoch && lease.number() <= leaseNumber;
        Double sentAt = reportSentAt.get(lease.reportNumber());
        if (older || sentAt == null) {
            return;
        }
        epoch = lease.epoch();
        leaseNumber = lease.number();
        reportSentAt.keySet().removeIf(number -> number < lease.reportNumber());
        untold.removeIf(each -> each.firstReport() <= lease.reportNumber());
        double until = sentAt + KeyTerms.LEASE_MS;
        if (until > now) {
            lease.leased().forEach(each -> lease(now, each, until));
        }
        lease.recalled()
                .forEach(each -> holds.update(
                        each.range(), hold -> hold.fence() <= each.fence() && !hold.recalled() ? hold.recall() : hold));
    }

    private void lease(double now, LeasedKeys keys, double until) {
        for (KeyRange range : unspent(keys)) {
            for (KeyMap.Entry<Hold> each : holds.overlapping(range)) {
                Hold hold = each.value();
                if (hold.fence() == keys.fence()) {
                    holds.put(each.range(), hold.extended(Math.max(until, hold.leasedUntil())));
                } else if (hold.fence() < keys.fence()) {
                    holds.put(each.range(), fresh(keys, until));
                    news = true;
                }
            }
            for (KeyRange gap : holds.gaps(range)) {
                if (holds.size() < MAX_HELD) {
                    holds.put(gap, fresh(keys, until));
                }
            }
        }
    }

    private static Hold fresh(LeasedKeys keys, double until) {
        return new Hold(keys.fence(), keys.handoff(), until, 0, 0, Double.NEGATIVE_INFINITY, false, false, false);
    }

    // The keys that were never given up under this fence or a higher one.
    private List<KeyRange> unspent(LeasedKeys keys) {
        List<KeyRange> ranges = new ArrayList<>(spent.gaps(keys.range()));
        spent.overlapping(keys.range()).stream()
                .filter(each -> each.value() < keys.fence())
                .forEach(each -> ranges.add(each.range()));
        return ranges;
    }

    /** Time passes: what has ended is given up. */
    public void advance(double now) {
        for (KeyMap.Entry<Hold> each : holds.entries()) {
            if (each.value().leasedUntil() <= now || each.value().isOverAtEndpoint(now)) {
                giveUp(each.range(), each.value().fence(), "");
            }
        }
    }

    private void giveUp(KeyRange range, long fence, String handoff) {
        holds.update(range, hold -> hold.fence() <= fence ? null : hold);
        for (KeyRange gap : spent.gaps(range)) {
            spent.put(gap, fence);
        }
        spent.update(range, known -> Math.max(known, fence));
        if (untold.size() < MAX_UNTOLD) {
            untold.add(new Untold(new ReleasedKeys(range, fence, handoff), reports + 1));
        }
        news = true;
    }

    /** Grants that the endpoint is to be told now; each is answered by {@link #granted}. */
    public List<GrantCall> grantsDue(double now) {
        advance(now);
        List<GrantCall> due = new ArrayList<>();
        for (KeyMap.Entry<Hold> each : holds.entries()) {
            Hold hold = each.value();
            double holdMs = holdMs(now, hold);
            boolean longer = holdMs > hold.servedUntil() - now + MIN_HOLD_MS;
            double leftMs = hold.servedUntil() - now;
            boolean wanted = !hold.calling() && !hold.recalled() && leftMs < maxHoldMs * RENEW_PART;
            if (wanted && longer && holdMs >= MIN_HOLD_MS && now - hold.calledAt() >= RETRY_MS) {
                holds.put(each.range(), hold.called(now));
                due.add(new GrantCall(each.range(), hold.fence(), holdMs, hold.handoff()));
            }
        }
        return due;
    }

    /** For how long the endpoint may be granted keys now, so that it holds them no longer than they are leased. */
    private double holdMs(double now, Hold hold) {
        double leftMs = hold.leasedUntil() - now - KeyTerms.GRANT_MARGIN_MS;
        return Math.min(maxHoldMs, leftMs / KeyTerms.ENDPOINT_CLOCK);
    }

    /**
     * The time that a grant may still last as it is written: less than it was due for, if that has taken a while; 0 if
     * it must not be written any more.
     */
    public double holdMs(double now, GrantCall call) {
        advance(now);
        double least = call.holdMs();
        int covered = 0;
        for (KeyMap.Entry<Hold> each : holds.overlapping(call.range())) {
            if (each.value().fence() == call.fence() && !each.value().recalled()) {
                least = Math.min(least, holdMs(now, each.value()));
                covered += each.range().size();
            }
        }
        if (covered < call.range().size() || least < MIN_HOLD_MS) {
            return 0;
        }
        double latestEnd = now + least * KeyTerms.ENDPOINT_CLOCK + KeyTerms.GRANT_MARGIN_MS;
        holds.update(call.range(), hold -> hold.written(latestEnd));
        return least;
    }

    /**
     * A grant has been answered.
     *
     * @param writtenAt when it was written
     * @param holdMs for how long
     */
    public void granted(double writtenAt, double holdMs, GrantCall call) {
        holds.update(call.range(), hold -> {
            if (hold.fence() != call.fence()) {
                return hold;
            }
            news |= hold.servedUntil() == 0;
            return hold.taken(Math.max(hold.servedUntil(), writtenAt + holdMs));
        });
    }

    /** A grant came to nothing that is known; it is called again. */
    public void notGranted(GrantCall call) {
        holds.update(call.range(), hold -> hold.fence() == call.fence() ? hold.unanswered() : hold);
    }

    /** The endpoint has seen a higher fence on these keys: this one is not used again. */
    public void refused(GrantCall call) {
        for (KeyMap.Entry<Hold> each : holds.overlapping(call.range())) {
            if (each.value().fence() == call.fence()) {
                giveUp(each.range(), call.fence(), "");
            }
        }
    }

    /** Releases that the endpoint is to be told now; each is answered by {@link #released}. */
    public List<ReleaseCall> releasesDue(double now) {
        List<ReleaseCall> due = new ArrayList<>();
        for (KeyMap.Entry<Hold> each : holds.entries()) {
            Hold hold = each.value();
            if (hold.recalled() && hold.isUnknownToEndpoint()) {
                giveUp(each.range(), hold.fence(), hold.handoff());
            } else if (hold.recalled() && !hold.releasing() && !hold.calling()) {
                // Not while a grant is on its way, which would come after it.
                holds.put(each.range(), hold.release(true, now));
                due.add(new ReleaseCall(each.range(), hold.fence()));
            }
        }
        return due;
    }

    /** The endpoint runs nothing of these keys any more. */
    public void released(ReleaseCall call, String handoff) {
        for (KeyMap.Entry<Hold> each : holds.overlapping(call.range())) {
            if (each.value().fence() == call.fence()) {
                giveUp(each.range(), call.fence(), handoff);
            }
        }
    }

    /** A release came to nothing that is known; it is called again. */
    public void notReleased(double now, ReleaseCall call) {
        holds.update(
                call.range(),
                hold -> hold.fence() == call.fence() && hold.releasing() ? hold.release(false, now) : hold);
    }

    /** Another endpoint is there: the one before has ended, and this one was granted nothing. */
    public void endpointReplaced() {
        holds.update(KeyRange.ALL, Hold::ungranted);
        news = true;
    }

    /** Whether a request of this key may go to the endpoint now. */
    public boolean serves(double now, int key) {
        Hold hold = holds.get(key);
        return hold != null && serves(now, hold);
    }

    private static boolean serves(double now, Hold hold) {
        return !hold.recalled() && now < hold.servedUntil() - LAST_REQUESTS_MS && now < hold.leasedUntil();
    }

    /** Whether anything is held. */
    public boolean isEmpty() {
        return holds.isEmpty();
    }
}
