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
 * One client's HTTP/1.1 connection: reads complete requests, passes them to the handler, and writes the responses in
 * the order of the requests. Runs on its event loop's thread.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Maximum number of requests pending on one connection; reading stops when it is reached. */
    private static final int MAX_PENDING_REQUESTS = 16;

    /**
     * Idle time in seconds after which a connection is closed during shutdown. A new or recently used connection may
     * still receive a request within this time.
     */
    private static final double SHUTDOWN_IDLE_S = 0.2;

    /** Handles complete requests. */
    interface RequestHandler {
        /** Handles one request, which must be answered exactly once, on this thread. */
        void handle(HttpRequest head, byte[] body, PendingResponse response);

        /** The limits in force; never null. */
        MeshConfig.Limits limits();

        /** Whether this many more bytes may be buffered; if so, they are reserved until {@link #release}. */
        boolean tryReserve(int bytes);

        /** Releases reserved bytes. */
        void release(int bytes);

        /** Whether connections are to be closed after their pending responses. */
        boolean shuttingDown();

        /** How long a request with this head may be held, in milliseconds; infinite if no limit is known. */
        double timeoutMs(HttpRequest head);

        /** The clock, and timers that run on this thread. */
        Timers timers();
    }

    /** The response to one request. Responses are sent in the order of their requests. */
    final class PendingResponse {
        private final boolean keepAlive;
        private final boolean headRequest;
        private final int reservedBytes;
        /** Time from the head to the end of the request, in milliseconds. */
        private final double readDurationMs;

        private FullHttpResponse httpResponse;
        private Runnable disconnectListener = () -> {};

        private PendingResponse(boolean keepAlive, boolean headRequest, int reservedBytes, double readDurationMs) {
            this.keepAlive = keepAlive;
            this.headRequest = headRequest;
            this.reservedBytes = reservedBytes;
            this.readDurationMs = readDurationMs;
        }

        /** Time it took to read the request, from its head to its end, in milliseconds. */
        double readDurationMs() {
            return readDurationMs;
        }

        /** Sets the listener that runs if the client disconnects before the response is sent. */
        void onClientDisconnect(Runnable listener) {
            disconnectListener = listener;
        }

        /**
         * Sends the response as soon as all earlier ones are sent.
         *
         * @param headers names and values alternating
         */
        void send(HttpResponseStatus status, List<String> headers, byte[] body) {
            if (httpResponse != null || ClientConnection.this.disconnected) {
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
            handler.release(reservedBytes);
            writeReadyResponses();
        }
    }

    private final RequestHandler handler;
    private final ArrayDeque<PendingResponse> pending = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest requestHead;
    private ByteBuf requestBody;
    private int reservedBytes;
    private boolean continueExpected;
    private boolean closing;
    private boolean disconnected;
    private boolean autoRead = true;
    private double lastActivityMs;
    private double headReceivedMs;
    /** Rejects a request whose body does not arrive in time; null while no body is awaited. */
    private Timers.TimerHandle bodyTimer;

    ClientConnection(RequestHandler handler) {
        this.handler = handler;
        this.lastActivityMs = nowMs();
    }

    /**
     * Adds this handler and the codec to a channel. The flow control handler passes on what one read decoded message by
     * message, so that {@link #MAX_PENDING_REQUESTS} holds.
     */
    void addTo(Channel newChannel) {
        int maxHeaderBytes = handler.limits().headerBytes();
        HttpDecoderConfig config =
                new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes);
        newChannel.pipeline().addLast(new HttpServerCodec(config), new FlowControlHandler(), this);
    }

    private double nowMs() {
        return handler.timers().nowMs();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (closing) {
                return;
            }
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                boolean tooLarge = object.decoderResult().cause() instanceof TooLongFrameException;
                reject(tooLarge ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (message instanceof HttpRequest request) {
                beginRequest(request);
            }
            if (message instanceof HttpContent content && requestHead != null && !closing) {
                appendBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void beginRequest(HttpRequest request) {
        lastActivityMs = nowMs();
        boolean multipleLengths =
                request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
        boolean lengthAndCoding = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean unsupportedCoding = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && !HttpUtil.isTransferEncodingChunked(request);
        // Request smuggling: if the end of a request is ambiguous, another request may be hidden behind it.
        if (multipleLengths
                || lengthAndCoding
                || unsupportedCoding
                || !HttpVersion.HTTP_1_1.equals(request.protocolVersion())) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > handler.limits().bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        requestHead = request;
        headReceivedMs = lastActivityMs;
        requestBody = Unpooled.buffer(0);
        reservedBytes = 0;
        continueExpected = HttpUtil.is100ContinueExpected(request);
        sendContinueIfDue();
    }

    // A 100 Continue is a separate message; sent too early, the client would take it for part of an earlier response.
    private void sendContinueIfDue() {
        if (requestHead != null && continueExpected && pending.isEmpty()) {
            continueExpected = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void appendBody(HttpContent content) {
        int byteCount = content.content().readableBytes();
        if (requestBody.readableBytes() + (long) byteCount > handler.limits().bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (byteCount > 0 && !handler.tryReserve(byteCount)) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        reservedBytes += byteCount;
        requestBody.writeBytes(content.content());
        lastActivityMs = nowMs();
        if (content instanceof LastHttpContent) {
            completeRequest();
        }
    }

    // Most requests arrive completely in one read and need no timer.
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (requestHead != null && bodyTimer == null) {
            double timeoutMs = handler.timeoutMs(requestHead);
            if (Double.isFinite(timeoutMs)) {
                bodyTimer = handler.timers()
                        .schedule(
                                headReceivedMs + timeoutMs - nowMs(), () -> reject(HttpResponseStatus.REQUEST_TIMEOUT));
            }
        }
        ctx.fireChannelReadComplete();
    }

    private void completeRequest() {
        HttpRequest request = requestHead;
        byte[] bytes = ByteBufUtil.getBytes(requestBody);
        PendingResponse response = new PendingResponse(
                HttpUtil.isKeepAlive(request),
                "HEAD".equals(request.method().name()),
                reservedBytes,
                lastActivityMs - headReceivedMs);
        requestHead = null;
        requestBody = null;
        reservedBytes = 0;
        cancelBodyTimer();
        pending.add(response);
        closing |= !response.keepAlive;
        updateAutoRead();
        handle(request, bytes, response);
    }

    private void cancelBodyTimer() {
        if (bodyTimer != null) {
            bodyTimer.cancel();
            bodyTimer = null;
        }
    }

    // An exception in the handling of one request must neither leave it unanswered nor affect the others.
    private void handle(HttpRequest request, byte[] bytes, PendingResponse response) {
        try {
            handler.handle(request, bytes, response);
        } catch (RuntimeException fault) {
            logFault(fault);
            response.send(HttpResponseStatus.INTERNAL_SERVER_ERROR, List.of(), new byte[0]);
        }
    }

    private static void logFault(RuntimeException fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        Event.INTERNAL_ERROR.log(fault + " at " + (trace.length > 0 ? trace[0] : "?"));
    }

    // Answers a request that can't be accepted, after the earlier responses, and closes the connection.
    private void reject(HttpResponseStatus status) {
        closing = true;
        requestHead = null;
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
        boolean wanted = pending.size() < MAX_PENDING_REQUESTS;
        if (wanted != autoRead) {
            autoRead = wanted;
            channel.config().setAutoRead(wanted);
        }
    }

    private void writeReadyResponses() {
        boolean wrote = false;
        while (!pending.isEmpty() && pending.peek().httpResponse != null) {
            PendingResponse response = pending.poll();
            FullHttpResponse httpResponse = response.httpResponse;
            boolean lastResponse =
                    !response.keepAlive || handler.shuttingDown() && pending.isEmpty() && requestHead == null;
            if (lastResponse) {
                closing = true;
                httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture writeFuture = channel.write(httpResponse);
            wrote = true;
            if (lastResponse) {
                writeFuture.addListener(ChannelFutureListener.CLOSE);
                break;
            }
        }
        lastActivityMs = nowMs();
        if (wrote) {
            channel.flush();
            sendContinueIfDue();
            updateAutoRead();
        }
    }

    /** Called periodically: closes the connection if it is silent for too long within a request or between requests. */
    void tick() {
        double inactiveS = (nowMs() - lastActivityMs) / 1000;
        if (channel == null || !pending.isEmpty() || closing) {
            return;
        }
        if (requestHead != null) {
            if (inactiveS > handler.limits().headerS() * 2) {
                reject(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (inactiveS
                > (handler.shuttingDown() ? SHUTDOWN_IDLE_S : handler.limits().idleS())) {
            closing = true;
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelBodyTimer();
        handler.release(reservedBytes);
        reservedBytes = 0;
        for (PendingResponse response : pending) {
            if (response.httpResponse == null) {
                handler.release(response.reservedBytes);
                response.disconnectListener.run();
            }
        }
        pending.clear();
        disconnected = true;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A broken connection needs no log entry; an error of this program does.
        if (cause instanceof RuntimeException fault) {
            logFault(fault);
        }
        ctx.close();
    }
}
