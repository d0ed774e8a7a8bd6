package whinlead.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Clients that each ask again as soon as they have an answer, for measuring how many requests a second something can
 * carry. They read no more of an answer than they must: status, length and end of head. Owned by one loop.
 */
final class ClosedLoopClients {
    /**
     * What a run gave.
     *
     * @param perSecond answers 200 a second
     * @param otherShare share of the answers with another status
     * @param medianMicros time of an answer 200, in microseconds
     * @param p99Micros the 99th percentile of that
     */
    record Result(double perSecond, double otherShare, double medianMicros, double p99Micros) {}

    private static final long HIGHEST_MICROS = 10_000_000;
    private static final int DIGITS = 3;
    private static final double NANOS_IN_MICRO = 1000;
    private static final String LENGTH = "\r\ncontent-length: ";
    private static final int STATUS_AT = 9;

    private final EventLoop loop;
    private final Histogram times = new Histogram(HIGHEST_MICROS, DIGITS);
    private long others;
    private long nextId;
    private boolean counting;
    private boolean done;

    ClosedLoopClients(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs so many connections for some seconds, of which the first are not counted; blocks. */
    Result run(SocketAddress target, int connections, double warmSeconds, double seconds) throws InterruptedException {
        List<Channel> channels = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            channels.add(new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new Client());
                        }
                    })
                    .connect(target)
                    .syncUninterruptibly()
                    .channel());
        }
        TimeUnit.MILLISECONDS.sleep((long) (warmSeconds * 1000));
        loop.submit(() -> counting = true).syncUninterruptibly();
        long start = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep((long) (seconds * 1000));
        loop.submit(() -> done = true).syncUninterruptibly();
        double took = (System.nanoTime() - start) / 1e9;
        channels.forEach(c -> c.close().syncUninterruptibly());
        long good = times.getTotalCount();
        return new Result(
                good / took,
                others == 0 ? 0 : (double) others / (others + good),
                times.getValueAtPercentile(50),
                times.getValueAtPercentile(99));
    }

    private final class Client extends ChannelInboundHandlerAdapter {
        private final StringBuilder head = new StringBuilder();
        private int bodyLeft = -1;
        private boolean ok;
        private long sentAt;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            sentAt = System.nanoTime();
            ByteBuf b = ctx.alloc().buffer(128);
            b.writeCharSequence(
                    "GET /api?obj=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + nextId++
                            + "\r\nRequest-Class: read\r\nRequest-Timeout: 2.000\r\n\r\n",
                    StandardCharsets.US_ASCII);
            ctx.writeAndFlush(b, ctx.voidPromise());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            while (bytes.isReadable()) {
                if (bodyLeft < 0) {
                    head.append((char) bytes.readByte());
                    int n = head.length();
                    if (n >= 4 && head.charAt(n - 1) == '\n' && head.charAt(n - 3) == '\n') {
                        readHead();
                    }
                } else {
                    int some = Math.min(bodyLeft, bytes.readableBytes());
                    bytes.skipBytes(some);
                    bodyLeft -= some;
                }
                if (bodyLeft == 0) {
                    bodyLeft = -1;
                    answered(ctx);
                }
            }
            bytes.release();
        }

        private void readHead() {
            ok = head.charAt(STATUS_AT) == '2';
            String text = head.toString().toLowerCase(Locale.ROOT);
            int at = text.indexOf(LENGTH) + LENGTH.length();
            bodyLeft =
                    Integer.parseInt(text.substring(at, text.indexOf('\r', at)).strip());
            head.setLength(0);
        }

        private void answered(ChannelHandlerContext ctx) {
            if (done) {
                return;
            }
            if (counting && ok) {
                long micros = (long) ((System.nanoTime() - sentAt) / NANOS_IN_MICRO);
                times.recordValue(Math.min(HIGHEST_MICROS, micros));
            } else if (counting) {
                others++;
            }
            ask(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
