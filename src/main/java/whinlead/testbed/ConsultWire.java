package whinlead.testbed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

/** A stand-in proxy's connection to the plain consult API, one call at a time. */
final class ConsultWire extends SimpleChannelInboundHandler<FullHttpResponse> implements AgentClient.Wire {
    private static final int MOST = 65_536;

    private final ObjectMapper mapper;
    private Channel channel;
    private Runnable ready;
    private Consumer<Map<String, String>> due;

    ConsultWire(ObjectMapper mapper) {
        this.mapper = mapper;
    }

    @Override
    public void connect(EventLoop loop, SocketAddress to, Runnable whenReady, Runnable closed) {
        ready = whenReady;
        channel = AgentClient.connection(
                loop,
                to,
                c -> c.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST), this),
                closed);
    }

    @Override
    public void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ready.run();
    }

    @Override
    public boolean free() {
        return due == null;
    }

    @Override
    public void call(String message, Map<String, String> arguments, Consumer<Map<String, String>> answer) {
        due = answer;
        byte[] body = mapper.valueToTree(arguments).toString().getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/" + message, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, "x").set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        channel.writeAndFlush(request);
    }

    @Override
    public void half() {
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.copiedBuffer(
                        "POST /v1/ask HTTP/1.1\r\nContent-Length: 500\r\n\r\n{\"id\":\"cut",
                        StandardCharsets.US_ASCII));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) throws JsonProcessingException {
        String text = response.content().toString(StandardCharsets.UTF_8);
        answer(text.isEmpty() ? Map.of() : mapper.readValue(text, new TypeReference<Map<String, String>>() {}));
    }

    private void answer(Map<String, String> said) {
        Consumer<Map<String, String>> waiting = due;
        due = null;
        if (waiting != null) {
            waiting.accept(said);
        }
    }

    @Override
    public void broken() {
        answer(null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
