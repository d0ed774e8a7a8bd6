package whinlead.mesh.sidecar;

import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.TransitClock;

/**
 * What is left of the time of a request that another sidecar forwarded. What it waited on its way is taken off; where
 * that can't be known, nothing is left: on a connection that was made while this process stood still (it was frozen, or
 * had no processor), the first messages have nothing to be compared with. Pure; one thread; times in milliseconds on
 * one steady clock.
 */
public final class ForwardedTime {
    /** Standing still for less is not noticed. */
    static final double STANDSTILL_MS = 500;
    /** For so long after a standstill, messages that waited in sockets are read. */
    static final double BACKLOG_MS = 100;

    private double ranAt = Double.NaN;
    private double resumedAt = Double.NEGATIVE_INFINITY;

    /** This process runs; to be told at least every {@link #STANDSTILL_MS}. */
    public void running(double now) {
        if (now - ranAt > STANDSTILL_MS) {
            resumedAt = now;
        }
        ranAt = now;
    }

    /**
     * What is left of a request that arrives now, in whole milliseconds; at 0 it must not be begun.
     *
     * @param transit of the connection by which it came
     */
    public int left(double now, TransitClock transit, PeerMessage.ForwardRequest request) {
        running(now);
        int left = transit.left(now, request.sentAt(), request.leftMs());
        boolean backlog = now - resumedAt < BACKLOG_MS;
        return backlog && transit.firstArrivalAt() >= resumedAt ? 0 : left;
    }
}
