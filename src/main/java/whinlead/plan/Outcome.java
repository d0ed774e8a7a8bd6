package whinlead.plan;

/**
 * Result of a load over all tries of its clients, with the usage of each limit.
 *
 * @param offered number of tries
 * @param inTime tries served within the aim of their class
 * @param late tries served after the aim
 * @param refused tries answered with a refusal
 * @param failed tries answered with a failure, or dropped because the sidecar had no free place
 * @param worthOffered total worth of the tries
 * @param worthServed worth of the tries served in time, plus the remaining worth of the late ones
 * @param usage usage of each limit
 * @param worthBySecond share of the worth served, by the second of the try; NaN for a second without tries
 */
public record Outcome(
        long offered,
        long inTime,
        long late,
        long refused,
        long failed,
        double worthOffered,
        double worthServed,
        Usage usage,
        double[] worthBySecond) {
    /**
     * Usage of each limit.
     *
     * @param cores busy share of all cores
     * @param room share of attempts rejected because a front's room was full
     * @param connections share of attempts for which the front or the sidecar had no connection left
     * @param handshakes share of the fronts' work spent on handshakes
     * @param sidecar busy share of the processor of the busiest sidecar
     * @param places share of tries that found no place at their sidecar
     * @param repeats mean number of retries per client request
     */
    public record Usage(
            double cores,
            double room,
            double connections,
            double handshakes,
            double sidecar,
            double places,
            double repeats) {}

    /** Share of the worth that was served; 1 if there were no tries. */
    public double worth() {
        return worthOffered == 0 ? 1 : worthServed / worthOffered;
    }

    /** Share of tries that were refused. */
    public double refusedShare() {
        return offered == 0 ? 0 : (double) refused / offered;
    }

    /** Share of tries that were served late. */
    public double lateShare() {
        return offered == 0 ? 0 : (double) late / offered;
    }
}
