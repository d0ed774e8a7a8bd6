package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.consult.Tally;

/** The consult API of a complete sidecar, called over HTTP. */
class ConsultApiTest {
    private static final String NOWHERE = "127.0.0.1:1";
    private static final String CONFIG = """
            {"http": {"listen": "127.0.0.1:0", "connections": 3},
             "bounds": {"open_per_caller": 2, "pick_up_ms": 200}}""";

    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpClient client = HttpClient.newHttpClient();
    private TestNode node;

    @BeforeEach
    void start() throws Exception {
        node = new TestNode(
                ProcessorConfig.parse(CONFIG, mapper), 1024, NOWHERE, "ask", "127.0.0.1:7001", "127.0.0.1:7002");
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
    }

    private HttpResponse<String> post(String path, String body, String... headers) throws Exception {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.consultPort + path))
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
    }

    private <T> T onLoop(Callable<T> question) throws Exception {
        return node.group.next().submit(question).get();
    }

    @Test
    void asksAndReportsInJson() throws Exception {
        HttpResponse<String> asked = post("/v1/ask", "{\"id\":\"r1\",\"class\":\"status\",\"timeout_ms\":800}");
        assertEquals(200, asked.statusCode(), asked.body());
        JsonNode send = mapper.readTree(asked.body());
        assertEquals("send", send.get("do").asText());
        assertTrue(send.get("address").asText().matches("127\\.0\\.0\\.1:700[12]"));
        assertTrue(send.get("within_ms").asDouble() <= 800);
        assertTrue(send.get("valid_ms").asDouble() > 0);
        assertEquals(
                send.get("address").asText(),
                asked.headers().firstValue("Consult-Address").orElse(""));
        HttpResponse<String> again = post("/v1/ask", "{\"id\":\"r1\",\"class\":\"status\"}");
        assertEquals(409, again.statusCode());
        HttpResponse<String> ended = post(
                "/v1/outcome",
                "{\"id\":\"r1\",\"attempt\":0,\"endpoint\":\""
                        + send.get("endpoint").asText() + "\",\"outcome\":\"served\",\"load\":\"util=0.5\"}");
        assertEquals("{\"do\":\"served\"}", ended.body());
        assertEquals(0, onLoop(() -> node.consultations.open()));
    }

    @Test
    void reportOfFailedAttemptReturnsRetry() throws Exception {
        JsonNode first = mapper.readTree(
                post("/v1/ask", "{\"id\":\"r1\",\"class\":\"status\"}").body());
        JsonNode next =
                mapper.readTree(post("/v1/outcome", "{\"id\":\"r1\",\"attempt\":0,\"outcome\":\"connect_failed\"}")
                        .body());
        assertEquals("send", next.get("do").asText());
        assertEquals(1, next.get("attempt").asInt());
        assertTrue(!next.get("endpoint").equals(first.get("endpoint")));
    }

    @Test
    void headersReplaceJsonAndAskMayReportPreviousAttempt() throws Exception {
        HttpResponse<String> asked = post("/v1/ask", "", "Request-Id", "r1", "Request-Class", "status");
        assertEquals("0", asked.headers().firstValue("Consult-Attempt").orElse(""));
        HttpResponse<String> next = post(
                "/v1/ask?deny=403",
                "",
                "Request-Id",
                "r1",
                "Request-Class",
                "status",
                "Consult-Attempt",
                "0",
                "Consult-Status",
                "502",
                "Consult-Connect-Time",
                "-");
        assertEquals("1", next.headers().firstValue("Consult-Attempt").orElse(""));
    }

    @Test
    void possiblyRunRequestFailsAndStaysFailed() throws Exception {
        post("/v1/ask", "{\"id\":\"w1\",\"class\":\"submit\"}");
        HttpResponse<String> ended = post(
                "/v1/outcome?deny=403",
                "{\"id\":\"w1\",\"attempt\":0,\"status\":502,\"connected\":true,\"answered\":false}");
        assertEquals(403, ended.statusCode());
        assertEquals("fail", ended.headers().firstValue("Consult-Do").orElse(""));
        assertEquals(
                502, post("/v1/ask", "{\"id\":\"w1\",\"class\":\"submit\"}").statusCode());
    }

    @Test
    void callerOverItsLimitGets429AndMayRetry() throws Exception {
        post("/v1/ask", "{\"id\":\"a\",\"class\":\"status\"}");
        post("/v1/ask", "{\"id\":\"b\",\"class\":\"status\"}");
        HttpResponse<String> third = post("/v1/ask", "{\"id\":\"c\",\"class\":\"status\"}");
        assertEquals(429, third.statusCode());
        assertEquals("1.000", third.headers().firstValue("Retry-After").orElse(""));
        assertEquals(204, post("/v1/cancel", "{\"id\":\"a\"}").statusCode());
        assertEquals(200, post("/v1/ask", "{\"id\":\"c\",\"class\":\"status\"}").statusCode());
    }

    @Test
    void reloadAppliesBoundsAndIgnoresInvalidFile(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("processor.json");
        for (String bad : new String[] {"{", CONFIG.replace("open_per", "opn_per")}) {
            Files.writeString(file, bad);
            onLoop(Executors.callable(() -> node.processor.reload(file.toString())));
        }
        post("/v1/ask", "{\"id\":\"a\",\"class\":\"status\"}");
        Files.writeString(file, CONFIG.replace("\"open_per_caller\": 2", "\"open_per_caller\": 1"));
        assertEquals(200, post("/v1/ask", "{\"id\":\"b\",\"class\":\"status\"}").statusCode());
        assertEquals(204, post("/v1/cancel", "{\"id\":\"b\"}").statusCode());
        onLoop(Executors.callable(() -> node.processor.reload(file.toString())));
        assertEquals(429, post("/v1/ask", "{\"id\":\"c\",\"class\":\"status\"}").statusCode());
    }

    @Test
    void usesConfiguredHeaderNames() throws Exception {
        try (TestNode customNode =
                new TestNode(ProcessorConfig.parse("""
                {"http": {"listen": "127.0.0.1:0"}, "class": "status",
                 "headers": {"id": "X-Id", "class": "X-Kind", "timeout": "X-Wait-Ms"}}""", mapper), 1024, NOWHERE, "ask", "127.0.0.1:7001")) {
            URI at = URI.create("http://127.0.0.1:" + customNode.consultPort + "/v1/ask");
            HttpResponse<String> told = client.send(
                    HttpRequest.newBuilder(at)
                            .header("X-Id", "a")
                            .header("X-Wait-Ms", "700")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            assertEquals(200, told.statusCode(), told.body());
            assertTrue(mapper.readTree(told.body()).get("within_ms").asDouble() <= 700);
            HttpResponse<String> unknown = client.send(
                    HttpRequest.newBuilder(at)
                            .header("X-Id", "b")
                            .header("X-Kind", "none")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            assertEquals(
                    "class 'none' is unknown",
                    mapper.readTree(unknown.body()).get("error").asText());
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> new TestNode(
                        ProcessorConfig.parse("{\"http\":{\"listen\":\"127.0.0.1:0\"},\"class\":\"none\"}", mapper),
                        1024,
                        NOWHERE,
                        "ask",
                        "127.0.0.1:7001"));
    }

    @Test
    void streamedAnswerCompletesRequest() throws Exception {
        post("/v1/ask", "{\"id\":\"w1\",\"class\":\"submit\"}");
        assertEquals(204, post("/v1/streaming", "{\"id\":\"w1\",\"attempt\":0}").statusCode());
        assertEquals(
                "{\"do\":\"served\"}",
                post("/v1/outcome", "{\"id\":\"w1\",\"attempt\":0,\"outcome\":\"reset\"}")
                        .body());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{",
                "[]",
                "{\"class\":\"status\"}",
                "{\"id\":\"a b\",\"class\":\"status\"}",
                "{\"id\":\"a\"}",
                "{\"id\":\"a\",\"class\":\"none\"}",
                "{\"id\":\"a\",\"class\":\"status\",\"timeout_ms\":-1}",
                "{\"id\":\"a\",\"class\":\"status\",\"timeout_ms\":1e12}",
                "{\"id\":\"a\",\"class\":\"status\",\"attempt\":1.5,\"status\":200}",
                "{\"id\":\"a\",\"class\":\"status\",\"attempt\":0,\"outcome\":\"fine\"}"
            })
    void invalidCallGetsErrorAndOpensNothing(String body) throws Exception {
        HttpResponse<String> answer = post("/v1/ask", body);
        assertEquals(400, answer.statusCode());
        assertTrue(mapper.readTree(answer.body()).hasNonNull("error"), answer.body());
        assertEquals(0, onLoop(() -> node.consultations.open()));
    }

    @Test
    void reportsOnUnknownRequestsAreOnlyCounted() throws Exception {
        assertEquals(
                404,
                post("/v1/outcome", "{\"id\":\"x\",\"attempt\":0,\"outcome\":\"served\"}")
                        .statusCode());
        assertEquals(1, onLoop(() -> node.consultations.tally().count(Tally.Kind.LATE)));
        assertEquals(404, post("/v2/ask", "{}").statusCode());
    }

    @Test
    void oversizedMessageIsRejectedAndOthersAreServed() throws Exception {
        assertEquals(413, post("/v1/ask", "x".repeat(20_000)).statusCode());
        try (Socket raw = new Socket("127.0.0.1", node.consultPort)) {
            raw.getOutputStream().write("GET /v1/ask HTTP/1.1\r\nX: ".getBytes(StandardCharsets.US_ASCII));
            raw.getOutputStream().write("y".repeat(100_000).getBytes(StandardCharsets.US_ASCII));
            raw.setSoTimeout(FakeServer.TIMEOUT_S * 1000);
            byte[] start = raw.getInputStream().readNBytes(12);
            assertTrue(new String(start, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 4"));
        }
        assertEquals(200, post("/v1/ask", "{\"id\":\"r\",\"class\":\"status\"}").statusCode());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{\"http\":{\"listen\":\"x\"}}",
                "{\"htp\":{}}",
                "{\"http\":[]}",
                "{\"http\":{\"listen\":\"127.0.0.1:0\",\"connections\":0}}",
                "{\"http\":{\"listen\":\"127.0.0.1:0\"},\"bounds\":{\"open\":1e9}}",
                "{\"http\":{\"listen\":\"127.0.0.1:0\"},\"bounds\":{\"opn\":1}}",
                "{\"http\":{\"listen\":\"127.0.0.1:0\"},\"headers\":{\"outcome\":\"x\"}}",
                "{\"http\":{\"listen\":\"127.0.0.1:0\"},\"headers\":{\"id\":\"a b\"}}",
                "{\"envoy\":{\"listen\":\"127.0.0.1:0\",\"streams\":0}}"
            })
    void invalidFileGivesOneLineError(String text) {
        String why = assertThrows(IllegalArgumentException.class, () -> ProcessorConfig.parse(text, mapper))
                .getMessage();
        assertTrue(why.length() > 5 && !why.contains("\n"), why);
    }
}
