package whinlead.mesh.sidecar;

import whinlead.mesh.wire.PeerMessage;

/**
 * Counts the attempts of one client request: at how many endpoints it may have arrived, which its route limits, and how
 * often it may have run. An attempt counts from when it is sent until it is known not to have arrived; so an attempt
 * whose result is never reported counts as well. Pure; used by one thread.
 */
public final class EndpointAttempts {
    private final int maxArrivals;
    private int arrivals;
    private int mayHaveRun;

    /**
     * Creates a counter for a request that may arrive at up to {@code maxArrivals} endpoints; the first is always
     * allowed.
     */
    public EndpointAttempts(int maxArrivals) {
        this.maxArrivals = maxArrivals;
    }

    /** Whether the request may be sent to one more endpoint. */
    public boolean mayArriveAgain() {
        return arrivals == 0 || arrivals < maxArrivals;
    }

    /** Whether the request may have arrived at an endpoint, so that a further attempt is a retry. */
    public boolean mayHaveArrived() {
        return arrivals > 0;
    }

    /** Whether the request may have run. */
    public boolean mayHaveRun() {
        return mayHaveRun > 0;
    }

    /** Counts an attempt that is being sent. */
    public void attemptSent() {
        arrivals++;
        mayHaveRun++;
    }

    /** Takes back the last attempt, which was given up before any of it was written. */
    public void attemptNotWritten() {
        arrivals--;
        mayHaveRun--;
    }

    /** Records that an attempt ended without a response. */
    public void attemptFailed(PeerMessage.FailureReason reason) {
        if (reason.neverRan) {
            mayHaveRun--;
        }
        if (reason.neverRan && reason != PeerMessage.FailureReason.TURNED_AWAY) {
            arrivals--;
        }
    }
}
