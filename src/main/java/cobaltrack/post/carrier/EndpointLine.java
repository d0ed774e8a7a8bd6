package cobaltrack.post.carrier;

import cobaltrack.post.wire.Letter;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Connections to the endpoint beside this sidecar, and what became of a request there: has run, may have run,
 * has not. An answer is passed on only when it is whole and this request's own. On its loop's thread.
 */
final class EndpointLine {
    /** The largest answer that is held, in bytes. */
    private static final int ANSWER_MOST = 16 << 20;
    private static final int CONNECT_MS = 800;
    /** Taken off what the endpoint is told: for its answer's way back. */
    private static final int BACK_MS = 15;
    /** How long after its time an endpoint's own 504 may still come. */
    private static final int SLACK_MS = 10;
    /** Of the idle time that the endpoint keeps a connection, the part in which it is used again. */
    private static final double IDLE_PART = 0.6;
    /** The idle time where the endpoint tells none, in milliseconds. */
    private static final double IDLE_MS = 4000;
    private static final double NANOS = 1e6;

    private final EventLoop loop;
    private final SocketAddress address;
    private final ArrayDeque<Wire> idle = new ArrayDeque<>();
    private double idleMs = IDLE_MS;

    EndpointLine(EventLoop loop, SocketAddress address) {
        this.loop = loop;
        this.address = address;
    }

    private static double now() {
        return System.nanoTime() / NANOS;
    }

