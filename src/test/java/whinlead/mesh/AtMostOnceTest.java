package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.Relay;
import whinlead.testbed.mesh.Relay.Mode;
import whinlead.testbed.mesh.StandInApp;
import whinlead.testbed.mesh.Talk;

/**
 * Point 5 on processes: whatever breaks between a client and the endpoint, what may not be repeated runs once at most,
 * each answer is its own request's, and nobody is told of what ran that it has not.
 */
public class AtMostOnceTest {
    private static final double START_MS = 30_000;
    private static final long BEAT_MS = 200;
    private static final double STORM_MS = Double.parseDouble(System.getProperty("whinlead.storm-ms", "5000"));
    private static final long SEED = Long.getLong("whinlead.seed", 7);
    private static final long PAUSE_NS = 2_000_000;
    private static final double QUIET_MS = 500;
    /** Endpoints to which a request of the other routes may be sent. */
    private static final int TRIES = 2;
    /** How long a request by the route {@code /once/} may last, and how far from that its answer may come. */
    private static final double ROUTE_MS = 2000;

    private static final double LATE_MS = 500;
    /** After a request's time, until what held it back ends. */
    private static final double MARGIN_MS = 100;
    /** A silent connection between sidecars is given up after so long. */
    private static final int CONNECTION_GIVEN_UP_MS = 5000;

    private RelayedRig rig;
    private StandInApp far;
    private StandInApp near;

    @BeforeClass
    public void start() throws Exception {
        rig = new RelayedRig();
        rig.startControlNodes();
        rig.startSidecars();
        // Only the second sidecar has an endpoint, so that all requests at the first take the connection.
        far = new StandInApp("i-1", "svc", rig.settings.app(1), rig.settings.beats(1));
        far.beatEvery(BEAT_MS);
        rig.change(0, 1, START_MS, RelayedRig.FOUNDERS);
        RelayedRig.await("both sidecars serve", START_MS, () -> served(0) && served(1));
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        rig.close();
        far.close();
        if (near != null) {
            near.close();
        }
    }

    private boolean served(int sidecar) throws IOException {
        Map<String, String> h = rig.headers(2000);
        Talk.Message m = Talk.ask(rig.settings.egress(sidecar), "POST /b/x", h, new byte[10]);
        assertTrue(m.status() != 200 || h.get("Attempt-Id").equals(m.headers().get("attempt-id")));
        return m.status() == 200;
    }

    /** A request that is under way. */
    private record Sent(String id, CompletableFuture<Talk.Message> answer) {
        Talk.Message get() throws Exception {
            return answer.get((long) START_MS, TimeUnit.MILLISECONDS);
        }
    }

