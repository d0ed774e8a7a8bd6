package whinlead.mesh.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * The response to one request of a client. The responses of a connection are sent in the order of their requests. Used
 * on the connection's thread.
 */
final class PendingResponse {
    /** The connection whose responses are pending. */
    interface Queue {
        /** Whether the client has disconnected. */
        boolean isDisconnected();

        /** Called once, when the response is decided; it is sent as soon as all earlier ones are sent. */
        void responseDecided(PendingResponse response);
    }

    private final Queue queue;
    private final boolean keepAlive;
    private final boolean headRequest;
    private final int reservedBytes;
    private final double readDurationMs;
    private FullHttpResponse httpResponse;
    private Runnable disconnectListener = () -> {};

    /**
     * Creates a response that is not decided yet.
     *
     * @param reservedBytes memory reserved for the request's body until the response is decided
     * @param readDurationMs time from the head until the request was handled
     */
    PendingResponse(Queue queue, boolean keepAlive, boolean headRequest, int reservedBytes, double readDurationMs) {
        this.queue = queue;
        this.keepAlive = keepAlive;
        this.headRequest = headRequest;
        this.reservedBytes = reservedBytes;
        this.readDurationMs = readDurationMs;
    }

    /** Whether the connection may be kept after this response. */
    boolean keepAlive() {
        return keepAlive;
    }

    /** Memory reserved for the request's body until the response is decided, in bytes. */
    int reservedBytes() {
        return reservedBytes;
    }

    /** Time it took to read the request, from its head until it was handled, in milliseconds. */
    double readDurationMs() {
        return readDurationMs;
    }

    /** Sets the listener that runs if the client disconnects before the response is decided. */
    void onClientDisconnect(Runnable listener) {
        disconnectListener = listener;
    }

    /** Ends the handling of the request, for which no response is of use any more. */
    void clientDisconnected() {
        disconnectListener.run();
    }

    /** Whether the response is decided. */
    boolean isDecided() {
        return httpResponse != null;
    }

    /** The decided response; null before that. */
    FullHttpResponse httpResponse() {
        return httpResponse;
    }

    /**
     * Decides the response. Has no effect if it is decided already or the client has disconnected.
     *
     * @param headers names and values alternating
     */
    void send(HttpResponseStatus status, List<String> headers, byte[] body) {
        if (httpResponse != null || queue.isDisconnected()) {
            return;
        }
        FullHttpResponse fullResponse =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            fullResponse.headers().add(headers.get(i), headers.get(i + 1));
        }
        if (!HttpResponseStatus.NO_CONTENT.equals(status)
                && !HttpResponseStatus.NOT_MODIFIED.equals(status)
                && !(headRequest && body.length == 0)) {
            fullResponse.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        httpResponse = fullResponse;
        queue.responseDecided(this);
    }
}
