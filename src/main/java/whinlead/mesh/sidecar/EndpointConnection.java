package whinlead.mesh.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import whinlead.engine.Timers;
import whinlead.mesh.wire.PeerMessage;

/**
 * One connection to the endpoint, with at most one request at a time. A response belongs to the request whose attempt
 * id it repeats. Runs on its loop's thread.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    /** Largest response that is buffered, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    /** Maximum size of one part of a body that is passed on while it arrives, in bytes. */
    private static final int MAX_PART_BYTES = 64 << 10;
    /** How long after a request's deadline the endpoint's own 504 is still awaited. */
    private static final int TIMEOUT_SLACK_MS = 10;
    /** Maximum number of attempt ids remembered for each connection. */
    private static final int MAX_REMEMBERED_IDS = 64;

    private final EndpointConnections pool;
    private Channel channel;
    /** The request under way, or the one that the connection is opened for; null if it was cancelled or has ended. */
    private PeerMessage.ForwardRequest forwardRequest;
    /** The rest of a body that is passed on while it arrives; null if there is none. */
    private BodyStream body;

    private String attemptId;
    private Consumer<PeerMessage> resultListener;
    private Timers.TimerHandle responseTimer;
    private HttpResponse responseHead;
    private boolean matchesAttempt;
    private boolean informational;
    private boolean writing;
    private ByteBuf responseBody;
    private double idleSinceMs;
    private final Set<String> sentAttemptIds = new LinkedHashSet<>();

    EndpointConnection(EndpointConnections pool) {
        this.pool = pool;
    }

    // Set here and not in channelActive: listeners of the connect future are notified before that.
    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Marks the connection as opened for this request, which can be cancelled from now on. */
    void reserveFor(PeerMessage.ForwardRequest request) {
        forwardRequest = request;
    }

    /** Whether the request that the connection is opened for was cancelled. */
    boolean isCancelled() {
        return forwardRequest == null;
    }

    /** Whether a request with this attempt id was sent on the connection. */
    boolean hasSent(String id) {
        return sentAttemptIds.contains(id);
    }

    /** Whether the connection may be used again. */
    boolean isReusable() {
        return channel.isActive() && pool.timers().nowMs() - idleSinceMs < pool.reuseMs();
    }

    /** Closes the connection. */
    void close() {
        channel.close();
    }

    /**
     * Cancels a request, unless it has ended. While connecting there is no listener to notify yet; start() finds the
     * request dropped.
     *
     * @param whileRunning whether to end the request if it was already written
     */
    void cancel(PeerMessage.ForwardRequest request, boolean whileRunning) {
        if (forwardRequest == request && resultListener == null) {
            forwardRequest = null;
        } else if (forwardRequest == request && (whileRunning || body != null)) {
            // The endpoint can't run a request whose body will not be complete.
            fail(PeerMessage.FailureReason.BROKEN);
        }
    }

    /**
     * Sends a request.
     *
     * @param streamedBody the body if it is passed on while it arrives; null if the request contains it
     * @param id the attempt id, or null
     * @param deadlineMs until when a response is of use
     * @param instance the endpoint's id, which any other endpoint rejects; empty if none is known
     * @param listener gets the result exactly once
     */
    void start(
            PeerMessage.ForwardRequest request,
            BodyStream streamedBody,
            String id,
            double deadlineMs,
            String instance,
            Consumer<PeerMessage> listener) {
        forwardRequest = request;
        attemptId = id;
        resultListener = listener;
        double remainingMs = deadlineMs - pool.timers().nowMs();
        if (channel == null || !channel.isActive() || remainingMs < 1) {
            // Nothing was written. The deadline may have passed while the connection was being opened.
            boolean connected = channel != null && channel.isActive();
            reportFailure(PeerMessage.FailureReason.UNREACHED);
            if (connected) {
                returnToIdle();
            }
            return;
        }
        rememberAttemptId(id);
        HttpRequest httpRequest;
        try {
            httpRequest = streamedBody == null
                    ? EndpointRequestEncoder.encode(request, remainingMs, instance)
                    : EndpointRequestEncoder.encodeHead(request, streamedBody.length(), remainingMs, instance);
        } catch (IllegalArgumentException e) {
            // An invalid request is never written. The exception must not break the peer connection that it came
            // from.
            reportFailure(PeerMessage.FailureReason.UNREACHED);
            channel.close();
            return;
        }
        responseTimer =
                pool.timers().schedule(remainingMs + TIMEOUT_SLACK_MS, () -> fail(PeerMessage.FailureReason.LATE));
        writing = true;
        if (streamedBody == null) {
            channel.writeAndFlush(httpRequest).addListener(f -> writeCompleted(f.isSuccess()));
        } else {
            body = streamedBody;
            channel.writeAndFlush(httpRequest);
            streamedBody.open(this::writeBody);
        }
    }

    // Writes what has arrived of the body, as fast as the endpoint reads it.
    private void writeBody() {
        while (body != null && channel.isWritable()) {
            BodyStream source = body;
            BodyStream.Part part = source.take(MAX_PART_BYTES);
            if (part == null) {
                return;
            }
            ByteBuf bytes = Unpooled.wrappedBuffer(part.bytes());
            if (part.last()) {
                body = null;
                channel.writeAndFlush(new DefaultLastHttpContent(bytes))
                        .addListener(f -> writeCompleted(f.isSuccess()));
            } else {
                channel.writeAndFlush(new DefaultHttpContent(bytes));
            }
            source.release(part.bytes().length);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        writeBody();
        ctx.fireChannelWritabilityChanged();
    }

    // Returns whether the body was incomplete; the connection can't be used for anything else then.
    private boolean abandonBody() {
        BodyStream abandoned = body;
        body = null;
        if (abandoned != null) {
            abandoned.abandon();
        }
        return abandoned != null;
    }

    // An endpoint may respond before this, and read the rest of a long body only later.
    private void writeCompleted(boolean success) {
        writing = false;
        if (!success) {
            fail(PeerMessage.FailureReason.BROKEN);
        } else if (forwardRequest == null && channel.isActive()) {
            responseTimer.cancel();
            returnToIdle();
        }
    }

    private void rememberAttemptId(String id) {
        if (id != null && sentAttemptIds.add(id) && sentAttemptIds.size() > MAX_REMEMBERED_IDS) {
            sentAttemptIds.remove(sentAttemptIds.iterator().next());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                fail(PeerMessage.FailureReason.BROKEN);
                return;
            }
            if (message instanceof HttpResponse response) {
                informational =
                        HttpStatusClass.INFORMATIONAL == response.status().codeClass();
                if (!informational) {
                    beginResponse(response);
                }
            }
            if (message instanceof HttpContent content && !informational && responseHead != null) {
                appendBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    // A late response to an earlier request may arrive in place of the next; the attempt id tells them apart.
    private void beginResponse(HttpResponse response) {
        responseHead = response;
        matchesAttempt = resultListener != null
                && attemptId != null
                && attemptId.equals(response.headers().get(ForwardedHeaders.ATTEMPT_ID));
        responseBody = Unpooled.buffer(256);
    }

    private void appendBody(HttpContent content) {
        if (responseBody.readableBytes() + content.content().readableBytes() > MAX_RESPONSE_BYTES) {
            fail(PeerMessage.FailureReason.BROKEN);
            return;
        }
        responseBody.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            completeResponse();
        }
    }

    private void completeResponse() {
        HttpResponse response = responseHead;
        byte[] bytes = ByteBufUtil.getBytes(responseBody);
        responseHead = null;
        responseBody = null;
        if (!matchesAttempt) {
            if (resultListener == null && response.headers().get(ForwardedHeaders.ATTEMPT_ID) == null) {
                channel.close();
            }
            return;
        }
        boolean keepAlive =
                HttpUtil.isKeepAlive(response) && !HttpMethod.CONNECT.name().equals(forwardRequest.method());
        pool.responseReceived(response);
        PeerMessage.FailureReason rejection = ResponseValidator.rejectionReason(response);
        Consumer<PeerMessage> listener = resultListener;
        PeerMessage.ForwardRequest answeredRequest = forwardRequest;
        finishExchange(keepAlive);
        if (rejection != null) {
            listener.accept(new PeerMessage.ForwardFailure(answeredRequest.stream(), rejection, 0, 0));
        } else {
            listener.accept(new PeerMessage.ForwardResponse(
                    answeredRequest.stream(),
                    response.status().code(),
                    ForwardedHeaders.copyForwardable(response.headers(), false),
                    bytes,
                    0,
                    0));
        }
    }

    private void finishExchange(boolean keepAlive) {
        responseTimer.cancel();
        resultListener = null;
        forwardRequest = null;
        if (abandonBody() || !keepAlive || !channel.isActive()) {
            channel.close();
            return;
        }
        if (writing) {
            // The rest of the request body must be written before the connection is used again.
            responseTimer = pool.timers().schedule(pool.reuseMs(), this::close);
        } else {
            returnToIdle();
        }
    }

    private void returnToIdle() {
        idleSinceMs = pool.timers().nowMs();
        pool.returnToIdle(this);
    }

    private void fail(PeerMessage.FailureReason reason) {
        // Further content of the same read is ignored.
        responseHead = null;
        responseBody = null;
        // Reported before closing, which would otherwise be reported as a broken connection.
        reportFailure(reason);
        channel.close();
    }

    private void reportFailure(PeerMessage.FailureReason reason) {
        if (responseTimer != null) {
            responseTimer.cancel();
        }
        pool.remove(this);
        abandonBody();
        Consumer<PeerMessage> listener = resultListener;
        resultListener = null;
        if (listener != null) {
            listener.accept(new PeerMessage.ForwardFailure(forwardRequest.stream(), reason, 0, 0));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        reportFailure(PeerMessage.FailureReason.BROKEN);
    }

    // Called before channelInactive: after a reset, the end of the connection does not complete a response.
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(PeerMessage.FailureReason.BROKEN);
    }
}
