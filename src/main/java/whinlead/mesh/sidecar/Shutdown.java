package whinlead.mesh.sidecar;

import java.util.concurrent.CountDownLatch;
import java.util.function.IntSupplier;
import whinlead.engine.Timers;

/**
 * What a sidecar does between SIGTERM and its end. It serves on while its clients are led elsewhere; then it ends
 * connections after their answers; from half of the grace on it begins nothing more; and shortly before the kill it
 * answers what is still under way. It ends as soon as nothing is. On the thread of its timers.
 */
final class Shutdown {
    /** Clients need so long at most to be led elsewhere: two questions for readiness and a little. */
    private static final double KEEP_S = 2.6;
    /** The part of the grace after which requests may be cut off where an endpoint is still at work. */
    private static final double REFUSE_PART = 0.5;
    /** How long before the kill what is under way is answered. */
    private static final double ANSWER_S = 0.8;
    /** How long these answers may take to go out. */
    private static final double FLUSH_S = 0.2;

    private static final double LOOK_MS = 100;
    private static final double MS = 1000;

    private final Timers timers;
    private final double graceS;
    private final EgressListener egress;
    private final IntSupplier atEndpoint;
    private final CountDownLatch ended = new CountDownLatch(1);

    /**
     * The end of a sidecar that has not begun to leave.
     *
     * @param graceS from SIGTERM to the kill, in seconds
     * @param atEndpoint how many requests the endpoint beside it works on
     */
    Shutdown(Timers timers, double graceS, EgressListener egress, IntSupplier atEndpoint) {
        this.timers = timers;
        this.graceS = graceS;
        this.egress = egress;
        this.atEndpoint = atEndpoint;
    }

    /** Begins; the sidecar has said that it leaves. */
    void begin() {
        double refuseS = graceS * REFUSE_PART;
        double keepS = Math.min(KEEP_S, refuseS);
        double answerS = graceS - ANSWER_S;
        after(keepS, () -> {
            egress.leave();
            timers.after(LOOK_MS, this::look);
        });
        after(refuseS, egress::refuse);
        after(answerS, egress::answerAll);
        after(answerS + FLUSH_S, this::finish);
    }

    private void after(double seconds, Runnable task) {
        timers.after(seconds * MS, task);
    }

    private void look() {
        if (egress.underWay() == 0 && atEndpoint.getAsInt() == 0 && egress.connections() == 0) {
            finish();
        } else {
            timers.after(LOOK_MS, this::look);
        }
    }

    // The process takes a moment to end, in which nothing may be begun.
    private void finish() {
        egress.refuse();
        ended.countDown();
    }

    /** Whether it may end. For any thread. */
    boolean hasEnded() {
        return ended.getCount() == 0;
    }

    /**
     * Waits until it may end. On any thread but that of its timers.
     *
     * @throws InterruptedException if interrupted
     */
    void await() throws InterruptedException {
        ended.await();
    }
}
