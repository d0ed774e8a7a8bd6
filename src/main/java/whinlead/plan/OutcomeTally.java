package whinlead.plan;

import java.util.ArrayList;
import java.util.List;

/** Accumulates the outcome of a simulated load. Not thread-safe. */
final class OutcomeTally {
    private static final double SECOND_MS = 1000;

    private static final class WorthInSecond {
        private double offered;
        private double served;

        private double share() {
            return offered == 0 ? Double.NaN : served / offered;
        }
    }

    private final List<WorthInSecond> seconds = new ArrayList<>();
    private long firstTries;
    private long offered;
    private long inTime;
    private long late;
    private long refused;
    private long failed;
    private double worthOffered;
    private double worthServed;
    private long attempts;
    private long frontFull;
    private long connectFailures;
    private long sidecarFull;
    private double handshakeWork;
    private double frontWork;

    /** Records a client's try, the first or a retry. */
    void offered(double sentAtMs, double worth, boolean first) {
        offered++;
        firstTries += first ? 1 : 0;
        worthOffered += worth;
        second(sentAtMs).offered += worth;
    }

    /** Records a served try, within its aim or later. */
    void served(double sentAtMs, boolean withinAim, double worth) {
        inTime += withinAim ? 1 : 0;
        late += withinAim ? 0 : 1;
        worthServed += worth;
        second(sentAtMs).served += worth;
    }

    /** Records a refused try. */
    void refused() {
        refused++;
    }

    /** Records a failed try. */
    void failed() {
        failed++;
    }

    /** Records a try that found no free place at its sidecar. */
    void sidecarFull() {
        sidecarFull++;
    }

    /** Records an attempt sent by a sidecar. */
    void attemptSent() {
        attempts++;
    }

    /** Records an attempt rejected by a full front. */
    void frontFull() {
        frontFull++;
    }

    /** Records an attempt that could not get a connection. */
    void connectFailed() {
        connectFailures++;
    }

    /** Records a handshake with this work, in milliseconds of a core. */
    void handshake(double work) {
        handshakeWork += work;
    }

    /** Records the work of an attempt sent to a front, in milliseconds of a core, handshake included. */
    void frontWork(double work) {
        frontWork += work;
    }

    /**
     * Usage of each limit so far.
     *
     * @param cores busy share of all cores
     * @param sidecar busy share of the busiest sidecar's processor
     */
    Outcome.Usage usage(double cores, double sidecar) {
        return new Outcome.Usage(
                cores,
                share(frontFull, attempts),
                share(connectFailures, attempts),
                frontWork == 0 ? 0 : handshakeWork / frontWork,
                sidecar,
                share(sidecarFull, offered),
                firstTries == 0 ? 0 : (double) offered / firstTries - 1);
    }

    private static double share(long part, long all) {
        return all == 0 ? 0 : (double) part / all;
    }

    /** The outcome so far. */
    Outcome outcome(Outcome.Usage usage) {
        double[] worthBySecond =
                seconds.stream().mapToDouble(WorthInSecond::share).toArray();
        return new Outcome(offered, inTime, late, refused, failed, worthOffered, worthServed, usage, worthBySecond);
    }

    private WorthInSecond second(double timeMs) {
        int index = (int) (timeMs / SECOND_MS);
        while (seconds.size() <= index) {
            seconds.add(new WorthInSecond());
        }
        return seconds.get(index);
    }
}
