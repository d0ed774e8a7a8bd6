package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The keys that are leased to one sidecar, and its grants of them to the endpoint beside it.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The endpoint is granted keys for no longer than the lease lasts, by the slowest clock that it may have.
 *   <li>Keys that were released under a fence, or whose lease has ended, are never held again under that fence or a
 *       lower one: a lease that was in transit at the time has no effect.
 * </ul>
 *
 * <p>Pure; one thread; times in milliseconds. Callers must have read the clock just before each call.
 */
public final class KeyHolder {
    /** The endpoint's grant is extended once less than this fraction of the maximum duration is left. */
    private static final double RENEWAL_FRACTION = 0.66;
    /** A shorter grant is of no use. */
    private static final double MIN_HOLD_MS = 500;
    /** Delay before a failed call is repeated. */
    private static final double RETRY_DELAY_MS = 200;
    /** Reports whose answers are accepted; answers to older ones are ignored. */
    private static final int MAX_OPEN_REPORTS = 16;
    /** Requests are admitted until this long before the endpoint's grant ends: one that runs past the end is lost. */
    private static final double REQUEST_CUTOFF_MS = 250;
    /** Limit on the ranges that are stored; a valid lease does not have more. */
    private static final int MAX_RANGES = 4096;
    /** Limit on the released ranges that are reported until a report of them is answered. */
    private static final int MAX_UNREPORTED_RELEASES = 4096;

    /** State of a range of keys of one lease. Immutable; times by the steady clock of this process. */
    private record LeaseState(
            long fence,
            String handoff,
            double leasedUntilMs,
            double servedUntilMs,
            double mayHoldUntilMs,
            double calledAtMs,
            boolean isCalling,
            boolean isRecalled,
            boolean isReleasing) {
        private LeaseState withLeaseUntil(double untilMs) {
            return new LeaseState(
                    fence,
                    handoff,
                    untilMs,
                    servedUntilMs,
                    mayHoldUntilMs,
                    calledAtMs,
                    isCalling,
                    isRecalled,
                    isReleasing);
        }

        private LeaseState withGrantCalled(double nowMs) {
            return new LeaseState(
                    fence, handoff, leasedUntilMs, servedUntilMs, mayHoldUntilMs, nowMs, true, isRecalled, isReleasing);
        }

        private LeaseState withGrantWritten(double untilMs) {
            double latestEndMs = Math.max(mayHoldUntilMs, untilMs);
            return new LeaseState(
                    fence,
                    handoff,
                    leasedUntilMs,
                    servedUntilMs,
                    latestEndMs,
                    calledAtMs,
                    isCalling,
                    isRecalled,
                    isReleasing);
        }

        private LeaseState withoutCall() {
            return new LeaseState(
                    fence,
                    handoff,
                    leasedUntilMs,
                    servedUntilMs,
                    mayHoldUntilMs,
                    calledAtMs,
                    false,
                    isRecalled,
                    isReleasing);
        }

        private LeaseState withGrantAccepted(double untilMs) {
            return new LeaseState(
                    fence, "", leasedUntilMs, untilMs, mayHoldUntilMs, calledAtMs, false, isRecalled, isReleasing);
        }

        private LeaseState withRecall() {
            return new LeaseState(
                    fence,
                    handoff,
                    leasedUntilMs,
                    servedUntilMs,
                    mayHoldUntilMs,
                    calledAtMs,
                    isCalling,
                    true,
                    isReleasing);
        }

        private LeaseState withRelease(boolean isUnderWay, double nowMs) {
            return new LeaseState(
                    fence, handoff, leasedUntilMs, servedUntilMs, mayHoldUntilMs, nowMs, isCalling, true, isUnderWay);
        }

        // Whether the endpoint may have had the grant and no longer has it, by any clock.
        private boolean hasEndedAtEndpoint(double nowMs) {
            return !isCalling && mayHoldUntilMs > 0 && nowMs > mayHoldUntilMs && nowMs > servedUntilMs;
        }

        private boolean isUnknownToEndpoint() {
            return !isCalling && servedUntilMs == 0 && calledAtMs == Double.NEGATIVE_INFINITY;
        }

        private LeaseState withoutGrant() {
            return new LeaseState(fence, "", leasedUntilMs, 0, 0, Double.NEGATIVE_INFINITY, false, isRecalled, false);
        }
    }

