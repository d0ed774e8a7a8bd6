package whinlead.mesh.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.List;
import whinlead.engine.Timers;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.log.Event;

/**
 * One client's connection: reads whole requests, hands them in, and returns the answers in the same order. On its
 * loop's thread.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Requests of one connection that are under way at a time; reading stops at so many. */
    private static final int MAX_PENDING = 16;

    /** While it leaves, a connection that is so new or was so lately used may still bring a request. */
    private static final double LEAVING_IDLE_S = 0.2;

    /** Handles whole requests. */
    interface RequestHandler {
        /** Handles one; it is answered once, on this thread. */
        void handle(HttpRequest head, byte[] body, PendingResponse response);

        /** The limits in force; never null. */
        MeshConfig.Limits limits();

        /** Whether so many more bytes may be held; if so, they are reserved until {@link #release}. */
        boolean tryReserve(int bytes);

        /** They are reserved no more. */
        void release(int bytes);

        /** Whether connections are to end after the answer under way. */
        boolean leaving();

        /** How long a request with this head may be held, in milliseconds; infinite where nothing tells. */
        double timeoutMs(HttpRequest head);

        /** The time, and timers on this thread. */
        Timers timers();
    }

    /** A request's response, in the order in which responses are sent. */
    final class PendingResponse {
        private final boolean keep;
        private final boolean head;
        private final int reservedBytes;
        /** How long it took from its head to its end, in milliseconds. */
        private final double readingMs;

        private FullHttpResponse answer;
        private Runnable gone = () -> {};

        private PendingResponse(boolean keep, boolean head, int reservedBytes, double readingMs) {
            this.keep = keep;
            this.head = head;
            this.reservedBytes = reservedBytes;
            this.readingMs = readingMs;
        }

        /** How long it took to read, from its head to its end, in milliseconds. */
        double readingMs() {
            return readingMs;
        }

        /** Has this run if the client goes away before the answer. */
        void onGone(Runnable task) {
            gone = task;
        }

        /** Sends it as soon as those before it are sent; names and values of headers in turn. */
        void send(HttpResponseStatus status, List<String> headers, byte[] body) {
            if (answer != null || ClientConnection.this.gone) {
                return;
            }
            FullHttpResponse r =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            for (int i = 0; i + 1 < headers.size(); i += 2) {
                r.headers().add(headers.get(i), headers.get(i + 1));
            }
            if (!HttpResponseStatus.NO_CONTENT.equals(status)
                    && !HttpResponseStatus.NOT_MODIFIED.equals(status)
                    && !(head && body.length == 0)) {
                r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            answer = r;
            handler.release(reservedBytes);
            flush();
        }
    }

    private final RequestHandler handler;
    private final ArrayDeque<PendingResponse> pending = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteBuf body;
    private int reservedBytes;
    private boolean awaitsContinue;
    private boolean ending;
    private boolean gone;
    private boolean read = true;
    private double since;
    private double headAt;
    /** Ends a request whose body is not whole in time; null while none is awaited. */
    private Timers.Timer bodyTimer;

    ClientConnection(RequestHandler handler) {
        this.handler = handler;
        this.since = now();
    }

    /** Puts it on a connection. What was read at once is handed in piece by piece: so the bound holds. */
    void on(Channel ch) {
        int most = handler.limits().headerBytes();
        HttpDecoderConfig config =
                new HttpDecoderConfig().setMaxInitialLineLength(most).setMaxHeaderSize(most);
        ch.pipeline().addLast(new HttpServerCodec(config), new FlowControlHandler(), this);
    }

    private double now() {
        return handler.timers().now();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (ending) {
                return;
            }
            if (message instanceof HttpObject o && o.decoderResult().isFailure()) {
                boolean size = o.decoderResult().cause() instanceof TooLongFrameException;
                refuse(size ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
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
        since = now();
        boolean lengths = r.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
        boolean both = r.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && r.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean coded =
                r.headers().contains(HttpHeaderNames.TRANSFER_ENCODING) && !HttpUtil.isTransferEncodingChunked(r);
        // Where its end is in doubt, another request may hide behind it.
        if (lengths || both || coded || !HttpVersion.HTTP_1_1.equals(r.protocolVersion())) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (HttpUtil.getContentLength(r, 0L) > handler.limits().bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        head = r;
        headAt = since;
        body = Unpooled.buffer(0);
        reservedBytes = 0;
        awaitsContinue = HttpUtil.is100ContinueExpected(r);
        sendContinueIfDue();
    }

    // The go-ahead is a message of its own and would be taken for a part of an earlier request's answer.
    private void sendContinueIfDue() {
        if (head != null && awaitsContinue && pending.isEmpty()) {
            awaitsContinue = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void more(HttpContent c) {
        int bytes = c.content().readableBytes();
        if (body.readableBytes() + (long) bytes > handler.limits().bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (bytes > 0 && !handler.tryReserve(bytes)) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        reservedBytes += bytes;
        body.writeBytes(c.content());
        since = now();
        if (c instanceof LastHttpContent) {
            whole();
        }
    }

    // Most requests come whole in one read and need no timer.
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (head != null && bodyTimer == null) {
            double most = handler.timeoutMs(head);
            if (Double.isFinite(most)) {
                bodyTimer =
                        handler.timers().after(headAt + most - now(), () -> refuse(HttpResponseStatus.REQUEST_TIMEOUT));
            }
        }
        ctx.fireChannelReadComplete();
    }

    private void whole() {
        HttpRequest request = head;
        byte[] bytes = ByteBufUtil.getBytes(body);
        PendingResponse response = new PendingResponse(
                HttpUtil.isKeepAlive(request), "HEAD".equals(request.method().name()), reservedBytes, since - headAt);
        head = null;
        body = null;
        reservedBytes = 0;
        cancelBodyTimer();
        pending.add(response);
        ending |= !response.keep;
        updateAutoRead();
        handle(request, bytes, response);
    }

    private void cancelBodyTimer() {
        if (bodyTimer != null) {
            bodyTimer.cancel();
            bodyTimer = null;
        }
    }

    // A fault in taking one request must neither leave it unanswered nor cut off the others.
    private void handle(HttpRequest whole, byte[] bytes, PendingResponse response) {
        try {
            handler.handle(whole, bytes, response);
        } catch (RuntimeException fault) {
            log(fault);
            response.send(HttpResponseStatus.INTERNAL_SERVER_ERROR, List.of(), new byte[0]);
        }
    }

    private static void log(RuntimeException fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        Event.FAULT.log(fault + " at " + (trace.length > 0 ? trace[0] : "?"));
    }

    // An answer of our own to what can't be taken, in its turn, and the end of the connection.
    private void refuse(HttpResponseStatus status) {
        ending = true;
        head = null;
        cancelBodyTimer();
        handler.release(reservedBytes);
        reservedBytes = 0;
        PendingResponse response = new PendingResponse(false, false, 0, 0);
        pending.add(response);
        response.send(
                status,
                HttpResponseStatus.SERVICE_UNAVAILABLE.equals(status) ? List.of("Retry-After", "0.5") : List.of(),
                new byte[0]);
    }

    private void updateAutoRead() {
        boolean want = pending.size() < MAX_PENDING;
        if (want != read) {
            read = want;
            channel.config().setAutoRead(want);
        }
    }

    private void flush() {
        boolean wrote = false;
        while (!pending.isEmpty() && pending.peek().answer != null) {
            PendingResponse response = pending.poll();
            FullHttpResponse answer = response.answer;
            boolean last = !response.keep || handler.leaving() && pending.isEmpty() && head == null;
            if (last) {
                ending = true;
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture sent = channel.write(answer);
            wrote = true;
            if (last) {
                sent.addListener(ChannelFutureListener.CLOSE);
                break;
            }
        }
        since = now();
        if (wrote) {
            channel.flush();
            sendContinueIfDue();
            updateAutoRead();
        }
    }

    /** Time passes: ends what stays silent, in the midst of a request or between two. */
    void tick() {
        double waited = (now() - since) / 1000;
        if (channel == null || !pending.isEmpty() || ending) {
            return;
        }
        if (head != null) {
            if (waited > handler.limits().headerS() * 2) {
                refuse(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (waited
                > (handler.leaving() ? LEAVING_IDLE_S : handler.limits().idleS())) {
            ending = true;
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelBodyTimer();
        handler.release(reservedBytes);
        reservedBytes = 0;
        for (PendingResponse response : pending) {
            if (response.answer == null) {
                handler.release(response.reservedBytes);
                response.gone.run();
            }
        }
        pending.clear();
        gone = true;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A connection that breaks is its client's affair; a fault of this program is told.
        if (cause instanceof RuntimeException fault) {
            log(fault);
        }
        ctx.close();
    }
}
