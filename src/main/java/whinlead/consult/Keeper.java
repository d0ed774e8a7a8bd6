package whinlead.consult;

import java.util.function.Consumer;

/**
 * Keeps with others what must outlive this process: which attempts at requests that must not run twice were let out,
 * and how those requests ended. An answer that lets one out is given only once enough others know it. On the engine's
 * thread; without one, a process that is lost takes what it knew with it.
 */
public interface Keeper {
    /** Whether an attempt may be told to its caller. */
    sealed interface Verdict {
        /** Others know it: it may go out, named by this number. */
        record Granted(int attempt) implements Verdict {}

        /** Another attempt stands against it, by another member perhaps. */
        record Out() implements Verdict {}

        /** The request has ended, for good or as far as anybody here can tell. */
        record Over(Directive end) implements Verdict {}

        /** Its endpoint takes nothing new: another may be tried. */
        record Draining() implements Verdict {}

        /** Nobody answers: it was not let out and will not be, and whether another was isn't known. */
        record Unknown() implements Verdict {}
    }

    /** What became of an attempt. */
    enum How {
        NEVER_RAN,
        MAY_HAVE_RAN,
        SERVED
    }

    /** One request of this process's. */
    interface Kept {
        /**
         * Asks whether its next attempt may go out; one at a time. The answer never comes before this returns.
         *
         * @param valid milliseconds in which it has to be told, or must not be any more
         * @param told hears it once, unless it is cancelled before
         */
        void allow(String endpoint, double valid, Consumer<Verdict> told);

        /** The attempt asked about is wanted no more; it has not been told. */
        void cancel();

        /** The last attempt granted is known not to have run. */
        void neverRan();

        /**
         * Ends it.
         *
         * @param told hears how it has ended for all, which may be otherwise if it had already, by its time in any
         *     case. A refusal is only told where others say that nothing can have run
         */
        void end(Directive how, Consumer<Directive> told);
    }

    /**
     * A request that must not run twice.
     *
     * @param caller who holds it
     * @param keyed whether its endpoints know a repeated one for a while
     * @param repeat whether its client says that it asks again after it was refused
     * @param endBy when its time is up, by the engine's time
     */
    Kept open(String id, String caller, boolean keyed, boolean repeat, double endBy);

    /**
     * A caller tells of an attempt at a request that this process does not hold.
     *
     * @param attempt as it was told
     * @param told hears how the request has ended, or null if nothing is known of it or can be promised
     */
    void report(String id, int attempt, How how, Consumer<Directive> told);

    /** An endpoint takes nothing new. */
    void drains(String endpoint);
}
