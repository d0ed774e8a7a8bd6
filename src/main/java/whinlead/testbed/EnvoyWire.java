package whinlead.testbed;

import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A stand-in Envoy's connection to the external processor, by a real gRPC client and Envoy's own messages. An ask opens
 * a stream; the report on what it was told is the response on the same stream. A report on an attempt that no stream
 * has is a stream that ends without a response, as Envoy can't name one.
 */
final class EnvoyWire implements AgentClient.Wire {
    private static final int MAX_STREAMS = 64;
    private static final int FRAME_HEADER = 9;
    private static final int FRAME_LENGTH = 100;
    private static final String ELSEWHERE = "127.0.0.1:9";
    private static final String FILTER = "envoy.filters.http.ext_proc";

    /** One stream; its first answer is to the ask and its second to the report. */
    private static final class Try implements StreamObserver<ProcessingResponse> {
        private final EnvoyWire wire;
        private final StreamObserver<ProcessingRequest> out;
        private final String id;
        private Consumer<Map<String, String>> due;
        private String told;
        private boolean again;

        private Try(EnvoyWire wire, String id, Consumer<Map<String, String>> answer) {
            this.wire = wire;
            this.id = id;
            due = answer;
            wire.open++;
            out = ExternalProcessorGrpc.newStub(wire.grpc).process(this);
        }

        @Override
        public void onNext(ProcessingResponse response) {
            Map<String, String> said = new LinkedHashMap<>();
            if (response.hasImmediateResponse()) {
                said.putAll(headers(response.getImmediateResponse().getHeaders().getSetHeadersList()));
                said.put("do", said.get("consult-do"));
            } else if (response.hasRequestHeaders()) {
                Map<String, String> set = headers(response.getRequestHeaders()
                        .getResponse()
                        .getHeaderMutation()
                        .getSetHeadersList());
                said.put("do", "send");
                said.put("endpoint", set.get("x-whinlead-endpoint"));
                said.put("attempt", set.get("x-whinlead-attempt"));
                told = said.get("attempt");
                wire.tries.put(id, this);
            } else if (again) {
                said.put("do", "again");
            }
            answer(said);
        }

        private void answer(Map<String, String> said) {
            Consumer<Map<String, String>> waiting = due;
            due = null;
            if (waiting != null) {
                wire.open--;
                waiting.accept(said);
            }
        }

        @Override
        public void onError(Throwable cause) {
            wire.tries.remove(id, this);
            answer(null);
        }

        @Override
        public void onCompleted() {
            wire.tries.remove(id, this);
            answer(null);
        }
    }

    private final Map<String, Try> tries;
    private ManagedChannel grpc;
    private Channel channel;
    private int open;

    private EnvoyWire(Map<String, Try> tries) {
        this.tries = tries;
    }

    /** Connections whose reports find their streams on whichever of them they are. */
    static AgentClient.Protocol protocol() {
        Map<String, Try> tries = new HashMap<>();
        return () -> new EnvoyWire(tries);
    }

    @Override
    public void connect(EventLoop loop, SocketAddress to, Runnable ready, Runnable closed) {
        grpc = NettyChannelBuilder.forAddress(to)
                .eventLoopGroup(loop)
                .directExecutor()
                .usePlaintext()
                .channelFactory(() -> channel = new NioSocketChannel())
                .build();
        watch(loop, ready, closed, grpc.getState(true));
    }

    // One connection, as the other protocols have it: gRPC would make the next by itself.
    private void watch(EventLoop loop, Runnable ready, Runnable closed, ConnectivityState seen) {
        grpc.notifyWhenStateChanged(
                seen,
                () -> loop.execute(() -> {
                    ConnectivityState now = grpc.getState(false);
                    if (now == ConnectivityState.READY && seen != ConnectivityState.READY) {
                        ready.run();
                    }
                    if (seen == ConnectivityState.READY && now != ConnectivityState.READY) {
                        // First, or what fails by the shutdown would be tried here again.
                        closed.run();
                        grpc.shutdownNow();
                    } else {
                        watch(loop, ready, closed, now);
                    }
                }));
    }

    private static Map<String, String> headers(List<HeaderValueOption> set) {
        Map<String, String> said = new LinkedHashMap<>();
        set.forEach(h ->
                said.put(h.getHeader().getKey(), h.getHeader().getRawValue().toStringUtf8()));
        return said;
    }

    @Override
    public boolean free() {
        return open < MAX_STREAMS;
    }

    @Override
    public void call(String message, Map<String, String> arguments, Consumer<Map<String, String>> answer) {
        if (message.equals("ask")) {
            ask(arguments, answer);
        } else {
            report(arguments, answer);
        }
    }

    private void ask(Map<String, String> arguments, Consumer<Map<String, String>> answer) {
        Try mine = new Try(this, arguments.get("id"), answer);
        mine.out.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(map(Map.of(
                        ":path",
                        "/",
                        "x-request-id",
                        arguments.get("id"),
                        "request-class",
                        arguments.get("class"),
                        "request-timeout",
                        arguments.get("timeout"))))
                .build());
    }

    private void report(Map<String, String> arguments, Consumer<Map<String, String>> answer) {
        Try mine = tries.remove(arguments.get("id"));
        if (mine == null || !arguments.get("attempt").equals(mine.told)) {
            if (mine != null) {
                mine.out.onCompleted();
            }
            answer.accept(Map.of());
            return;
        }
        String outcome = arguments.get("outcome");
        Struct.Builder told = Struct.newBuilder();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(":status", outcome.equals("served") ? "200" : "503");
        if (outcome.equals("full")) {
            headers.put("not-started", "1");
        }
        told.putFields(
                "response.code_details",
                text(
                        outcome.equals("reset")
                                ? "upstream_reset_before_response_started{connection_termination}"
                                : "via_upstream"));
        if (arguments.get("endpoint").equals("elsewhere")) {
            told.putFields("upstream.address", text(ELSEWHERE));
        }
        mine.wire.open++;
        mine.due = answer;
        mine.again = !outcome.equals("served");
        mine.out.onNext(ProcessingRequest.newBuilder()
                .setResponseHeaders(map(headers))
                .putAttributes(FILTER, told.build())
                .build());
        mine.out.onCompleted();
    }

    private static Value text(String text) {
        return Value.newBuilder().setStringValue(text).build();
    }

    private static HttpHeaders map(Map<String, String> headers) {
        HeaderMap.Builder map = HeaderMap.newBuilder();
        headers.forEach((name, value) ->
                map.addHeaders(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value))));
        return HttpHeaders.newBuilder().setHeaders(map).build();
    }

    /** The first part of a frame of HTTP/2's ({@code DATA}, RFC 9113, section 4.1). */
    @Override
    public void half() {
        ByteBuf frame = channel.alloc().buffer();
        frame.writeMedium(FRAME_LENGTH).writeByte(0).writeByte(0).writeInt(1);
        frame.writeBytes(new byte[FRAME_LENGTH - FRAME_HEADER]);
        channel.pipeline().firstContext().writeAndFlush(frame);
    }

    @Override
    public void close() {
        channel.close();
    }

    @Override
    public void broken() {
        // gRPC has ended every stream by then.
    }
}
