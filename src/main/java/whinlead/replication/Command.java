package whinlead.replication;

import java.util.List;

/**
 * A command that a member proposes to its group. All times are milliseconds. Points in time are of the group's own time
 * ({@link ReplicatedState#timeMs}), never of a wall clock. An attempt is identified by its owner, one incarnation of
 * the member that decided on it, and a number that the owner uses once.
 */
public sealed interface Command {
    /** The id of the request that the command concerns; null if it concerns none, or all. */
    default String id() {
        return null;
    }

    /** How often a request may be executed. */
    enum Guard {
        /** At most once: another attempt is granted only if no earlier one can have run. */
        UNSAFE,
        /**
         * Its endpoints recognize a repeated request for a while: the member that owns the first attempt may send it
         * again.
         */
        KEYED
    }

    /** The outcome of an attempt, as a caller reports it to a member that does not handle the request. */
    enum AttemptOutcome {
        NEVER_RAN,
        MAY_HAVE_RAN,
        SERVED
    }

    /** How a request ended, from the client's point of view. */
    enum Ending {
        SERVED,
        REFUSED,
        FAILED
    }

    /** An attempt of one incarnation of a member. */
    record Attempt(String owner, long number) {}

    /**
     * Grants an attempt, if no earlier one prevents it.
     *
     * @param id of the request, the same for all callers
     * @param caller that handles the request, for the limit per caller
     * @param neverRan numbers of this owner's earlier attempts that are known not to have run
     * @param remainingMs until the request's deadline
     * @param validUntilMs if the group decides later than this, the attempt must not be sent
     * @param retryAfterRefusal whether the client says that it retries after a refusal
     */
    record Allow(
            String id,
            String caller,
            Guard guard,
            Attempt attempt,
            List<Long> neverRan,
            String endpoint,
            long remainingMs,
            long validUntilMs,
            boolean retryAfterRefusal)
            implements Command {
        /** Keeps a copy. */
        public Allow {
            neverRan = List.copyOf(neverRan);
        }
    }

    /**
     * Withdraws an attempt whose caller was not told of it, whether it has been granted or its {@link Allow} is still
     * in transit.
     *
     * @param remainingMs until the request's deadline
     */
    record Withdraw(String id, Attempt attempt, long remainingMs) implements Command {}

    /**
     * Reports the outcome of an attempt when the member that handles the request can't be asked for the next step. This
     * ends the request.
     *
     * @param attemptIndex as in {@link Reply.Granted}
     */
    record Report(String id, int attemptIndex, AttemptOutcome outcome) implements Command {}

    /**
     * Ends a request, if it has not ended yet.
     *
     * @param owner whose attempts {@code neverRan} numbers, as in {@link Allow}
     */
    record End(String id, Ending ending, String owner, List<Long> neverRan) implements Command {
        /** Keeps a copy. */
        public End {
            neverRan = List.copyOf(neverRan);
        }
    }

    /**
     * Refuses a request of which this owner has no granted attempt, if no attempt can have run. From then on no attempt
     * is granted until the request's deadline, unless its client retries.
     *
     * @param owner whose attempts {@code neverRan} numbers, as in {@link Allow}
     * @param remainingMs until the request's deadline
     */
    record Refuse(String id, String caller, Guard guard, String owner, List<Long> neverRan, long remainingMs)
            implements Command {
        /** Keeps a copy. */
        public Refuse {
            neverRan = List.copyOf(neverRan);
        }
    }

    /**
     * An endpoint accepts no new requests.
     *
     * @param durationMs for which this is remembered; the endpoint lists repeat it
     */
    record Drain(String endpoint, long durationMs) implements Command {}

    /** Only advances the group's time. */
    record Tick() implements Command {}
}