    private record UnreportedRelease(ReleasedKeys keys, long firstReportNumber) {}

    private final double maxHoldMs;
    private final KeyMap<LeaseState> leaseStates = new KeyMap<>();
    /** The highest fence under which keys were released. */
    private final KeyMap<Long> releasedFences = new KeyMap<>();

    private final Map<Long, Double> reportSentAtMs = new LinkedHashMap<>();
    private final List<UnreportedRelease> unreportedReleases = new ArrayList<>();
    private long reportCount;
    private long epoch;
    private long leaseNumber;
    private boolean hasUnreportedChange;

    /**
     * Creates a holder without keys.
     *
     * @param maxHoldMs maximum duration of a grant to the endpoint
     */
    public KeyHolder(double maxHoldMs) {
        this.maxHoldMs = Math.min(maxHoldMs, KeyTerms.MAX_HOLD_MS);
    }

    /** Records that a report is sent now, and returns its number. */
    public long recordReportSent(double nowMs) {
        reportSentAtMs.put(++reportCount, nowMs);
        if (reportSentAtMs.size() > MAX_OPEN_REPORTS) {
            reportSentAtMs.remove(reportSentAtMs.keySet().iterator().next());
        }
        hasUnreportedChange = false;
        return reportCount;
    }

    /** Whether there is a change that is to be reported to the control node at once. */
    public boolean hasUnreportedChange() {
        return hasUnreportedChange;
    }

    /** The keys that are held. */
    public List<HeldKeys> held(double nowMs) {
        advance(nowMs);
        return leaseStates.entries().stream()
                .map(each -> new HeldKeys(each.range(), each.value().fence(), serves(nowMs, each.value())))
                .toList();
    }

    /** Released keys that the control node has not yet confirmed; they are part of the next report. */
    public List<ReleasedKeys> released() {
        return unreportedReleases.stream().map(UnreportedRelease::keys).toList();
    }

    /** Applies a lease from a control node. */
    public void applyLease(double nowMs, KeyLease lease) {
        advance(nowMs);
        boolean isOutdated = lease.epoch() < epoch || lease.epoch() == epoch && lease.number() <= leaseNumber;
        Double sentAtMs = reportSentAtMs.get(lease.reportNumber());
        if (isOutdated || sentAtMs == null) {
            return;
        }
        epoch = lease.epoch();
        leaseNumber = lease.number();
        reportSentAtMs.keySet().removeIf(number -> number < lease.reportNumber());
        unreportedReleases.removeIf(each -> each.firstReportNumber() <= lease.reportNumber());
        double untilMs = sentAtMs + KeyTerms.LEASE_MS;
        if (untilMs > nowMs) {
            lease.leased().forEach(each -> updateLeasedKeys(nowMs, each, untilMs));
        }
        lease.recalled()
                .forEach(each -> leaseStates.update(
                        each.range(),
                        state -> state.fence() <= each.fence() && !state.isRecalled() ? state.withRecall() : state));
    }

    private void updateLeasedKeys(double nowMs, LeasedKeys keys, double untilMs) {
        for (KeyRange range : rangesNotReleased(keys)) {
            for (KeyMap.Entry<LeaseState> each : leaseStates.overlapping(range)) {
                LeaseState state = each.value();
                if (state.fence() == keys.fence()) {
                    leaseStates.put(each.range(), state.withLeaseUntil(Math.max(untilMs, state.leasedUntilMs())));
                } else if (state.fence() < keys.fence()) {
                    leaseStates.put(each.range(), newLeaseState(keys, untilMs));
                    hasUnreportedChange = true;
                }
            }
            for (KeyRange gap : leaseStates.gaps(range)) {
                if (leaseStates.size() < MAX_RANGES) {
                    leaseStates.put(gap, newLeaseState(keys, untilMs));
                }
            }
        }
    }

