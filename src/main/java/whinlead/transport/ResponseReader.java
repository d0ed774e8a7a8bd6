package whinlead.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import whinlead.Contract;
import whinlead.http.EndpointResponse;
import whinlead.http.HttpCall;
import whinlead.http.LoadReport;

/** Collects the response to one attempt at a time from what its connection decodes, and tells its outcome. */
final class ResponseReader {
    private static final String NOT_STARTED = "Not-Started";
    /** Most interim responses (1xx) before the final one, since an endpoint could send them without end. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpResponse head;
    private int interimResponses;
    private boolean complete;
    private boolean hasExtraInput;

    /** Prepares for the response to the next attempt. */
    void reset() {
        body.reset();
        head = null;
        interimResponses = 0;
        complete = false;
        hasExtraInput = false;
    }

    /**
     * Reads a part of the response; what follows a complete response is only noted.
     *
     * @return whether the response may still be passed on
     * @throws IOException never, as the body is kept in memory
     */
    boolean read(HttpObject message) throws IOException {
        if (complete) {
            hasExtraInput = true;
            return true;
        }
        if (message.decoderResult().isFailure() || message instanceof HttpResponse response && !acceptHead(response)) {
            return false;
        }
        return !(message instanceof HttpContent part) || appendBody(part);
    }

    // Stores the head and returns whether the response is acceptable. Rejects responses without a length, since a
    // truncated one would look complete, responses that are too large to pass on, and endless interim responses.
    private boolean acceptHead(HttpResponse response) {
        head = response;
        if (isInterim(response)) {
            interimResponses++;
            return interimResponses <= MAX_INTERIM_RESPONSES;
        }
        return HttpUtil.isTransferEncodingChunked(response)
                || HttpUtil.isContentLengthSet(response)
                        && HttpUtil.getContentLength(response) <= HttpCall.MAX_BODY_BYTES;
    }

    private boolean appendBody(HttpContent part) throws IOException {
        ByteBuf bytes = part.content();
        if (body.size() + bytes.readableBytes() > HttpCall.MAX_BODY_BYTES) {
            return false;
        }
        bytes.readBytes(body, bytes.readableBytes());
        complete = part instanceof LastHttpContent && !isInterim(head);
        return true;
    }

    private static boolean isInterim(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /** Whether the final response is complete. */
    boolean isComplete() {
        return complete;
    }

    /** Whether the connection of a complete response may be used again, as far as its messages tell. */
    boolean leavesConnectionUsable() {
        return HttpUtil.isKeepAlive(head) && !hasExtraInput;
    }

    /** The outcome that a complete response stands for. */
    Contract.Outcome outcome() {
        HttpResponseStatus status = head.status();
        if (status.equals(HttpResponseStatus.OK)) {
            return Contract.Outcome.SERVED;
        }
        boolean notStarted = (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                        || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
                && "1".equals(head.headers().get(NOT_STARTED));
        return notStarted ? Contract.Outcome.FULL : Contract.Outcome.ERROR;
    }

    /** What the client gets of a complete response; null unless its outcome is a success. */
    EndpointResponse response() {
        return outcome() == Contract.Outcome.SERVED
                ? new EndpointResponse(body.toByteArray(), head.headers().get(HttpHeaderNames.CONTENT_TYPE))
                : null;
    }

    /** The endpoint's load by a complete response, or null. */
    Contract.Report loadReport() {
        return LoadReport.parse(head.headers().getAll(LoadReport.HEADER));
    }
}
