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

/** What attempts that are out do to those that come after them. */
class CrowdingTest {
    private static final int SILENT = 4;
    private static final int SERVED_BETWEEN = 100;
    private static final int ASKED_AFTER = 40;
    private static final int TRIES = 4;

    @Test
    void anEndpointThatLeavesSomeRequestsWithoutAnAnswerGoesOnServingTheOthers() throws Exception {
        Semaphore unanswered = new Semaphore(0);
        FakeServer.Script silentOnSubmits = (r, w) -> {
            if (r.headers().get("request-class").equals("submit")) {
                unanswered.release();
            } else {
                w.ok("done");
            }
        };
        List<TestClient> waiting = new ArrayList<>();
        try (FakeServer e = new FakeServer(silentOnSubmits);
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            serve(c, SERVED_BETWEEN);
            for (int i = 0; i < SILENT; i++) {
                waiting.add(leaveWithoutAnswer(n, unanswered));
                serve(c, SERVED_BETWEEN);
            }
            assertEquals(SILENT, waiting.size());
        } finally {
            for (TestClient w : waiting) {
                w.close();
            }
        }
    }

    @Test
    void aSingleRequestWithoutAnAnswerDoesNotShutItsEndpoint() throws Exception {
        FakeServer.Script slowly = (r, w) -> {
            if (r.line().contains("silent")) {
                return;
            }
            pause();
            w.ok("done");
        };
        try (FakeServer e = new FakeServer(slowly);
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            serve(c, SERVED_BETWEEN);
            // Nothing else is asked meanwhile.
            assertEquals(
                    502,
                    c.ask(TestClient.status("4").replace("obj=k", "obj=silent")).status());
            int refused = 0;
            for (int i = 0; i < ASKED_AFTER; i++) {
                refused += c.ask(TestClient.status("5")).status() == 503 ? 1 : 0;
            }
            assertTrue(refused < ASKED_AFTER / 2, refused + " refused");
        }
    }

    @Test
    void anEndpointThatReportsRoomIsSentMoreThanItsAnswersSoFarShow() throws Exception {
        Semaphore unanswered = new Semaphore(0);
        FakeServer.Script idle = (r, w) -> {
            if (r.headers().get("request-class").equals("submit")) {
                unanswered.release();
                return;
            }
            pause();
            w.answer("200 OK", "Server-Load: util=0.1,qps=10\r\n", "done");
        };
        List<TestClient> waiting = new ArrayList<>();
        try (FakeServer e = new FakeServer(idle);
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            serve(c, SERVED_BETWEEN);
            waiting.add(leaveWithoutAnswer(n, unanswered));
            waiting.add(leaveWithoutAnswer(n, unanswered));
            // Answered one at a time so far, it holds two: of a hundred more, two would be let through.
            TestClient third = null;
            for (int i = 0; third == null && i < TRIES; i++) {
                third = send(n, unanswered);
            }
            assertNotNull(third);
            waiting.add(third);
        } finally {
            for (TestClient w : waiting) {
                w.close();
            }
        }
    }

    // Long enough that a test's own stalls are no lateness beside it.
    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // A refusal now and then is the module's right; what is asked must come through within the bound.
    private static void serve(TestClient c, int wanted) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        for (int served = 0; served < wanted; ) {
            assertTrue(System.nanoTime() < end, "only " + served + " served");
            if (c.ask(TestClient.status("5")).status() == 200) {
                served++;
            }
        }
    }

    private static TestClient leaveWithoutAnswer(TestNode n, Semaphore unanswered) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        while (System.nanoTime() < end) {
            TestClient c = send(n, unanswered);
            if (c != null) {
                return c;
            }
        }
        throw new AssertionError("the endpoint was sent no more");
    }

    // The client of a request that has reached the endpoint, or null if it was refused.
    private static TestClient send(TestNode n, Semaphore unanswered) throws Exception {
        TestClient c = n.client();
        c.send(TestClient.submit("60"));
        CompletableFuture<Boolean> refused = CompletableFuture.supplyAsync(() -> {
            try {
                return c.read() != null;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        while (!refused.isDone()) {
            if (unanswered.tryAcquire(10, TimeUnit.MILLISECONDS)) {
                return c;
            }
        }
        c.close();
        return null;
    }
}
