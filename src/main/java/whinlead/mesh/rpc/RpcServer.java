package whinlead.mesh.rpc;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.flow.FlowControlHandler;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.List;
import java.util.function.Consumer;

/**
 * Takes the calls of endpoints and operators: decodes each into an {@link RpcCall}, which is run elsewhere, and sends
 * the {@link RpcResponse}, from whichever thread it comes, in the order of the calls of each connection. One loop.
 */
public final class RpcServer {
    private static final String PATH = "/whinlead/rpc";
    private static final int BAD = 400;
    private static final int NOT_FOUND = 404;

    /** Runs orders. */
    public interface CallHandler {
        /** Runs one and answers it once. */
        void run(RpcCall order, Consumer<RpcResponse> answer);
    }

    private final EventLoop loop;
    private final CallHandler callHandler;
    private final ObjectMapper mapper;

    /** A server whose orders this worker runs, called on the loop. */
    public RpcServer(EventLoop loop, ObjectMapper mapper, CallHandler callHandler) {
        this.loop = loop;
        this.mapper = mapper.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        this.callHandler = callHandler;
    }

    /** Listens. */
    public ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(handlers())
                .bind(address);
    }

    /** What goes on each connection. */
    public ChannelInitializer<Channel> handlers() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline()
                        .addLast(
                                new HttpServerCodec(),
                                new FlowControlHandler(),
                                new RpcConnection(RpcServer.this::run));
            }
        };
    }

    private void run(HttpRequest head, byte[] body, Consumer<RpcResponse> answer) {
        try {
            callHandler.run(decode(head, body), answer);
        } catch (BadCall e) {
            answer.accept(RpcResponse.not(e.status, e.getMessage()));
        } catch (IOException e) {
            answer.accept(RpcResponse.not(BAD, "the body can't be read"));
        }
    }

    private RpcCall decode(HttpRequest request, byte[] body) throws IOException, BadCall {
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        if (!PATH.equals(query.path()) || !HttpMethod.POST.equals(request.method())) {
            throw new BadCall(NOT_FOUND, "nothing is at " + query.path());
        }
        String call = first(query, "call");
        return switch (call) {
            case "members.heartbeat" ->
                new RpcCall.Heartbeat(id(query), mapper.readValue(body, RpcCall.EndpointStatus.class));
            case "members.depart" -> new RpcCall.Depart(id(query));
            case "config.replace" -> new RpcCall.Replace(version(request), body);
            case "config.read" -> new RpcCall.Read();
            default -> throw new BadCall(NOT_FOUND, "call names nothing: " + call);
        };
    }

    private static String first(QueryStringDecoder query, String name) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.isEmpty() ? "" : values.get(0);
    }

    private static String id(QueryStringDecoder query) throws BadCall {
        String id = first(query, "of");
        if (id.isEmpty()) {
            throw new BadCall(BAD, "of is missing");
        }
        return id;
    }

    private static long version(HttpRequest request) throws BadCall {
        String text = request.headers()
                .get(HttpHeaderNames.IF_MATCH, "")
                .replace("\"", "")
                .trim();
        try {
            return Long.parseLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BadCall(BAD, "If-Match is no version: " + text);
        }
    }

    /** A call that can't be made an order. */
    private static final class BadCall extends Exception {
        private static final long serialVersionUID = 1L;
        private final int status;

        private BadCall(int status, String message) {
            super(message);
            this.status = status;
        }
    }
}
