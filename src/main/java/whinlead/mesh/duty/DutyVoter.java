package whinlead.mesh.duty;

/**
 * One voter's part: votes for one candidate at a time, and for another only once the vote before has surely ended. A
 * vote for another candidate or epoch is on disk before it is told, so that a process that starts keeps it.
 *
 * <p>Invariant: of all votes that may be valid anywhere, those of this voter are for one candidate and epoch. Pure; one
 * thread; times in milliseconds.
 */
public final class DutyVoter {
    private final boolean founding;
    private DutyPromise promise;
    /** The vote is kept until then. */
    private double keptUntil;
    /** The first epoch that it voted in at all, if that is the last one too; 0 otherwise. */
    private long firstEpoch;

    /**
     * A process starts.
     *
     * @param promise what is on disk; its vote may have been given just before
     * @param founding whether this disk is one that the mesh began with, so that an empty one was never voted on
     */
    public DutyVoter(double now, DutyPromise promise, boolean founding) {
        this.promise = promise;
        this.founding = founding;
        this.keptUntil = promise.epoch() > 0 ? now + DutyTerms.KEPT_MS : now;
    }

    /** What must be on disk before the answer to the last question is told. */
    public DutyPromise promise() {
        return promise;
    }

    /** A candidate asks; {@code mayVote} tells whether this control node votes at all now. */
    public DutyVote vote(double now, String candidate, DutyRequest request, boolean mayVote) {
        boolean same = candidate.equals(promise.holder());
        boolean renewal = same && request.epoch() == promise.epoch();
        // A new process of the holder: the one before it has ended, and with it its term.
        boolean free = now >= keptUntil || same;
        if (!mayVote || !renewal && !(free && request.epoch() > promise.epoch())) {
            return new DutyVote(request.number(), false, promise.epoch(), false);
        }
        boolean first = founding && (promise.epoch() == 0 || renewal && firstEpoch == promise.epoch());
        if (!renewal) {
            firstEpoch = first ? request.epoch() : 0;
            promise = new DutyPromise(request.epoch(), candidate);
        }
        keptUntil = now + DutyTerms.KEPT_MS;
        return new DutyVote(request.number(), true, request.epoch(), first);
    }

    /** Whether this candidate may be due: the vote has ended, or is for an earlier process of the same one. */
    public boolean isFreeFor(double now, String candidate) {
        return now >= keptUntil || candidate.equals(promise.holder());
    }
}
