package whinlead.testbed.mesh.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;

/**
 * Stands between a process and the control nodes, passes every message on and counts it by kind and way. Bytes are
 * those of the messages and their lengths; what TCP and IP add is not in them. Counts may be read on any thread.
 */
final class Relay {
    private static final int LENGTH_BYTES = 4;

    /** What went one way: messages and bytes of a kind. */
    record Count(long messages, long bytes) {
        private Count plus(long more) {
            return new Count(messages + 1, bytes + more);
        }

        private Count less(Count other) {
            return other == null ? this : new Count(messages - other.messages, bytes - other.bytes);
        }
    }

    /** Counts of both ways so far, by the messages' kinds. */
    record Counts(Map<String, Count> toControlNodes, Map<String, Count> fromControlNodes) {
        Counts since(Counts then) {
            return new Counts(less(toControlNodes, then.toControlNodes), less(fromControlNodes, then.fromControlNodes));
        }

        private static Map<String, Count> less(Map<String, Count> now, Map<String, Count> then) {
            Map<String, Count> left = new TreeMap<>();
            now.forEach((kind, count) -> left.put(kind, count.less(then.get(kind))));
            return left;
        }
    }

    private final EventLoop loop;
    private final Map<String, Count> toControlNodes = new ConcurrentHashMap<>();
    private final Map<String, Count> fromControlNodes = new ConcurrentHashMap<>();

    Relay(EventLoop loop) {
        this.loop = loop;
    }

    /** Listens here and passes on to there. */
    Channel listen(SocketAddress here, SocketAddress there) throws InterruptedException {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel near) {
                        connect(near, there);
                    }
                })
                .bind(here)
                .sync()
                .channel();
    }

    private void connect(Channel near, SocketAddress there) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel far) {
                        handlers(far, near, fromControlNodes);
                    }
                })
                .connect(there)
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        handlers(near, f.channel(), toControlNodes);
                        near.config().setAutoRead(true);
                    } else {
                        near.close();
                    }
                });
    }

    private static void handlers(Channel from, Channel to, Map<String, Count> counts) {
        from.config().setOption(ChannelOption.TCP_NODELAY, true);
        from.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(PeerConnection.MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, 0),
                        new Way(to, counts));
    }

    Counts counts() {
        return new Counts(Map.copyOf(toControlNodes), Map.copyOf(fromControlNodes));
    }

    private static final class Way extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel to;
        private final Map<String, Count> counts;

        private Way(Channel to, Map<String, Count> counts) {
            this.to = to;
            this.counts = counts;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
            PeerMessage message = PeerMessageCodec.read(ByteBufUtil.getBytes(
                    frame, frame.readerIndex() + LENGTH_BYTES, frame.readableBytes() - LENGTH_BYTES));
            counts.merge(
                    message.getClass().getSimpleName(),
                    new Count(1, frame.readableBytes()),
                    (had, one) -> had.plus(one.bytes()));
            to.writeAndFlush(frame.retain(), to.voidPromise());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            to.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
