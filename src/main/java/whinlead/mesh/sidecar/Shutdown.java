package whinlead.mesh.sidecar;

import java.util.concurrent.CountDownLatch;
import java.util.function.IntSupplier;
import whinlead.engine.Timers;

/**
 * The steps of a sidecar between SIGTERM and its end. It continues to serve while its clients are directed elsewhere;
 * then it closes connections after their responses; from half of the grace period on it rejects new requests; and
 * shortly before the kill it answers all pending requests. It ends as soon as nothing is pending. Runs on the thread of
 * its timers.
 */
final class Shutdown {
    /** How long clients take at most to be directed elsewhere: two readiness probes and a margin. */
    private static final double REDIRECT_S = 2.6;
    /**
     * Fraction of the grace period after which new requests are rejected, since they could be cut off at an endpoint
     * that is still busy.
     */
    private static final double REJECT_FRACTION = 0.5;
    /** How long before the kill pending requests are answered. */
    private static final double ANSWER_BEFORE_KILL_S = 0.8;
    /** How long these responses may take to be written. */
    private static final double FLUSH_S = 0.2;

    private static final double POLL_MS = 100;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Timers timers;
    private final double graceS;
    private final EgressListener egress;
    private final IntSupplier endpointRequests;
    private final CountDownLatch ended = new CountDownLatch(1);

    /**
     * Creates the shutdown of a sidecar, which is not started yet.
     *
     * @param graceS time from SIGTERM to the kill, in seconds
     * @param endpointRequests how many requests the endpoint beside the sidecar is running
     */
    Shutdown(Timers timers, double graceS, EgressListener egress, IntSupplier endpointRequests) {
        this.timers = timers;
        this.graceS = graceS;
        this.egress = egress;
        this.endpointRequests = endpointRequests;
    }

    /** Starts the shutdown, after the sidecar has published that it is leaving. */
    void begin() {
        double rejectS = graceS * REJECT_FRACTION;
        double redirectS = Math.min(REDIRECT_S, rejectS);
        double answerS = graceS - ANSWER_BEFORE_KILL_S;
        schedule(redirectS, () -> {
            egress.closeConnections();
            timers.schedule(POLL_MS, this::finishIfIdle);
        });
        schedule(rejectS, egress::rejectRequests);
        schedule(answerS, egress::answerPending);
        schedule(answerS + FLUSH_S, this::finish);
    }

    private void schedule(double seconds, Runnable task) {
        timers.schedule(seconds * MILLIS_PER_SECOND, task);
    }

    private void finishIfIdle() {
        if (egress.pendingCount() == 0 && endpointRequests.getAsInt() == 0 && egress.connections() == 0) {
            finish();
        } else {
            timers.schedule(POLL_MS, this::finishIfIdle);
        }
    }

    // The process takes a moment to end, and must not start any request in that time.
    private void finish() {
        egress.rejectRequests();
        ended.countDown();
    }

    /** Whether the process may end. Thread-safe. */
    boolean hasEnded() {
        return ended.getCount() == 0;
    }

    /**
     * Waits until the process may end. Must not be called on the thread of its timers.
     *
     * @throws InterruptedException if interrupted
     */
    void await() throws InterruptedException {
        ended.await();
    }
}