    private static LeaseState newLeaseState(LeasedKeys keys, double untilMs) {
        return new LeaseState(
                keys.fence(), keys.handoff(), untilMs, 0, 0, Double.NEGATIVE_INFINITY, false, false, false);
    }

    // The keys that were never released under this fence or a higher one.
    private List<KeyRange> rangesNotReleased(LeasedKeys keys) {
        List<KeyRange> ranges = new ArrayList<>(releasedFences.gaps(keys.range()));
        releasedFences.overlapping(keys.range()).stream()
                .filter(each -> each.value() < keys.fence())
                .forEach(each -> ranges.add(each.range()));
        return ranges;
    }

    /** Advances the time: releases keys whose lease or grant has ended. */
    public void advance(double nowMs) {
        for (KeyMap.Entry<LeaseState> each : leaseStates.entries()) {
            if (each.value().leasedUntilMs() <= nowMs || each.value().hasEndedAtEndpoint(nowMs)) {
                releaseKeys(each.range(), each.value().fence(), "");
            }
        }
    }

    private void releaseKeys(KeyRange range, long fence, String handoff) {
        leaseStates.update(range, state -> state.fence() <= fence ? null : state);
        for (KeyRange gap : releasedFences.gaps(range)) {
            releasedFences.put(gap, fence);
        }
        releasedFences.update(range, knownFence -> Math.max(knownFence, fence));
        if (unreportedReleases.size() < MAX_UNREPORTED_RELEASES) {
            unreportedReleases.add(new UnreportedRelease(new ReleasedKeys(range, fence, handoff), reportCount + 1));
        }
        hasUnreportedChange = true;
    }

    /**
     * Grants that are to be sent to the endpoint now. The caller must check the duration of each at the time of writing
     * and report its result.
     */
    public List<GrantCall> grantsDue(double nowMs) {
        advance(nowMs);
        List<GrantCall> due = new ArrayList<>();
        for (KeyMap.Entry<LeaseState> each : leaseStates.entries()) {
            LeaseState state = each.value();
            double holdMs = holdMs(nowMs, state);
            boolean isLonger = holdMs > state.servedUntilMs() - nowMs + MIN_HOLD_MS;
            double leftMs = state.servedUntilMs() - nowMs;
            boolean isWanted = !state.isCalling() && !state.isRecalled() && leftMs < maxHoldMs * RENEWAL_FRACTION;
            if (isWanted && isLonger && holdMs >= MIN_HOLD_MS && nowMs - state.calledAtMs() >= RETRY_DELAY_MS) {
                leaseStates.put(each.range(), state.withGrantCalled(nowMs));
                due.add(new GrantCall(each.range(), state.fence(), holdMs, state.handoff()));
            }
        }
        return due;
    }

    /** The duration for which the endpoint may be granted keys now, so that its grant ends before the lease does. */
    private double holdMs(double nowMs, LeaseState state) {
        double leftMs = state.leasedUntilMs() - nowMs - KeyTerms.GRANT_MARGIN_MS;
        return Math.min(maxHoldMs, leftMs / KeyTerms.ENDPOINT_CLOCK_FACTOR);
    }

