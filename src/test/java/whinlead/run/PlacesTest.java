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

/** Clients may hold a third of the descriptors for requests; the last places are for what is worth most. */
class PlacesTest {
    private static final int PLACES = 8;
    private static final int TRIES = 200;

    @Test
    void lowWorthIsRefusedAtOnceWhileTheLastPlacesAreFilling() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        Semaphore held = new Semaphore(0);
        FakeServer.Script holds = (r, w) -> {
            if (r.line().contains("held")) {
                held.release();
                await(answer);
            }
            w.ok("done");
        };
        List<FakeServer> endpoints = new ArrayList<>();
        while (endpoints.size() < PLACES) {
            endpoints.add(new FakeServer(holds));
        }
        try (TestNode n = new TestNode(
                        PLACES * 3,
                        FakeServer.refusing(),
                        "ask",
                        endpoints.stream().map(FakeServer::address).toArray(String[]::new));
                TestClient c = n.client()) {
            int taken = 0;
            for (int i = 0; i < TRIES; i++) {
                taken += c.ask(TestClient.submit("2.000")).status() == 200 ? 1 : 0;
            }
            assertEquals(TRIES, taken, "all is taken while there is room");
            // All places but the one that the next request takes.
            for (int i = 1; i < PLACES; i++) {
                Thread t = new Thread(() -> hold(n));
                t.setDaemon(true);
                t.start();
            }
            assertTrue(held.tryAcquire(PLACES - 1, FakeServer.PATIENCE_S, TimeUnit.SECONDS));
            TestClient.Answer low = c.ask(TestClient.submit("2.000"));
            assertEquals(503, low.status(), "low worth is taken with the last place");
            assertTrue(low.headers().containsKey("Retry-After"), "and told when to come back");
            answer.countDown();
        } finally {
            for (FakeServer e : endpoints) {
                e.close();
            }
        }
    }

    /** Asks until an endpoint holds it: at first the module lets few be out at each. */
    private static void hold(TestNode n) {
        try (TestClient one = n.client()) {
            TestClient.Answer answer;
            do {
                answer = one.ask(TestClient.status("30.000").replace("obj=k", "obj=held"));
            } while (answer != null && answer.status() == 503);
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(FakeServer.PATIENCE_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
