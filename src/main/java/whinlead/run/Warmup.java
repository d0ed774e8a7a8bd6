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
import whinlead.http.HttpCall;
import whinlead.http.LoadReport;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.transport.EndpointPool;

/**
 * Warms up the JVM before the sidecar reports that it is ready. On a shared core, class loading and compilation made
 * requests late in the first seconds. The warm-up sends requests over loopback sockets through all components, with a
 * separate decision module. With in-memory channels instead of sockets, the socket code was still cold at the start and
 * stalled the event loop for up to half a second. The warm-up uses two free ports; if there are none, it is skipped.
 */
final class Warmup {
    /** Enough for the JIT, which compiles a method after 200 calls; a request calls most methods several times. */
    private static final int REQUESTS = 600;
    /** Clients wait for a restarted sidecar: with very little CPU, serving cold is better than starting late. */
    private static final long TIME_LIMIT_MS = 1500;
    /** Ends with a byte that no HTTP header block ends with. */
    private static final byte[] BODY = "-".repeat(255).concat("~").getBytes(StandardCharsets.US_ASCII);
    /** Offset of the status code in "HTTP/1.1 200". */
    private static final int STATUS_OFFSET = 9;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final CountDownLatch done = new CountDownLatch(1);
    private final Contract.Settings settings;
    private int requestsLeft = REQUESTS;
    private volatile int served;

    private Warmup(Contract.Settings settings) {
        this.settings = settings;
    }

    /**
     * Runs requests of the classes in these settings until all are done or the time limit is reached; returns how many
     * were served.
     */
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
                (int) TIME_LIMIT_MS,
                TIME_LIMIT_MS,
                Budget.fixed(Budget.Purpose.ENDPOINTS, sockets));
        Engine engine = new Engine(
                new LoopTimers(loop, clock),
                settings,
                actions -> new Decide(settings, 0, actions),
                pool::update,
                line -> {});
        ClientServer server = new ClientServer(loop, clock, engine, pool::transport, settings, sockets);
        SocketAddress loopbackAnyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        ChannelFuture endpoint = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(pipeline(true))
                .bind(loopbackAnyPort)
                .awaitUninterruptibly();
        ChannelFuture front = server.listen(loopbackAnyPort).awaitUninterruptibly();
        if (endpoint.isSuccess() && front.isSuccess()) {
            runRequests(
                    engine,
                    server,
                    endpoint.channel().localAddress(),
                    front.channel().localAddress());
        }
        loop.parent().shutdownGracefully(0, TIME_LIMIT_MS, TimeUnit.MILLISECONDS);
        return served;
    }

    private void runRequests(Engine engine, ClientServer server, SocketAddress endpoint, SocketAddress front) {
        EndpointList list = new EndpointList(
                0,
                true,
                List.of(new EndpointList.Entry(
                        new Contract.Server("warm", Contract.ServerState.UP, 1, "", 0, 0), endpoint)));
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
            if (!done.await(TIME_LIMIT_MS, TimeUnit.MILLISECONDS)) {
                loop.execute(() -> requestsLeft = 0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ChannelInitializer<Channel> pipeline(boolean endpointSide) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(endpointSide ? new Endpoint() : new Application());
            }
        };
    }

    /**
     * Detects only where messages end. A codec would cost scarce CPU time for interpreting and compiling code that a
     * sidecar never uses. Only one message is in flight at a time.
     */
    private abstract static class MessageHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean messageBegun;
        private boolean messageHasBody;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
            if (!messageBegun) {
                messageBegun = true;
                messageHasBody = hasBody(in);
            }
            if (in.getByte(in.writerIndex() - 1) == (messageHasBody ? BODY[BODY.length - 1] : '\n')) {
                messageBegun = false;
                messageReceived(ctx, messageHasBody);
            }
        }

        abstract boolean hasBody(ByteBuf head);

        abstract void messageReceived(ChannelHandlerContext ctx, boolean hasBody);

        static void sendMessage(ChannelHandlerContext ctx, String head, byte[] body) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.US_ASCII), body));
        }
    }

    private static final class Endpoint extends MessageHandler {
        @Override
        boolean hasBody(ByteBuf head) {
            return head.getByte(head.readerIndex()) == 'P';
        }

        @Override
        void messageReceived(ChannelHandlerContext ctx, boolean hasBody) {
            sendMessage(
                    ctx,
                    "HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length + "\r\n" + LoadReport.HEADER
                            + ": util=0.5,qps=10.5,eps=0\r\n\r\n",
                    BODY);
        }
    }

    private final class Application extends MessageHandler {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendNext(ctx);
        }

        /** Only a response with status 200 has a body. */
        @Override
        boolean hasBody(ByteBuf head) {
            return head.readableBytes() > STATUS_OFFSET && head.getByte(head.readerIndex() + STATUS_OFFSET) == '2';
        }

        @Override
        void messageReceived(ChannelHandlerContext ctx, boolean hasBody) {
            if (hasBody) {
                served = REQUESTS - requestsLeft;
            }
            sendNext(ctx);
        }

        private void sendNext(ChannelHandlerContext ctx) {
            if (requestsLeft-- <= 0) {
                done.countDown();
                return;
            }
            Contract.RequestClass requestClass =
                    settings.classes().get(requestsLeft % settings.classes().size());
            byte[] body = requestClass.effect() == Contract.Effect.SAFE ? new byte[0] : BODY;
            sendMessage(
                    ctx,
                    (body.length == 0 ? "GET" : "POST") + " /api?obj=warm HTTP/1.1\r\nRequest-Id: warm"
                            + requestsLeft + "\r\nRequest-Class: " + requestClass.name()
                            + "\r\nIdempotency-Key: warm\r\n"
                            + HttpCall.TIMEOUT + ": 5.000\r\nContent-Length: " + body.length + "\r\n\r\n",
                    body);
        }
    }
}
