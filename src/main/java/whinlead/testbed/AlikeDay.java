package whinlead.testbed;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import whinlead.Contract;
import whinlead.consult.Bounds;
import whinlead.decide.Decide;
import whinlead.membership.EndpointList;

/**
 * The same drawn arrivals at the same endpoints, one of them a tenth as fast, through the sidecar's own front or
 * through a proxy that asks: calm, then 1.4 times what the endpoints can do, then calm again. What becomes of the
 * requests and what the module learns is to be alike, whoever carries the attempts out.
 */
final class AlikeDay {
    /**
     * What came of it, in the time of too much.
     *
     * @param served share of all that was asked
     * @param refused share refused of each class
     * @param dropped each endpoint's mean drop percentage, as a share
     */
    record Result(Ledger ledger, double served, double[] refused, Map<String, Double> dropped) {}

    private static final int ENDPOINTS = 4;
    private static final int CORES = 4;
    private static final double WORK_MS = 20;
    /** How much slower the first endpoint is: it answers too late as soon as it has a queue. */
    private static final double SLOWER = 10;
    /** A second, of all of them. */
    private static final double CAPACITY = 620;

    private static final double BUSY_FROM = 2000;
    /** The decisions have seen the overload by then. */
    private static final double JUDGED_FROM = 3000;

    private static final double BUSY_TO = 8000;
    private static final double LENGTH = 9000;
    private static final double CALM = 0.6;
    private static final double BUSY = 1.4;
    private static final double WRITES = 0.3;
    private static final double SAMPLE_MS = 50;
    private static final int CONNECTIONS = 8;
    private static final double TAIL_MS = 200;

    private record Arrival(double at, int classIndex) {}

    private final AgentFront front;
    private final long seed;
    private final long decisions;
    private final Contract.Settings settings = Settings.of(
            true,
            Settings.type("read", 1, Contract.Effect.SAFE),
            Settings.type("job-submit", 3, Contract.Effect.UNSAFE));
    private final Ledger ledger = new Ledger(settings.classes());
    private final Map<String, Double> sums = new LinkedHashMap<>();
    private Decide module;
    private int samples;
    private long nextId;

    /**
     * A day.
     *
     * @param front by which a proxy asks; null for the sidecar's own front
     * @param seed of arrivals and endpoints
     * @param decisions seed of the module's own draws
     */
    AlikeDay(AgentFront front, long seed, long decisions) {
        this.front = front;
        this.seed = seed;
        this.decisions = decisions;
    }

    /** Plays it; blocks for as long. */
    Result play() throws IOException {
        return OwnLoop.play(this::play);
    }

    private Result play(EventLoop loop) throws IOException, InterruptedException, ExecutionException {
        LoopTimer timer = new LoopTimer(loop);
        List<SocketEndpoint> sockets = new ArrayList<>();
        Map<String, Workshop> workshops = new LinkedHashMap<>();
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            EndpointScript script = new EndpointScript(
                    "s" + i, CORES, CORES * CORES * CORES, ServiceLaw.exponential(i == 0 ? SLOWER * WORK_MS : WORK_MS));
            String dial = "127.0.0.1:" + (i + 1);
            if (front == null) {
                SocketEndpoint e = new SocketEndpoint(script, settings.classes(), timer, ledger, seed + i);
                e.start();
                sockets.add(e);
                dial = e.dial();
            } else {
                workshops.put("s" + i, new Workshop(script, seed + i, timer));
            }
            entries.add(new EndpointList.Entry(
                    new Contract.Server("s" + i, Contract.ServerState.UP, 1, "z", 0, 0), EndpointList.address(dial)));
        }
        Bounds bounds = new Bounds(4000, 4000, 10_000, 60_000, 100);
        try (ProcessorRig rig = new ProcessorRig(settings, this::decide, bounds, new EndpointList(1, true, entries))) {
            if (front == null) {
                rig.plain();
            } else {
                rig.consulted(front);
            }
            loop.submit(() -> begin(rig, timer, sockets, workshops)).get();
            TimeUnit.MILLISECONDS.sleep((long) (LENGTH + Settings.DEADLINE + TAIL_MS));
            loop.submit(() -> sockets.forEach(SocketEndpoint::stop)).get();
            return result();
        }
    }

    private Decide decide(Contract.Actions actions) {
        module = new Decide(settings, decisions, actions);
        return module;
    }

    private void begin(
            ProcessorRig rig, LoopTimer timer, List<SocketEndpoint> sockets, Map<String, Workshop> workshops) {
        timer.begin();
        List<Load> loads = List.of(Load.steady(0, 0, Habit.NONE), Load.steady(1, 0, Habit.NONE));
        if (front == null) {
            sockets.forEach(SocketEndpoint::run);
            OpenLoopClients clients =
                    new OpenLoopClients(rig.address(), settings.classes(), List.of(), 0, timer, ledger, seed);
            arrivals().forEach(a -> timer.at(a.at(), () -> clients.request(loads.get(a.classIndex()))));
        } else {
            AgentClient agent = new AgentClient(timer.loop(), front.protocol(), rig.address(), CONNECTIONS, seed);
            StandInProxy proxy = StandInProxy.wellBehaved(timer, agent, settings, workshops, ledger, seed);
            agent.start();
            arrivals().forEach(a -> timer.at(a.at(), () -> proxy.request(nextId++, a.classIndex())));
        }
        for (double t = JUDGED_FROM; t < BUSY_TO; t += SAMPLE_MS) {
            timer.at(t, () -> rig.run(this::sample));
        }
    }

    // On the engine's loop.
    private void sample() {
        samples++;
        for (int i = 0; i < ENDPOINTS; i++) {
            sums.merge("s" + i, module.dropShare("s" + i), Double::sum);
        }
    }

    private List<Arrival> arrivals() {
        Random dice = new Random(seed);
        List<Arrival> all = new ArrayList<>();
        double most = BUSY * CAPACITY;
        for (double t = 0; t < LENGTH; t -= Math.log(1 - dice.nextDouble()) * 1000 / most) {
            double due = (t >= BUSY_FROM && t < BUSY_TO ? BUSY : CALM) * CAPACITY;
            double type = dice.nextDouble();
            if (dice.nextDouble() * most < due) {
                all.add(new Arrival(t, type < WRITES ? 1 : 0));
            }
        }
        return all;
    }

    private Result result() {
        Ledger.Count all = ledger.count(JUDGED_FROM, BUSY_TO);
        double[] refused = new double[settings.classes().size()];
        for (int i = 0; i < refused.length; i++) {
            refused[i] = ledger.count(JUDGED_FROM, BUSY_TO, i).refusedShare();
        }
        Map<String, Double> dropped = new LinkedHashMap<>();
        sums.forEach((id, sum) -> dropped.put(id, sum / samples));
        return new Result(ledger, (double) all.served() / all.asked(), refused, dropped);
    }
}
