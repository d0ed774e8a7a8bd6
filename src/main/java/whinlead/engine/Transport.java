package whinlead.engine;

import whinlead.Contract;

/**
 * Sends the attempts of one request to the endpoints that the module chose: either one of our own transports, or a
 * proxy that sends them and reports the outcomes. It sends each attempt once and never retries.
 *
 * @param <A> the type of an endpoint's answer
 */
@FunctionalInterface
public interface Transport<A> {
    /**
     * Sends an attempt, or reports at once why it cannot be sent.
     *
     * @param endpoint the id of an endpoint that is, or recently was, on the list
     * @param attempt index of the attempt within its request, from 0
     * @param timeoutMs milliseconds until the engine aborts it
     * @param listener receives its outcome once, unless it was aborted before
     */
    AttemptHandle send(String endpoint, int attempt, double timeoutMs, OutcomeListener<A> listener);

    /** Whether an attempt at this endpoint would find an open connection; true where that is not known. */
    default boolean connected(String endpoint) {
        return true;
    }

    /** An attempt in progress. */
    interface AttemptHandle {
        /**
         * Aborts the attempt; its outcome is no longer reported. Returns true if the endpoint may have received the
         * whole request, which may then run.
         */
        boolean abort();
    }

    /** Receives the outcome of an attempt. */
    @FunctionalInterface
    interface OutcomeListener<A> {
        /**
         * The attempt has ended.
         *
         * @param answer the endpoint's answer; null unless served
         * @param report the endpoint's load report, or null
         */
        void ended(Contract.Outcome outcome, A answer, Contract.Report report);
    }
}
