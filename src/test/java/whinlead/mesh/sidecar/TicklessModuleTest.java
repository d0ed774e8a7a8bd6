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

/** That a balancer which sleeps while it is idle decides exactly as one that is woken each period. */
public class TicklessModuleTest {
    private static final long SEED = 7;
    private static final double BEGIN = 1_000_003.7;
    private static final double DAY_MS = 60_000;
    private static final int SERVERS = 9;

    /** A driven clock that carries out a balancer's decisions and notes them. */
    private static final class Driver implements Contract.Actions {
        private record Due(double at, long order, Runnable task) {}

        private final PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
        private final List<String> decisions = new ArrayList<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Contract.Settings settings = ServiceBalancer.settings(new RequestClasses(), 2.5, 14);
        private Contract.Events events;
        private Decide balancer;
        private double now = BEGIN;
        private long order;
        private int wakes;

        private void at(double time, Runnable task) {
            due.add(new Due(time, order++, task));
        }

        private void until(double end) {
            while (!due.isEmpty() && due.peek().at() <= end) {
                Due next = due.poll();
                now = Math.max(now, next.at());
                next.task().run();
            }
            now = end;
        }

        @Override
        public void send(Contract.Request request, String server, double within) {
            decisions.add(now + " send " + request.id + " " + server);
            // The answer depends on the request alone, so that it is the same for both balancers.
            int attempt = attempts.merge(request.id, 1, Integer::sum) - 1;
            Random random = new Random(request.id * 31 + attempt);
            double took = 5 + 300 * random.nextDouble() * random.nextDouble();
            Contract.Outcome outcome = random.nextInt(10) < 6
                    ? Contract.Outcome.SERVED
                    : random.nextInt(2) == 0 ? Contract.Outcome.FULL : Contract.Outcome.ERROR;
            at(
                    now + took,
                    () -> events.outcome(
                            now, request, attempt, outcome, took, outcome == Contract.Outcome.SERVED, null));
        }

        @Override
        public void cancel(Contract.Request request, int attempt) {
            decisions.add(now + " cancel " + request.id);
        }

        @Override
        public void refuse(Contract.Request request, double retryAfter) {
            decisions.add(now + " refuse " + request.id + " " + retryAfter);
        }

        @Override
        public void fail(Contract.Request request) {
            decisions.add(now + " fail " + request.id);
        }

        @Override
        public void probe(String server) {
            decisions.add(now + " probe " + server);
        }

        @Override
        public void watchServers() {
            decisions.add(now + " watch");
        }

        @Override
        public void tellPeers(byte[] text) {
            decisions.add(now + " peers");
        }

        @Override
        public void wake(double at) {
            at(at, () -> {
                wakes++;
                events.wake(now);
            });
        }

        @Override
        public void log(String line) {
            decisions.add(now + " " + line);
        }
    }

    private static Driver driver(boolean tickless) {
        Driver d = new Driver();
        if (tickless) {
            d.events = new TicklessModule(d, actions -> d.balancer = new Decide(d.settings, SEED, actions));
        } else {
            d.balancer = new Decide(d.settings, SEED, d);
            d.events = d.balancer;
        }
        d.events.start(BEGIN);
        servers(d, SERVERS);
        return d;
    }

    private static void servers(Driver d, int count) {
        List<Contract.Server> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(new Contract.Server("server-" + i, Contract.Standing.UP, 1, "zone", -1, 0));
        }
        d.events.servers(d.now, Contract.ListKind.FULL, list);
    }

    // Bursts of requests with pauses of all lengths between, and the list changed in some of the pauses.
    private static Driver played(boolean tickless) {
        Driver d = driver(tickless);
        Random random = new Random(SEED);
        double at = BEGIN;
        for (long id = 0; at < BEGIN + DAY_MS; id++) {
            at += random.nextInt(60) == 0 ? 8000 * random.nextDouble() : 30 * random.nextDouble();
            Contract.Request request =
                    new Contract.Request(id, random.nextInt(d.settings.classes().size()), -1, 800, false, 1);
            d.at(at, () -> d.events.request(d.now, request));
            if (random.nextInt(200) == 0) {
                int count = SERVERS - random.nextInt(3);
                d.at(at + 500, () -> servers(d, count));
            }
        }
        d.until(BEGIN + 2 * DAY_MS);
        // An event that changes nothing has a sleeping balancer take the periods that are due.
        d.events.message(d.now, 0, new byte[0]);
        return d;
    }

    @Test
    public void decidesAsOneThatIsWokenEachPeriod() {
        Driver woken = played(false);
        Driver tickless = played(true);
        assertTrue(woken.decisions.size() > 500, woken.decisions.size() + " decisions");
        assertTrue(woken.decisions.stream().anyMatch(line -> line.contains("refuse")), "nothing was refused");
        assertEquals(tickless.decisions, woken.decisions);
        for (int i = 0; i < SERVERS - 2; i++) {
            assertEquals(tickless.balancer.dropShare("server-" + i), woken.balancer.dropShare("server-" + i));
        }
    }

    @Test
    public void percentagesDecayOverAPauseAsIfWoken() {
        double[] shares = new double[2];
        for (boolean tickless : new boolean[] {false, true}) {
            Driver d = driver(tickless);
            for (long id = 0; id < 400; id++) {
                Contract.Request request = new Contract.Request(id, 0, -1, 800, false, 1);
                d.at(BEGIN + 10 * id, () -> d.events.request(d.now, request));
            }
            d.until(BEGIN + 4300);
            d.events.message(d.now, 0, new byte[0]);
            double before = highest(d);
            d.until(BEGIN + 4800);
            d.events.message(d.now, 0, new byte[0]);
            double after = highest(d);
            assertTrue(before > 0 && after < before, before + " before the pause, " + after + " after it");
            shares[tickless ? 1 : 0] = after;
        }
        assertEquals(shares[1], shares[0]);
    }

    private static double highest(Driver d) {
        double most = 0;
        for (int i = 0; i < SERVERS; i++) {
            most = Math.max(most, d.balancer.dropShare("server-" + i));
        }
        return most;
    }

    @Test
    public void anIdleBalancerIsWokenOnlyAtTheEndsOfItsSleep() {
        Driver woken = driver(false);
        Driver tickless = driver(true);
        woken.until(BEGIN + DAY_MS);
        tickless.until(BEGIN + DAY_MS);
        assertTrue(woken.wakes > 2000, woken.wakes + " periods");
        int most = (int) (DAY_MS / TicklessModule.SLEEP_MS) + 1;
        assertTrue(tickless.wakes <= most, tickless.wakes + " wake-ups for " + woken.wakes + " periods");
    }

    @Test
    public void aBalancerWithRequestsIsWokenEachPeriodAndSleepsAfterThem() {
        Driver d = driver(true);
        double end = BEGIN + 10_000;
        double period = RequestClasses.period();
        for (double at = BEGIN; at < end; at += period / 2) {
            Contract.Request request = new Contract.Request((long) (at * 10), 0, -1, 800, false, 1);
            d.at(at, () -> d.events.request(d.now, request));
        }
        d.until(end);
        int busy = d.wakes;
        assertTrue(busy >= 10_000 / period * 0.9, busy + " wake-ups in ten seconds of requests");
        d.until(end + 12_000);
        // The last attempts may be out for some time.
        assertTrue(d.wakes - busy <= 30, d.wakes - busy + " wake-ups in the pause");
    }
}
