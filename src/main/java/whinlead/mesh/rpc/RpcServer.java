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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.flow.FlowControlHandler;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.List;
import java.util.function.Consumer;

/**
 * Accepts calls of endpoints and operators: decodes each into an {@link RpcCall}, which is run elsewhere, and sends the
 * {@link RpcResponse}, which may come from any thread, in the order of the calls of each connection. Uses one event
 * loop.
 */
public final class RpcServer {
    private static final String PATH = "/whinlead/rpc";
    private static final int HEXADECIMAL_RADIX = 16;

    /** Runs calls. */
    public interface CallHandler {
        /** Runs a call and responds to it once, from any thread. */
        void run(RpcCall call, Consumer<RpcResponse> respond);
    }

    private final EventLoop loop;
    private final CallHandler callHandler;
    private final ObjectMapper mapper;

    /** Creates a server whose calls are run by this handler, which is called on the event loop. */
    public RpcServer(EventLoop loop, ObjectMapper mapper, CallHandler callHandler) {
        this.loop = loop;
        this.mapper = mapper.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        this.callHandler = callHandler;
    }

    /** Starts to listen; the future fails if the address is in use. */
    public ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(handlers())
                .bind(address);
    }

    /** Returns an initializer that installs the handlers of each new connection. */
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

    private void run(HttpRequest head, byte[] body, Consumer<RpcResponse> respond) {
        try {
            callHandler.run(decode(head, body), respond);
        } catch (InvalidCallException e) {
            respond.accept(RpcResponse.error(e.status, e.getMessage()));
        } catch (IOException e) {
            respond.accept(RpcResponse.error(HttpResponseStatus.BAD_REQUEST, "the body can't be read"));
        }
    }

    private RpcCall decode(HttpRequest request, byte[] body) throws IOException, InvalidCallException {
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        if (!PATH.equals(query.path()) || !HttpMethod.POST.equals(request.method())) {
            throw new InvalidCallException(HttpResponseStatus.NOT_FOUND, "nothing is at " + query.path());
        }
        String call = firstParameter(query, "call");
        return switch (call) {
            case "members.heartbeat" ->
                new RpcCall.Heartbeat(endpointId(query), mapper.readValue(body, RpcCall.EndpointStatus.class));
            case "members.depart" -> new RpcCall.Depart(endpointId(query));
            case "config.replace" -> new RpcCall.Replace(version(request), body);
            case "config.read" -> new RpcCall.Read();
            default -> throw new InvalidCallException(HttpResponseStatus.NOT_FOUND, "call names nothing: " + call);
        };
    }

    private static String firstParameter(QueryStringDecoder query, String name) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.isEmpty() ? "" : values.get(0);
    }

    private static String endpointId(QueryStringDecoder query) throws InvalidCallException {
        String endpointId = firstParameter(query, "of");
        if (endpointId.isEmpty()) {
            throw new InvalidCallException(HttpResponseStatus.BAD_REQUEST, "of is missing");
        }
        if (endpointId.length() > RpcCall.MAX_ENDPOINT_ID_LENGTH) {
            throw new InvalidCallException(
                    HttpResponseStatus.BAD_REQUEST,
                    "of has more than " + RpcCall.MAX_ENDPOINT_ID_LENGTH + " characters");
        }
        return endpointId;
    }

    private static long version(HttpRequest request) throws InvalidCallException {
        String text = request.headers()
                .get(HttpHeaderNames.IF_MATCH, "")
                .replace("\"", "")
                .trim();
        try {
            return Long.parseLong(text, HEXADECIMAL_RADIX);
        } catch (NumberFormatException e) {
            throw new InvalidCallException(HttpResponseStatus.BAD_REQUEST, "If-Match is no version: " + text);
        }
    }

    /** A request that is not a valid call; the message is one line for the sender. */
    private static final class InvalidCallException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        private InvalidCallException(HttpResponseStatus status, String message) {
            super(message);
            this.status = status;
        }
    }
}
