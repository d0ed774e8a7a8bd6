package whinlead.mesh.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;
import whinlead.mesh.wire.PeerMessage;

/**
 * Whether an endpoint's answer may be passed on, by its head. What may not is never passed on in part: the client gets
 * an answer of this system's own, with none of the endpoint's headers. For any thread.
 */
final class ResponseValidator {
    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final String TIMEOUT = "timeout=";
    private static final int TIMED_OUT = 408;
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private ResponseValidator() {}

    /**
     * Whether the end of its body can be told, and the body is the endpoint's own: by a length, by chunks with no other
     * coding, or by the end of the connection.
     */
    static boolean isFramed(HttpResponse answer) {
        List<String> codings = answer.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || codings.size() == 1
                        && !HttpUtil.isContentLengthSet(answer)
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                codings.get(0).trim());
    }

    /** Why a whole answer is not for the client, or null if it is. */
    static PeerMessage.FailureReason reject(HttpResponse answer) {
        int status = answer.status().code();
        // A 421 is the endpoint's own word: the request has arrived there, and the next arrival is paid for.
        if (status == MISDIRECTED || answer.headers().contains(ForwardedHeaders.NOT_EXECUTED)) {
            return PeerMessage.FailureReason.TURNED_AWAY;
        }
        boolean success = answer.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success
                && (!answer.headers().contains(ForwardedHeaders.SEAL)
                        || answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
            return PeerMessage.FailureReason.BROKEN;
        }
        // Without a word of the endpoint's, these would promise that the request has not run.
        boolean promises = status == TOO_MANY || status == UNAVAILABLE || status == TIMED_OUT;
        return promises ? PeerMessage.FailureReason.BROKEN : null;
    }

    /**
     * How long the endpoint keeps an idle connection, in milliseconds.
     *
     * @param before what was known of it, where the answer tells nothing
     * @param unreadable what is taken where the answer's word can't be read
     */
    static double idleMs(HttpResponse answer, double before, double unreadable) {
        String value = answer.headers().get(KEEP_ALIVE);
        int at = value == null ? -1 : value.indexOf(TIMEOUT);
        if (at < 0) {
            return before;
        }
        try {
            String seconds = value.substring(at + TIMEOUT.length()).split("[^0-9]")[0];
            return Math.max(1, Integer.parseInt(seconds)) * 1000.0;
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            return unreadable;
        }
    }
}
