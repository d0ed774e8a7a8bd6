package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.Contract;
import whinlead.http.LoadReport;

/** Malformed input reaches neither the decision module nor an endpoint and gives a clear error. */
class BadInputTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET /api HTTP/1.1~Request-Class: status~~ | 400",
                "GET /api HTTP/1.1~Request-Id: ~Request-Class: status~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: other~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~Request-Timeout: soon~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~Request-Timeout: -1~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~Request-Timeout: Infinity~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~Request-Timeout: 1d~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~Request-Timeout: 0x1p3~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~Request-Timeout: 1e1~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~Request-Timeout: 0~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~Request-Timeout: 99999999~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Id: 2~Request-Class: status~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~Request-Class: status~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~Request-Timeout: 5~Request-Timeout: 6~~ | 400",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: pay~Idempotency-Key: a~Idempotency-Key: a~~ | 400",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Content-Length: 0~Content-Length: 0~~ | 400",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Content-Length: -1~~ | 400",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Content-Length: 2~Transfer-Encoding: chunked~~0~"
                        + "~ | 400",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Transfer-Encoding: chunked, x~~0~~ | 400",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Transfer-Encoding: xchunked~~0~~ | 400",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Content-Length: 60000000~~abc | 413",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: other~Content-Length: 500~~abc | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: status~~GET /api HTTP/1.1~Request-Id: 2~ | 400",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Content-Length: 1~~more | 400",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: pay~Content-Length: 0~~ | 400",
                "GET /api HTTP/1.1~Request-Id: 1~Request-Class: submit~~ | 405",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: status~Content-Length: 0~~ | 405",
                "DELETE /api HTTP/1.1~Request-Id: 1~Request-Class: status~~ | 405",
                "POST /health/ready HTTP/1.1~Content-Length: 0~~ | 405",
                "GET /other HTTP/1.1~Request-Id: 1~Request-Class: status~~ | 404",
                "GET /health/live HTTP/1.1~~ | 404",
                "GET /stats HTTP/1.1~~ | 404",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Content-Length: 65537~~ | 413",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Content-Length: x~~ | 400",
                "GET /api NONSENSE~~ | 400"
            })
    void badRequestIsAnsweredAtOnce(String request, int status) throws Exception {
        try (FakeServer endpoint = new FakeServer((r, connection) -> connection.ok("done"));
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient();
                TestClient nextClient = node.newClient()) {
            TestClient.Answer answer = client.call(request.replace("~", "\r\n"));
            assertEquals(status, answer.status());
            // The start of a next request can't be determined, so the connection is closed.
            assertEquals("close", answer.headers().get("connection"));
            assertNull(client.read());
            assertEquals(0, endpoint.connectionCount());
            assertEquals(200, nextClient.call(TestClient.status("5")).status());
        }
    }

    @Test
    void reportsReadiness() throws Exception {
        try (TestNode node = new TestNode(FakeServer.refusingAddress());
                TestClient client = node.newClient()) {
            assertEquals(200, client.call("GET /health/ready HTTP/1.1\r\n\r\n").status());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"listen\":\"127.0.0.1:0\" | \"listen\":\"localhost:0\" | localhost:0",
                "\"listen\":\"127.0.0.1:0\" | \"listen\":\"127.0.0.1:70000\" | 70000",
                "\"discovery\":\"127.0.0.1:1\" | \"other\":1 | ADDRESS:PORT",
                "8c1f30d27a5be964 | seed! | seed!",
                "\"conn_idle\":60000 | \"x\":1 | conn_idle",
                "\"sockets\":1024 | \"sockets\":\"many\" | sockets",
                "\"health\":\"ready\" | \"health\":\"odd\" | s0",
                "at_most_once | sometimes | classes.1.effect",
                "{\"name\":\"n0\" | {\"name\" | JSON"
            })
    void invalidConfigurationGivesOneLineError(String part, String bad, String named) throws Exception {
        String good = TestNode.configJson("127.0.0.1:0", "127.0.0.1:1", 1024, "127.0.0.1:2");
        assertTrue(good.contains(part), part);
        ObjectMapper mapper = new ObjectMapper();
        Config.parse(good, mapper);
        String text = good.replace(part, bad);
        String message = assertThrows(IllegalArgumentException.class, () -> Config.parse(text, mapper))
                .getMessage();
        assertTrue(message.contains(named), message);
        assertFalse(message.contains("\n"), message);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "util",
                "util=",
                "util=x",
                "util=-1",
                "util=NaN",
                "util=Infinity",
                "util=1d",
                "util=0x1p3",
                "qps=99999999",
                "util=0.5,",
                "util=0.5;qps=3"
            })
    void malformedLoadReportIsIgnored(String text) {
        assertNull(LoadReport.parse(text));
    }

    @Test
    void parsesLoadReportAndIgnoresUnknownFields() {
        Contract.Report r = LoadReport.parse("util=0.61,qps=140,eps=0.5,other=3");
        assertEquals(0.61, r.util());
        assertEquals(140, r.perSecond());
        assertEquals(0.5, r.errors());
        assertTrue(Double.isNaN(r.inflight()));
    }
}
