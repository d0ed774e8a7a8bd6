package whinlead.mesh.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * One caller's connection: reads complete calls and writes their responses in the order of the calls, in whatever order
 * the responses arrive (HTTP/1.1 pipelining). Reading stops while {@link #MAX_PENDING} calls, or bodies of
 * {@link #MAX_BODY_BYTES} bytes in total, wait for their responses; this requires a flow control handler in front. Used
 * on the event loop's thread; responses may arrive on any thread.
 */
final class RpcConnection extends ChannelInboundHandlerAdapter {
    /** Limit on the pending calls of one connection. */
    static final int MAX_PENDING = 16;
    /** Maximum size of a body in bytes. */
    static final int MAX_BODY_BYTES = 8 << 20;

    /** Runs complete calls. */
    interface CallRunner {
        /** Runs a call; the response may be given at once or later, on any thread. */
        void run(HttpRequest head, byte[] body, Consumer<RpcResponse> respond);
    }

    /** One call's place in the order of responses. */
    private final class PendingResponse implements Consumer<RpcResponse> {
        private final boolean keepAlive;
        private final int bodyBytes;
        private RpcResponse response;

        private PendingResponse(boolean keepAlive, int bodyBytes) {
            this.keepAlive = keepAlive;
            this.bodyBytes = bodyBytes;
        }

        @Override
        public void accept(RpcResponse newResponse) {
            if (channel.eventLoop().inEventLoop()) {
                complete(this, newResponse);
            } else {
                channel.eventLoop().execute(() -> complete(this, newResponse));
            }
        }
    }

    private final CallRunner callRunner;
    private final ArrayDeque<PendingResponse> pending = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteBuf body;
    private boolean isTooLarge;
    private boolean expectsContinue;
    private int pendingBytes;
    private boolean isEnding;

    RpcConnection(CallRunner callRunner) {
        this.callRunner = callRunner;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (isEnding) {
                return;
            }
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                refuse(HttpResponseStatus.BAD_REQUEST, "the call can't be read");
                return;
            }
            if (message instanceof HttpRequest request) {
                startCall(request);
            }
            if (message instanceof HttpContent content && head != null && !isEnding) {
                addContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void startCall(HttpRequest request) {
        head = request;
        body = Unpooled.buffer(0);
        isTooLarge = HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES;
        expectsContinue = HttpUtil.is100ContinueExpected(request);
        if (isTooLarge && expectsContinue) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        sendContinueIfDue();
    }

    // The interim response 100 (Continue) is a separate message and would be taken for a part of an earlier call's
    // response.
    private void sendContinueIfDue() {
        if (head != null && expectsContinue && pending.isEmpty()) {
            expectsContinue = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void addContent(HttpContent content) {
        isTooLarge |= body.readableBytes() + (long) content.content().readableBytes() > MAX_BODY_BYTES;
        if (!isTooLarge) {
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            HttpRequest completeHead = head;
            byte[] bodyBytes = ByteBufUtil.getBytes(body);
            head = null;
            body = null;
            PendingResponse pendingResponse =
                    enqueue(new PendingResponse(HttpUtil.isKeepAlive(completeHead), bodyBytes.length));
            if (isTooLarge) {
                pendingResponse.accept(
                        RpcResponse.error(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"));
            } else {
                callRunner.run(completeHead, bodyBytes, pendingResponse);
            }
        }
    }

    private PendingResponse enqueue(PendingResponse pendingResponse) {
        pending.add(pendingResponse);
        pendingBytes += pendingResponse.bodyBytes;
        isEnding |= !pendingResponse.keepAlive;
        updateAutoRead();
        return pendingResponse;
    }

    // Sends an error in the order of the responses and then closes the connection.
    private void refuse(HttpResponseStatus status, String message) {
        head = null;
        body = null;
        enqueue(new PendingResponse(false, 0)).accept(RpcResponse.error(status, message));
    }

    private void complete(PendingResponse pendingResponse, RpcResponse response) {
        if (pendingResponse.response != null || !channel.isActive()) {
            return;
        }
        pendingResponse.response = response;
        boolean hasWritten = false;
        while (!pending.isEmpty() && pending.peek().response != null) {
            PendingResponse next = pending.poll();
            pendingBytes -= next.bodyBytes;
            write(next);
            hasWritten = true;
        }
        if (hasWritten) {
            channel.flush();
            sendContinueIfDue();
            updateAutoRead();
        }
    }

    private void write(PendingResponse pendingResponse) {
        byte[] content = pendingResponse.response.body();
        DefaultFullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(pendingResponse.response.status()),
                Unpooled.wrappedBuffer(content));
        message.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        if (!pendingResponse.keepAlive) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture writeFuture = channel.write(message);
        if (!pendingResponse.keepAlive) {
            writeFuture.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void updateAutoRead() {
        boolean mayRead = pending.size() < MAX_PENDING && pendingBytes < MAX_BODY_BYTES;
        if (mayRead != channel.config().isAutoRead()) {
            channel.config().setAutoRead(mayRead);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // The caller is gone: the remaining responses are dropped.
        pending.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
