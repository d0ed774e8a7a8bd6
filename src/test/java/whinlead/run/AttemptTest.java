package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Outcomes of attempts: which requests may have run, which are retried, and what the client receives. */
class AttemptTest {
    private static final FakeServer.Script OK = (r, w) -> w.ok("done");
    private static final FakeServer.Script SILENT = (r, w) -> {};

    @Test
    void forwardsRequestUnchangedAndReusesConnections() throws Exception {
        try (FakeServer endpoint = new FakeServer(OK);
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            TestClient.Answer answer = client.call(
                    "POST /api?obj=7f%20x HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: 9b1f\r\n"
                            + "Request-Class: pay\r\nIdempotency-Key: k7\r\nRequest-Timeout: 5\r\nContent-Length: 3\r\n\r\nabc");
            assertEquals(200, answer.status());
            assertEquals("done", answer.body());
            FakeServer.Request request = endpoint.awaitRequest();
            assertEquals("POST /api?obj=7f%20x HTTP/1.1", request.line());
            assertEquals("9b1f", request.headers().get("request-id"));
            assertEquals("k7", request.headers().get("idempotency-key"));
            double wait = Double.parseDouble(request.headers().get("request-timeout"));
            assertTrue(wait > 0 && wait < 5, "waits " + wait);
            assertArrayEquals("abc".getBytes(StandardCharsets.UTF_8), request.body());

            // A connection is not reused immediately after a response, but later it is.
            for (int i = 0; endpoint.requests.size() <= endpoint.connectionCount() && i < 1000; i++) {
                assertEquals(200, client.call(TestClient.status("5")).status());
            }
            assertTrue(endpoint.requests.size() > endpoint.connectionCount());
        }
    }

    @Test
    void refusedConnectionProvesThatNothingRan() throws Exception {
        try (TestNode node = new TestNode(FakeServer.refusingAddress(), FakeServer.refusingAddress());
                TestClient client = node.newClient()) {
            TestClient.Answer answer = client.call(TestClient.submit("5"));
            assertEquals(503, answer.status());
            assertTrue(Double.parseDouble(answer.headers().get("retry-after")) > 0);
        }
    }

    @Test
    void rejectedUnsafeRequestIsRetriedAtOtherEndpoint() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        FakeServer.Script firstIsFull = (request, connection) -> {
            if (turn.getAndIncrement() == 0) {
                connection.answer("503 Full", "Not-Started: 1\r\n", "");
            } else {
                connection.ok("done");
            }
        };
        try (FakeServer endpoint = new FakeServer(firstIsFull);
                FakeServer otherEndpoint = new FakeServer(firstIsFull);
                TestNode node =
                        new TestNode(FakeServer.refusingAddress(), endpoint.address(), otherEndpoint.address());
                TestClient client = node.newClient()) {
            assertEquals("done", client.call(TestClient.submit("5")).body());
            assertEquals(2, endpoint.requests.size() + otherEndpoint.requests.size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"503 Busy", "504 Late", "429 Slow down", "500 Error", "404 What"})
    void errorStatusOfEndpointIsNeverReportedAsRefusal(String status) throws Exception {
        try (FakeServer endpoint =
                        new FakeServer((request, connection) -> connection.answer(status, "Retry-After: 1\r\n", "x"));
                FakeServer otherEndpoint = new FakeServer((request, connection) -> connection.answer(status, "", "x"));
                TestNode node =
                        new TestNode(FakeServer.refusingAddress(), endpoint.address(), otherEndpoint.address());
                TestClient client = node.newClient()) {
            TestClient.Answer answer = client.call(TestClient.submit("5"));
            assertEquals(502, answer.status());
            assertNull(answer.headers().get("retry-after"));
            assertEquals(1, endpoint.requests.size() + otherEndpoint.requests.size());
        }
    }

