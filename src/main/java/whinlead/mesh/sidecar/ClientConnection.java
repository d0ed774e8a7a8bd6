package whinlead.mesh.sidecar;

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
import whinlead.mesh.log.GuardedTask;
import whinlead.mesh.wire.PeerMessage;

/**
 * One client's HTTP/1.1 connection: reads requests, passes them to the handler, and writes the responses in the order
 * of the requests. A request is passed on when it is complete, or before that if its body is long. Runs on its event
 * loop's thread.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements PendingResponse.Queue {
    /** Maximum number of requests pending on one connection; reading stops when it is reached. */
    private static final int MAX_PENDING_REQUESTS = 16;

    /**
     * Idle time in seconds after which a connection is closed during shutdown. A new or recently used connection may
     * still receive a request within this time.
     */
    private static final double SHUTDOWN_IDLE_S = 0.2;

    /**
     * How long the rest of a body is read and discarded after the response, in milliseconds. Closing at once would
     * reset the connection, and the client might lose the response.
     */
    private static final double DISCARD_MS = 2000;

    /** Handles requests. */
    interface RequestHandler {
        /** Handles one request, which must be answered exactly once, on this thread. */
        void handle(HttpRequest head, RequestBody body, PendingResponse response);

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

    private final RequestHandler handler;
    private final ArrayDeque<PendingResponse> pending = new ArrayDeque<>();
    private Channel channel;
    /** The head of the request that is being read; null between requests, and once the request is handled. */
    private HttpRequest requestHead;
    /** Reads the body of a request; null while none is expected. */
    private RequestBodyReader bodyReader;
    /** The response to the request whose body is still arriving; null if there is none. */
    private PendingResponse streamedResponse;

    private boolean continueExpected;
    private boolean closing;
    /** Whether the rest of a body is read only so that the client gets the response before the connection is closed. */
    private boolean discarding;
    /** The write of the last response, before whose end the connection is not closed; null until then. */
    private ChannelFuture lastWrite;

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
                discard(message);
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
            if (message instanceof HttpContent content && bodyReader != null && !closing) {
                readBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void beginRequest(HttpRequest request) {
        lastActivityMs = nowMs();
        if (!RequestValidator.isFramed(request)) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > handler.limits().bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        requestHead = request;
        headReceivedMs = lastActivityMs;
        long declaredLength = HttpUtil.getContentLength(request, PeerMessage.UNKNOWN_LENGTH);
        bodyReader = new RequestBodyReader(handler, declaredLength, this::updateAutoRead);
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

    private void readBody(HttpContent content) {
        boolean handledBefore = bodyReader.isStreamed();
        RequestBodyReader.Progress progress = bodyReader.read(content);
        lastActivityMs = nowMs();
        switch (progress) {
            case TOO_LARGE ->
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, !(content instanceof LastHttpContent));
            case OUT_OF_MEMORY -> reject(HttpResponseStatus.SERVICE_UNAVAILABLE, !(content instanceof LastHttpContent));
            case ARRIVING -> {
                if (bodyReader.isStreamed() && !handledBefore) {
                    handleRequest(false);
                }
                updateAutoRead();
            }
            case COMPLETE -> {
                if (handledBefore) {
                    completeStreamedBody();
                } else {
                    handleRequest(true);
                }
            }
            default -> throw new IllegalStateException("unknown progress " + progress);
        }
    }

    // The response may have been decided before the end of the body; then the connection can be kept after all.
    private void completeStreamedBody() {
        closing |= !streamedResponse.keepAlive();
        streamedResponse = null;
        bodyReader = null;
        updateAutoRead();
    }

    // Reads on after the response to a request whose body was not complete.
    private void discard(Object message) {
        if (discarding && message instanceof LastHttpContent) {
            lastWrite.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void closeAfterBody() {
        discarding = true;
        channel.config().setAutoRead(true);
        handler.timers().schedule(DISCARD_MS, () -> lastWrite.addListener(ChannelFutureListener.CLOSE));
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

    private void handleRequest(boolean bodyComplete) {
        HttpRequest request = requestHead;
        RequestBody body = bodyReader.body();
        PendingResponse response = new PendingResponse(
                this,
                HttpUtil.isKeepAlive(request),
                "HEAD".equals(request.method().name()),
                bodyReader.reservedBytes(),
                lastActivityMs - headReceivedMs);
        requestHead = null;
        cancelBodyTimer();
        pending.add(response);
        if (bodyComplete) {
            bodyReader = null;
            closing |= !response.keepAlive();
        } else {
            streamedResponse = response;
        }
        updateAutoRead();
        handle(request, body, response);
    }

    private void cancelBodyTimer() {
        if (bodyTimer != null) {
            bodyTimer.cancel();
            bodyTimer = null;
        }
    }

    // An exception in the handling of one request must neither leave it unanswered nor affect the others.
    private void handle(HttpRequest request, RequestBody body, PendingResponse response) {
        try {
            handler.handle(request, body, response);
        } catch (RuntimeException fault) {
            GuardedTask.log(fault);
            response.send(HttpResponseStatus.INTERNAL_SERVER_ERROR, List.of(), new byte[0]);
        }
    }

    private void reject(HttpResponseStatus status) {
        reject(status, false);
    }

    // Answers a request that can't be accepted, after the earlier responses, and closes the connection, if the client
    // is still sending the body after its end.
    private void reject(HttpResponseStatus status, boolean bodyContinues) {
        List<String> headers =
                HttpResponseStatus.SERVICE_UNAVAILABLE.equals(status) ? List.of("Retry-After", "0.5") : List.of();
        if (streamedResponse != null) {
            // The request is being handled already.
            streamedResponse.clientDisconnected();
            streamedResponse.send(status, headers, new byte[0]);
            return;
        }
        closing = true;
        requestHead = null;
        cancelBodyTimer();
        PendingResponse response = new PendingResponse(this, false, false, releasableBytes(), 0);
        bodyReader = null;
        streamedResponse = bodyContinues ? response : null;
        pending.add(response);
        response.send(status, headers, new byte[0]);
    }

    // What is reserved for a body whose request has no pending response yet.
    private int releasableBytes() {
        return bodyReader == null || streamedResponse != null ? 0 : bodyReader.reservedBytes();
    }

    private void updateAutoRead() {
        boolean wanted =
                discarding || pending.size() < MAX_PENDING_REQUESTS && (bodyReader == null || !bodyReader.isFull());
        if (wanted != autoRead) {
            autoRead = wanted;
            channel.config().setAutoRead(wanted);
        }
    }

    @Override
    public boolean isDisconnected() {
        return disconnected;
    }

    @Override
    public void responseDecided(PendingResponse response) {
        handler.release(response.reservedBytes());
        writeReadyResponses();
    }

    private void writeReadyResponses() {
        boolean wrote = false;
        while (!pending.isEmpty() && pending.peek().isDecided()) {
            PendingResponse response = pending.poll();
            FullHttpResponse httpResponse = response.httpResponse();
            boolean bodyIncomplete = response == streamedResponse;
            boolean lastResponse = bodyIncomplete
                    || !response.keepAlive()
                    || handler.shuttingDown() && pending.isEmpty() && requestHead == null;
            if (lastResponse) {
                closing = true;
                httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture writeFuture = channel.write(httpResponse);
            wrote = true;
            if (bodyIncomplete) {
                lastWrite = writeFuture;
                closeAfterBody();
                break;
            } else if (lastResponse) {
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
        handler.release(releasableBytes());
        bodyReader = null;
        for (PendingResponse response : pending) {
            if (!response.isDecided()) {
                handler.release(response.reservedBytes());
                response.clientDisconnected();
            }
        }
        pending.clear();
        disconnected = true;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A broken connection needs no log entry; an error of this program does.
        if (cause instanceof RuntimeException fault) {
            GuardedTask.log(fault);
        }
        ctx.close();
    }
}
