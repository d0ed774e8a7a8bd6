package whinlead.replication;

import java.util.List;

/**
 * What a member asks its group to agree on. All times are milliseconds; those called {@code until} are of the group's
 * own time ({@link ReplicatedState#time}), never of a wall clock. An attempt is known by the member that decided it, in
 * one life of its, and a number that this life uses once.
 */
public sealed interface Command {
    /** The request that it is about; null if it is about none, or about all. */
    default String id() {
        return null;
    }

    /** How often a request may run. */
    enum Guard {
        /** Once: it is let out again only if no earlier attempt can have run. */
        UNSAFE,
        /** Its endpoints know a repeated one for a while: the member that let it out first may again. */
        KEYED
    }

    /** What a caller tells of an attempt to a member that does not hold it. */
    enum How {
        NEVER_RAN,
        MAY_HAVE_RAN,
        SERVED
    }

    /** How a request is over, for its client. */
    enum Ending {
        SERVED,
        REFUSED,
        FAILED
    }

    /** An attempt of one life of a member. */
    record Attempt(String owner, long number) {}

    /**
     * Lets an attempt go out, if no earlier one stands against it.
     *
     * @param id by which the request is known to all callers
     * @param caller who holds it, for the bound on what one may hold
     * @param neverRan this owner's earlier attempts at it that are known not to have run, by their numbers
     * @param left until the request's time is up
     * @param until when it is decided later, it must not go out any more
     * @param anew the client says that it asks again after it was refused
     */
    record Allow(
            String id,
            String caller,
            Guard guard,
            Attempt attempt,
            List<Long> neverRan,
            String endpoint,
            long left,
            long until,
            boolean anew)
            implements Command {
        /** Keeps a copy. */
        public Allow {
            neverRan = List.copyOf(neverRan);
        }
    }

    /**
     * Takes an attempt back that nobody was told of, whether it has been allowed or is on its way to be.
     *
     * @param left until the request's time is up
     */
    record Withdraw(String id, Attempt attempt, long left) implements Command {}

    /**
     * Tells what became of an attempt, where the member that holds the request can't be asked for what is next: it ends
     * the request.
     *
     * @param index as it was granted
     */
    record Report(String id, int index, How how) implements Command {}

    /**
     * Ends a request, if it has not ended otherwise.
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
     * Refuses a request that this owner let no attempt of out, if nothing of it can have run. From then on none goes
     * out until its time is up, unless its client asks anew.
     *
     * @param owner whose attempts {@code neverRan} numbers, as in {@link Allow}
     * @param left until the request's time is up
     */
    record Refuse(String id, String caller, Guard guard, String owner, List<Long> neverRan, long left)
            implements Command {
        /** Keeps a copy. */
        public Refuse {
            neverRan = List.copyOf(neverRan);
        }
    }

    /**
     * An endpoint takes nothing new.
     *
     * @param lasts for how long that is known; lists tell it anew
     */
    record Drain(String endpoint, long lasts) implements Command {}

    /** Nothing but that time has passed. */
    record Tick() implements Command {}
}
