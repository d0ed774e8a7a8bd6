package whinlead.testbed;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import whinlead.Contract;
import whinlead.consult.Bounds;
import whinlead.decide.Decide;
import whinlead.membership.EndpointList;

/**
 * What a consultation costs, of the module's decisions and of an agent that names any endpoint at once, over each
 * protocol in turn: consultations by a second of processor time of the program's one loop, with asks and reports from
 * 32 callers that wait for nothing else; the time of an ask when there is one caller; and what one that is open holds.
 */
@Command(
        name = "consult-speed",
        description = "What a consultation costs, beside an agent that decides " + "nothing, over each protocol.")
final class ConsultSpeed implements Callable<Integer> {
    private static final int ENDPOINTS = 3;
    private static final int CONNECTIONS = 4;
    private static final int CALLERS = 32;
    private static final int HELD = 1000;
    private static final long HIGHEST_MICROS = 10_000_000;
    private static final int DIGITS = 3;
    private static final double NANOS = 1e9;
    private static final double MICROS = 1000;
    private static final long PATIENCE_S = 30;
    /** A decision is to cost less than carrying it does. */
    private static final double MIN_SHARE = 0.5;

    /** Consultations by a second of processor time, and microseconds of an ask. */
    private record Cost(double perSecond, double median, double p99, double notSent) {}

    @Option(names = "--seconds", description = "Length of one measurement.")
    private double seconds = 2;

    @Option(names = "--rounds", description = "Measurements of each, in turn; the median counts.")
    private int rounds = 3;

    private final Contract.Settings settings = Settings.of(true, Settings.type("read", 1, Contract.Effect.SAFE));

    @Override
    public Integer call() throws IOException {
        return OwnLoop.play(this::measure);
    }

    private int measure(EventLoop loop) throws IOException, InterruptedException, ExecutionException {
        Map<String, List<Cost>> costs = new LinkedHashMap<>();
        for (int round = 0; round < rounds; round++) {
            for (AgentFront front : AgentFront.values()) {
                for (boolean decides : new boolean[] {true, false}) {
                    costs.computeIfAbsent(front + (decides ? ", deciding" : ", at once"), n -> new ArrayList<>())
                            .add(cost(loop, front, decides));
                }
            }
        }
        Promises promises = new Promises(System.out);
        Map<String, Double> rates = new LinkedHashMap<>();
        costs.forEach((name, all) -> {
            all.sort((a, b) -> Double.compare(a.perSecond(), b.perSecond()));
            Cost c = all.get(all.size() / 2);
            rates.put(name, c.perSecond());
            System.out.printf(
                    Locale.ROOT,
                    "%s: %.0f by a second of one core (%.0f to %.0f), an ask %.0f us " + "(p99 %.0f us)%n",
                    name,
                    c.perSecond(),
                    all.get(0).perSecond(),
                    all.get(all.size() - 1).perSecond(),
                    c.median(),
                    c.p99());
            promises.under(name + ", not sent", c.notSent(), 0.01);
        });
        for (AgentFront front : AgentFront.values()) {
            promises.over(
                    front + ", deciding, of at once",
                    rates.get(front + ", deciding") / rates.get(front + ", at once"),
                    MIN_SHARE);
            promises.figure(front + ", bytes of an open consultation, its caller's part too", held(loop, front));
        }
        return promises.kept() ? 0 : 1;
    }

