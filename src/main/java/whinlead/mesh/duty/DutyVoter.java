package whinlead.mesh.duty;

/**
 * One voter's part: votes for one candidate at a time, and for another only after the previous vote has certainly
 * expired. A vote for another candidate or epoch must be on disk before it is sent, so that a restarted process retains
 * it.
 *
 * <p>Invariant: of all votes that may be valid anywhere, those of this voter are for one candidate and epoch. Pure; one
 * thread; times in milliseconds.
 */
public final class DutyVoter {
    private final boolean founding;
    private DutyPromise promise;
    /** Until when the vote is retained. */
    private double retainedUntilMs;
    /** The first epoch in which this voter ever voted, if it is also the last one; 0 otherwise. */
    private long firstEpoch;

    /**
     * The state of a process that starts.
     *
     * @param promise what is on disk; its vote may have been given just before
     * @param founding whether this disk is one of those that founded the mesh, so that an empty one never held a vote
     */
    public DutyVoter(double nowMs, DutyPromise promise, boolean founding) {
        this.promise = promise;
        this.founding = founding;
        this.retainedUntilMs = promise.epoch() > 0 ? nowMs + DutyTerms.VOTE_RETAINED_MS : nowMs;
    }

    /** The state that must be on disk before the answer to the last request is sent. */
    public DutyPromise promise() {
        return promise;
    }

    /** Handles a candidate's request; {@code mayVote} says whether this control node may vote at all now. */
    public DutyVote vote(double nowMs, String candidate, DutyRequest request, boolean mayVote) {
        boolean isSameHolder = candidate.equals(promise.holder());
        boolean isRenewal = isSameHolder && request.epoch() == promise.epoch();
        // A new process of the same holder: the previous one has ended, and its term with it.
        boolean isFree = nowMs >= retainedUntilMs || isSameHolder;
        if (!mayVote || !isRenewal && !(isFree && request.epoch() > promise.epoch())) {
            return new DutyVote(request.number(), false, promise.epoch(), false);
        }
        boolean first = founding && (promise.epoch() == 0 || isRenewal && firstEpoch == promise.epoch());
        if (!isRenewal) {
            firstEpoch = first ? request.epoch() : 0;
            promise = new DutyPromise(request.epoch(), candidate);
        }
        retainedUntilMs = nowMs + DutyTerms.VOTE_RETAINED_MS;
        return new DutyVote(request.number(), true, request.epoch(), first);
    }

    /** Whether this candidate may request votes: the vote has expired, or is for an earlier process of the same one. */
    public boolean isFreeFor(double nowMs, String candidate) {
        return nowMs >= retainedUntilMs || candidate.equals(promise.holder());
    }
}
