package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpBody;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.StreamObserver;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import whinlead.consult.Tally;

/** Envoy's external processing on a complete sidecar, with a real gRPC client and Envoy's message types. */
class ExtProcTest {
    private static final String NOWHERE = "127.0.0.1:1";
    private static final String CONFIG = """
            {"envoy": {"listen": "127.0.0.1:0", "connections": 3, "streams": 400},
             "headers": {"class": "x-kind"}, "class": "status",
             "bounds": {"open_per_caller": 2, "pick_up_ms": 2000}}""";
    private static final int REQUESTS = 200;
    private static final String FILTER = "envoy.filters.http.ext_proc";

    private final List<ManagedChannel> channels = new ArrayList<>();
    private TestNode node;

    @BeforeEach
    void start() throws Exception {
        node = new TestNode(
                ProcessorConfig.parse(CONFIG, new ObjectMapper()),
                1024,
                NOWHERE,
                "ask",
                "127.0.0.1:7001",
                "127.0.0.1:7002");
    }

    @AfterEach
    void stop() throws Exception {
        channels.forEach(ManagedChannel::shutdownNow);
        node.close();
    }

    private ManagedChannel newChannel() {
        ManagedChannel channel = NettyChannelBuilder.forAddress(node.processorAddresses.get("envoy"))
                .usePlaintext()
                .build();
        channels.add(channel);
        return channel;
    }

    private <T> T onLoop(Callable<T> question) throws Exception {
        return node.group.next().submit(question).get();
    }

