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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import whinlead.Contract;

/**
 * The watch on the list of endpoints. Where discovery is asked, the module decides when to ask again after a failure;
 * where lists are pushed it does not ask at all, and the watch on the local agent is renewed here.
 */
public final class Discovery implements Source {
    private static final String PATH = "/registry/instances";
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /** An empty line is due every 2 s; a watch silent for longer than two of them is broken. */
    private static final long SILENT_MS = 5000;
    /** A whole list of some thousand endpoints is still one line. */
    private static final int MAX_LINE = 1 << 20;

    private static final double BACKOFF_FIRST_MS = 100;
    private static final double MAX_BACKOFF_MS = 4000;

    private final EventLoop loop;
    private final ObjectMapper mapper;
    private final boolean pushed;
    private final Random random;
    private final Membership membership;
    private final Roster roster;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    /** The watch under way; others that have not ended yet are no longer heeded. */
    private Call current;

    private double backoff = BACKOFF_FIRST_MS;

    /** A watch that has not begun. {@code known} is the list to hear changes of, or null. */
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
                                        new ReadTimeoutHandler(SILENT_MS, TimeUnit.MILLISECONDS),
                                        new HttpClientCodec(),
                                        call,
                                        new LineBasedFrameDecoder(MAX_LINE),
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
     * Moves the watch to another address at once; the old list stands until the new one has come. The whole list is
     * asked for, since another service's versions may be counted otherwise, and no change must be missed.
     */
    public void move(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        roster.moved();
        Call old = current;
        // The end of the old watch is meant and no failure, and what it still has to say is out of date.
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
            double wait = backoff * (0.5 + random.nextDouble());
            backoff = Math.min(MAX_BACKOFF_MS, backoff * 2);
            loop.schedule(this::watch, (long) wait, TimeUnit.MILLISECONDS);
        } else {
            membership.outOfReach();
        }
    }

    /** The call itself: asks once connected, and passes on the bytes of the answer's body. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private Channel channel;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            Long after = roster.after();
            String uri = PATH + "?watch=1" + (after == null ? "" : "&after=" + after);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
            request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address));
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK)) {
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

    /** The lines of the answer, one list or change each. */
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
                // Guards against nonsense: the old list stands, and the next call asks from the last good
                // version.
                ctx.close();
                return;
            }
            if (roster.take(list) != null) {
                ctx.close();
                return;
            }
            backoff = BACKOFF_FIRST_MS;
            membership.list(list.whole() ? Contract.ListKind.FULL : Contract.ListKind.CHANGES, list);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