    @Test
    void resetAfterWriteFailsUnsafeRequestAfterOneAttempt() throws Exception {
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.reset());
                FakeServer otherEndpoint = new FakeServer((request, connection) -> connection.reset());
                TestNode node =
                        new TestNode(FakeServer.refusingAddress(), endpoint.address(), otherEndpoint.address());
                TestClient client = node.newClient()) {
            assertEquals(502, client.call(TestClient.submit("5")).status());
            assertEquals(1, endpoint.requests.size() + otherEndpoint.requests.size());
        }
    }

    @Test
    void resetOnReusedConnectionIsNotRetried() throws Exception {
        Set<Socket> served = ConcurrentHashMap.newKeySet();
        FakeServer.Script onceThenReset = (request, connection) -> {
            if (served.add(connection.socket())) {
                connection.ok("done");
            } else {
                connection.reset();
            }
        };
        try (FakeServer endpoint = new FakeServer(onceThenReset);
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            int status = client.call(TestClient.submit("5")).status();
            for (int i = 0; status == 200 && i < 1000; i++) {
                status = client.call(TestClient.submit("5")).status();
            }
            assertEquals(502, status);
            assertEquals(endpoint.connectionCount() + 1, endpoint.requests.size());
        }
    }

    @Test
    void resetSafeRequestIsRetriedAtOtherEndpoint() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        FakeServer.Script firstBreaks = (request, connection) -> {
            if (turn.getAndIncrement() == 0) {
                connection.reset();
            } else {
                connection.ok("done");
            }
        };
        try (FakeServer endpoint = new FakeServer(firstBreaks);
                FakeServer otherEndpoint = new FakeServer(firstBreaks);
                TestNode node =
                        new TestNode(FakeServer.refusingAddress(), endpoint.address(), otherEndpoint.address());
                TestClient client = node.newClient()) {
            assertEquals("done", client.call(TestClient.status("5")).body());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "HTTP/1.1 200 OK\r\n\r\nwho knows",
                "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
                "nonsense\r\n\r\n"
            })
    void possiblyIncompleteBodyIsNotServed(String raw) throws Exception {
        try (FakeServer endpoint = new FakeServer((request, connection) -> {
                    connection.sendRaw(raw.contains("99999") ? raw + "y".repeat(99999) : raw);
                    connection.socket().close();
                });
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            TestClient.Answer answer = client.call(TestClient.submit("5"));
            assertEquals(502, answer.status());
            assertEquals("", answer.body());
        }
    }

    @Test
    void chunkedBodyAfterInterimResponseIsServed() throws Exception {
        try (FakeServer endpoint = new FakeServer(
                        (request, connection) -> connection.sendRaw(
                                "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
                                        + "Transfer-Encoding: chunked\r\nServer-Load: util=oops\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"));
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            assertEquals("abc", client.call(TestClient.submit("5")).body());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense\r\n\r\n",
                "no line at all",
                "HTTP/1.1 200 OK\r\nServer-Load: ut",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nit goes on",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\n\r\nwho knows",
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\ngood",
                "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ngood",
                "INTERIM"
            })
    void malformedResponseFailsBeforeDeadlineWhileConnectionStaysOpen(String raw) throws Exception {
        String text = raw.replace("INTERIM", "HTTP/1.1 100 Continue\r\n\r\n".repeat(50));
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.sendRaw(text));
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            // The deadline is longer than the client's read timeout in this test, and the request must not be retried.
            assertEquals(502, client.call(TestClient.submit("50")).status());
            endpoint.awaitConnectionClosed();
            assertEquals(1, endpoint.requests.size());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nover",
                "noise",
                "HTTP/1.1 200 OK\r\n",
                "noise with\r\nlines\r\n\r\n"
            })
    void surplusAfterResponseNeverAnswersNextRequest(String surplus) throws Exception {
        String text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood" + surplus;
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.sendRaw(text));
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            for (int i = 0; i < 20; i++) {
                assertEquals("good", client.call(TestClient.submit("5")).body());
                endpoint.awaitConnectionClosed();
            }
            assertEquals(20, endpoint.connectionCount());
        }
    }

    @Test
    void attemptAtSilentEndpointTimesOutAndClosesConnection() throws Exception {
        try (FakeServer endpoint = new FakeServer(SILENT);
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            assertEquals(502, client.call(TestClient.submit("0.4")).status());
            endpoint.awaitConnectionClosed();
            assertEquals(1, endpoint.requests.size());
        }
    }

    @Test
    void responseAfterTimeoutIsDropped() throws Exception {
        FakeServer.Connection[] late = new FakeServer.Connection[1];
        try (FakeServer endpoint = new FakeServer((request, connection) -> late[0] = connection);
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            assertEquals(502, client.call(TestClient.submit("0.3")).status());
            endpoint.awaitConnectionClosed();
            endpoint.script(OK);
            assertEquals("done", askUntilServed(client));
        }
    }

    // The failure rate of the endpoint has risen, so the module refuses some requests before it sends one again.
    private static String askUntilServed(TestClient client) throws Exception {
        for (int i = 0; i < 1000; i++) {
            TestClient.Answer answer = client.call(TestClient.submit("5"));
            if (answer.status() == 200) {
                return answer.body();
            }
            assertEquals(503, answer.status());
            Thread.sleep(10);
        }
        throw new AssertionError("never served");
    }

    @Test
    void clientDisconnectCancelsAttempt() throws Exception {
        try (FakeServer endpoint = new FakeServer(SILENT);
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address())) {
            try (TestClient client = node.newClient()) {
                client.send(TestClient.submit("50"));
                assertNotNull(endpoint.awaitRequest());
            }
            endpoint.awaitConnectionClosed();
        }
    }

    @Test
    void connectionClosedByEndpointIsNotReused() throws Exception {
        try (FakeServer endpoint = new FakeServer((request, connection) -> {
                    connection.ok("done");
                    connection.socket().shutdownOutput();
                });
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            assertEquals(200, client.call(TestClient.submit("5")).status());
            endpoint.awaitConnectionClosed();
            assertEquals(200, client.call(TestClient.submit("5")).status());
            assertEquals(2, endpoint.connectionCount());
        }
    }

    @Test
    void idleConnectionsAreClosedWhenSocketsAreScarce() throws Exception {
        // Four descriptors allow one connection to all endpoints together.
        try (FakeServer endpoint = new FakeServer(OK);
                FakeServer otherEndpoint = new FakeServer(OK);
                TestNode node = new TestNode(
                        4, FakeServer.refusingAddress(), "ask", endpoint.address(), otherEndpoint.address());
                TestClient client = node.newClient()) {
            for (int i = 0; i < 20; i++) {
                assertEquals(200, client.call(TestClient.status("5")).status());
            }
            assertTrue(!endpoint.requests.isEmpty() && !otherEndpoint.requests.isEmpty());
        }
    }

    @Test
    void learnsIdleTimeAfterWhichEndpointBreaksConnections() throws Exception {
        // The endpoint resets each connection on its second request, as if it had been idle for too long.
        Set<Socket> served = ConcurrentHashMap.newKeySet();
        try (FakeServer endpoint = new FakeServer((request, connection) -> {
                    if (served.add(connection.socket())) {
                        connection.ok("done");
                    } else {
                        connection.reset();
                    }
                });
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            assertEquals(200, client.call(TestClient.submit("5")).status());
            long from = System.nanoTime();
            Thread.sleep(200);
            assertEquals(502, client.call(TestClient.submit("5")).status());
            long idle = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            askUntilServed(client);
            // After the same idle time a connection is no longer reused.
            Thread.sleep(idle);
            assertEquals("done", askUntilServed(client));
            assertEquals(endpoint.connectionCount() + 1, endpoint.requests.size());
        }
    }
}
