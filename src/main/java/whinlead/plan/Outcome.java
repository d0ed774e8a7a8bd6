package whinlead.plan;

/**
 * What became of a load, over all tries of its clients, and how far each limit was used.
 *
 * @param asked tries
 * @param good served within the aim of their class
 * @param late served later than that
 * @param refused answered with a refusal
 * @param failed answered with a failure, or given up for want of a place at the sidecar
 * @param worthAsked worth of the tries
 * @param worthGood worth of those served in time, and what the late ones are still worth
 * @param use how far limits were used
 * @param worthBySecond share of the worth that was got, by the second asked in; NaN where nothing was asked
 */
public record Outcome(
        long asked,
        long good,
        long late,
        long refused,
        long failed,
        double worthAsked,
        double worthGood,
        Use use,
        double[] worthBySecond) {
    /**
     * How far limits were used.
     *
     * @param cores busy share of the cores that the list calls up
     * @param room share of attempts that found a front's room full
     * @param connections share of attempts that a front or the sidecar had no connection for
     * @param handshakes share of the fronts' work that was handshakes
     * @param sidecar busy share of the processor of the busiest sidecar
     * @param places share of tries that found no place at their sidecar
     * @param repeats tries a request of a client, beyond the first
     */
    public record Use(
            double cores,
            double room,
            double connections,
            double handshakes,
            double sidecar,
            double places,
            double repeats) {}

    /** Share of the worth that was got; 1 where nothing was asked. */
    public double worth() {
        return worthAsked == 0 ? 1 : worthGood / worthAsked;
    }

    /** Share refused. */
    public double refusedShare() {
        return asked == 0 ? 0 : (double) refused / asked;
    }

    /** Share served late. */
    public double lateShare() {
        return asked == 0 ? 0 : (double) late / asked;
    }
}
