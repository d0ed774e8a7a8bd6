package whinlead.mesh.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import whinlead.mesh.wire.PeerMessage;

/**
 * Decides by the head of an endpoint's response whether it may be passed on. A rejected response is never passed on in
 * part: the client gets a response of this system's own, without any header of the endpoint's. Thread-safe.
 */
final class ResponseValidator {
    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final String TIMEOUT = "timeout=";
    private static final int TIMED_OUT = 408;
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private ResponseValidator() {}

    /** Why a complete response must not be passed to the client, or null if it may be. */
    static PeerMessage.FailureReason rejectionReason(HttpResponse response) {
        int status = response.status().code();
        // A 421 comes from the endpoint itself: the request has arrived there, so a retry counts against the budget.
        if (status == MISDIRECTED || response.headers().contains(ForwardedHeaders.NOT_EXECUTED)) {
            return PeerMessage.FailureReason.TURNED_AWAY;
        }
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success
                && (!response.headers().contains(ForwardedHeaders.SERVER_SEAL)
                        || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
            return PeerMessage.FailureReason.BROKEN;
        }
        // Without confirmation by the endpoint, these statuses would promise that the request has not run.
        boolean impliesNotRun = status == TOO_MANY || status == UNAVAILABLE || status == TIMED_OUT;
        return impliesNotRun ? PeerMessage.FailureReason.BROKEN : null;
    }

    /**
     * How long the endpoint keeps an idle connection open, in milliseconds.
     *
     * @param previousMs the value known so far, used if the response announces none
     * @param fallbackMs used if the announced value can't be parsed
     */
    static double idleMs(HttpResponse response, double previousMs, double fallbackMs) {
        String value = response.headers().get(KEEP_ALIVE);
        int timeoutIndex = value == null ? -1 : value.indexOf(TIMEOUT);
        if (timeoutIndex < 0) {
            return previousMs;
        }
        try {
            String seconds = value.substring(timeoutIndex + TIMEOUT.length()).split("[^0-9]")[0];
            return Math.max(1, Integer.parseInt(seconds)) * 1000.0;
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            return fallbackMs;
        }
    }
}
