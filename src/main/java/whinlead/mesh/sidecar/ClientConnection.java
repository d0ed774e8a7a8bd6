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
    private static final int UNDER_WAY = 16;

    private static final int BAD = 400;
    private static final int TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int HEAD_TOO_LARGE = 431;
    private static final int FAULT = 500;
    private static final int NOT_NOW = 503;
    /** While it leaves, a connection that is so new or was so lately used may still bring a request. */
    private static final double LEAVING_IDLE_S = 0.2;

    /** Takes whole requests. */
    interface Taker {
        /** Takes one; it is answered once, on this thread. */
        void take(HttpRequest head, byte[] body, Turn turn);

        /** The limits in force; never null. */
        MeshConfig.Limits limits();

        /** Whether so many more bytes may be held; if so, they are until {@link #letGo}. */
        boolean hold(int bytes);

        /** They are held no more. */
        void letGo(int bytes);

        /** Whether connections are to end after the answer under way. */
        boolean leaving();

        /** How long a request with this head may be held, in milliseconds; infinite where nothing tells. */
        double mostMs(HttpRequest head);

        /** The time, and timers on this thread. */
        Timers timers();
    }

    /** One request's place in the order of answers. */
    final class Turn {
        private final boolean keep;
        private final boolean head;
        private final int held;
        /** How long it took from its head to its end, in milliseconds. */
        private final double readingMs;

        private FullHttpResponse answer;
        private Runnable gone = () -> {};

        private Turn(boolean keep, boolean head, int held, double readingMs) {
            this.keep = keep;
            this.head = head;
            this.held = held;
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

        /** Answers it; names and values in turn. */
        void answer(int status, List<String> headers, byte[] body) {
            if (answer != null || ClientConnection.this.gone) {
                return;
            }
            FullHttpResponse r = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            for (int i = 0; i + 1 < headers.size(); i += 2) {
                r.headers().add(headers.get(i), headers.get(i + 1));
            }
            if (status != 204 && status != 304 && !(head && body.length == 0)) {
                r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            answer = r;
            taker.letGo(held);
            flush();
        }
    }

    private final Taker taker;
    private final ArrayDeque<Turn> turns = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteBuf body;
    private int held;
    private boolean awaitsContinue;
    private boolean ending;
    private boolean gone;
    private boolean read = true;
    private double since;
    private double headAt;
    /** Ends a request whose body is not whole in time; null while none is awaited. */
    private Timers.Timer bodyTimer;

    ClientConnection(Taker taker) {
        this.taker = taker;
        this.since = now();
    }

    /** Puts it on a connection. What was read at once is handed in piece by piece: so the bound holds. */
    void on(Channel ch) {
        int most = taker.limits().headerBytes();
        HttpDecoderConfig config =
                new HttpDecoderConfig().setMaxInitialLineLength(most).setMaxHeaderSize(most);
        ch.pipeline().addLast(new HttpServerCodec(config), new FlowControlHandler(), this);
    }

    private double now() {
        return taker.timers().now();
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
                refuse(size ? HEAD_TOO_LARGE : BAD);
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
            refuse(BAD);
            return;
        }
        if (HttpUtil.getContentLength(r, 0L) > taker.limits().bodyBytes()) {
            refuse(TOO_LARGE);
            return;
        }
        head = r;
        headAt = since;
        body = Unpooled.buffer(0);
        held = 0;
        awaitsContinue = HttpUtil.is100ContinueExpected(r);
        goOn();
    }

    // The go-ahead is a message of its own and would be taken for a part of an earlier request's answer.
    private void goOn() {
        if (head != null && awaitsContinue && turns.isEmpty()) {
            awaitsContinue = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void more(HttpContent c) {
        int bytes = c.content().readableBytes();
        if (body.readableBytes() + (long) bytes > taker.limits().bodyBytes()) {
            refuse(TOO_LARGE);
            return;
        }
        if (bytes > 0 && !taker.hold(bytes)) {
            refuse(NOT_NOW);
            return;
        }
        held += bytes;
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
            double most = taker.mostMs(head);
            if (Double.isFinite(most)) {
                bodyTimer = taker.timers().after(headAt + most - now(), () -> refuse(TIMEOUT));
            }
        }
        ctx.fireChannelReadComplete();
    }

    private void whole() {
        HttpRequest request = head;
        byte[] bytes = ByteBufUtil.getBytes(body);
        Turn turn = new Turn(
                HttpUtil.isKeepAlive(request), "HEAD".equals(request.method().name()), held, since - headAt);
        head = null;
        body = null;
        held = 0;
        cancelBodyTimer();
        turns.add(turn);
        ending |= !turn.keep;
        reading();
        hand(request, bytes, turn);
    }

    private void cancelBodyTimer() {
        if (bodyTimer != null) {
            bodyTimer.cancel();
            bodyTimer = null;
        }
    }

    // A fault in taking one request must neither leave it unanswered nor cut off the others.
    private void hand(HttpRequest whole, byte[] bytes, Turn turn) {
        try {
            taker.take(whole, bytes, turn);
        } catch (RuntimeException fault) {
            tell(fault);
            turn.answer(FAULT, List.of(), new byte[0]);
        }
    }

    private static void tell(RuntimeException fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        Event.FAULT.log(fault + " at " + (trace.length > 0 ? trace[0] : "?"));
    }

    // An answer of our own to what can't be taken, in its turn, and the end of the connection.
    private void refuse(int status) {
        ending = true;
        head = null;
        cancelBodyTimer();
        taker.letGo(held);
        held = 0;
        Turn turn = new Turn(false, false, 0, 0);
        turns.add(turn);
        turn.answer(status, status == NOT_NOW ? List.of("Retry-After", "0.5") : List.of(), new byte[0]);
    }

    private void reading() {
        boolean want = turns.size() < UNDER_WAY;
        if (want != read) {
            read = want;
            channel.config().setAutoRead(want);
        }
    }

    private void flush() {
        boolean wrote = false;
        while (!turns.isEmpty() && turns.peek().answer != null) {
            Turn turn = turns.poll();
            FullHttpResponse answer = turn.answer;
            boolean last = !turn.keep || taker.leaving() && turns.isEmpty() && head == null;
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
            goOn();
            reading();
        }
    }

    /** Time passes: ends what stays silent, in the midst of a request or between two. */
    void tick() {
        double waited = (now() - since) / 1000;
        if (channel == null || !turns.isEmpty() || ending) {
            return;
        }
        if (head != null) {
            if (waited > taker.limits().headerS() * 2) {
                refuse(TIMEOUT);
            }
        } else if (waited > (taker.leaving() ? LEAVING_IDLE_S : taker.limits().idleS())) {
            ending = true;
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelBodyTimer();
        taker.letGo(held);
        held = 0;
        for (Turn turn : turns) {
            if (turn.answer == null) {
                taker.letGo(turn.held);
                turn.gone.run();
            }
        }
        turns.clear();
        gone = true;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A connection that breaks is its client's affair; a fault of this program is told.
        if (cause instanceof RuntimeException fault) {
            tell(fault);
        }
        ctx.close();
    }
}
