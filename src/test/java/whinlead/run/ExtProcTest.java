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

/** Envoy's external processing on a whole sidecar, by a real gRPC client and Envoy's own messages. */
class ExtProcTest {
    private static final String NOWHERE = "127.0.0.1:1";
    private static final String CONFIG = """
            {"envoy": {"listen": "127.0.0.1:0", "connections": 3, "streams": 400},
             "headers": {"class": "x-kind"}, "class": "status",
             "bounds": {"open_per_caller": 2, "pick_up_ms": 2000}}""";
    private static final int MANY = 200;
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

    private ManagedChannel channel() {
        ManagedChannel c = NettyChannelBuilder.forAddress(node.consulted.get("envoy"))
                .usePlaintext()
                .build();
        channels.add(c);
        return c;
    }

    private <T> T onLoop(Callable<T> question) throws Exception {
        return node.group.next().submit(question).get();
    }

    private void awaitOpen(int count) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        while (onLoop(() -> node.consultations.open()) != count) {
            assertTrue(System.nanoTime() < end, "open: " + onLoop(() -> node.consultations.open()));
        }
    }

    /** One stream, and what comes back on it; its end is a message too. */
    private static final class Stream implements ClientResponseObserver<ProcessingRequest, ProcessingResponse> {
        private final BlockingQueue<Object> said = new LinkedBlockingQueue<>();
        private final boolean reads;
        private final StreamObserver<ProcessingRequest> out;

        Stream(ManagedChannel channel, boolean reads) {
            this.reads = reads;
            out = ExternalProcessorGrpc.newStub(channel).process(this);
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ProcessingRequest> call) {
            if (!reads) {
                call.disableAutoRequestWithInitial(0);
            }
        }

        @Override
        public void onNext(ProcessingResponse response) {
            said.add(response);
        }

        @Override
        public void onError(Throwable cause) {
            said.add(Status.fromThrowable(cause).getCode());
        }

        @Override
        public void onCompleted() {
            said.add(Status.Code.OK);
        }

        Object next() throws InterruptedException {
            Object next = said.poll(FakeServer.PATIENCE_S, TimeUnit.SECONDS);
            assertNotNull(next, "no answer");
            return next;
        }

        ProcessingResponse answer() throws InterruptedException {
            return (ProcessingResponse) next();
        }

        Stream ask(String id, String type) {
            out.onNext(request(Map.of("x-request-id", id, "x-kind", type)));
            return this;
        }

        ProcessingResponse response(String status, String details, String address) throws Exception {
            out.onNext(ProcessingRequest.newBuilder()
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
            return answer();
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

    private static Map<String, String> set(List<HeaderValueOption> options) {
        Map<String, String> set = new LinkedHashMap<>();
        options.forEach(
                o -> set.put(o.getHeader().getKey(), o.getHeader().getRawValue().toStringUtf8()));
        return set;
    }

    private static Map<String, String> sent(ProcessingResponse answer) {
        assertTrue(answer.hasRequestHeaders(), answer::toString);
        return set(answer.getRequestHeaders().getResponse().getHeaderMutation().getSetHeadersList());
    }

    private static int status(ProcessingResponse answer) {
        return answer.getImmediateResponse().getStatus().getCodeValue();
    }

    private static String word(ProcessingResponse answer) {
        return set(answer.getImmediateResponse().getHeaders().getSetHeadersList())
                .get("consult-do");
    }

    @Test
    void aRequestIsSentWhereItIsToldAndItsResponseIsTheReport() throws Exception {
        Stream s = new Stream(channel(), true).ask("r1", "status");
        ProcessingResponse told = s.answer();
        String address = sent(told).get("x-whinlead-destination");
        assertTrue(address.matches("127\\.0\\.0\\.1:700[12]"), address);
        Struct own = told.getDynamicMetadata().getFieldsOrThrow("whinlead").getStructValue();
        assertEquals(address, own.getFieldsOrThrow("destination").getStringValue());
        assertTrue(own.getFieldsOrThrow("valid_ms").getNumberValue() > 0);
        assertEquals(
                sent(told).get("x-whinlead-endpoint"),
                told.getDynamicMetadata()
                        .getFieldsOrThrow("envoy.lb")
                        .getStructValue()
                        .getFieldsOrThrow("endpoint")
                        .getStringValue());
        assertTrue(s.response("200", "via_upstream", address).hasResponseHeaders());
        assertEquals(Status.Code.OK, s.next());
        awaitOpen(0);
        assertEquals(0, onLoop(() -> node.consultations.tally().count(Tally.Kind.NOT_REPORTED)));
    }

    @Test
    void aRetryOfEnvoysIsAFurtherAttemptOfTheSameRequest() throws Exception {
        ManagedChannel c = channel();
        Stream first = new Stream(c, true).ask("r1", "status");
        Map<String, String> told = sent(first.answer());
        first.response("503", "upstream_reset_before_response_started{remote_connection_failure}", "");
        Map<String, String> again = sent(new Stream(c, true).ask("r1", "status").answer());
        assertEquals("1", again.get("x-whinlead-attempt"));
        assertNotEquals(told.get("x-whinlead-endpoint"), again.get("x-whinlead-endpoint"));
        assertEquals(1, onLoop(() -> node.consultations.open()));
    }

    @Test
    void whatIsOutIsNotSentAgainAndWhatMayHaveRunStaysFailed() throws Exception {
        ManagedChannel c = channel();
        Stream first = new Stream(c, true).ask("w1", "submit");
        sent(first.answer());
        ProcessingResponse second =
                new Stream(channel(), true).ask("w1", "submit").answer();
        assertEquals(409, status(second));
        assertEquals("already_out", word(second));
        // Envoy's own answer would be 503, which reads as a refusal.
        ProcessingResponse ended =
                first.response("503", "upstream_reset_before_response_started{connection_termination}", "");
        assertEquals(502, status(ended));
        ProcessingResponse third = new Stream(c, true).ask("w1", "submit").answer();
        assertEquals("fail", word(third));
    }

    @Test
    void aLastTryThatNeverConnectedProvesNothingOfARoutersTriesBefore() throws Exception {
        Stream s = new Stream(channel(), true).ask("w1", "submit");
        sent(s.answer());
        s.out.onNext(ProcessingRequest.newBuilder()
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
        assertEquals("fail", word(s.answer()));
    }

    @Test
    void whatIsProvenNotToHaveRunIsRefusedAndSaysWhen() throws Exception {
        node.group.next().submit(() -> {}).get();
        ManagedChannel c = channel();
        ProcessingResponse end = null;
        // Each attempt that never connected is followed by another, until there is none left.
        for (int i = 0; i < 10 && end == null; i++) {
            Stream s = new Stream(c, true).ask("w1", "submit");
            ProcessingResponse told = s.answer();
            if (told.hasImmediateResponse()) {
                end = told;
            } else {
                ProcessingResponse r =
                        s.response("503", "upstream_reset_before_response_started{connection_failure}", "");
                end = r.hasImmediateResponse() ? r : null;
            }
        }
        assertEquals(503, status(end));
        assertEquals("refuse", word(end));
    }

    @Test
    void aResponseFromElsewhereCountsForNoEndpoint() throws Exception {
        Stream s = new Stream(channel(), true).ask("r1", "status");
        sent(s.answer());
        s.response("200", "via_upstream", "127.0.0.1:9");
        assertEquals(1, onLoop(() -> node.consultations.tally().count(Tally.Kind.MISDIRECTED)));
        awaitOpen(0);
    }

    @Test
    void aStreamThatEndsWithoutAResponseLeavesNothingOpen() throws Exception {
        Stream s = new Stream(channel(), true).ask("w1", "submit");
        sent(s.answer());
        s.out.onCompleted();
        assertEquals(Status.Code.OK, s.next());
        awaitOpen(0);
        assertEquals(
                "fail", word(new Stream(channel(), true).ask("w1", "submit").answer()));
    }

    @Test
    void aCallerThatDiesLeavesNothingOpenAndOthersAreServed() throws Exception {
        ManagedChannel doomed = channel();
        List<Stream> streams = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            streams.add(new Stream(doomed, true).ask("w" + i, "submit"));
        }
        int told = 0;
        for (Stream s : streams) {
            told += s.answer().hasRequestHeaders() ? 1 : 0;
        }
        assertTrue(told > 0);
        assertEquals(told, onLoop(() -> node.consultations.open()));
        doomed.shutdownNow();
        awaitOpen(0);
        sent(new Stream(channel(), true).ask("r", "status").answer());
    }

    @Test
    void oneThatDoesNotReadHoldsUpItselfOnly() throws Exception {
        ManagedChannel c = channel();
        Stream stalled = new Stream(c, false).ask("r1", "status");
        ProcessingRequest body = ProcessingRequest.newBuilder()
                .setRequestBody(HttpBody.newBuilder().setBody(ByteString.copyFrom(new byte[60_000])))
                .build();
        for (int i = 0; i < 20; i++) {
            stalled.out.onNext(body);
        }
        for (int i = 0; i < 20; i++) {
            Stream s = new Stream(c, true).ask("q" + i, "status");
            s.response("200", "via_upstream", sent(s.answer()).get("x-whinlead-destination"));
        }
        assertNull(stalled.said.peek());
    }

    @Test
    void aRequestThatCantBeUnderstoodIsToldSo() throws Exception {
        ProcessingResponse unknown =
                new Stream(channel(), true).ask("r1", "none").answer();
        assertEquals(400, status(unknown));
        assertEquals(
                "class 'none' is unknown",
                unknown.getImmediateResponse().getBody().toStringUtf8());
        Stream noId = new Stream(channel(), true);
        noId.out.onNext(request(Map.of(":path", "/")));
        assertEquals(
                "x-request-id is missing or malformed",
                noId.answer().getImmediateResponse().getBody().toStringUtf8());
        // One that names no class has the usual one.
        Stream usual = new Stream(channel(), true);
        usual.out.onNext(request(Map.of("x-request-id", "r2")));
        sent(usual.answer());
    }

    @Test
    void breachesOfTheProtocolEndTheirStreamOnly() throws Exception {
        ManagedChannel c = channel();
        Stream early = new Stream(c, true);
        early.out.onNext(ProcessingRequest.newBuilder()
                .setResponseHeaders(headers(Map.of(":status", "200")))
                .build());
        assertEquals(Status.Code.INVALID_ARGUMENT, early.next());
        Stream empty = new Stream(c, true);
        empty.out.onNext(ProcessingRequest.getDefaultInstance());
        assertEquals(Status.Code.INVALID_ARGUMENT, empty.next());
        Stream twice = new Stream(c, true).ask("w1", "submit");
        sent(twice.answer());
        assertEquals(Status.Code.INVALID_ARGUMENT, twice.ask("w1", "submit").next());
        Stream large = new Stream(c, true);
        large.out.onNext(request(Map.of("x-request-id", "r", "x", "y".repeat(100_000))));
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, large.next());
        assertNotEquals(Status.Code.OK, raw(c, new byte[] {-1, -1, -1}));
        awaitOpen(0);
        sent(new Stream(c, true).ask("r9", "status").answer());
    }

    // What no client with the right classes can send.
    private static Status.Code raw(ManagedChannel channel, byte[] bytes) throws InterruptedException {
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
        BlockingQueue<Status.Code> end = new LinkedBlockingQueue<>();
        call.start(
                new ClientCall.Listener<>() {
                    @Override
                    public void onClose(Status status, Metadata trailers) {
                        end.add(status.getCode());
                    }
                },
                new Metadata());
        call.request(1);
        call.sendMessage(bytes);
        call.halfClose();
        return end.poll(FakeServer.PATIENCE_S, TimeUnit.SECONDS);
    }

    @Test
    void connectionsBeyondTheBoundAreClosedAndMakeRoomAgain() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Socket s = new Socket("127.0.0.1", node.consulted.get("envoy").getPort());
            s.setSoTimeout(FakeServer.PATIENCE_S * 1000);
            // The server's own settings come first.
            assertNotEquals(-1, s.getInputStream().read());
            sockets.add(s);
        }
        try (Socket fourth = new Socket("127.0.0.1", node.consulted.get("envoy").getPort())) {
            fourth.setSoTimeout(FakeServer.PATIENCE_S * 1000);
            assertEquals(-1, fourth.getInputStream().read());
        }
        for (Socket s : sockets) {
            s.close();
        }
        // The program hears of that in its own time: until then it closes this one, too.
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        int first = -1;
        while (first == -1) {
            assertTrue(System.nanoTime() < end, "closed connections still count");
            try (Socket again =
                    new Socket("127.0.0.1", node.consulted.get("envoy").getPort())) {
                first = again.getInputStream().read();
            }
        }
        sent(new Stream(channel(), true).ask("r", "status").answer());
    }

    @Test
    void aFloodIsBoundedForItsCaller() throws Exception {
        ManagedChannel c = channel();
        List<Stream> streams = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            streams.add(new Stream(c, true).ask("w" + i, "submit"));
        }
        int tooMany = 0;
        for (Stream s : streams) {
            ProcessingResponse told = s.answer();
            tooMany += told.hasImmediateResponse() && status(told) == 429 ? 1 : 0;
        }
        assertEquals(2, onLoop(() -> node.consultations.open()));
        assertEquals(MANY - 2, tooMany);
    }
}
