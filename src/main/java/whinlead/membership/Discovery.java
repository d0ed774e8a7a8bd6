package whinlead.membership;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import whinlead.Contract;
import whinlead.http.StrictClientCodec;

/**
 * Watches the list of endpoints. With a discovery service, the module decides when to retry after a failure; where the
 * local agent pushes lists the module does not ask, and the watch is renewed here.
 */
public final class Discovery implements Source {
    private static final String PATH = "/registry/instances";
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /** An empty line is due every 2 s; a watch silent for longer than two of them is broken. */
    private static final long SILENCE_TIMEOUT_MS = 5000;
    /** A full list of several thousand endpoints is one line. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    private static final double FIRST_BACKOFF_MS = 100;
    private static final double MAX_BACKOFF_MS = 4000;

    private final EventLoop loop;
    private final ObjectMapper mapper;
    private final boolean pushed;
    private final Random random;
    private final Membership membership;
    private final Roster roster;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    /** The current watch; events of others that have not ended yet are ignored. */
    private Call current;

    private double backoffMs = FIRST_BACKOFF_MS;

    /** Creates a watch that is not started. {@code known} is the list to receive changes of, or null. */
    public Discovery(
            EventLoop loop,
            InetSocketAddress address,
            ObjectMapper mapper,
            boolean pushed,
            long seed,
            EndpointList known,
            Membership membership) {
        this.loop = loop;
        this.address = address;
        this.mapper = mapper;
        this.pushed = pushed;
        this.random = new Random(seed);
        this.roster = new Roster(known);
        this.membership = membership;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    @Override
    public void watch() {
        if (current != null) {
            return;
        }
        Call call = new Call();
        current = call;
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(SILENCE_TIMEOUT_MS, TimeUnit.MILLISECONDS),
                                        new StrictClientCodec(),
                                        call,
                                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                        new Lines(call));
                    }
                })
                .connect(address);
        call.channel = connecting.channel();
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                failed(call);
            }
        });
    }

    /**
     * Moves the watch to another address immediately; the old list stays in use until a new one arrives. The full list
     * is requested, since another service may count versions differently and no change must be missed.
     */
    public void changeAddress(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        roster.sourceChanged();
        Call old = current;
        // The old watch is ended on purpose, which is no failure, and its further lists are out of date.
        current = null;
        if (old != null) {
            old.channel.close();
        }
        watch();
    }

    private void failed(Call call) {
        if (call != current) {
            return;
        }
        current = null;
        if (pushed) {
            double waitMs = backoffMs * (0.5 + random.nextDouble());
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
            loop.schedule(this::watch, (long) waitMs, TimeUnit.MILLISECONDS);
        } else {
            membership.sourceUnreachable();
        }
    }

    /** The HTTP call: sends the request once connected, and passes on the bytes of the response body. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private Channel channel;
        /** The status of the response that arrives. */
        private HttpResponseStatus status;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            Long after = roster.acceptedVersion();
            String uri = PATH + "?watch=1" + (after == null ? "" : "&after=" + after);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
            request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address));
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                status = response.status();
            }
            if (status.codeClass() == HttpStatusClass.INFORMATIONAL) {
                // The final response follows.
                return;
            }
            if (!status.equals(HttpResponseStatus.OK)) {
                ctx.close();
                return;
            }
            if (message instanceof HttpContent part) {
                ctx.fireChannelRead(part.content().retain());
            }
            if (message instanceof LastHttpContent) {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            failed(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** The lines of the response, one list or change each. */
    private final class Lines extends SimpleChannelInboundHandler<ByteBuf> {
        private final Call call;

        private Lines(Call call) {
            this.call = call;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            String text = line.toString(StandardCharsets.UTF_8);
            if (text.isBlank() || call != current || !ctx.channel().isActive()) {
                return;
            }
            EndpointList list;
            try {
                list = EndpointList.parse(mapper.readTree(text));
            } catch (JsonProcessingException | IllegalArgumentException e) {
                // Guards against malformed lists: the old list stays in use, and the next call starts from the last
                // good version.
                ctx.close();
                return;
            }
            if (roster.accept(list) != null) {
                ctx.close();
                return;
            }
            backoffMs = FIRST_BACKOFF_MS;
            membership.listReceived(list.whole() ? Contract.ListKind.FULL : Contract.ListKind.CHANGES, list);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
