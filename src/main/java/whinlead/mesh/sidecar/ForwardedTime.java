package whinlead.mesh.sidecar;

import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.TransitClock;

/**
 * Computes the remaining time of a request that another sidecar forwarded, by subtracting the time it spent on its way.
 * If that time can't be known, nothing remains: the first messages of a connection that was opened while this process
 * was paused (frozen, or without processor time) have nothing to be compared with. Pure; used by one thread; times in
 * milliseconds on one monotonic clock.
 */
public final class ForwardedTime {
    /** Pauses of the process that are shorter than this are not detected. */
    static final double PAUSE_THRESHOLD_MS = 500;
    /** How long after a pause messages that waited in socket buffers are read. */
    static final double BACKLOG_WINDOW_MS = 100;

    private double lastRunningMs = Double.NaN;
    private double resumedMs = Double.NEGATIVE_INFINITY;

    /** Records that this process is running; must be called at least every {@link #PAUSE_THRESHOLD_MS}. */
    public void recordRunning(double nowMs) {
        if (nowMs - lastRunningMs > PAUSE_THRESHOLD_MS) {
            resumedMs = nowMs;
        }
        lastRunningMs = nowMs;
    }

    /**
     * The remaining time of a request that arrives now, in whole milliseconds; at 0 the request must not be started.
     *
     * @param transit the transit clock of the connection that it arrived on
     */
    public int remainingMs(double nowMs, TransitClock transit, PeerMessage.ForwardRequest request) {
        recordRunning(nowMs);
        int remainingMs = transit.remainingMs(nowMs, request.sentAt(), request.leftMs());
        boolean backlog = nowMs - resumedMs < BACKLOG_WINDOW_MS;
        return backlog && transit.firstArrivalMs() >= resumedMs ? 0 : remainingMs;
    }
}
