package whinlead.engine;

import whinlead.Contract;

/**
 * How the attempts of one request reach the endpoints that the module chose: a transport of our own, or somebody else
 * who sends them and reports. It sends what it is told once and never again.
 *
 * @param <A> what an endpoint's answer is to the front
 */
@FunctionalInterface
public interface Transport<A> {
    /**
     * Sends an attempt, or tells at once why it can't.
     *
     * @param endpoint the id of one that is, or lately was, on the list
     * @param attempt 0 for the request's first, and so on
     * @param within milliseconds that it has
     * @param told hears how it ended, once, unless it was given up first
     */
    Sending send(String endpoint, int attempt, double within, Outcomes<A> told);

    /** Whether an attempt at this endpoint would find an open connection; true where that is not known. */
    default boolean connected(String endpoint) {
        return true;
    }

    /** An attempt under way. */
    interface Sending {
        /**
         * Gives it up; its end is told no more. True if the endpoint may have had the whole request, so that it may
         * run.
         */
        boolean giveUp();
    }

    /** Hears how an attempt ended. */
    @FunctionalInterface
    interface Outcomes<A> {
        /**
         * The end.
         *
         * @param answer null unless served
         * @param report what the endpoint told of its load, or null
         */
        void ended(Contract.Outcome outcome, A answer, Contract.Report report);
    }
}