    private Sent send(int sidecar, String first, int deadlineMs) {
        Map<String, String> h = rig.headers(deadlineMs);
        return new Sent(h.get("Attempt-Id"), CompletableFuture.supplyAsync(() -> {
            try (Talk talk = new Talk(rig.settings.egress(sidecar))) {
                talk.say(first + " HTTP/1.1", h, new byte[10]);
                return heard(talk);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }));
    }

    // On a busy machine one may be refused at once. That one has not run, and another is sent.
    private Sent sendUntilOneRuns(String first, int deadlineMs) throws Exception {
        Sent[] last = {send(0, first, deadlineMs)};
        RelayedRig.await("it runs", START_MS, () -> {
            Sent sent = last[0];
            if (sent.answer().isDone() && sent.get().status() == 503) {
                assertEquals(far.runs(sent.id()), 0);
                last[0] = send(0, first, deadlineMs);
            }
            return far.runs(last[0].id()) == 1;
        });
        return last[0];
    }

    // A deadline may be longer than one wait of the connection.
    private static Talk.Message heard(Talk talk) throws IOException {
        double began = RelayedRig.now();
        while (true) {
            try {
                return talk.hear();
            } catch (SocketTimeoutException e) {
                if (RelayedRig.now() - began > START_MS) {
                    throw e;
                }
            }
        }
    }

    private static void says(Talk.Message m, int... one) {
        for (int status : one) {
            if (m.status() == status) {
                return;
            }
        }
        throw new AssertionError("answered " + m.first());
    }

    private void mends() throws Exception {
        RelayedRig.await("both serve again", START_MS, () -> served(0) && served(1));
    }

    @Test
    public void anEndpointThatResetsRanItOnceAndNobodySaysOtherwise() throws Exception {
        for (int sidecar = 0; sidecar < 2; sidecar++) {
            for (int i = 0; i < 5; i++) {
                Sent s = send(sidecar, "POST /b/reset", 2000);
                Talk.Message m = s.get();
                if (far.runs(s.id()) > 0) {
                    says(m, 502, 504);
                }
                assertTrue(far.runs(s.id()) <= 1, "ran " + far.runs(s.id()) + " times");
            }
            assertTrue(far.ran().stream().anyMatch(m -> m.first().startsWith("POST /b/reset")));
            mends();
        }
    }

    @Test
    public void aConnectionResetWithARequestUnderWay() throws Exception {
        Sent s = sendUntilOneRuns("POST /b/slow", 10_000);
        double began = RelayedRig.now();
        rig.relay("c0", "c1").reset();
        says(s.get(), 502);
        RelayedRig.figure("connection reset: answered after", RelayedRig.now() - began);
        far.release();
        mends();
        assertEquals(far.runs(s.id()), 1);
    }

    // The answer of one that may not be repeated is late, or the way there is: then it may run after all.
    @Test(
            dependsOnMethods = {
                "aConnectionResetWithARequestUnderWay",
                "anEndpointThatResetsRanItOnceAndNobodySaysOtherwise"
            },
            alwaysRun = true)
    public void aConnectionHeldBackAndLetGo() throws Exception {
        for (Relay.Way way : Relay.Way.values()) {
            // Before the connection is given up on, and after that.
            for (int deadline : way == Relay.Way.THERE ? new int[] {1500, 8000} : new int[] {1500}) {
                rig.relay("c0", "c1").set(way, Mode.HELD);
                double began = RelayedRig.now();
                // One that is refused at once never got as far as the connection.
                Sent s = send(0, "POST /b/x", deadline);
                for (int i = 0; i < 50 && s.get().status() == 503; i++) {
                    assertEquals(far.runs(s.id()), 0);
                    // A connection that has been silent meanwhile takes nothing: it is held anew.
                    rig.relay("c0", "c1").set(Mode.OPEN);
                    mends();
                    rig.relay("c0", "c1").set(way, Mode.HELD);
                    began = RelayedRig.now();
                    s = send(0, "POST /b/x", deadline);
                }
                Talk.Message m = s.get();
                double answered = RelayedRig.now() - began;
                long before = far.runs(s.id());
                if (deadline < CONNECTION_GIVEN_UP_MS) {
                    // The 504 comes some milliseconds ahead of that; let go then, it might still begin.
                    double timeIsUp = began + deadline + MARGIN_MS;
                    RelayedRig.await("its time is up", START_MS, () -> RelayedRig.now() > timeIsUp);
                }
                rig.relay("c0", "c1").set(Mode.OPEN);
                mends();
                long after = far.runs(s.id());
                System.out.printf(
                        "held %s, deadline %d ms: answered %d after %.0f ms, runs %d, then %d%n",
                        way, deadline, m.status(), answered, before, after);
                says(m, 502, 504);
                assertTrue(after <= 1, "ran " + after + " times");
                assertTrue(answered < deadline + 500, "answered after " + answered);
                if (way == Relay.Way.BACK) {
                    assertEquals(before, 1, "it is the answer that was held");
                } else if (deadline < CONNECTION_GIVEN_UP_MS) {
                    assertEquals(after, 0, "its time was up when it was let go");
                }
                for (int i = 0; i < 20; i++) {
                    Sent next = send(0, "POST /b/x", 2000);
                    Talk.Message own = next.get();
                    assertTrue(own.status() != 200
                            || next.id().equals(own.headers().get("attempt-id")));
                }
            }
        }
    }

    // What waits for its connection's dial must not leave once its caller was answered.
    @Test(dependsOnMethods = "aConnectionHeldBackAndLetGo", alwaysRun = true)
    public void aConnectionThatCantBeDialled() throws Exception {
        rig.relay("c0", "c1").set(Mode.CUT);
        rig.relay("c0", "c1").reset();
        List<Sent> all = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            all.add(send(0, "POST /b/x", 600));
        }
        Map<Integer, Integer> statuses = new TreeMap<>();
        for (Sent s : all) {
            statuses.merge(s.get().status(), 1, Integer::sum);
            says(s.get(), 502, 503, 504);
        }
        rig.relay("c0", "c1").set(Mode.OPEN);
        mends();
        all.forEach(s -> assertEquals(far.runs(s.id()), 0, "ran after its caller was answered"));
        System.out.println("not dialled: by status " + statuses + ", none ran");
    }

    /**
     * What became of a request.
     *
     * @param once whether it may run once only, by its kind or its route's bound on endpoints
     * @param status 0 where its connection broke
     */
    private record End(String id, boolean once, int status, String echoed) {}

