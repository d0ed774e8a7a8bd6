package whinlead.testbed.mesh.soak;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;
import whinlead.testbed.mesh.Talk;

/**
 * Clients that ask one request after the other, each at one sidecar, on one connection as long as that lasts: they know
 * of no restart but by their connection. A thread for each client.
 */
final class SoakClients implements AutoCloseable {
    private static final long END_S = 20;
    private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int BODY_BYTES = 50;

    private final SoakHistory history;
    private final DoubleSupplier clockMs;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicLong ids = new AtomicLong();
    private volatile boolean ended;

    SoakClients(SoakHistory history, DoubleSupplier clockMs) {
        this.history = history;
        this.clockMs = clockMs;
    }

    /** Adds a client of this tenant at a sidecar, which asks about so often. */
    void add(String egress, String tenant, String key, double pauseMs, long seed) {
        threads.execute(() -> run(egress, tenant, key, pauseMs, new Random(seed)));
    }

    private void run(String egress, String tenant, String key, double pauseMs, Random random) {
        Talk talk = null;
        while (!ended) {
            if (talk == null) {
                talk = connect(egress);
            }
            if (talk != null && !ask(talk, tenant, key, random.nextBoolean())) {
                close(talk);
                talk = null;
            }
            LockSupport.parkNanos((long) (random.nextDouble() * 2 * pauseMs * 1e6));
        }
        close(talk);
    }

    private static Talk connect(String egress) {
        try {
            return new Talk(egress);
        } catch (IOException e) {
            // Its process is gone, or not there yet.
            LockSupport.parkNanos(RECONNECT_NANOS);
            return null;
        }
    }

    private static void close(Talk talk) {
        try {
            if (talk != null) {
                talk.close();
            }
        } catch (IOException e) {
            // It is not used any more.
            return;
        }
    }

    // False if the connection is of no use any more.
    private boolean ask(Talk talk, String tenant, String key, boolean repeatable) {
        String id = "soak-" + ids.incrementAndGet();
        Map<String, String> headers =
                Map.of("Host", "post.example", "Attempt-Id", id, "Deadline-Ms", "4000", "Api-Key", key);
        double sentAt = clockMs.getAsDouble();
        Talk.Message answer = null;
        try {
            answer = talk.ask(repeatable ? "GET /a/x" : "POST /b/x", headers, new byte[repeatable ? 0 : BODY_BYTES]);
        } catch (IOException e) {
            // The connection has ended: as if without an answer.
            answer = null;
        }
        boolean own = answer != null
                && (answer.status() != 200 || id.equals(answer.headers().get("attempt-id")));
        history.asked(new SoakHistory.Asked(
                id, tenant, repeatable, sentAt, clockMs.getAsDouble(), own ? answer.status() : 0));
        return answer != null && !"close".equalsIgnoreCase(answer.headers().get("connection"));
    }

    /** Ends all clients, after what each has under way. */
    @Override
    public void close() throws InterruptedException {
        ended = true;
        threads.shutdown();
        threads.awaitTermination(END_S, TimeUnit.SECONDS);
    }
}
