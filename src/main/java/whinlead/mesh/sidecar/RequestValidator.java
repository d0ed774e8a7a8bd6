package whinlead.mesh.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Checks the heads of clients' requests. Thread-safe. */
final class RequestValidator {
    private RequestValidator() {}

    /**
     * Whether the end of the request's body is unambiguous. If it is not, another request may be hidden behind it
     * (request smuggling).
     */
    static boolean isFramed(HttpRequest request) {
        boolean multipleLengths =
                request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
        boolean encoded = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        boolean lengthAndCoding = encoded && request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean unsupportedCoding = encoded && !HttpUtil.isTransferEncodingChunked(request);
        return HttpVersion.HTTP_1_1.equals(request.protocolVersion())
                && !multipleLengths
                && !lengthAndCoding
                && !unsupportedCoding;
    }
}