    private ProcessorRig rig(AgentFront front, boolean decides) throws IOException {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            entries.add(new EndpointList.Entry(
                    new Contract.Server("s" + i, Contract.ServerState.UP, 1, "z", 0, 0),
                    EndpointList.address("127.0.0.1:" + (i + 1))));
        }
        return new ProcessorRig(
                        settings,
                        actions -> decides ? new Decide(settings, 1, actions) : Policies.random(settings, 1, actions),
                        new Bounds(2 * HELD, 2 * HELD, HELD, 1, 1),
                        new EndpointList(1, true, entries))
                .consulted(front);
    }

    private Cost cost(EventLoop loop, AgentFront front, boolean decides)
            throws IOException, InterruptedException, ExecutionException {
        try (ProcessorRig rig = rig(front, decides)) {
            AgentClient agent = new AgentClient(loop, front.protocol(), rig.address(), CONNECTIONS, 1);
            Callers many = new Callers(agent, CALLERS);
            loop.submit(() -> {
                        agent.start();
                        many.begin();
                    })
                    .get();
            TimeUnit.MILLISECONDS.sleep((long) (seconds / 2 * 1000));
            long thread = rig.ask(() -> Thread.currentThread().getId());
            long cpu = ManagementFactory.getThreadMXBean().getThreadCpuTime(thread);
            int before = loop.submit(() -> many.done).get();
            TimeUnit.MILLISECONDS.sleep((long) (seconds * 1000));
            int after = loop.submit(() -> many.done).get();
            double used = (ManagementFactory.getThreadMXBean().getThreadCpuTime(thread) - cpu) / NANOS;
            Callers one = new Callers(agent, 1);
            loop.submit(() -> {
                        many.stopped = true;
                        one.begin();
                    })
                    .get();
            TimeUnit.MILLISECONDS.sleep((long) (seconds / 2 * 1000));
            return loop.submit(() -> {
                        one.stopped = true;
                        Cost c = new Cost(
                                (after - before) / used,
                                one.times.getValueAtPercentile(50),
                                one.times.getValueAtPercentile(99),
                                (double) many.notSent / many.done);
                        agent.die();
                        return c;
                    })
                    .get();
        }
    }

    private double held(EventLoop loop, AgentFront front) throws IOException, InterruptedException, ExecutionException {
        try (ProcessorRig rig = rig(front, false)) {
            AgentClient agent = new AgentClient(loop, front.protocol(), rig.address(), CONNECTIONS, 1);
            AtomicInteger told = new AtomicInteger();
            loop.submit(agent::start).get();
            long before = heap();
            loop.submit(() -> {
                        for (int i = 0; i < HELD; i++) {
                            agent.call("ask", asked("h" + i, "60"), said -> told.incrementAndGet());
                        }
                    })
                    .get();
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
            while (told.get() < HELD && System.nanoTime() < end) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            int open = rig.ask(() -> rig.consultations().open());
            double bytes = (double) (heap() - before) / Math.max(1, open);
            loop.submit(agent::die).get();
            return bytes;
        }
    }

    private static long heap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static Map<String, String> asked(String id, String timeout) {
        Map<String, String> asked = new LinkedHashMap<>();
        asked.put("id", id);
        asked.put("class", "read");
        asked.put("timeout", timeout);
        asked.put("timeout_ms", timeout + "000");
        return asked;
    }

    /** Callers that each ask, report that it was served, and begin anew; the clients' loop owns them. */
    private static final class Callers {
        private final AgentClient agent;
        private final int count;
        private final Histogram times = new Histogram(HIGHEST_MICROS, DIGITS);
        private int done;
        private int notSent;
        private boolean stopped;
        private long nextId;

        private Callers(AgentClient agent, int count) {
            this.agent = agent;
            this.count = count;
        }

        private void begin() {
            for (int i = 0; i < count; i++) {
                ask();
            }
        }

        private void ask() {
            if (stopped) {
                return;
            }
            String id = count + "-" + nextId++;
            long at = System.nanoTime();
            agent.call("ask", asked(id, "2"), said -> {
                if (said == null) {
                    return;
                }
                times.recordValue(Math.min(HIGHEST_MICROS, (long) ((System.nanoTime() - at) / MICROS)));
                if ("send".equals(said.get("do"))) {
                    agent.call(
                            "outcome",
                            Map.of(
                                    "id",
                                    id,
                                    "attempt",
                                    said.get("attempt"),
                                    "endpoint",
                                    said.get("endpoint"),
                                    "outcome",
                                    "served"),
                            end -> next(end != null));
                } else {
                    notSent++;
                    next(true);
                }
            });
        }

        private void next(boolean alive) {
            if (alive) {
                done++;
                ask();
            }
        }
    }
}
