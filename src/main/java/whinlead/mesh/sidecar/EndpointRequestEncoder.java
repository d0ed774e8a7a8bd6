package whinlead.mesh.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import whinlead.mesh.wire.PeerMessage;

/** Makes the HTTP request that the endpoint gets of a forwarded one. For any thread. */
final class EndpointRequestEncoder {
    /** Taken off the time that the endpoint is told, for its answer's way back, in milliseconds. */
    private static final int RESPONSE_TRANSIT_MS = 15;

    private EndpointRequestEncoder() {}

    /**
     * Encodes a request.
     *
     * @param leftMs how long its answer is of use
     * @param instance the endpoint's id, which every other endpoint turns away; empty where none is known
     * @throws IllegalArgumentException if method or headers are no HTTP
     */
    static FullHttpRequest encode(PeerMessage.ForwardRequest forwarded, double leftMs, String instance) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(forwarded.method()),
                forwarded.uri(),
                Unpooled.wrappedBuffer(forwarded.body()));
        List<String> headers = forwarded.headers();
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            request.headers().add(headers.get(i), headers.get(i + 1));
        }
        int deadlineMs = (int) Math.max(1, leftMs - RESPONSE_TRANSIT_MS);
        request.headers().set(ForwardedHeaders.DEADLINE, Integer.toString(deadlineMs));
        if (!instance.isEmpty()) {
            request.headers().set(ForwardedHeaders.INSTANCE, instance);
        }
        if (hasBody(forwarded)) {
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, forwarded.body().length);
        }
        return request;
    }

    private static boolean hasBody(PeerMessage.ForwardRequest forwarded) {
        boolean usuallyWithout = HttpMethod.GET.name().equals(forwarded.method())
                || HttpMethod.HEAD.name().equals(forwarded.method());
        return forwarded.body().length > 0 || !usuallyWithout;
    }

    /** The id that the endpoint's answer must repeat, or null if the request has none. */
    static String attemptId(PeerMessage.ForwardRequest forwarded) {
        String attempt = null;
        List<String> headers = forwarded.headers();
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            attempt = headers.get(i).equalsIgnoreCase(ForwardedHeaders.ATTEMPT) ? headers.get(i + 1) : attempt;
        }
        return attempt;
    }
}
