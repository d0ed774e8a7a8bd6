package whinlead.testbed.mesh.upgrade;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import whinlead.testbed.mesh.StandInApp;
import whinlead.testbed.mesh.Talk;

/**
 * Clients that ask one request after the other, each at its own sidecar while that is ready, else at another. Half of
 * the requests may not be repeated. A thread for each client.
 */
final class Clients implements AutoCloseable {
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long READY_POLL_MS = 50;
    private static final long END_S = 20;
    private static final int SERVED = 200;
    private static final int REFUSED = 503;

    private static final int NO_ANSWER = 0;

    /** What became of a request: a status, or {@link #NO_ANSWER}. */
    private record Asked(String id, boolean repeatable, int status) {}

    /**
     * What became of all requests.
     *
     * @param lost no answer, or one that is neither the endpoint's nor a refusal
     * @param runTwice requests that may not be repeated, and ran more than once
     * @param repeated requests that may be repeated, and were
     * @param refusedYetRun refused, and ran all the same
     * @param servedUnrun served, and never ran
     */
    record Sums(
            long asked,
            long served,
            long refused,
            long lost,
            long runTwice,
            long repeated,
            long refusedYetRun,
            long servedUnrun) {}

    private final List<Machine> sidecars;
    private final List<String> addresses;
    private final boolean[] ready;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Queue<Asked> asked = new ConcurrentLinkedQueue<>();
    private final Queue<String> losses = new ConcurrentLinkedQueue<>();
    private final AtomicLong ids = new AtomicLong();
    private volatile boolean ended;

    /** Clients of these sidecars, which take requests at these addresses. */
    Clients(List<Machine> sidecars, List<String> addresses) {
        this.sidecars = sidecars;
        this.addresses = addresses;
        this.ready = new boolean[sidecars.size()];
    }

    /** Begins, with so many clients at each sidecar. */
    void start(int each) {
        threads.execute(this::watch);
        for (int i = 0; i < each * sidecars.size(); i++) {
            int home = i % sidecars.size();
            threads.execute(() -> ask(home));
        }
    }

    private void watch() {
        while (!ended) {
            for (int i = 0; i < sidecars.size(); i++) {
                boolean now = sidecars.get(i).ready();
                synchronized (ready) {
                    ready[i] = now;
                }
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(READY_POLL_MS));
        }
    }

    /** The sidecar itself if it is ready, else the next one that is, else -1. */
    private int readyFrom(int home) {
        synchronized (ready) {
            for (int i = 0; i < ready.length; i++) {
                int sidecar = (home + i) % ready.length;
                if (ready[sidecar]) {
                    return sidecar;
                }
            }
        }
        return -1;
    }

    private void ask(int home) {
        int at = -1;
        Talk talk = null;
        while (!ended) {
            int next = readyFrom(home);
            if (next != at || talk == null) {
                close(talk);
                talk = connect(next);
                at = next;
            }
            if (talk != null && !ask(talk, at)) {
                close(talk);
                talk = null;
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        close(talk);
    }

    private Talk connect(int sidecar) {
        try {
            return sidecar < 0 ? null : new Talk(addresses.get(sidecar));
        } catch (IOException e) {
            // Nothing was asked yet: the next try may find one that listens.
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
    private boolean ask(Talk talk, int sidecar) {
        long number = ids.incrementAndGet();
        String id = "upgrade-" + number;
        boolean repeatable = number % 2 == 0;
        Map<String, String> headers =
                Map.of("Host", "post.example", "Attempt-Id", id, "Deadline-Ms", "4000", "Api-Key", "key-1");
        int status = NO_ANSWER;
        String found = "closed";
        Talk.Message answer = null;
        try {
            answer = talk.ask(repeatable ? "GET /a/x" : "POST /b/x", headers, new byte[repeatable ? 0 : 50]);
        } catch (IOException e) {
            found = e.toString();
        }
        if (answer != null) {
            boolean own =
                    answer.status() != SERVED || id.equals(answer.headers().get("attempt-id"));
            status = own ? answer.status() : NO_ANSWER;
            found = own ? answer.first() : "another's answer";
        }
        Asked done = new Asked(id, repeatable, status);
        asked.add(done);
        if (lost(done)) {
            losses.add(id + " at sidecar " + sidecar + ": " + found);
        }
        return answer != null && !"close".equalsIgnoreCase(answer.headers().get("connection"));
    }

    /** Ends all clients, after what each has under way. */
    @Override
    public void close() throws InterruptedException {
        ended = true;
        threads.shutdown();
        threads.awaitTermination(END_S, TimeUnit.SECONDS);
    }

    /** Every request that was lost: which, where, and what was heard. */
    List<String> losses() {
        return List.copyOf(losses);
    }

    /** What became of all, after the clients have ended. */
    Sums sums(List<StandInApp> endpoints) {
        Map<String, Integer> runs = new HashMap<>();
        endpoints.forEach(e -> e.ran().forEach(m -> runs.merge(m.headers().get("attempt-id"), 1, Integer::sum)));
        return new Sums(
                asked.size(),
                count(a -> a.status() == SERVED),
                count(a -> a.status() == REFUSED),
                count(Clients::lost),
                count(a -> !a.repeatable() && runs.getOrDefault(a.id(), 0) > 1),
                count(a -> a.repeatable() && runs.getOrDefault(a.id(), 0) > 1),
                count(a -> a.status() == REFUSED && runs.containsKey(a.id())),
                count(a -> a.status() == SERVED && !runs.containsKey(a.id())));
    }

    private static boolean lost(Asked a) {
        return a.status() != SERVED && a.status() != REFUSED;
    }

    private long count(Predicate<Asked> which) {
        return asked.stream().filter(which).count();
    }
}