    /**
     * Sends a request; {@code done} gets the answer, a {@link Letter.Delivered} or {@link Letter.Returned}
     * with no figures of load, once.
     */
    void send(Letter.Parcel parcel, String instance, Consumer<Letter> done) {
        Wire wire = null;
        while (wire == null && !idle.isEmpty()) {
            wire = idle.pollLast();
            if (!wire.usable()) {
                wire.close();
                wire = null;
            }
        }
        if (wire != null) {
            wire.ask(parcel, instance, done);
            return;
        }
        Wire made = new Wire();
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), made);
                    }
                }).connect(address).addListener(f -> {
                    if (f.isSuccess()) {
                        made.ask(parcel, instance, done);
                    } else {
                        done.accept(new Letter.Returned(parcel.stream(), Letter.Why.UNREACHED, 0, 0));
                    }
                });
    }

    /** Closes connections that have been idle for too long to be used again. */
    void tick() {
        while (!idle.isEmpty() && !idle.peekFirst().usable()) {
            idle.pollFirst().close();
        }
    }

    /** Closes all that are idle: the endpoint has left. */
    void clear() {
        while (!idle.isEmpty()) {
            idle.pollFirst().close();
        }
    }

    private final class Wire extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private Letter.Parcel parcel;
        private String attempt;
        private Consumer<Letter> done;
        private Future<?> timer;
        private HttpResponse head;
        private boolean ours;
        private boolean interim;
        private ByteBuf body;
        private double idleSince;

        // Not when it is active: who waits for the connect is told before that.
        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        boolean usable() {
            return channel.isActive() && now() - idleSince < idleMs * IDLE_PART;
        }

        void close() {
            channel.close();
        }

        void ask(Letter.Parcel sent, String instance, Consumer<Letter> whenDone) {
            parcel = sent;
            done = whenDone;
            if (channel == null || !channel.isActive()) {
                end(Letter.Why.UNREACHED);
                return;
            }
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(sent.method()), sent.uri(), Unpooled.wrappedBuffer(sent.body()));
            attempt = null;
            List<String> headers = sent.headers();
            for (int i = 0; i + 1 < headers.size(); i += 2) {
                request.headers().add(headers.get(i), headers.get(i + 1));
                if (headers.get(i).equalsIgnoreCase(Headers.ATTEMPT)) {
                    attempt = headers.get(i + 1);
                }
            }
            request.headers().set(Headers.DEADLINE, Integer.toString(Math.max(1, sent.leftMs() - BACK_MS)));
            if (!instance.isEmpty()) {
                request.headers().set(Headers.INSTANCE, instance);
            }
            boolean bodied = sent.body().length > 0 || !HttpMethod.GET.name().equals(sent.method())
                    && !HttpMethod.HEAD.name().equals(sent.method());
            if (bodied) {
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, sent.body().length);
            }
            timer = loop.schedule(() -> spoilt(Letter.Why.LATE), sent.leftMs() + SLACK_MS,
                    TimeUnit.MILLISECONDS);
            channel.writeAndFlush(request, channel.voidPromise());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (message instanceof HttpObject o && o.decoderResult().isFailure()) {
                    spoilt(Letter.Why.BROKEN);
                    return;
                }
                if (message instanceof HttpResponse r) {
                    interim = HttpStatusClass.INFORMATIONAL == r.status().codeClass();
                    if (!interim) {
                        begin(r);
                    }
                }
                if (message instanceof HttpContent c && !interim && head != null) {
                    more(c);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        // An answer to an earlier request may come late, in the place of the next: its id tells it.
        private void begin(HttpResponse r) {
            head = r;
            ours = done != null && attempt != null && attempt.equals(r.headers().get(Headers.ATTEMPT));
            body = Unpooled.buffer(256);
            boolean framed = HttpUtil.isContentLengthSet(r) ^ HttpUtil.isTransferEncodingChunked(r);
            if (!framed && r.status().code() != 204 && r.status().code() != 304) {
                // Its end could not be told from a break.
                spoilt(Letter.Why.BROKEN);
            }
        }

        private void more(HttpContent c) {
            if (body.readableBytes() + c.content().readableBytes() > ANSWER_MOST) {
                spoilt(Letter.Why.BROKEN);
                return;
            }
            body.writeBytes(c.content());
            if (c instanceof LastHttpContent) {
                whole();
            }
        }

        private void whole() {
            HttpResponse answer = head;
            byte[] bytes = ByteBufUtil.getBytes(body);
            head = null;
            body = null;
            if (!ours) {
                if (done == null && answer.headers().get(Headers.ATTEMPT) == null) {
                    channel.close();
                }
                return;
            }
            boolean keep = HttpUtil.isKeepAlive(answer);
            keepAlive(answer);
            Letter.Why why = judge(answer);
            Consumer<Letter> tell = done;
            Letter.Parcel told = parcel;
            rest(keep);
            if (why != null) {
                tell.accept(new Letter.Returned(told.stream(), why, 0, 0));
            } else {
                tell.accept(new Letter.Delivered(told.stream(), answer.status().code(),
                        Headers.onward(answer.headers(), false), bytes, 0, 0));
            }
        }

        // Null where it is an answer for the client.
        private Letter.Why judge(HttpResponse answer) {
            int status = answer.status().code();
            if (answer.headers().contains(Headers.NOT_EXECUTED) || status == 421) {
                return status == 421 ? Letter.Why.MOVED : Letter.Why.TURNED_AWAY;
            }
            boolean success = answer.status().codeClass() == HttpStatusClass.SUCCESS;
            if (success && (!answer.headers().contains(Headers.SEAL)
                    || answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
                return Letter.Why.BROKEN;
            }
            return status == 429 || status == 503 || status == 408 ? Letter.Why.BROKEN : null;
        }

        private void keepAlive(HttpResponse answer) {
            String value = answer.headers().get("Keep-Alive");
            int at = value == null ? -1 : value.indexOf("timeout=");
            if (at >= 0) {
                try {
                    idleMs = Math.max(1, Integer.parseInt(value.substring(at + 8).split("[^0-9]")[0])) * 1000.0;
                } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
                    idleMs = IDLE_MS;
                }
            }
        }

        private void rest(boolean keep) {
            timer.cancel(false);
            done = null;
            parcel = null;
            if (!keep || !channel.isActive()) {
                channel.close();
                return;
            }
            idleSince = now();
            idle.addLast(this);
        }

        private void spoilt(Letter.Why why) {
            channel.close();
            end(why);
        }

        private void end(Letter.Why why) {
            if (timer != null) {
                timer.cancel(false);
            }
            idle.remove(this);
            Consumer<Letter> tell = done;
            done = null;
            if (tell != null) {
                tell.accept(new Letter.Returned(parcel.stream(), why, 0, 0));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end(Letter.Why.BROKEN);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
