package whinlead.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/**
 * Decodes responses, and rejects the malformed ones that Netty's decoder accepts. After a malformed response, whose
 * first invalid message has a failed {@link DecoderResult}, it ignores all further bytes of the connection.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private final Queue<HttpMethod> unansweredMethods = new ArrayDeque<>();
    private State state = State.BEFORE_HEAD;
    private int lengthFields;

    /** Which part of a response is expected next. */
    private enum State {
        /** The status line. */
        BEFORE_HEAD,
        /** The rest of the head. */
        IN_HEAD,
        /** The body and what follows it. */
        BEHIND_HEAD,
        /** Nothing, as a malformed response has arrived. */
        INVALID
    }

    StrictResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Records that a request was sent, whose method tells whether its response has a body. */
    void requestSent(HttpMethod method) {
        unansweredMethods.add(method);
    }

    /** Whether a response has begun to arrive that is not complete, or that is malformed. */
    boolean hasUnfinishedInput() {
        return state != State.BEFORE_HEAD || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (hasInvalidFoldedLine(in)) {
            state = State.INVALID;
            out.add(invalidResponse("a control byte in a folded line"));
        }
        if (state == State.INVALID) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int decodedBefore = out.size();
        super.decode(ctx, in, out);
        for (int i = decodedBefore; i < out.size(); i++) {
            updateState((HttpObject) out.get(i));
        }
    }

    // Netty would report a second failure, for a head without an end.
    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (state == State.INVALID) {
            in.skipBytes(in.readableBytes());
        } else {
            super.decodeLast(ctx, in, out);
        }
    }

    private boolean hasInvalidFoldedLine(ByteBuf in) {
        return switch (state) {
            case BEFORE_HEAD -> FoldedLines.haveControlByteFromStatusLine(in);
            case IN_HEAD -> FoldedLines.haveControlByteFromFieldLine(in);
            case BEHIND_HEAD, INVALID -> false;
        };
    }

    private HttpMessage invalidResponse(String reason) {
        HttpMessage response = createInvalidMessage();
        response.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(reason)));
        return response;
    }

    private void updateState(HttpObject decoded) {
        if (decoded.decoderResult().isFailure()) {
            state = State.INVALID;
        } else if (decoded instanceof LastHttpContent) {
            state = State.BEFORE_HEAD;
        } else if (decoded instanceof HttpMessage) {
            state = State.BEHIND_HEAD;
        }
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        state = State.IN_HEAD;
        lengthFields = 0;
        StatusLine.requireVersion(statusLine[0]);
        StatusLine.requireStatus(statusLine[1]);
        StatusLine.requireReason(statusLine[2]);
        return super.createMessage(statusLine);
    }

    // Netty ends a name at its first blank: it would read "Content-Length x: 3" as a length.
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        if (end >= line.length || line[end] != ':') {
            throw new IllegalArgumentException("a field name is not followed by a colon");
        }
        AsciiString name = super.splitHeaderName(line, start, length);
        if (state == State.IN_HEAD && HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
            lengthFields++;
            requireOneLength();
        }
        return name;
    }

    // Netty takes the first of several in HTTP/1.0.
    private void requireOneLength() {
        if (lengthFields > 1) {
            throw new IllegalArgumentException("several lengths");
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        HttpStatusClass statusClass = ((HttpResponse) message).status().codeClass();
        if (statusClass == HttpStatusClass.INFORMATIONAL) {
            return super.isContentAlwaysEmpty(message);
        }
        requireKnownCoding(message);
        HttpMethod method = unansweredMethods.poll();
        boolean bodiless = HttpMethod.HEAD.equals(method)
                || HttpMethod.CONNECT.equals(method) && statusClass == HttpStatusClass.SUCCESS;
        return bodiless || super.isContentAlwaysEmpty(message);
    }

    // A response is framed by a length, by chunks, or by the end of its connection; no request asks for other codings.
    private static void requireKnownCoding(HttpMessage message) {
        if (!message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return;
        }
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            throw new IllegalArgumentException("transfer codings other than chunked: " + codings);
        }
    }
}
