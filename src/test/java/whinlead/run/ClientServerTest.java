package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Clients that ask for more than they are due: of connections, of time, or of another's requests. */
class ClientServerTest {
    private static final FakeServer.Script OK = (r, w) -> w.ok("done");

    @Test
    void silentConnectionsDoNotStarveAGoodClient() throws Exception {
        // Room for 14 connections from clients.
        List<TestClient> silent = new ArrayList<>();
        try (FakeServer e = new FakeServer(OK);
                TestNode n = new TestNode(32, FakeServer.refusing(), "ask", e.address())) {
            for (int i = 0; i < 100; i++) {
                silent.add(n.client());
            }
            try (TestClient good = n.client()) {
                assertEquals(200, good.ask(TestClient.status("5")).status());
            }
            // All of them end without ever having said a word.
            for (TestClient c : silent) {
                assertNull(c.read());
            }
        } finally {
            for (TestClient c : silent) {
                c.close();
            }
        }
    }

    @Test
    void connectionsThatAskedOnceAndStayMakeRoom() throws Exception {
        // Room for 14, of which three idle ones are not many.
        List<TestClient> staying = new ArrayList<>();
        try (FakeServer e = new FakeServer(OK);
                TestNode n = new TestNode(32, FakeServer.refusing(), "ask", e.address())) {
            for (int i = 0; i < 6; i++) {
                staying.add(n.client());
                assertEquals(200, staying.get(i).ask(TestClient.status("5")).status());
            }
            for (int i = 0; i < 3; i++) {
                assertNull(staying.get(i).read());
            }
            assertEquals(200, staying.get(5).ask(TestClient.status("5")).status());
        } finally {
            for (TestClient c : staying) {
                c.close();
            }
        }
    }

    @Test
    void halfARequestIsAnsweredInTime() throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient head = n.client();
                TestClient body = n.client()) {
            head.send("GET /api HTTP/1.1\r\nRequest-Id: 1\r\n");
            body.send("POST /api HTTP/1.1\r\nRequest-Id: 2\r\nRequest-Class: submit\r\n"
                    + "Content-Length: 9\r\n\r\nhalf");
            assertEquals(408, head.read().status());
            assertEquals(408, body.read().status());
            assertNull(head.read());
            assertEquals(0, e.connections());
        }
    }

    @Test
    void aHeadWithoutEndIsCutShort() throws Exception {
        try (TestNode n = new TestNode(FakeServer.refusing());
                TestClient c = n.client()) {
            assertEquals(
                    400, c.ask("GET /api HTTP/1.1\r\nX: " + "y".repeat(100_000)).status());
            assertNull(c.read());
        }
    }

    @Test
    void aRequestThatComesBeforeTheListIsKnownWaitsForIt() throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestNode n = TestNode.listening(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            n.rounds(20);
            n.start();
            assertEquals(200, c.read().status());
        }
    }

    @Test
    void anIdThatIsOpenIsNotRunAgain() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (FakeServer e = new FakeServer((r, w) -> {
                    await(release);
                    w.ok("done");
                });
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client();
                TestClient other = n.client();
                TestClient later = n.client()) {
            String request = TestClient.submit("50");
            c.send(request);
            e.awaitRequest();
            assertEquals(400, other.ask(request).status());
            release.countDown();
            assertEquals("done", c.read().body());
            assertEquals(1, e.requests.size());
            // What is over is forgotten, so that nothing grows.
            assertEquals(200, later.ask(request).status());
        }
    }

    @Test
    void aSecondRequestBeforeTheAnswerEndsBoth() throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> {});
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            e.awaitRequest();
            assertEquals(400, c.ask(TestClient.submit("50")).status());
            assertNull(c.read());
            e.awaitEnd();
            assertEquals(1, e.requests.size());
        }
    }

    @Test
    void onlyWhatWasCheckedGoesOn() throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            c.ask("POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: 1\r\nRequest-Class: submit\r\n"
                    + "X-Secret: s\r\nContent-Type: text/plain\r\nServer-Load: util=1\r\nConnection: X-Secret\r\n"
                    + "Content-Length: 0\r\n\r\n");
            assertEquals(
                    Set.of("host", "request-id", "request-class", "request-timeout", "content-type", "content-length"),
                    e.awaitRequest().headers().keySet());
        }
    }

    @Test
    void aDrainDoesNotWaitForWhatWasTurnedAway() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (TestNode n = new TestNode(FakeServer.refusing());
                TestClient c = n.client()) {
            assertEquals(
                    413,
                    c.ask("POST /api HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Class: submit\r\n"
                                    + "Content-Length: 99999999\r\n\r\nbegun")
                            .status());
            n.group.next().execute(() -> n.server.drain(drained::countDown));
            assertTrue(drained.await(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
        }
    }

    private static void await(CountDownLatch latch) throws java.io.IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new java.io.IOException(e);
        }
    }
}