    private void awaitOpen(int count) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_S);
        while (onLoop(() -> node.consultations.open()) != count) {
            assertTrue(System.nanoTime() < end, "open: " + onLoop(() -> node.consultations.open()));
        }
    }

    /** One stream and the messages received on it; its end status counts as a message. */
    private static final class Stream implements ClientResponseObserver<ProcessingRequest, ProcessingResponse> {
        private final BlockingQueue<Object> received = new LinkedBlockingQueue<>();
        private final boolean autoRead;
        private final StreamObserver<ProcessingRequest> requests;

        Stream(ManagedChannel channel, boolean reads) {
            this.autoRead = reads;
            requests = ExternalProcessorGrpc.newStub(channel).process(this);
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ProcessingRequest> call) {
            if (!autoRead) {
                call.disableAutoRequestWithInitial(0);
            }
        }

        @Override
        public void onNext(ProcessingResponse response) {
            received.add(response);
        }

        @Override
        public void onError(Throwable cause) {
            received.add(Status.fromThrowable(cause).getCode());
        }

        @Override
        public void onCompleted() {
            received.add(Status.Code.OK);
        }

        Object nextMessage() throws InterruptedException {
            Object next = received.poll(FakeServer.TIMEOUT_S, TimeUnit.SECONDS);
            assertNotNull(next, "no answer");
            return next;
        }

        ProcessingResponse nextResponse() throws InterruptedException {
            return (ProcessingResponse) nextMessage();
        }

        Stream sendRequest(String id, String type) {
            requests.onNext(request(Map.of("x-request-id", id, "x-kind", type)));
            return this;
        }

        ProcessingResponse reportResponse(String status, String details, String address) throws Exception {
            requests.onNext(ProcessingRequest.newBuilder()
                    .setResponseHeaders(headers(Map.of(":status", status)))
                    .putAttributes(
                            FILTER,
                            Struct.newBuilder()
                                    .putFields(
                                            "response.code_details",
                                            Value.newBuilder()
                                                    .setStringValue(details)
                                                    .build())
                                    .putFields(
                                            "upstream.address",
                                            Value.newBuilder()
                                                    .setStringValue(address)
                                                    .build())
                                    .build())
                    .build());
            return nextResponse();
        }
    }

    private static HttpHeaders headers(Map<String, String> headers) {
        HeaderMap.Builder map = HeaderMap.newBuilder();
        headers.forEach((name, value) ->
                map.addHeaders(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value))));
        return HttpHeaders.newBuilder().setHeaders(map).build();
    }

    private static ProcessingRequest request(Map<String, String> headers) {
        return ProcessingRequest.newBuilder()
                .setRequestHeaders(headers(headers))
                .build();
    }

    private static Map<String, String> headerMap(List<HeaderValueOption> options) {
        Map<String, String> set = new LinkedHashMap<>();
        options.forEach(
                o -> set.put(o.getHeader().getKey(), o.getHeader().getRawValue().toStringUtf8()));
        return set;
    }

    private static Map<String, String> routingHeaders(ProcessingResponse answer) {
        assertTrue(answer.hasRequestHeaders(), answer::toString);
        return headerMap(
                answer.getRequestHeaders().getResponse().getHeaderMutation().getSetHeadersList());
    }

    private static int status(ProcessingResponse answer) {
        return answer.getImmediateResponse().getStatus().getCodeValue();
    }

    private static String consultDo(ProcessingResponse answer) {
        return headerMap(answer.getImmediateResponse().getHeaders().getSetHeadersList())
                .get("consult-do");
    }

    @Test
    void routesRequestAndTakesItsResponseAsReport() throws Exception {
        Stream stream = new Stream(newChannel(), true).sendRequest("r1", "status");
        ProcessingResponse told = stream.nextResponse();
        String address = routingHeaders(told).get("x-whinlead-destination");
        assertTrue(address.matches("127\\.0\\.0\\.1:700[12]"), address);
        Struct own = told.getDynamicMetadata().getFieldsOrThrow("whinlead").getStructValue();
        assertEquals(address, own.getFieldsOrThrow("destination").getStringValue());
        assertTrue(own.getFieldsOrThrow("valid_ms").getNumberValue() > 0);
        assertEquals(
                routingHeaders(told).get("x-whinlead-endpoint"),
                told.getDynamicMetadata()
                        .getFieldsOrThrow("envoy.lb")
                        .getStructValue()
                        .getFieldsOrThrow("endpoint")
                        .getStringValue());
        assertTrue(stream.reportResponse("200", "via_upstream", address).hasResponseHeaders());
        assertEquals(Status.Code.OK, stream.nextMessage());
        awaitOpen(0);
        assertEquals(0, onLoop(() -> node.consultations.tally().count(Tally.Kind.NOT_REPORTED)));
    }

    @Test
    void retryByEnvoyIsNextAttemptOfSameRequest() throws Exception {
        ManagedChannel channel = newChannel();
        Stream first = new Stream(channel, true).sendRequest("r1", "status");
        Map<String, String> told = routingHeaders(first.nextResponse());
        first.reportResponse("503", "upstream_reset_before_response_started{remote_connection_failure}", "");
        Map<String, String> again = routingHeaders(
                new Stream(channel, true).sendRequest("r1", "status").nextResponse());
        assertEquals("1", again.get("x-whinlead-attempt"));
        assertNotEquals(told.get("x-whinlead-endpoint"), again.get("x-whinlead-endpoint"));
        assertEquals(1, onLoop(() -> node.consultations.open()));
    }

    @Test
    void inFlightRequestIsNotResentAndPossiblyRunRequestStaysFailed() throws Exception {
        ManagedChannel channel = newChannel();
        Stream first = new Stream(channel, true).sendRequest("w1", "submit");
        routingHeaders(first.nextResponse());
        ProcessingResponse second =
                new Stream(newChannel(), true).sendRequest("w1", "submit").nextResponse();
        assertEquals(409, status(second));
        assertEquals("already_out", consultDo(second));
        // Envoy's own answer would be 503, which means a refusal.
        ProcessingResponse ended =
                first.reportResponse("503", "upstream_reset_before_response_started{connection_termination}", "");
        assertEquals(502, status(ended));
        ProcessingResponse third =
                new Stream(channel, true).sendRequest("w1", "submit").nextResponse();
        assertEquals("fail", consultDo(third));
    }

    @Test
    void failedConnectOfLastRouterRetryDoesNotProveThatNothingRan() throws Exception {
        Stream stream = new Stream(newChannel(), true).sendRequest("w1", "submit");
        routingHeaders(stream.nextResponse());
        stream.requests.onNext(ProcessingRequest.newBuilder()
                .setResponseHeaders(headers(Map.of(":status", "503")))
                .putAttributes(
                        FILTER,
                        Struct.newBuilder()
                                .putFields(
                                        "response.code_details",
                                        Value.newBuilder()
                                                .setStringValue(
                                                        "upstream_reset_before_response_started{connection_failure}")
                                                .build())
                                .putFields(
                                        "upstream.request_attempt_count",
                                        Value.newBuilder().setNumberValue(2).build())
                                .build())
                .build());
        assertEquals("fail", consultDo(stream.nextResponse()));
    }

    @Test
    void requestProvenNotToHaveRunIsRefused() throws Exception {
        node.group.next().submit(() -> {}).get();
        ManagedChannel channel = newChannel();
        ProcessingResponse end = null;
        // Each attempt that failed to connect is followed by another until none is left.
        for (int i = 0; i < 10 && end == null; i++) {
            Stream stream = new Stream(channel, true).sendRequest("w1", "submit");
            ProcessingResponse told = stream.nextResponse();
            if (told.hasImmediateResponse()) {
                end = told;
            } else {
                ProcessingResponse r =
                        stream.reportResponse("503", "upstream_reset_before_response_started{connection_failure}", "");
                end = r.hasImmediateResponse() ? r : null;
            }
        }
        assertEquals(503, status(end));
        assertEquals("refuse", consultDo(end));
    }

    @Test
    void responseFromOtherAddressCountsAsMisdirected() throws Exception {
        Stream stream = new Stream(newChannel(), true).sendRequest("r1", "status");
        routingHeaders(stream.nextResponse());
        stream.reportResponse("200", "via_upstream", "127.0.0.1:9");
        assertEquals(1, onLoop(() -> node.consultations.tally().count(Tally.Kind.MISDIRECTED)));
        awaitOpen(0);
    }

    @Test
    void streamEndingWithoutResponseLeavesNothingOpen() throws Exception {
        Stream stream = new Stream(newChannel(), true).sendRequest("w1", "submit");
        routingHeaders(stream.nextResponse());
        stream.requests.onCompleted();
        assertEquals(Status.Code.OK, stream.nextMessage());
        awaitOpen(0);
        assertEquals(
                "fail",
                consultDo(new Stream(newChannel(), true)
                        .sendRequest("w1", "submit")
                        .nextResponse()));
    }

    @Test
    void lostCallerLeavesNothingOpenAndOthersAreServed() throws Exception {
        ManagedChannel dyingChannel = newChannel();
        List<Stream> streams = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            streams.add(new Stream(dyingChannel, true).sendRequest("w" + i, "submit"));
        }
        int routed = 0;
        for (Stream stream : streams) {
            routed += stream.nextResponse().hasRequestHeaders() ? 1 : 0;
        }
        assertTrue(routed > 0);
        assertEquals(routed, onLoop(() -> node.consultations.open()));
        dyingChannel.shutdownNow();
        awaitOpen(0);
        routingHeaders(new Stream(newChannel(), true).sendRequest("r", "status").nextResponse());
    }

    @Test
    void callerThatDoesNotReadDelaysOnlyItself() throws Exception {
        ManagedChannel channel = newChannel();
        Stream stalled = new Stream(channel, false).sendRequest("r1", "status");
        ProcessingRequest body = ProcessingRequest.newBuilder()
                .setRequestBody(HttpBody.newBuilder().setBody(ByteString.copyFrom(new byte[60_000])))
                .build();
        for (int i = 0; i < 20; i++) {
            stalled.requests.onNext(body);
        }
        for (int i = 0; i < 20; i++) {
            Stream stream = new Stream(channel, true).sendRequest("q" + i, "status");
            stream.reportResponse(
                    "200", "via_upstream", routingHeaders(stream.nextResponse()).get("x-whinlead-destination"));
        }
        assertNull(stalled.received.peek());
    }

    @Test
    void invalidRequestGetsErrorMessage() throws Exception {
        ProcessingResponse unknown =
                new Stream(newChannel(), true).sendRequest("r1", "none").nextResponse();
        assertEquals(400, status(unknown));
        assertEquals(
                "class 'none' is unknown",
                unknown.getImmediateResponse().getBody().toStringUtf8());
        Stream noId = new Stream(newChannel(), true);
        noId.requests.onNext(request(Map.of(":path", "/")));
        assertEquals(
                "x-request-id is missing or malformed",
                noId.nextResponse().getImmediateResponse().getBody().toStringUtf8());
        // A request that names no class gets the default class.
        Stream usual = new Stream(newChannel(), true);
        usual.requests.onNext(request(Map.of("x-request-id", "r2")));
        routingHeaders(usual.nextResponse());
    }

    @Test
    void protocolViolationEndsOnlyItsStream() throws Exception {
        ManagedChannel channel = newChannel();
        Stream early = new Stream(channel, true);
        early.requests.onNext(ProcessingRequest.newBuilder()
                .setResponseHeaders(headers(Map.of(":status", "200")))
                .build());
        assertEquals(Status.Code.INVALID_ARGUMENT, early.nextMessage());
        Stream empty = new Stream(channel, true);
        empty.requests.onNext(ProcessingRequest.getDefaultInstance());
        assertEquals(Status.Code.INVALID_ARGUMENT, empty.nextMessage());
        Stream twice = new Stream(channel, true).sendRequest("w1", "submit");
        routingHeaders(twice.nextResponse());
        assertEquals(
                Status.Code.INVALID_ARGUMENT, twice.sendRequest("w1", "submit").nextMessage());
        Stream large = new Stream(channel, true);
        large.requests.onNext(request(Map.of("x-request-id", "r", "x", "y".repeat(100_000))));
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, large.nextMessage());
        assertNotEquals(Status.Code.OK, sendRaw(channel, new byte[] {-1, -1, -1}));
        awaitOpen(0);
        routingHeaders(new Stream(channel, true).sendRequest("r9", "status").nextResponse());
    }

    // Sends bytes that a client with the generated message classes can't send.
    private static Status.Code sendRaw(ManagedChannel channel, byte[] bytes) throws InterruptedException {
        MethodDescriptor.Marshaller<byte[]> plain = new MethodDescriptor.Marshaller<>() {
            @Override
            public InputStream stream(byte[] value) {
                return new ByteArrayInputStream(value);
            }

            @Override
            public byte[] parse(InputStream stream) {
                try {
                    return stream.readAllBytes();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        };
        ClientCall<byte[], byte[]> call = channel.newCall(
                ExternalProcessorGrpc.getProcessMethod().toBuilder(plain, plain).build(), CallOptions.DEFAULT);
        BlockingQueue<Status.Code> endStatus = new LinkedBlockingQueue<>();
        call.start(
                new ClientCall.Listener<>() {
                    @Override
                    public void onClose(Status status, Metadata trailers) {
                        endStatus.add(status.getCode());
                    }
                },
                new Metadata());
        call.request(1);
        call.sendMessage(bytes);
        call.halfClose();
        return endStatus.poll(FakeServer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void connectionsOverLimitAreClosedUntilOthersEnd() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Socket socket =
                    new Socket("127.0.0.1", node.processorAddresses.get("envoy").getPort());
            socket.setSoTimeout(FakeServer.TIMEOUT_S * 1000);
            // The server sends its HTTP/2 SETTINGS frame first.
            assertNotEquals(-1, socket.getInputStream().read());
            sockets.add(socket);
        }
        try (Socket fourth =
                new Socket("127.0.0.1", node.processorAddresses.get("envoy").getPort())) {
            fourth.setSoTimeout(FakeServer.TIMEOUT_S * 1000);
            assertEquals(-1, fourth.getInputStream().read());
        }
        for (Socket socket : sockets) {
            socket.close();
        }
        // The processor detects the closed connections asynchronously; until then it closes this one, too.
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_S);
        int first = -1;
        while (first == -1) {
            assertTrue(System.nanoTime() < end, "closed connections still count");
            try (Socket again =
                    new Socket("127.0.0.1", node.processorAddresses.get("envoy").getPort())) {
                first = again.getInputStream().read();
            }
        }
        routingHeaders(new Stream(newChannel(), true).sendRequest("r", "status").nextResponse());
    }

    @Test
    void openRequestsOfOneCallerAreLimited() throws Exception {
        ManagedChannel channel = newChannel();
        List<Stream> streams = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            streams.add(new Stream(channel, true).sendRequest("w" + i, "submit"));
        }
        int tooMany = 0;
        for (Stream stream : streams) {
            ProcessingResponse response = stream.nextResponse();
            tooMany += response.hasImmediateResponse() && status(response) == 429 ? 1 : 0;
        }
        assertEquals(2, onLoop(() -> node.consultations.open()));
        assertEquals(REQUESTS - 2, tooMany);
    }
}
