package whinlead.testbed.mesh.hardening;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.rpc.RpcResponse;
import whinlead.mesh.rpc.RpcServer;
import whinlead.plan.Calendar;

/** Pipelined calls through the real server of calls, answered in any order. One thread; driven time. */
final class RelayCalls {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String END = "\r\n\r\n";

    private final Calendar calendar;
    private final SplittableRandom random;
    private final Consumer<String> broken;
    private final List<String> wanted = new ArrayList<>();
    private final StringBuilder in = new StringBuilder();
    private EmbeddedChannel channel;
    private int heard;

    RelayCalls(Calendar calendar, SplittableRandom random, Consumer<String> broken) {
        this.calendar = calendar;
        this.random = random;
        this.broken = broken;
    }

    /** Makes the connection. */
    void start(boolean asTheyCome) {
        channel = new EmbeddedChannel();
        channel.pipeline()
                .addLast(asTheyCome ? naive() : new RpcServer(channel.eventLoop(), MAPPER, this::run).handlers());
    }

    /** Says a call, of a number or of no name, in two pieces. */
    void call() {
        boolean named = random.nextInt(5) > 0;
        String n = Integer.toString(wanted.size());
        wanted.add(named ? n : "names nothing: none" + n);
        String call = "POST /whinlead/rpc?call=" + (named ? "members.depart&of=" : "none") + n
                + " HTTP/1.1\r\nContent-Length: 0" + END;
        int cut = random.nextInt(call.length());
        write(call.substring(0, cut));
        write(call.substring(cut));
    }

    private void write(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        hear();
    }

    private void run(RpcCall order, Consumer<RpcResponse> answer) {
        String n = ((RpcCall.Depart) order).endpoint();
        calendar.after(random.nextInt(40), () -> {
            answer.accept(new RpcResponse(200, n.getBytes(StandardCharsets.US_ASCII)));
            channel.runPendingTasks();
            hear();
        });
    }

    private void hear() {
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            in.append(b.toString(StandardCharsets.ISO_8859_1));
            b.release();
        }
        for (int end = in.indexOf(END); end >= 0; end = in.indexOf(END)) {
            int length = Integer.parseInt(in.substring(0, end).replaceFirst("(?is).*content-length: (\\d+).*", "$1"));
            if (in.length() < end + END.length() + length) {
                return;
            }
            String body = in.substring(end + END.length(), end + END.length() + length);
            in.delete(0, end + END.length() + length);
            String due = wanted.get(heard++);
            if (!body.equals(due) && !body.contains(due + "\"")) {
                broken.accept("call " + due + " was answered " + body);
            }
        }
    }

    /** All that was asked has been answered by now. */
    void end() {
        if (heard != wanted.size()) {
            broken.accept((wanted.size() - heard) + " calls were not answered");
        }
    }

    /** Calls that were answered. */
    int heard() {
        return heard;
    }

    // The server of before: an answer goes out when it comes.
    private ChannelInitializer<Channel> naive() {
        BiConsumer<ChannelHandlerContext, RpcResponse> say = (ctx, a) -> {
            DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(a.status()), Unpooled.wrappedBuffer(a.body()));
            r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, a.body().length);
            ctx.writeAndFlush(r);
        };
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline()
                        .addLast(
                                new HttpServerCodec(),
                                new HttpObjectAggregator(1 << 16),
                                new SimpleChannelInboundHandler<FullHttpRequest>() {
                                    @Override
                                    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                                        int of = request.uri().indexOf("&of=");
                                        if (of < 0) {
                                            say.accept(
                                                    ctx,
                                                    RpcResponse.error(
                                                            HttpResponseStatus.NOT_FOUND,
                                                            "call names nothing: "
                                                                    + request.uri()
                                                                            .replaceFirst(".*call=", "")));
                                        } else {
                                            run(
                                                    new RpcCall.Depart(
                                                            request.uri().substring(of + 4)),
                                                    a -> say.accept(ctx, a));
                                        }
                                    }
                                });
            }
        };
    }
}
