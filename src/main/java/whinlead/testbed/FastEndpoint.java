package whinlead.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * A stand-in endpoint that costs next to nothing, for measuring what stands before it: it answers each blank line with
 * the same short 200 and reads nothing else, so requests must have no body.
 */
final class FastEndpoint {
    private static final ByteBuf ANSWER = Unpooled.unreleasableBuffer(
            Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved", StandardCharsets.US_ASCII));
    private static final int BLANK_LINE = 0x0d0a0d0a;

    private final Channel listener;

    /** Listens on a free port. */
    FastEndpoint(EventLoop loop) {
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Answers());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    String dial() {
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private static final class Answers extends ChannelInboundHandlerAdapter {
        private int last;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            while (bytes.isReadable()) {
                last = last << Byte.SIZE | bytes.readUnsignedByte();
                if (last == BLANK_LINE) {
                    ctx.write(ANSWER.duplicate(), ctx.voidPromise());
                }
            }
            bytes.release();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
