package whinlead.mesh.sidecar;

import whinlead.mesh.wire.PeerMessage;

/**
 * Counts the attempts of one request of a client: at how many endpoints it may have arrived, which its route bounds,
 * and how often it may have run. An attempt counts from when it is sent until it is known not to have arrived, so that
 * one whose end is never told counts as well. Pure; one thread.
 */
public final class EndpointAttempts {
    private final int most;
    private int arrived;
    private int mayHaveRun;

    /** Attempts of a request that may arrive at so many endpoints; the first is always allowed. */
    public EndpointAttempts(int most) {
        this.most = most;
    }

    /** Whether it may be sent to one more endpoint. */
    public boolean mayBeSent() {
        return arrived == 0 || arrived < most;
    }

    /** Whether it may have arrived at an endpoint, so that one more attempt repeats it. */
    public boolean mayHaveArrived() {
        return arrived > 0;
    }

    /** Whether it may have run. */
    public boolean mayHaveRun() {
        return mayHaveRun > 0;
    }

    /** It is sent. */
    public void sent() {
        arrived++;
        mayHaveRun++;
    }

    /** The attempt that was sent last was given up before anything of it was written. */
    public void neverWritten() {
        arrived--;
        mayHaveRun--;
    }

    /** An attempt came back without an answer. */
    public void returned(PeerMessage.FailureReason why) {
        if (why.neverRan) {
            mayHaveRun--;
        }
        if (why.neverRan && why != PeerMessage.FailureReason.TURNED_AWAY) {
            arrived--;
        }
    }
}