    @Test(dependsOnMethods = "aConnectionThatCantBeDialled", alwaysRun = true)
    public void aStormOfResetsCutsHoldsAndAKill() throws Exception {
        near = new StandInApp("i-0", "svc", rig.settings.app(0), rig.settings.beats(0));
        near.beatEvery(BEAT_MS);
        ConcurrentLinkedQueue<End> ends = new ConcurrentLinkedQueue<>();
        double until = RelayedRig.now() + STORM_MS;
        List<CompletableFuture<Void>> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int client = i;
            clients.add(CompletableFuture.runAsync(
                    () -> client(client, until, ends), r -> new Thread(r, "client").start()));
        }
        trouble(until);
        for (CompletableFuture<Void> c : clients) {
            c.get((long) START_MS, TimeUnit.MILLISECONDS);
        }
        mends();
        settles();
        judge(ends);
    }

    // Last, for its time-outs may have requests of others refused for a while.
    @Test(dependsOnMethods = "aStormOfResetsCutsHoldsAndAKill", alwaysRun = true)
    public void aRequestThatOutlastsItsRouteIsAnsweredInTime() throws Exception {
        for (int sidecar = 0; sidecar < 2; sidecar++) {
            int at = sidecar;
            RelayedRig.await("one is not refused", START_MS, () -> outlastsItsRoute(at));
        }
    }

    // False where it was refused at once and has not run; it is then sent again.
    private boolean outlastsItsRoute(int sidecar) throws Exception {
        double began = RelayedRig.now();
        Sent s = send(sidecar, "GET /once" + StandInApp.ENDLESS, 8000);
        Talk.Message m = s.get();
        double took = RelayedRig.now() - began;
        if (m.status() == 503) {
            assertEquals(far.runs(s.id()) + near.runs(s.id()), 0);
            return false;
        }
        System.out.printf(
                "at sidecar %d, route of %.0f ms: answered %d after %.0f ms%n", sidecar, ROUTE_MS, m.status(), took);
        says(m, 504);
        assertTrue(took > ROUTE_MS - LATE_MS && took < ROUTE_MS + LATE_MS, "after " + took + " ms");
        return true;
    }

    private void client(int client, double until, ConcurrentLinkedQueue<End> ends) {
        Random random = new Random(SEED * 100 + client);
        while (RelayedRig.now() < until) {
            boolean mutating = random.nextInt(3) > 0;
            boolean once = mutating || random.nextBoolean();
            String path = (mutating ? "POST /b" : once ? "GET /once" : "GET /v1")
                    + (random.nextInt(10) == 0 ? "/reset" : "/x");
            Map<String, String> h = rig.headers(700);
            try (Talk talk = new Talk(rig.settings.egress(client % 2))) {
                Talk.Message m = talk.ask(path, h, new byte[mutating ? 50 : 0]);
                ends.add(new End(
                        h.get("Attempt-Id"),
                        once,
                        m == null ? 0 : m.status(),
                        m == null ? null : m.headers().get("attempt-id")));
            } catch (IOException e) {
                ends.add(new End(h.get("Attempt-Id"), once, 0, null));
            }
            LockSupport.parkNanos(PAUSE_NS);
        }
    }

    private void trouble(double until) throws Exception {
        Random random = new Random(SEED);
        List<Relay> ways = List.of(rig.relay("c0", "c1"), rig.relay("c1", "c0"));
        boolean killed = false;
        while (RelayedRig.now() < until) {
            Relay relay = ways.get(random.nextInt(2));
            int kind = random.nextInt(6);
            if (kind < 2) {
                relay.reset();
            } else if (kind < 5) {
                relay.set(Relay.Way.values()[random.nextInt(2)], random.nextBoolean() ? Mode.HELD : Mode.CUT);
            } else {
                relay.set(Mode.OPEN);
            }
            if (!killed && RelayedRig.now() > until - STORM_MS / 2) {
                killed = true;
                rig.kill("c1");
                rig.sidecar(1, RelayedRig.FOUNDERS);
            }
            LockSupport.parkNanos((100 + random.nextInt(300)) * 1_000_000L);
            if (random.nextInt(3) == 0) {
                relay.set(Mode.OPEN);
            }
        }
        ways.forEach(w -> w.set(Mode.OPEN));
    }

    // What was held runs now, if at all.
    private void settles() throws Exception {
        int[] last = {-1};
        double[] since = {RelayedRig.now()};
        RelayedRig.await("nothing runs any more", START_MS, () -> {
            int now = far.ran().size() + near.ran().size();
            if (now != last[0]) {
                last[0] = now;
                since[0] = RelayedRig.now();
            }
            return RelayedRig.now() - since[0] > QUIET_MS;
        });
    }

    private void judge(ConcurrentLinkedQueue<End> ends) {
        Map<String, Integer> runs = new HashMap<>();
        for (StandInApp app : List.of(near, far)) {
            app.ran().forEach(m -> runs.merge(m.headers().get("attempt-id"), 1, Integer::sum));
        }
        Map<Integer, Integer> statuses = new TreeMap<>();
        int unknown = 0;
        for (End e : ends) {
            int n = runs.getOrDefault(e.id(), 0);
            statuses.merge(e.status(), 1, Integer::sum);
            assertTrue(n <= (e.once() ? 1 : TRIES), e + " ran " + n + " times");
            boolean refused = e.status() == 503 || e.status() == 429;
            // The rule is for what may not be repeated; the protocol's promise is for all.
            assertTrue(!refused || n == 0, e + " ran " + n + " times");
            if (e.status() == 200) {
                assertNotEquals(n, 0, e + " never ran");
                assertEquals(e.echoed(), e.id());
            }
            assertTrue(e.echoed() == null || e.echoed().equals(e.id()), e.toString());
            unknown += e.status() != 200 && n > 0 ? 1 : 0;
        }
        System.out.println(
                "storm: " + ends.size() + " requests, by status " + statuses + ", not 200 but run " + unknown);
        assertTrue(statuses.getOrDefault(200, 0) > 100, "most of the time some are served: " + statuses);
    }
}
