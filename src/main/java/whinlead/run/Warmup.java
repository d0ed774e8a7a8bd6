package whinlead.run;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import whinlead.Contract;
import whinlead.admit.Budget;
import whinlead.decide.Decide;
import whinlead.engine.Clock;
import whinlead.engine.Engine;
import whinlead.front.http1.ClientServer;
import whinlead.http.HttpAsk;
import whinlead.http.LoadReport;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.transport.EndpointPool;

/**
 * Guards against a cold start: on a shared core the first seconds of a JVM that still loads and compiles made requests
 * late. Requests go through all the parts, with a module of their own, over loopback sockets, before the sidecar says
 * that it is ready. Over memory instead, the code of sockets was still cold then, and the loop stood still for up to
 * half a second. It takes two free ports for as long; without them it is left out.
 */
final class Warmup {
    /** Enough for the compiler, which takes up a method after 200 calls; a request calls most several times. */
    private static final int REQUESTS = 600;
    /** A restarted sidecar is missed: on a very short core it had better serve cold than late. */
    private static final long MAX_MS = 1500;
    /** Ends with a byte that no head ends with. */
    private static final byte[] BODY = "-".repeat(255).concat("~").getBytes(StandardCharsets.US_ASCII);
    /** In "HTTP/1.1 200". */
    private static final int STATUS_AT = 9;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final CountDownLatch done = new CountDownLatch(1);
    private final Contract.Settings settings;
    private int left = REQUESTS;
    private volatile int served;

    private Warmup(Contract.Settings settings) {
        this.settings = settings;
    }

    /** Runs requests of these settings' classes until they are through or their time is up; how many were served. */
    static int run(Contract.Settings settings) {
        return new Warmup(settings).run();
    }

    private int run() {
        Clock clock = new Clock();
        int sockets = 8;
        EndpointPool pool = new EndpointPool(
                loop,
                NioSocketChannel.class,
                clock,
                (int) MAX_MS,
                MAX_MS,
                Budget.fixed(Budget.Purpose.ENDPOINTS, sockets));
        Engine engine = new Engine(
                new LoopTimers(loop, clock),
                settings,
                actions -> new Decide(settings, 0, actions),
                pool::update,
                line -> {});
        ClientServer server = new ClientServer(loop, clock, engine, pool::transport, settings, sockets);
        SocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        ChannelFuture endpoint = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(pipeline(true))
                .bind(any)
                .awaitUninterruptibly();
        ChannelFuture front = server.listen(any).awaitUninterruptibly();
        if (endpoint.isSuccess() && front.isSuccess()) {
            ask(
                    engine,
                    server,
                    endpoint.channel().localAddress(),
                    front.channel().localAddress());
        }
        loop.parent().shutdownGracefully(0, MAX_MS, TimeUnit.MILLISECONDS);
        return served;
    }

    private void ask(Engine engine, ClientServer server, SocketAddress endpoint, SocketAddress front) {
        EndpointList list = new EndpointList(
                0,
                true,
                List.of(new EndpointList.Entry(
                        new Contract.Server("warm", Contract.Standing.UP, 1, "", 0, 0), endpoint)));
        loop.execute(() -> {
            engine.start(() -> {}, list);
            server.ready();
        });
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(pipeline(false))
                .connect(front);
        try {
            if (!done.await(MAX_MS, TimeUnit.MILLISECONDS)) {
                loop.execute(() -> left = 0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ChannelInitializer<Channel> pipeline(boolean serves) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(serves ? new Endpoint() : new Application());
            }
        };
    }

    /**
     * Sees where messages end and no more: codecs here would be interpreted, and compiled, on a core that is short, for
     * what a sidecar never does. One message is under way at a time.
     */
    private abstract static class Plain extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean begun;
        private boolean bodied;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
            if (!begun) {
                begun = true;
                bodied = hasBody(in);
            }
            if (in.getByte(in.writerIndex() - 1) == (bodied ? BODY[BODY.length - 1] : '\n')) {
                begun = false;
                came(ctx, bodied);
            }
        }

        abstract boolean hasBody(ByteBuf begin);

        abstract void came(ChannelHandlerContext ctx, boolean bodied);

        static void say(ChannelHandlerContext ctx, String head, byte[] body) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.US_ASCII), body));
        }
    }

    private static final class Endpoint extends Plain {
        @Override
        boolean hasBody(ByteBuf begin) {
            return begin.getByte(begin.readerIndex()) == 'P';
        }

        @Override
        void came(ChannelHandlerContext ctx, boolean bodied) {
            say(
                    ctx,
                    "HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length + "\r\n" + LoadReport.HEADER
                            + ": util=0.5,qps=10.5,eps=0\r\n\r\n",
                    BODY);
        }
    }

    private final class Application extends Plain {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        /** Only an answer of 200 has one. */
        @Override
        boolean hasBody(ByteBuf begin) {
            return begin.readableBytes() > STATUS_AT && begin.getByte(begin.readerIndex() + STATUS_AT) == '2';
        }

        @Override
        void came(ChannelHandlerContext ctx, boolean bodied) {
            if (bodied) {
                served = REQUESTS - left;
            }
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            if (left-- <= 0) {
                done.countDown();
                return;
            }
            Contract.RequestClass k =
                    settings.classes().get(left % settings.classes().size());
            byte[] body = k.effect() == Contract.Effect.SAFE ? new byte[0] : BODY;
            say(
                    ctx,
                    (body.length == 0 ? "GET" : "POST") + " /api?obj=warm HTTP/1.1\r\nRequest-Id: warm"
                            + left + "\r\nRequest-Class: " + k.name() + "\r\nIdempotency-Key: warm\r\n"
                            + HttpAsk.TIMEOUT + ": 5.000\r\nContent-Length: " + body.length + "\r\n\r\n",
                    body);
        }
    }
}
