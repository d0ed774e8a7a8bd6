package whinlead.mesh.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import whinlead.mesh.wire.PeerMessage;

/** Encodes a forwarded request as the HTTP request for the endpoint. Thread-safe. */
final class EndpointRequestEncoder {
    /**
     * Subtracted from the deadline that the endpoint gets, to allow for the way back of its response, in milliseconds.
     */
    private static final int RESPONSE_TRANSIT_MS = 15;

    private EndpointRequestEncoder() {}

    /**
     * Encodes a request.
     *
     * @param remainingMs how long its response is of use
     * @param instance the endpoint's id, which any other endpoint rejects; empty if none is known
     * @throws IllegalArgumentException if the method or the headers are not valid HTTP
     */
    static FullHttpRequest encode(PeerMessage.ForwardRequest forwarded, double remainingMs, String instance) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(forwarded.method()),
                forwarded.uri(),
                Unpooled.wrappedBuffer(forwarded.body()));
        addHeaders(request, forwarded, remainingMs, instance);
        if (hasBody(forwarded)) {
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, forwarded.body().length);
        }
        return request;
    }

    /**
     * Encodes the head of a request whose body follows.
     *
     * @param bodyBytes length of the body, or {@link PeerMessage#UNKNOWN_LENGTH}
     * @param remainingMs how long its response is of use
     * @param instance the endpoint's id, which any other endpoint rejects; empty if none is known
     * @throws IllegalArgumentException if the method or the headers are not valid HTTP
     */
    static HttpRequest encodeHead(
            PeerMessage.ForwardRequest forwarded, long bodyBytes, double remainingMs, String instance) {
        HttpRequest request =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(forwarded.method()), forwarded.uri());
        addHeaders(request, forwarded, remainingMs, instance);
        if (bodyBytes == PeerMessage.UNKNOWN_LENGTH) {
            HttpUtil.setTransferEncodingChunked(request, true);
        } else {
            HttpUtil.setContentLength(request, bodyBytes);
        }
        return request;
    }

    private static void addHeaders(
            HttpRequest request, PeerMessage.ForwardRequest forwarded, double remainingMs, String instance) {
        List<String> headers = forwarded.headers();
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            request.headers().add(headers.get(i), headers.get(i + 1));
        }
        int deadlineMs = (int) Math.max(1, remainingMs - RESPONSE_TRANSIT_MS);
        request.headers().set(ForwardedHeaders.DEADLINE_MS, Integer.toString(deadlineMs));
        if (!instance.isEmpty()) {
            request.headers().set(ForwardedHeaders.TARGET_INSTANCE, instance);
        }
    }

    private static boolean hasBody(PeerMessage.ForwardRequest forwarded) {
        boolean bodilessMethod = HttpMethod.GET.name().equals(forwarded.method())
                || HttpMethod.HEAD.name().equals(forwarded.method());
        return forwarded.body().length > 0 || !bodilessMethod;
    }

    /** The attempt id that the endpoint's response must repeat, or null if the request has none. */
    static String attemptId(PeerMessage.ForwardRequest forwarded) {
        String attemptId = null;
        List<String> headers = forwarded.headers();
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            attemptId = headers.get(i).equalsIgnoreCase(ForwardedHeaders.ATTEMPT_ID) ? headers.get(i + 1) : attemptId;
        }
        return attemptId;
    }
}
