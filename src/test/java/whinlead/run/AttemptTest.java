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

/** What becomes of attempts: what has run, what goes out again, and what the client is told. */
class AttemptTest {
    private static final FakeServer.Script OK = (r, w) -> w.ok("done");
    private static final FakeServer.Script SILENT = (r, w) -> {};

    @Test
    void aRequestGoesOnUnchangedAndConnectionsAreReused() throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            TestClient.Answer a = c.ask(
                    "POST /api?obj=7f%20x HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: 9b1f\r\n"
                            + "Request-Class: pay\r\nIdempotency-Key: k7\r\nRequest-Timeout: 5\r\nContent-Length: 3\r\n\r\nabc");
            assertEquals(200, a.status());
            assertEquals("done", a.body());
            FakeServer.Request r = e.awaitRequest();
            assertEquals("POST /api?obj=7f%20x HTTP/1.1", r.line());
            assertEquals("9b1f", r.headers().get("request-id"));
            assertEquals("k7", r.headers().get("idempotency-key"));
            double wait = Double.parseDouble(r.headers().get("request-timeout"));
            assertTrue(wait > 0 && wait < 5, "waits " + wait);
            assertArrayEquals("abc".getBytes(StandardCharsets.UTF_8), r.body());

            // A connection rests after an answer; then it is used again.
            for (int i = 0; e.requests.size() <= e.connections() && i < 1000; i++) {
                assertEquals(200, c.ask(TestClient.status("5")).status());
            }
            assertTrue(e.requests.size() > e.connections());
        }
    }

    @Test
    void aRefusedConnectionProvesThatNothingRan() throws Exception {
        try (TestNode n = new TestNode(FakeServer.refusing(), FakeServer.refusing());
                TestClient c = n.client()) {
            TestClient.Answer a = c.ask(TestClient.submit("5"));
            assertEquals(503, a.status());
            assertTrue(Double.parseDouble(a.headers().get("retry-after")) > 0);
        }
    }

    @Test
    void anUnsafeRequestTurnedAwayGoesElsewhere() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        FakeServer.Script firstIsFull = (r, w) -> {
            if (turn.getAndIncrement() == 0) {
                w.answer("503 Full", "Not-Started: 1\r\n", "");
            } else {
                w.ok("done");
            }
        };
        try (FakeServer e = new FakeServer(firstIsFull);
                FakeServer f = new FakeServer(firstIsFull);
                TestNode n = new TestNode(FakeServer.refusing(), e.address(), f.address());
                TestClient c = n.client()) {
            assertEquals("done", c.ask(TestClient.submit("5")).body());
            assertEquals(2, e.requests.size() + f.requests.size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"503 Busy", "504 Late", "429 Slow down", "500 Error", "404 What"})
    void anEndpointsOwnWordsNeverBecomeARefusal(String status) throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.answer(status, "Retry-After: 1\r\n", "x"));
                FakeServer f = new FakeServer((r, w) -> w.answer(status, "", "x"));
                TestNode n = new TestNode(FakeServer.refusing(), e.address(), f.address());
                TestClient c = n.client()) {
            TestClient.Answer a = c.ask(TestClient.submit("5"));
            assertEquals(502, a.status());
            assertNull(a.headers().get("retry-after"));
            assertEquals(1, e.requests.size() + f.requests.size());
        }
    }

    @Test
    void aResetAfterTheWriteFailsAnUnsafeRequestAfterOneAttempt() throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.reset());
                FakeServer f = new FakeServer((r, w) -> w.reset());
                TestNode n = new TestNode(FakeServer.refusing(), e.address(), f.address());
                TestClient c = n.client()) {
            assertEquals(502, c.ask(TestClient.submit("5")).status());
            assertEquals(1, e.requests.size() + f.requests.size());
        }
    }

    @Test
    void aResetOnAKeptConnectionIsAResetToo() throws Exception {
        Set<Socket> served = ConcurrentHashMap.newKeySet();
        FakeServer.Script onceThenReset = (r, w) -> {
            if (served.add(w.socket())) {
                w.ok("done");
            } else {
                w.reset();
            }
        };
        try (FakeServer e = new FakeServer(onceThenReset);
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            int status = c.ask(TestClient.submit("5")).status();
            for (int i = 0; status == 200 && i < 1000; i++) {
                status = c.ask(TestClient.submit("5")).status();
            }
            assertEquals(502, status);
            assertEquals(e.connections() + 1, e.requests.size());
        }
    }

    @Test
    void aSafeRequestThatWasResetGoesElsewhere() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        FakeServer.Script firstBreaks = (r, w) -> {
            if (turn.getAndIncrement() == 0) {
                w.reset();
            } else {
                w.ok("done");
            }
        };
        try (FakeServer e = new FakeServer(firstBreaks);
                FakeServer f = new FakeServer(firstBreaks);
                TestNode n = new TestNode(FakeServer.refusing(), e.address(), f.address());
                TestClient c = n.client()) {
            assertEquals("done", c.ask(TestClient.status("5")).body());
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
    void aBodyThatIsNotProvedWholeIsNotServed(String raw) throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> {
                    w.text(raw.contains("99999") ? raw + "y".repeat(99999) : raw);
                    w.socket().close();
                });
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            TestClient.Answer a = c.ask(TestClient.submit("5"));
            assertEquals(502, a.status());
            assertEquals("", a.body());
        }
    }

    @Test
    void aChunkedBodyAndOneAfterAnInterimAnswerAreServed() throws Exception {
        try (FakeServer e = new FakeServer(
                        (r, w) -> w.text(
                                "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
                                        + "Transfer-Encoding: chunked\r\nServer-Load: util=oops\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"));
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            assertEquals("abc", c.ask(TestClient.submit("5")).body());
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
    void aSpoiltAnswerFailsLongBeforeTheDeadlineThoughItsConnectionStaysOpen(String raw) throws Exception {
        String text = raw.replace("INTERIM", "HTTP/1.1 100 Continue\r\n\r\n".repeat(50));
        try (FakeServer e = new FakeServer((r, w) -> w.text(text));
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            // Its own deadline is longer than this test has patience, and it may not go out again.
            assertEquals(502, c.ask(TestClient.submit("50")).status());
            e.awaitEnd();
            assertEquals(1, e.requests.size());
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
    void whatFollowsAnAnswerNeverAnswersTheNextRequest(String surplus) throws Exception {
        String text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood" + surplus;
        try (FakeServer e = new FakeServer((r, w) -> w.text(text));
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            for (int i = 0; i < 20; i++) {
                assertEquals("good", c.ask(TestClient.submit("5")).body());
                e.awaitEnd();
            }
            assertEquals(20, e.connections());
        }
    }

    @Test
    void aSilentEndpointIsGivenUpInTimeAndItsConnectionClosed() throws Exception {
        try (FakeServer e = new FakeServer(SILENT);
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            assertEquals(502, c.ask(TestClient.submit("0.4")).status());
            e.awaitEnd();
            assertEquals(1, e.requests.size());
        }
    }

    @Test
    void anAnswerAfterTheEndIsDropped() throws Exception {
        FakeServer.Wire[] late = new FakeServer.Wire[1];
        try (FakeServer e = new FakeServer((r, w) -> late[0] = w);
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            assertEquals(502, c.ask(TestClient.submit("0.3")).status());
            e.awaitEnd();
            e.script(OK);
            assertEquals("done", askUntilServed(c));
        }
    }

    // The endpoint's percentage has risen; the module refuses some before it lets one pass.
    private static String askUntilServed(TestClient c) throws Exception {
        for (int i = 0; i < 1000; i++) {
            TestClient.Answer a = c.ask(TestClient.submit("5"));
            if (a.status() == 200) {
                return a.body();
            }
            assertEquals(503, a.status());
            Thread.sleep(10);
        }
        throw new AssertionError("never served");
    }

    @Test
    void aClientThatLeavesCallsItsAttemptOff() throws Exception {
        try (FakeServer e = new FakeServer(SILENT);
                TestNode n = new TestNode(FakeServer.refusing(), e.address())) {
            try (TestClient c = n.client()) {
                c.send(TestClient.submit("50"));
                assertNotNull(e.awaitRequest());
            }
            e.awaitEnd();
        }
    }

    @Test
    void aConnectionThatTheEndpointClosedIsNotUsedAgain() throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> {
                    w.ok("done");
                    w.socket().shutdownOutput();
                });
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            assertEquals(200, c.ask(TestClient.submit("5")).status());
            e.awaitEnd();
            assertEquals(200, c.ask(TestClient.submit("5")).status());
            assertEquals(2, e.connections());
        }
    }

    @Test
    void withFewSocketsIdleConnectionsMakeRoom() throws Exception {
        // Room for one connection to all endpoints together.
        try (FakeServer e = new FakeServer(OK);
                FakeServer f = new FakeServer(OK);
                TestNode n = new TestNode(4, FakeServer.refusing(), "ask", e.address(), f.address());
                TestClient c = n.client()) {
            for (int i = 0; i < 20; i++) {
                assertEquals(200, c.ask(TestClient.status("5")).status());
            }
            assertTrue(!e.requests.isEmpty() && !f.requests.isEmpty());
        }
    }

    @Test
    void anEndpointThatClosesIdleConnectionsEarlyIsNotSentOnThem() throws Exception {
        // It breaks any connection that is used a second time, as if that had been idle for too long.
        Set<Socket> served = ConcurrentHashMap.newKeySet();
        try (FakeServer e = new FakeServer((r, w) -> {
                    if (served.add(w.socket())) {
                        w.ok("done");
                    } else {
                        w.reset();
                    }
                });
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            assertEquals(200, c.ask(TestClient.submit("5")).status());
            long from = System.nanoTime();
            Thread.sleep(200);
            assertEquals(502, c.ask(TestClient.submit("5")).status());
            long idle = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            askUntilServed(c);
            // Idle for as long as that again, it is no longer trusted.
            Thread.sleep(idle);
            assertEquals("done", askUntilServed(c));
            assertEquals(e.connections() + 1, e.requests.size());
        }
    }
}
