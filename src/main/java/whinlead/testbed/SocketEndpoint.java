package whinlead.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import whinlead.Contract;

/**
 * A stand-in endpoint on a loopback socket, speaking the platform's HTTP/1.1. It and the ledger that it writes to are
 * owned by the timer's loop.
 */
final class SocketEndpoint {
    private static final int MAX_BODY = 64 * 1024;
    private static final byte[] BODY = "served".getBytes(StandardCharsets.US_ASCII);

    private final EndpointScript script;
    private final LoopTimer timer;
    private final Ledger ledger;
    private final List<String> classNames;
    private final Workshop workshop;
    private final ChannelGroup connections;
    private Channel listener;
    private InetSocketAddress address;

    SocketEndpoint(
            EndpointScript script, List<Contract.RequestClass> classes, LoopTimer timer, Ledger ledger, long seed) {
        this.script = script;
        this.timer = timer;
        this.ledger = ledger;
        this.classNames = classes.stream().map(Contract.RequestClass::name).toList();
        this.workshop = new Workshop(script, seed, timer);
        this.connections = new DefaultChannelGroup(timer.loop());
    }

    /** Listens on a free port, and has the script's faults come at their times. */
    void start() {
        listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        address = (InetSocketAddress) listener.localAddress();
    }

    /** From now on the script's times count. */
    void run() {
        for (EndpointScript.Fault f : script.faults()) {
            if (f.kind() == EndpointScript.Kind.AWAY) {
                timer.at(f.from(), this::goAway);
                timer.at(f.to(), () -> listen(address));
            } else if (f.kind() == EndpointScript.Kind.SILENT) {
                timer.at(f.from(), workshop::die);
            }
        }
    }

    String dial() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    String id() {
        return script.id();
    }

    private void listen(InetSocketAddress where) {
        var bound = new ServerBootstrap()
                .group(timer.loop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        if (connections.size() > script.lines().most()) {
                            reset(channel);
                            return;
                        }
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY), new Visits());
                    }
                })
                .bind(where);
        // Registered and bound on the loop; only the first one is waited for, from outside it.
        listener = bound.channel();
        if (!timer.loop().inEventLoop()) {
            bound.syncUninterruptibly();
        }
    }

    private void goAway() {
        listener.close();
        workshop.die();
        connections.forEach(SocketEndpoint::reset);
    }

    void stop() {
        listener.close();
        connections.close();
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private final class Visits extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean known;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            long id = Long.parseLong(request.headers().get("Request-Id"));
            int k = classNames.indexOf(request.headers().get("Request-Class"));
            EndpointScript.Kind fault = script.fault(timer.nowMs());
            if (fault == EndpointScript.Kind.SILENT) {
                return;
            }
            if (fault == EndpointScript.Kind.RESETTING) {
                ledger.ran(id);
                reset(ctx.channel());
                return;
            }
            double handshake = known ? 0 : script.lines().handshake();
            known = true;
            workshop.arrives(new Workshop.Visitor() {
                @Override
                public int classIndex() {
                    return k;
                }

                @Override
                public double extra() {
                    return handshake;
                }

                @Override
                public void begins() {
                    ledger.ran(id);
                }

                @Override
                public void ends(Workshop.End end) {
                    answer(ctx.channel(), end);
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void answer(Channel channel, Workshop.End end) {
        EndpointScript.Kind fault = script.fault(timer.nowMs());
        if (fault == EndpointScript.Kind.SILENT || end == Workshop.End.DIED) {
            return;
        }
        boolean full = end == Workshop.End.FULL;
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                full ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                Unpooled.wrappedBuffer(full ? new byte[0] : BODY));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (full) {
            response.headers().set("Not-Started", "1");
        }
        if (script.reports()) {
            response.headers()
                    .set(
                            "Server-Load",
                            String.format(
                                    Locale.ROOT, "util=%.3f,qps=%.1f,eps=0", workshop.util(), workshop.perSecond()));
        }
        if (fault == EndpointScript.Kind.SPOILING) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 2 * BODY.length);
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        } else {
            channel.writeAndFlush(response, channel.voidPromise());
        }
    }
}
