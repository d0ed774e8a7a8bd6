package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.testng.annotations.Test;
import whinlead.Contract;
import whinlead.decide.Decide;

/** A balancer that sleeps while it is idle makes exactly the decisions of one that is woken each period. */
public class TicklessModuleTest {
    private static final long SEED = 7;
    private static final double START_MS = 1_000_003.7;
    private static final double LOAD_MS = 60_000;
    private static final int SERVER_COUNT = 9;

    /** Carries out a balancer's decisions on simulated time and records them. */
    private static final class ManualDriver implements Contract.Actions {
        private record ScheduledTask(double dueMs, long order, Runnable task) {}

        private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
                Comparator.comparingDouble(ScheduledTask::dueMs).thenComparingLong(ScheduledTask::order));
        private final List<String> decisions = new ArrayList<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Contract.Settings settings = ServiceBalancer.settings(new RequestClasses(), 2.5, 14);
        private Contract.Events events;
        private Decide balancer;
        private double nowMs = START_MS;
        private long nextOrder;
        private int wakeCount;

        private void schedule(double dueMs, Runnable task) {
            tasks.add(new ScheduledTask(dueMs, nextOrder++, task));
        }

        private void runTo(double endMs) {
            while (!tasks.isEmpty() && tasks.peek().dueMs() <= endMs) {
                ScheduledTask nextTask = tasks.poll();
                nowMs = Math.max(nowMs, nextTask.dueMs());
                nextTask.task().run();
            }
            nowMs = endMs;
        }

        @Override
        public void send(Contract.Request request, String server, double withinMs) {
            decisions.add(nowMs + " send " + request.id + " " + server);
            // The response depends on the request alone, so that it is the same for both balancers.
            int attempt = attempts.merge(request.id, 1, Integer::sum) - 1;
            Random random = new Random(request.id * 31 + attempt);
            double tookMs = 5 + 300 * random.nextDouble() * random.nextDouble();
            Contract.Outcome outcome = random.nextInt(10) < 6
                    ? Contract.Outcome.SERVED
                    : random.nextInt(2) == 0 ? Contract.Outcome.FULL : Contract.Outcome.ERROR;
            schedule(
                    nowMs + tookMs,
                    () -> events.outcome(
                            nowMs, request, attempt, outcome, tookMs, outcome == Contract.Outcome.SERVED, null));
        }

        @Override
        public void cancel(Contract.Request request, int attempt) {
            decisions.add(nowMs + " cancel " + request.id);
        }

        @Override
        public void refuse(Contract.Request request, double retryAfterMs) {
            decisions.add(nowMs + " refuse " + request.id + " " + retryAfterMs);
        }

        @Override
        public void fail(Contract.Request request) {
            decisions.add(nowMs + " fail " + request.id);
        }

        @Override
        public void probe(String server) {
            decisions.add(nowMs + " probe " + server);
        }

        @Override
        public void watchServers() {
            decisions.add(nowMs + " watch");
        }

        @Override
        public void sendToPeers(byte[] text) {
            decisions.add(nowMs + " peers");
        }

        @Override
        public void wake(double wakeAtMs) {
            schedule(wakeAtMs, () -> {
                wakeCount++;
                events.wake(nowMs);
            });
        }