    /**
     * The duration of a grant at the time of writing: shorter than when it became due if that was a while ago; 0 if it
     * must no longer be written.
     */
    public double holdMs(double nowMs, GrantCall call) {
        advance(nowMs);
        double minHoldMs = call.holdMs();
        int coveredKeys = 0;
        for (KeyMap.Entry<LeaseState> each : leaseStates.overlapping(call.range())) {
            if (each.value().fence() == call.fence() && !each.value().isRecalled()) {
                minHoldMs = Math.min(minHoldMs, holdMs(nowMs, each.value()));
                coveredKeys += each.range().size();
            }
        }
        if (coveredKeys < call.range().size() || minHoldMs < MIN_HOLD_MS) {
            return 0;
        }
        double latestEndMs = nowMs + minHoldMs * KeyTerms.ENDPOINT_CLOCK_FACTOR + KeyTerms.GRANT_MARGIN_MS;
        leaseStates.update(call.range(), state -> state.withGrantWritten(latestEndMs));
        return minHoldMs;
    }

    /**
     * Records that the endpoint has accepted a grant.
     *
     * @param writtenAtMs when it was written
     * @param holdMs its duration
     */
    public void grantAccepted(double writtenAtMs, double holdMs, GrantCall call) {
        leaseStates.update(call.range(), state -> {
            if (state.fence() != call.fence()) {
                return state;
            }
            hasUnreportedChange |= state.servedUntilMs() == 0;
            return state.withGrantAccepted(Math.max(state.servedUntilMs(), writtenAtMs + holdMs));
        });
    }

    /** Records that a grant's result is unknown; the call is repeated. */
    public void grantFailed(GrantCall call) {
        leaseStates.update(call.range(), state -> state.fence() == call.fence() ? state.withoutCall() : state);
    }

    /** Records that the endpoint has seen a higher fence on these keys: this fence is not used again. */
    public void grantRefused(GrantCall call) {
        for (KeyMap.Entry<LeaseState> each : leaseStates.overlapping(call.range())) {
            if (each.value().fence() == call.fence()) {
                releaseKeys(each.range(), call.fence(), "");
            }
        }
    }

    /** Releases that are to be sent to the endpoint now. The caller must report the result of each. */
    public List<ReleaseCall> releasesDue(double nowMs) {
        List<ReleaseCall> due = new ArrayList<>();
        for (KeyMap.Entry<LeaseState> each : leaseStates.entries()) {
            LeaseState state = each.value();
            if (state.isRecalled() && state.isUnknownToEndpoint()) {
                releaseKeys(each.range(), state.fence(), state.handoff());
            } else if (state.isRecalled() && !state.isReleasing() && !state.isCalling()) {
                // Not while a grant is in transit, which could arrive after the release.
                leaseStates.put(each.range(), state.withRelease(true, nowMs));
                due.add(new ReleaseCall(each.range(), state.fence()));
            }
        }
        return due;
    }

    /** Records that the endpoint no longer runs requests for these keys. */
    public void released(ReleaseCall call, String handoff) {
        for (KeyMap.Entry<LeaseState> each : leaseStates.overlapping(call.range())) {
            if (each.value().fence() == call.fence()) {
                releaseKeys(each.range(), call.fence(), handoff);
            }
        }
    }

    /** Records that a release's result is unknown; the call is repeated. */
    public void releaseFailed(double nowMs, ReleaseCall call) {
        leaseStates.update(
                call.range(),
                state ->
                        state.fence() == call.fence() && state.isReleasing() ? state.withRelease(false, nowMs) : state);
    }

    /** Handles a replaced endpoint: the previous one has ended, and the new one has no grants. */
    public void endpointReplaced() {
        leaseStates.update(KeyRange.ALL, LeaseState::withoutGrant);
        hasUnreportedChange = true;
    }

    /** Whether a request for this key may be sent to the endpoint now. */
    public boolean serves(double nowMs, int key) {
        LeaseState state = leaseStates.get(key);
        return state != null && serves(nowMs, state);
    }

    private static boolean serves(double nowMs, LeaseState state) {
        return !state.isRecalled()
                && nowMs < state.servedUntilMs() - REQUEST_CUTOFF_MS
                && nowMs < state.leasedUntilMs();
    }

    /** Whether no keys are held. */
    public boolean isEmpty() {
        return leaseStates.isEmpty();
    }
}
