package whinlead.plan;

import java.util.ArrayList;
import java.util.List;

/** Counts what becomes of a simulated load. For one thread. */
final class OutcomeTally {
    private static final double SECOND_MS = 1000;

    private static final class WorthInSecond {
        private double asked;
        private double served;

        private double share() {
            return asked == 0 ? Double.NaN : served / asked;
        }
    }

    private final List<WorthInSecond> seconds = new ArrayList<>();
    private long firstTries;
    private long asked;
    private long inTime;
    private long late;
    private long refused;
    private long failed;
    private double worthAsked;
    private double worthServed;
    private long attempts;
    private long frontFull;
    private long connectFailures;
    private long sidecarFull;
    private double handshakeWork;
    private double frontWork;

    /** A client tries; the first time or again. */
    void asked(double at, double worth, boolean first) {
        asked++;
        firstTries += first ? 1 : 0;
        worthAsked += worth;
        second(at).asked += worth;
    }

    /** A try that was asked at a time was served, within its aim or later. */
    void served(double askedAt, boolean withinAim, double worth) {
        inTime += withinAim ? 1 : 0;
        late += withinAim ? 0 : 1;
        worthServed += worth;
        second(askedAt).served += worth;
    }

    /** A try was refused. */
    void refused() {
        refused++;
    }

    /** A try failed. */
    void failed() {
        failed++;
    }

    /** A try found no place at its sidecar. */
    void sidecarFull() {
        sidecarFull++;
    }

    /** A sidecar sends an attempt. */
    void attempt() {
        attempts++;
    }

    /** An attempt found its front full. */
    void frontFull() {
        frontFull++;
    }

    /** An attempt found no connection to be had. */
    void connectFailed() {
        connectFailures++;
    }

    /** A front does a handshake of so much work, in milliseconds of a core. */
    void handshake(double work) {
        handshakeWork += work;
    }

    /** An attempt of so much work goes to a front, in milliseconds of a core, handshake included. */
    void frontWork(double work) {
        frontWork += work;
    }

    /**
     * How far limits have been used so far.
     *
     * @param cores busy share of all cores
     * @param sidecar busy share of the busiest sidecar's processor
     */
    Outcome.Use use(double cores, double sidecar) {
        return new Outcome.Use(
                cores,
                share(frontFull, attempts),
                share(connectFailures, attempts),
                frontWork == 0 ? 0 : handshakeWork / frontWork,
                sidecar,
                share(sidecarFull, asked),
                firstTries == 0 ? 0 : (double) asked / firstTries - 1);
    }

    private static double share(long part, long all) {
        return all == 0 ? 0 : (double) part / all;
    }

    /** What has become of the load so far. */
    Outcome outcome(Outcome.Use use) {
        double[] worthBySecond =
                seconds.stream().mapToDouble(WorthInSecond::share).toArray();
        return new Outcome(asked, inTime, late, refused, failed, worthAsked, worthServed, use, worthBySecond);
    }

    private WorthInSecond second(double at) {
        int index = (int) (at / SECOND_MS);
        while (seconds.size() <= index) {
            seconds.add(new WorthInSecond());
        }
        return seconds.get(index);
    }
}
