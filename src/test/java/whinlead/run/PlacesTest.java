package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Client requests may use a third of the descriptors; the last places are reserved for the most valuable requests. */
class PlacesTest {
    private static final int PLACES = 8;
    private static final int TRIES = 200;
    /** Several periods of the module. */
    private static final int LEARNING_MS = 1000;

    @Test
    void requestOfLowValueIsRefusedWhenFewPlacesAreLeft() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        Semaphore held = new Semaphore(0);
        FakeServer.Script holds = (request, connection) -> {
            if (request.line().contains("held")) {
                held.release();
                await(answer);
            }
            connection.ok("done");
        };
        List<FakeServer> endpoints = new ArrayList<>();
        while (endpoints.size() < PLACES) {
            endpoints.add(new FakeServer(holds));
        }
        try (TestNode node = new TestNode(
                        PLACES * 3,
                        FakeServer.refusingAddress(),
                        "ask",
                        endpoints.stream().map(FakeServer::address).toArray(String[]::new));
                TestClient client = node.newClient()) {
            // The module learns which values its requests have from period to period.
            long learnedNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LEARNING_MS);
            for (int i = 0; i < TRIES || System.nanoTime() < learnedNanos; i++) {
                assertEquals(
                        200,
                        client.call(TestClient.submit("2.000")).status(),
                        "all requests are served while places are free");
            }
            // Occupies all places except the one that the next request takes.
            for (int i = 1; i < PLACES; i++) {
                Thread thread = new Thread(() -> occupyPlace(node));
                thread.setDaemon(true);
                thread.start();
            }
            assertTrue(held.tryAcquire(PLACES - 1, FakeServer.TIMEOUT_S, TimeUnit.SECONDS));
            TestClient.Answer low = client.call(TestClient.submit("2.000"));
            assertEquals(503, low.status(), "a request of low value got the last place");
            assertTrue(low.headers().containsKey("Retry-After"), "the refusal has no Retry-After");
            answer.countDown();
        } finally {
            for (FakeServer endpoint : endpoints) {
                endpoint.close();
            }
        }
    }

    /** Retries until an endpoint holds the request: at first the module allows few open requests at each endpoint. */
    private static void occupyPlace(TestNode node) {
        try (TestClient client = node.newClient()) {
            TestClient.Answer answer;
            do {
                answer = client.call(TestClient.status("30.000").replace("obj=k", "obj=held"));
            } while (answer != null && answer.status() == 503);
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(FakeServer.TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
