package whinlead.testbed;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import whinlead.front.spop.SpopFrame;

/** A stand-in HAProxy's connection to the SPOP agent, with calls in the pipeline. */
final class SpopWire extends SimpleChannelInboundHandler<ByteBuf> implements AgentClient.Wire {
    private static final int MAX_FRAME = 16_380;
    private static final int MAX_PIPELINE = 32;
    private static final int SET_VAR_ARGS = 3;

    private final Map<Long, Consumer<Map<String, String>>> due = new HashMap<>();
    private Channel channel;
    private Runnable ready;
    private long nextStream;

    @Override
    public void connect(EventLoop loop, SocketAddress to, Runnable whenReady, Runnable closed) {
        ready = whenReady;
        channel = AgentClient.connection(
                loop,
                to,
                c -> c.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME + Integer.BYTES, 0, Integer.BYTES, 0, Integer.BYTES),
                                this),
                closed);
    }

    @Override
    public void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ByteBuf out = SpopFrame.begin(ctx.alloc().buffer(), SpopFrame.Type.HAPROXY_HELLO, 0, 0);
        SpopFrame.pair(out, "supported-versions", "2.0");
        SpopFrame.pair(out, "max-frame-size", MAX_FRAME);
        SpopFrame.pair(out, "capabilities", "pipelining");
        ctx.writeAndFlush(SpopFrame.end(out));
    }

    @Override
    public boolean free() {
        return due.size() < MAX_PIPELINE;
    }

    @Override
    public void call(String message, Map<String, String> arguments, Consumer<Map<String, String>> answer) {
        due.put(nextStream, answer);
        channel.writeAndFlush(notification(message, arguments));
    }

    private ByteBuf notification(String message, Map<String, String> arguments) {
        ByteBuf out = SpopFrame.begin(channel.alloc().buffer(), SpopFrame.Type.NOTIFY, nextStream++, 1);
        SpopFrame.string(out, message);
        out.writeByte(arguments.size());
        arguments.forEach((name, text) -> SpopFrame.pair(out, name, text));
        return SpopFrame.end(out);
    }

    @Override
    public void half() {
        ByteBuf whole = notification("ask", Map.of("id", "cut", "class", "read"));
        channel.writeAndFlush(whole.writerIndex(whole.readableBytes() / 2));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) throws SpopFrame.Invalid {
        SpopFrame frame = SpopFrame.read(bytes);
        if (frame.type() == SpopFrame.Type.AGENT_HELLO) {
            ready.run();
        } else if (frame.type() == SpopFrame.Type.ACK) {
            Consumer<Map<String, String>> waiting = due.remove(frame.stream());
            waiting.accept(variables(frame.payload()));
        } else {
            ctx.close();
        }
    }

    private static Map<String, String> variables(ByteBuf in) throws SpopFrame.Invalid {
        Map<String, String> set = new LinkedHashMap<>();
        while (in.isReadable()) {
            in.skipBytes(1);
            if (in.readByte() != SET_VAR_ARGS) {
                throw new IllegalStateException("an action that sets no variable");
            }
            in.skipBytes(1);
            set.put(SpopFrame.string(in), SpopFrame.value(in));
        }
        return set;
    }

    @Override
    public void broken() {
        List<Consumer<Map<String, String>>> lost = List.copyOf(due.values());
        due.clear();
        lost.forEach(c -> c.accept(null));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
