package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Effects of unanswered attempts on later requests to the same endpoint. */
class CrowdingTest {
    private static final int UNANSWERED = 4;
    private static final int SERVED_BETWEEN = 100;
    private static final int ASKED_AFTER = 40;
    private static final int TRIES = 4;

    @Test
    void unansweredRequestsDoNotBlockOthersAtSameEndpoint() throws Exception {
        Semaphore unanswered = new Semaphore(0);
        FakeServer.Script silentOnSubmits = (request, waitingClient) -> {
            if (request.headers().get("request-class").equals("submit")) {
                unanswered.release();
            } else {
                waitingClient.ok("done");
            }
        };
        List<TestClient> waiting = new ArrayList<>();
        try (FakeServer endpoint = new FakeServer(silentOnSubmits);
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            awaitServed(client, SERVED_BETWEEN);
            for (int i = 0; i < UNANSWERED; i++) {
                waiting.add(sendUntilUnanswered(node, unanswered));
                awaitServed(client, SERVED_BETWEEN);
            }
            assertEquals(UNANSWERED, waiting.size());
        } finally {
            for (TestClient waitingClient : waiting) {
                waitingClient.close();
            }
        }
    }

    @Test
    void singleUnansweredRequestDoesNotShutEndpoint() throws Exception {
        FakeServer.Script slowly = (request, connection) -> {
            if (request.line().contains("silent")) {
                return;
            }
            pause();
            connection.ok("done");
        };
        try (FakeServer endpoint = new FakeServer(slowly);
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            awaitServed(client, SERVED_BETWEEN);
            // No other request is sent meanwhile.
            assertEquals(
                    502,
                    client.call(TestClient.status("4").replace("obj=k", "obj=silent"))
                            .status());
            int refused = 0;
            for (int i = 0; i < ASKED_AFTER; i++) {
                refused += client.call(TestClient.status("5")).status() == 503 ? 1 : 0;
            }
            assertTrue(refused < ASKED_AFTER / 2, refused + " refused");
        }
    }

    @Test
    void endpointReportingLowLoadGetsMoreThanObservedConcurrency() throws Exception {
        Semaphore unanswered = new Semaphore(0);
        FakeServer.Script idle = (request, waitingClient) -> {
            if (request.headers().get("request-class").equals("submit")) {
                unanswered.release();
                return;
            }
            pause();
            waitingClient.answer("200 OK", "Server-Load: util=0.1,qps=10\r\n", "done");
        };
        List<TestClient> waiting = new ArrayList<>();
        try (FakeServer endpoint = new FakeServer(idle);
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            awaitServed(client, SERVED_BETWEEN);
            waiting.add(sendUntilUnanswered(node, unanswered));
            waiting.add(sendUntilUnanswered(node, unanswered));
            // So far the endpoint has answered one request at a time, and it has two open: without its load report two
            // of a hundred more requests would be sent.
            TestClient third = null;
            for (int i = 0; third == null && i < TRIES; i++) {
                third = sendUnlessRefused(node, unanswered);
            }
            assertNotNull(third);
            waiting.add(third);
        } finally {
            for (TestClient waitingClient : waiting) {
                waitingClient.close();
            }
        }
    }

    // Long enough that short stalls of the test are negligible in comparison.
    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // The module may refuse some requests; the wanted number must be served within the time limit.
    private static void awaitServed(TestClient client, int wanted) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_S);
        for (int served = 0; served < wanted; ) {
            assertTrue(System.nanoTime() < end, "only " + served + " served");
            if (client.call(TestClient.status("5")).status() == 200) {
                served++;
            }
        }
    }

    private static TestClient sendUntilUnanswered(TestNode node, Semaphore unanswered) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_S);
        while (System.nanoTime() < end) {
            TestClient client = sendUnlessRefused(node, unanswered);
            if (client != null) {
                return client;
            }
        }
        throw new AssertionError("no further request reached the endpoint");
    }

    // Returns the client of a request that has reached the endpoint, or null if the request was refused.
    private static TestClient sendUnlessRefused(TestNode node, Semaphore unanswered) throws Exception {
        TestClient client = node.newClient();
        client.send(TestClient.submit("60"));
        CompletableFuture<Boolean> refused = CompletableFuture.supplyAsync(() -> {
            try {
                return client.read() != null;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        while (!refused.isDone()) {
            if (unanswered.tryAcquire(10, TimeUnit.MILLISECONDS)) {
                return client;
            }
        }
        client.close();
        return null;
    }
}