        @Override
        public void log(String line) {
            decisions.add(nowMs + " " + line);
        }
    }

    private static ManualDriver startDriver(boolean tickless) {
        ManualDriver driver = new ManualDriver();
        if (tickless) {
            driver.events =
                    new TicklessModule(driver, actions -> driver.balancer = new Decide(driver.settings, SEED, actions));
        } else {
            driver.balancer = new Decide(driver.settings, SEED, driver);
            driver.events = driver.balancer;
        }
        driver.events.start(START_MS);
        listServers(driver, SERVER_COUNT);
        return driver;
    }

    private static void listServers(ManualDriver driver, int count) {
        List<Contract.Server> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new Contract.Server("server-" + i, Contract.ServerState.UP, 1, "zone", -1, 0));
        }
        driver.events.servers(driver.nowMs, Contract.ListKind.FULL, entries);
    }

    // Bursts of requests with pauses of different lengths; the server list changes in some of the pauses.
    private static ManualDriver replayLoad(boolean tickless) {
        ManualDriver driver = startDriver(tickless);
        Random random = new Random(SEED);
        double requestMs = START_MS;
        for (long id = 0; requestMs < START_MS + LOAD_MS; id++) {
            requestMs += random.nextInt(60) == 0 ? 8000 * random.nextDouble() : 30 * random.nextDouble();
            Contract.Request request = new Contract.Request(
                    id, random.nextInt(driver.settings.classes().size()), -1, 800, false, 1);
            driver.schedule(requestMs, () -> driver.events.request(driver.nowMs, request));
            if (random.nextInt(200) == 0) {
                int count = SERVER_COUNT - random.nextInt(3);
                driver.schedule(requestMs + 500, () -> listServers(driver, count));
            }
        }
        driver.runTo(START_MS + 2 * LOAD_MS);
        // An event that changes nothing makes a sleeping balancer run the periods that are due.
        driver.events.message(driver.nowMs, 0, new byte[0]);
        return driver;
    }

    @Test
    public void decidesLikeABalancerWokenEachPeriod() {
        ManualDriver woken = replayLoad(false);
        ManualDriver tickless = replayLoad(true);
        assertTrue(woken.decisions.size() > 500, woken.decisions.size() + " decisions");
        assertTrue(woken.decisions.stream().anyMatch(line -> line.contains("refuse")), "nothing was refused");
        assertEquals(tickless.decisions, woken.decisions);
        for (int i = 0; i < SERVER_COUNT - 2; i++) {
            assertEquals(tickless.balancer.dropShare("server-" + i), woken.balancer.dropShare("server-" + i));
        }
    }

    @Test
    public void dropSharesDecayDuringAPause() {
        double[] shares = new double[2];
        for (boolean tickless : new boolean[] {false, true}) {
            ManualDriver driver = startDriver(tickless);
            for (long id = 0; id < 400; id++) {
                Contract.Request request = new Contract.Request(id, 0, -1, 800, false, 1);
                driver.schedule(START_MS + 10 * id, () -> driver.events.request(driver.nowMs, request));
            }
            driver.runTo(START_MS + 4300);
            driver.events.message(driver.nowMs, 0, new byte[0]);
            double before = highestDropShare(driver);
            driver.runTo(START_MS + 4800);
            driver.events.message(driver.nowMs, 0, new byte[0]);
            double after = highestDropShare(driver);
            assertTrue(before > 0 && after < before, before + " before the pause, " + after + " after it");
            shares[tickless ? 1 : 0] = after;
        }
        assertEquals(shares[1], shares[0]);
    }

    private static double highestDropShare(ManualDriver driver) {
        double highestShare = 0;
        for (int i = 0; i < SERVER_COUNT; i++) {
            highestShare = Math.max(highestShare, driver.balancer.dropShare("server-" + i));
        }
        return highestShare;
    }

    @Test
    public void idleBalancerIsWokenOnlyWhenItsSleepEnds() {
        ManualDriver woken = startDriver(false);
        ManualDriver tickless = startDriver(true);
        woken.runTo(START_MS + LOAD_MS);
        tickless.runTo(START_MS + LOAD_MS);
        assertTrue(woken.wakeCount > 2000, woken.wakeCount + " periods");
        int maxWakes = (int) (LOAD_MS / TicklessModule.SLEEP_MS) + 1;
        assertTrue(
                tickless.wakeCount <= maxWakes, tickless.wakeCount + " wake-ups for " + woken.wakeCount + " periods");
    }

    @Test
    public void busyBalancerIsWokenEachPeriodAndSleepsAfterwards() {
        ManualDriver driver = startDriver(true);
        double endMs = START_MS + 10_000;
        double periodMs = RequestClasses.periodMs();
        for (double requestMs = START_MS; requestMs < endMs; requestMs += periodMs / 2) {
            Contract.Request request = new Contract.Request((long) (requestMs * 10), 0, -1, 800, false, 1);
            driver.schedule(requestMs, () -> driver.events.request(driver.nowMs, request));
        }
        driver.runTo(endMs);
        int busyWakes = driver.wakeCount;
        assertTrue(busyWakes >= 10_000 / periodMs * 0.9, busyWakes + " wake-ups in ten seconds of requests");
        driver.runTo(endMs + 12_000);
        // The last attempts may still be in flight for some time.
        assertTrue(driver.wakeCount - busyWakes <= 30, driver.wakeCount - busyWakes + " wake-ups in the pause");
    }
}
