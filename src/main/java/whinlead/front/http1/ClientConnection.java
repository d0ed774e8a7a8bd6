package whinlead.front.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import whinlead.engine.Clock;
import whinlead.engine.Engine;
import whinlead.engine.ResponseSink;
import whinlead.http.Decimals;
import whinlead.http.EndpointResponse;
import whinlead.http.HttpCall;

/**
 * One connection from the application and the one request that it may carry at a time. A bad request is answered as
 * soon as its head shows that, and ends the connection: nobody knows where the next one would begin.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> implements ResponseSink<EndpointResponse> {
    /** What the connection is about; {@link #since} tells for how long. */
    enum Phase {
        /** It has sent nothing yet. */
        SILENT,
        /** It has had an answer and has sent nothing since. */
        IDLE,
        /** A request has begun to come. */
        RECEIVING,
        /** The engine holds its request. */
        OPEN,
        /** An answer is being written. */
        ANSWERING,
        /** A last answer is being written, or has been; what comes is no longer read. */
        ENDING
    }

    private static final String READY_PATH = "/health/ready";
    /** How long a client that still sends is given to read its last answer before the connection is reset. */
    private static final long LINGER_MS = 300;

    private final ClientServer server;
    private final Clock clock;
    private final Decoder decoder = new Decoder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Channel channel;
    private Phase phase = Phase.SILENT;
    private double since;
    private boolean first = true;
    private HttpRequest head;
    private RequestCheck.Checked checked;
    private boolean complete;
    private Engine.PendingRequest<EndpointResponse> held;
    private String heldId;

    ClientConnection(ClientServer server, Clock clock) {
        this.server = server;
        this.clock = clock;
    }

    /** Guards against request smuggling: Netty by itself drops the length and believes the chunks. */
    private static final class Decoder extends HttpRequestDecoder {
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
        }

        private int heads;

        @Override
        protected HttpMessage createMessage(String[] initialLine) throws Exception {
            heads++;
            return super.createMessage(initialLine);
        }

        // True if something follows the request: a second head that has begun, or bytes that are none.
        private boolean holdsMore() {
            return heads > 1 || actualReadableBytes() > 0;
        }
    }

    /** Sees bytes before they are decoded, also those that never make a request. */
    private final class Bytes extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (phase == Phase.SILENT || phase == Phase.IDLE) {
                enter(Phase.RECEIVING);
            }
            if (phase == Phase.RECEIVING) {
                ctx.fireChannelRead(message);
                return;
            }
            ((ByteBuf) message).release();
            // One request at a time: what comes before its answer makes it unclear what is asked.
            if (phase == Phase.OPEN) {
                reject(HttpResponseStatus.BAD_REQUEST);
            } else if (phase == Phase.ANSWERING) {
                channel.close();
            }
        }
    }

    /** Sets up the pipeline of a connection just accepted. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new Bytes(), decoder, new HttpResponseEncoder(), new HttpServerExpectContinueHandler(), this);
    }

    Phase phase() {
        return phase;
    }

    /** When it came into its phase; a first request is to come whole within a time that begins with the connection. */
    double since() {
        return since;
    }

    /** True while a drain must wait for it. */
    boolean busy() {
        return phase != Phase.SILENT && phase != Phase.IDLE;
    }

    /** Ends it at once, also for whoever looks for the next one to end: its channel tells so only in a later turn. */
    void close() {
        enter(Phase.ENDING);
        channel.close();
        server.closed(this);
    }

    private void enter(Phase next) {
        // Guards against a client that says nothing for a while and then little: both together are bounded.
        if (next != Phase.RECEIVING || !first) {
            since = clock.nowMs();
        }
        phase = next;
        server.entered(this, phase, since);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        enter(Phase.SILENT);
        server.opened(this, channel.remoteAddress());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        enter(Phase.ENDING);
        giveUp();
        server.closed(this);
    }

    private void giveUp() {
        Engine.PendingRequest<EndpointResponse> gone = held;
        letGo();
        if (gone != null) {
            gone.abandon();
        }
    }

    private void letGo() {
        held = null;
        if (heldId != null) {
            server.ended(heldId);
            heldId = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
        if (phase != Phase.RECEIVING) {
            return;
        }
        if (complete || message.decoderResult().isFailure()) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (message instanceof HttpRequest request) {
            try {
                check(request);
            } catch (RequestCheck.Rejected e) {
                reject(e.status());
                return;
            }
        }
        if (message instanceof HttpContent part) {
            ByteBuf bytes = part.content();
            if (body.size() + bytes.readableBytes() > HttpCall.MAX_BODY_BYTES) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                return;
            }
            bytes.readBytes(body, bytes.readableBytes());
            complete = part instanceof LastHttpContent;
        }
    }

    private void check(HttpRequest request) throws RequestCheck.Rejected {
        head = request;
        RequestCheck.framing(request);
        checked = RequestCheck.path(request).equals(READY_PATH)
                ? null
                : server.check().application(request);
    }

    // Only when all that came in one pass has been looked at is it clear that nothing follows the request.
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (phase != Phase.RECEIVING || !complete) {
            return;
        }
        if (decoder.holdsMore()) {
            reject(HttpResponseStatus.BAD_REQUEST);
        } else if (checked == null) {
            health();
        } else {
            take();
        }
    }

    private void health() {
        if (!head.method().equals(HttpMethod.GET)) {
            reject(HttpResponseStatus.METHOD_NOT_ALLOWED);
        } else {
            write(response(server.serving() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE));
        }
    }

    private void take() {
        RequestCheck.Checked request = checked;
        // Guards against running what another client has asked for twice: an id that is open is not new.
        if (!server.begun(request.id())) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        heldId = request.id();
        server.asked(this, true);
        if (server.failing()) {
            failed();
            return;
        }
        enter(Phase.OPEN);
        Engine.PendingRequest<EndpointResponse> taken = server.take(
                request.ask(),
                new HttpCall(request.method(), request.uri(), request.headers(), body.toByteArray()),
                this);
        body.reset();
        // The answer may have gone out already.
        if (phase == Phase.OPEN) {
            held = taken;
        }
    }

    @Override
    public void served(EndpointResponse answer) {
        FullHttpResponse response = response(HttpResponseStatus.OK, answer.body());
        if (answer.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
        write(response);
    }

    @Override
    public void refused(double retryAfter) {
        FullHttpResponse response = response(HttpResponseStatus.SERVICE_UNAVAILABLE);
        if (retryAfter > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Decimals.seconds(retryAfter));
        }
        write(response);
    }

    @Override
    public void failed() {
        write(response(HttpResponseStatus.BAD_GATEWAY));
    }

    /** Answers that no whole request came in time. */
    void tooSlow() {
        reject(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    private void reject(HttpResponseStatus status) {
        server.asked(this, false);
        enter(Phase.ENDING);
        giveUp();
        end(response(status));
    }

    private static FullHttpResponse response(HttpResponseStatus status) {
        return response(status, new byte[0]);
    }

    private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    private void write(FullHttpResponse response) {
        letGo();
        if (!HttpUtil.isKeepAlive(head) || server.draining()) {
            enter(Phase.ENDING);
            end(response);
            return;
        }
        enter(Phase.ANSWERING);
        channel.writeAndFlush(response).addListener(f -> {
            if (phase == Phase.ANSWERING) {
                first = false;
                head = null;
                checked = null;
                complete = false;
                decoder.heads = 0;
                enter(Phase.IDLE);
            }
        });
    }

    private void end(FullHttpResponse response) {
        HttpUtil.setKeepAlive(response, false);
        // Guards against reading on a huge body, and against the reset that would take away the answer to
        // it: what still comes stays unread until the client has had time to see why.
        boolean more = !complete;
        channel.config().setAutoRead(!more);
        ChannelFuture written = channel.writeAndFlush(response);
        written.addListener(f -> {
            if (more && f.isSuccess() && channel instanceof DuplexChannel duplex) {
                duplex.shutdownOutput();
                channel.eventLoop().schedule(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
            } else {
                channel.close();
            }
        });
    }
}
