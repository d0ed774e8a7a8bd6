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

/** Pipelined calls through the real RPC server, completed in any order. Single-threaded, with driven time. */
final class RelayCalls {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HEAD_END = "\r\n\r\n";

    private final Calendar calendar;
    private final SplittableRandom random;
    private final Consumer<String> violations;
    private final List<String> expected = new ArrayList<>();
    private final StringBuilder received = new StringBuilder();
    private EmbeddedChannel channel;
    private int answered;

    RelayCalls(Calendar calendar, SplittableRandom random, Consumer<String> violations) {
        this.calendar = calendar;
        this.random = random;
        this.violations = violations;
    }

    /** Connects to the server. */
    void start(boolean unordered) {
        channel = new EmbeddedChannel();
        channel.pipeline()
                .addLast(
                        unordered
                                ? unorderedServer()
                                : new RpcServer(channel.eventLoop(), MAPPER, this::run).handlers());
    }

    /** Writes a call in two pieces: a numbered one, or one with an unknown name. */
    void call() {
        boolean named = random.nextInt(5) > 0;
        String number = Integer.toString(expected.size());
        expected.add(named ? number : "names nothing: none" + number);
        String call = "POST /whinlead/rpc?call=" + (named ? "members.depart&of=" : "none") + number
                + " HTTP/1.1\r\nContent-Length: 0" + HEAD_END;
        int cut = random.nextInt(call.length());
        write(call.substring(0, cut));
        write(call.substring(cut));
    }

    private void write(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        receive();
    }

    private void run(RpcCall order, Consumer<RpcResponse> answer) {
        String number = ((RpcCall.Depart) order).endpoint();
        calendar.schedule(random.nextInt(40), () -> {
            answer.accept(new RpcResponse(200, number.getBytes(StandardCharsets.US_ASCII)));
            channel.runPendingTasks();
            receive();
        });
    }

    private void receive() {
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            received.append(b.toString(StandardCharsets.ISO_8859_1));
            b.release();
        }
        for (int end = received.indexOf(HEAD_END); end >= 0; end = received.indexOf(HEAD_END)) {
            int length =
                    Integer.parseInt(received.substring(0, end).replaceFirst("(?is).*content-length: (\\d+).*", "$1"));
            if (received.length() < end + HEAD_END.length() + length) {
                return;
            }
            String body = received.substring(end + HEAD_END.length(), end + HEAD_END.length() + length);
            received.delete(0, end + HEAD_END.length() + length);
            String expectedBody = expected.get(answered++);
            if (!body.equals(expectedBody) && !body.contains(expectedBody + "\"")) {
                violations.accept("call " + expectedBody + " was answered " + body);
            }
        }
    }

    /** Checks that all calls have been answered. */
    void checkAllAnswered() {
        if (answered != expected.size()) {
            violations.accept((expected.size() - answered) + " calls were not answered");
        }
    }

    /** The number of answered calls. */
    int answered() {
        return answered;
    }

    // A server with the planted fault: it writes an answer as soon as it completes, out of order.
    private ChannelInitializer<Channel> unorderedServer() {
        BiConsumer<ChannelHandlerContext, RpcResponse> respond = (ctx, a) -> {
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
                                            respond.accept(
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
                                                    a -> respond.accept(ctx, a));
                                        }
                                    }
                                });
            }
        };
    }
}
