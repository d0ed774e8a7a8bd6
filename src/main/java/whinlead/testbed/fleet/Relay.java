package whinlead.testbed.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A link between two parties of a fleet: what connects to its address is connected to another, and it can be made to
 * fail. Bytes are never changed, lost or put out of order, as TCP doesn't either. For one loop.
 */
public final class Relay {
    /** A direction. */
    public enum Way {
        /** From who connects to whom it connects to. */
        THERE,
        /** And back. */
        BACK
    }

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final Set<Pair> pairs = new LinkedHashSet<>();
    private Channel listener;
    private boolean refuses;
    private final boolean[] stalled = new boolean[Way.values().length];
    private long delayMs;

    /** A link to this address that works. */
    public Relay(EventLoop loop, InetSocketAddress to) {
        this.loop = loop;
        this.to = to;
    }

    /** Listens; blocks until it does. Not to be called on the loop. */
    public void listen(InetSocketAddress at) {
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        if (refuses) {
                            accepted.close();
                        } else {
                            connect(accepted);
                        }
                    }
                })
                .bind(at)
                .syncUninterruptibly()
                .channel();
    }

    private void connect(Channel near) {
        Pair pair = new Pair(near);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel made) {
                        pair.far = made;
                        made.pipeline().addLast(pair.end(Way.BACK, near));
                    }
                })
                .connect(to)
                .addListener(done -> {
                    if (done.isSuccess()) {
                        near.pipeline().addLast(pair.end(Way.THERE, pair.far));
                        pairs.add(pair);
                        pair.read();
                    } else {
                        near.close();
                    }
                });
    }

    /** All connections break at once, and new ones do until {@link #heal}. */
    public void cut() {
        refuses = true;
        reset();
    }

    /** All connections break; new ones are taken. */
    public void reset() {
        Set.copyOf(pairs).forEach(Pair::close);
    }

    /** Nothing more comes through this way until {@link #heal}; connections stay, and hold what they are sent. */
    public void stall(Way way) {
        stalled[way.ordinal()] = true;
        pairs.forEach(Pair::read);
    }

    /** What comes takes so much longer from now on, in both directions. */
    public void delay(long millis) {
        delayMs = millis;
    }

    /** It works again, and what was held comes through. */
    public void heal() {
        refuses = false;
        delayMs = 0;
        Arrays.fill(stalled, false);
        pairs.forEach(Pair::read);
    }

    /** Closes it for good. */
    public void close() {
        refuses = true;
        if (listener != null) {
            listener.close();
        }
        reset();
    }

    private final class Pair {
        private final Channel near;
        private Channel far;

        private Pair(Channel near) {
            this.near = near;
        }

        private void read() {
            near.config().setAutoRead(!stalled[Way.THERE.ordinal()]);
            far.config().setAutoRead(!stalled[Way.BACK.ordinal()]);
        }

        private void close() {
            near.close();
            if (far != null) {
                far.close();
            }
            pairs.remove(this);
        }

        private ChannelInboundHandlerAdapter end(Way way, Channel other) {
            return new ChannelInboundHandlerAdapter() {
                /** When the last bytes go on: none may overtake them. */
                private long lastDue = System.nanoTime();

                @Override
                public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                    long now = System.nanoTime();
                    if (delayMs == 0 && now - lastDue >= 0) {
                        other.writeAndFlush(bytes);
                        return;
                    }
                    lastDue = Math.max(lastDue, now + TimeUnit.MILLISECONDS.toNanos(delayMs));
                    loop.schedule(() -> other.writeAndFlush(bytes), lastDue - now, TimeUnit.NANOSECONDS);
                }

                @Override
                public void channelInactive(ChannelHandlerContext ctx) {
                    if (!stalled[way.ordinal()]) {
                        close();
                    }
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext ctx, Throwable fault) {
                    close();
                }
            };
        }
    }
}
