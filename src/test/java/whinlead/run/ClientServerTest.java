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

/** Clients that use too many connections or too much time, or that interfere with requests of others. */
class ClientServerTest {
    private static final FakeServer.Script OK = (r, w) -> w.ok("done");

    @Test
    void silentConnectionsDoNotStarveActiveClient() throws Exception {
        // 32 descriptors allow 14 client connections.
        List<TestClient> silent = new ArrayList<>();
        try (FakeServer endpoint = new FakeServer(OK);
                TestNode node = new TestNode(32, FakeServer.refusingAddress(), "ask", endpoint.address())) {
            for (int i = 0; i < 100; i++) {
                silent.add(node.newClient());
            }
            try (TestClient good = node.newClient()) {
                assertEquals(200, good.call(TestClient.status("5")).status());
            }
            // All of them are closed without having sent anything.
            for (TestClient client : silent) {
                assertNull(client.read());
            }
        } finally {
            for (TestClient client : silent) {
                client.close();
            }
        }
    }

    @Test
    void oldestIdleConnectionsAreClosedWhenFull() throws Exception {
        // 32 descriptors allow 14 client connections; up to three idle ones are tolerated.
        List<TestClient> staying = new ArrayList<>();
        try (FakeServer endpoint = new FakeServer(OK);
                TestNode node = new TestNode(32, FakeServer.refusingAddress(), "ask", endpoint.address())) {
            for (int i = 0; i < 6; i++) {
                staying.add(node.newClient());
                assertEquals(200, staying.get(i).call(TestClient.status("5")).status());
            }
            for (int i = 0; i < 3; i++) {
                assertNull(staying.get(i).read());
            }
            assertEquals(200, staying.get(5).call(TestClient.status("5")).status());
        } finally {
            for (TestClient client : staying) {
                client.close();
            }
        }
    }

    @Test
    void incompleteRequestTimesOut() throws Exception {
        try (FakeServer endpoint = new FakeServer(OK);
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient head = node.newClient();
                TestClient body = node.newClient()) {
            head.send("GET /api HTTP/1.1\r\nRequest-Id: 1\r\n");
            body.send("POST /api HTTP/1.1\r\nRequest-Id: 2\r\nRequest-Class: submit\r\n"
                    + "Content-Length: 9\r\n\r\nhalf");
            assertEquals(408, head.read().status());
            assertEquals(408, body.read().status());
            assertNull(head.read());
            assertEquals(0, endpoint.connectionCount());
        }
    }

    @Test
    void oversizedHeaderIsRejected() throws Exception {
        try (TestNode node = new TestNode(FakeServer.refusingAddress());
                TestClient client = node.newClient()) {
            assertEquals(
                    400,
                    client.call("GET /api HTTP/1.1\r\nX: " + "y".repeat(100_000))
                            .status());
            assertNull(client.read());
        }
    }

    @Test
    void requestBeforeFirstEndpointListWaitsForIt() throws Exception {
        try (FakeServer endpoint = new FakeServer(OK);
                TestNode node = TestNode.listeningOnly(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            client.send(TestClient.submit("50"));
            node.runLoopTurns(20);
            node.start();
            assertEquals(200, client.read().status());
        }
    }

    @Test
    void requestWithOpenIdIsRejected() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (FakeServer endpoint = new FakeServer((r, connection) -> {
                    await(release);
                    connection.ok("done");
                });
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient();
                TestClient other = node.newClient();
                TestClient later = node.newClient()) {
            String request = TestClient.submit("50");
            client.send(request);
            endpoint.awaitRequest();
            assertEquals(400, other.call(request).status());
            release.countDown();
            assertEquals("done", client.read().body());
            assertEquals(1, endpoint.requests.size());
            // Ids of completed requests are not retained, so that memory use does not grow.
            assertEquals(200, later.call(request).status());
        }
    }

    @Test
    void pipelinedRequestEndsBothRequests() throws Exception {
        try (FakeServer endpoint = new FakeServer((request, connection) -> {});
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            client.send(TestClient.submit("50"));
            endpoint.awaitRequest();
            assertEquals(400, client.call(TestClient.submit("50")).status());
            assertNull(client.read());
            endpoint.awaitConnectionClosed();
            assertEquals(1, endpoint.requests.size());
        }
    }

    @Test
    void forwardsOnlyValidatedHeaders() throws Exception {
        try (FakeServer endpoint = new FakeServer(OK);
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            client.call("POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: 1\r\nRequest-Class: submit\r\n"
                    + "X-Secret: s\r\nContent-Type: text/plain\r\nServer-Load: util=1\r\nConnection: X-Secret\r\n"
                    + "Content-Length: 0\r\n\r\n");
            assertEquals(
                    Set.of("host", "request-id", "request-class", "request-timeout", "content-type", "content-length"),
                    endpoint.awaitRequest().headers().keySet());
        }
    }

    @Test
    void drainDoesNotWaitForRejectedRequest() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (TestNode node = new TestNode(FakeServer.refusingAddress());
                TestClient client = node.newClient()) {
            assertEquals(
                    413,
                    client.call("POST /api HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Class: submit\r\n"
                                    + "Content-Length: 99999999\r\n\r\nbegun")
                            .status());
            node.group.next().execute(() -> node.server.drain(drained::countDown));
            assertTrue(drained.await(FakeServer.TIMEOUT_S, TimeUnit.SECONDS));
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
