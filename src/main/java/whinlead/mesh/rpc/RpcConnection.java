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
 * One caller's connection: reads whole calls and writes their answers in the order of the calls, whatever order they
 * come in (HTTP/1.1 pipelining). Reading stops while {@link #MAX_PENDING} calls, or bodies of {@link #MAX_BODY_BYTES}
 * bytes, wait for their answers; it needs a flow control handler in front for that. On the loop's thread; answers may
 * come from any.
 */
final class RpcConnection extends ChannelInboundHandlerAdapter {
    /** Calls of one connection that are under way at a time. */
    static final int MAX_PENDING = 16;
    /** The largest body that is read, in bytes. */
    static final int MAX_BODY_BYTES = 8 << 20;

    /** Runs whole calls. */
    interface Calls {
        /** Runs one; it may be answered at once or later, on any thread. */
        void run(HttpRequest head, byte[] body, Consumer<RpcResponse> answer);
    }

    /** One call's place in the order of answers. */
    private final class PendingResponse implements Consumer<RpcResponse> {
        private final boolean keep;
        private final int bytes;
        private RpcResponse answer;

        private PendingResponse(boolean keep, int bytes) {
            this.keep = keep;
            this.bytes = bytes;
        }

        @Override
        public void accept(RpcResponse a) {
            if (channel.eventLoop().inEventLoop()) {
                answered(this, a);
            } else {
                channel.eventLoop().execute(() -> answered(this, a));
            }
        }
    }

    private final Calls calls;
    private final ArrayDeque<PendingResponse> pending = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteBuf body;
    private boolean tooLarge;
    private boolean awaitsContinue;
    private int bytesUnderWay;
    private boolean ending;

    RpcConnection(Calls calls) {
        this.calls = calls;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (ending) {
                return;
            }
            if (message instanceof HttpObject o && o.decoderResult().isFailure()) {
                refuse(HttpResponseStatus.BAD_REQUEST, "the call can't be read");
                return;
            }
            if (message instanceof HttpRequest r) {
                begin(r);
            }
            if (message instanceof HttpContent c && head != null && !ending) {
                more(c);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest r) {
        head = r;
        body = Unpooled.buffer(0);
        tooLarge = HttpUtil.getContentLength(r, 0L) > MAX_BODY_BYTES;
        awaitsContinue = HttpUtil.is100ContinueExpected(r);
        if (tooLarge && awaitsContinue) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        sendContinueIfDue();
    }

    // The go-ahead is a message of its own and would be taken for a part of an earlier call's answer.
    private void sendContinueIfDue() {
        if (head != null && awaitsContinue && pending.isEmpty()) {
            awaitsContinue = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void more(HttpContent c) {
        tooLarge |= body.readableBytes() + (long) c.content().readableBytes() > MAX_BODY_BYTES;
        if (!tooLarge) {
            body.writeBytes(c.content());
        }
        if (c instanceof LastHttpContent) {
            HttpRequest whole = head;
            byte[] bytes = ByteBufUtil.getBytes(body);
            head = null;
            body = null;
            PendingResponse response = begun(new PendingResponse(HttpUtil.isKeepAlive(whole), bytes.length));
            if (tooLarge) {
                response.accept(
                        RpcResponse.error(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"));
            } else {
                calls.run(whole, bytes, response);
            }
        }
    }

    private PendingResponse begun(PendingResponse response) {
        pending.add(response);
        bytesUnderWay += response.bytes;
        ending |= !response.keep;
        updateAutoRead();
        return response;
    }

    // An answer to what can't be taken, in its response, and the end of the connection.
    private void refuse(HttpResponseStatus status, String why) {
        head = null;
        body = null;
        begun(new PendingResponse(false, 0)).accept(RpcResponse.error(status, why));
    }

    private void answered(PendingResponse response, RpcResponse a) {
        if (response.answer != null || !channel.isActive()) {
            return;
        }
        response.answer = a;
        boolean wrote = false;
        while (!pending.isEmpty() && pending.peek().answer != null) {
            PendingResponse next = pending.poll();
            bytesUnderWay -= next.bytes;
            write(next);
            wrote = true;
        }
        if (wrote) {
            channel.flush();
            sendContinueIfDue();
            updateAutoRead();
        }
    }

    private void write(PendingResponse response) {
        byte[] content = response.answer.body();
        DefaultFullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.answer.status()),
                Unpooled.wrappedBuffer(content));
        message.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        if (!response.keep) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture sent = channel.write(message);
        if (!response.keep) {
            sent.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void updateAutoRead() {
        boolean want = pending.size() < MAX_PENDING && bytesUnderWay < MAX_BODY_BYTES;
        if (want != channel.config().isAutoRead()) {
            channel.config().setAutoRead(want);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // Who called is gone: what is still answered has nowhere to go.
        pending.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
