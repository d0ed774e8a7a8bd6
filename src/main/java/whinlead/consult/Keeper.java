package whinlead.consult;

import java.util.function.Consumer;

/**
 * Shares with other group members the state that must outlive this process: which attempts at requests that must not
 * run twice were approved, and how those requests ended. An approval is given only once enough members know it. Runs on
 * the engine's thread. Without such a store, the state of a lost process is lost with it.
 */
public interface Keeper {
    /** Whether an attempt may be delivered to its caller. */
    sealed interface Verdict {
        /** Enough members know the attempt: it may be sent, under this number. */
        record Granted(int attempt) implements Verdict {}

        /** Another attempt is out, possibly by another member. */
        record Out() implements Verdict {}

        /** The request has ended, finally or as far as is known here. */
        record Over(Directive end) implements Verdict {}

        /** The endpoint accepts no new requests: another may be tried. */
        record Draining() implements Verdict {}

        /** Too few members answer: the attempt was not approved and will not be, and whether another was is unknown. */
        record Unknown() implements Verdict {}
    }

    /** Whether an attempt ran. */
    enum RunResult {
        NEVER_RAN,
        MAY_HAVE_RAN,
        SERVED
    }

    /** One request held by this process. */
    interface SharedRequest {
        /**
         * Asks whether the next attempt may be sent; one at a time. The verdict never arrives before this method
         * returns.
         *
         * @param valid milliseconds within which the attempt has to be delivered; later it must not be
         * @param told receives the verdict once, unless cancelled before
         */
        void requestAttempt(String endpoint, double valid, Consumer<Verdict> told);

        /** Cancels the pending question; the attempt has not been delivered. */
        void cancel();

        /** Records that the last granted attempt did not run. */
        void neverRan();

        /**
         * Ends the request.
         *
         * @param told receives the end agreed by all members, which may differ if the request had already ended; at the
         *     latest at the request's end time. A refusal is only reported where other members confirm that nothing can
         *     have run
         */
        void end(Directive how, Consumer<Directive> told);
    }

    /**
     * Opens a request that must not run twice.
     *
     * @param caller the caller that holds it
     * @param keyed whether endpoints recognize a repetition by its key for a while
     * @param repeat whether the client marks it as a repeat after a refusal
     * @param endBy end of the request's time, by the engine's clock
     */
    SharedRequest open(String id, String caller, boolean keyed, boolean repeat, double endBy);

    /**
     * Handles a caller's report on an attempt at a request that this process does not hold.
     *
     * @param attempt the attempt's number as delivered
     * @param told receives how the request ended, or null if it is unknown or can't be guaranteed
     */
    void report(String id, int attempt, RunResult how, Consumer<Directive> told);

    /** An endpoint accepts no new requests. */
    void endpointDraining(String endpoint);
}
