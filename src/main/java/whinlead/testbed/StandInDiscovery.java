package whinlead.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * A stand-in of the platform's discovery: watches only, each of which gets the whole list first, then changes, and an
 * empty line every 2 s. Owned by the timer's loop.
 */
final class StandInDiscovery {
    private static final int MAX_REQUEST = 4096;
    private static final long BEAT_S = 2;

    private final LoopTimer timer;
    private final ChannelGroup watches;
    private final Map<String, String> hosts = new LinkedHashMap<>();
    private Channel listener;
    private long seq = 1;

    StandInDiscovery(LoopTimer timer) {
        this.timer = timer;
        this.watches = new DefaultChannelGroup(timer.loop());
    }

    void start() {
        listener = new ServerBootstrap()
                .group(timer.loop())
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST), new Watch());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
        timer.loop().scheduleAtFixedRate(() -> watches.writeAndFlush(line("")), BEAT_S, BEAT_S, TimeUnit.SECONDS);
    }

    String dial() {
        InetSocketAddress a = (InetSocketAddress) listener.localAddress();
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    void stop() {
        listener.close();
        watches.close();
    }

    /** Lists an endpoint, or changes what the list says of it: ready, draining or gone. */
    void set(String id, String dial, String health) {
        set(id, dial, health, 0);
    }

    /** The same of one whose process started at a time, in milliseconds since 1970. */
    void set(String id, String dial, String health, long startedAt) {
        String host = host(id, dial, health).replace("\"born_ms\":0", "\"born_ms\":" + startedAt);
        seq++;
        if (health.equals("gone")) {
            hosts.remove(id);
        } else {
            hosts.put(id, host);
        }
        watches.writeAndFlush(line("{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + host + "]}"));
    }

    /** An entry of the list as the platform writes it. */
    static String host(String id, String dial, String health) {
        return """
                {"host":"%s","dial":"%s","site":"a","class":"m","block":0,"health":"%s","share":1.0,\
                "born_ms":0}""".formatted(id, dial, health);
    }

    /** The whole list as the platform writes it. */
    String whole() {
        return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":["
                + hosts.values().stream().collect(Collectors.joining(",")) + "]}";
    }

    private static DefaultHttpContent line(String json) {
        ByteBuf bytes = Unpooled.copiedBuffer(json + "\n", StandardCharsets.UTF_8);
        return new DefaultHttpContent(bytes);
    }

    private final class Watch extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ctx.write(head);
            ctx.writeAndFlush(line(whole()));
            watches.add(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
