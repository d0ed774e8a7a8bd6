package whinlead.testbed;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import whinlead.Contract;
import whinlead.consult.Bounds;
import whinlead.consult.Tally;
import whinlead.decide.Decide;
import whinlead.membership.EndpointList;

/**
 * Stand-in proxies that ask the external processor over loopback, while connections are cut, one of them dies with much
 * open, an endpoint drains and the processor is started anew. It runs in this process, on a loop of its own, so that
 * what it has left can be looked at.
 */
final class ProcessorDay {
    /**
     * What came of it.
     *
     * @param openLeft consultations open when all is over
     * @param openAtDeath requests that the proxy had open when it died
     * @param openAtRestart consultations that the program had open when it ended
     */
    record Result(
            Ledger ledger,
            int sentAfterGrace,
            int openLeft,
            int openAtDeath,
            int openAtRestart,
            int calls,
            Map<Tally.Kind, Long> tally,
            int faults) {}

    private static final int ENDPOINTS = 4;
    private static final int CORES = 4;
    private static final double WORK_MS = 3;
    private static final int PROXIES = 4;
    private static final int CONNECTIONS = 6;
    private static final double PER_SECOND = 2500;
    private static final double TIMEOUT_MS = 600;
    private static final double CUT_EACH_MS = 250;
    private static final double DEATH_AT = 0.4;
    private static final double DRAIN_AT = 0.6;
    private static final double RESTART_AT = 0.8;
    private static final int BURST = 250;
    /** From the burst's beginning, so that a part of it is asked, sent and answered. */
    private static final double DEATH_AFTER_MS = 8;
    /**
     * Requests of each proxy after the restart whose reports come too late by script. Of those that are late by chance
     * the restart takes most: before it there is less time than a request has.
     */
    private static final int LATE_AFTER_RESTART = 10;

    private static final double TAIL_MS = 2000;
    private static final int WARM_UP = 3000;
    private static final double RAMP_PART = 0.1;
    private static final double RAMP_TIME = 0.25;

    private final AgentFront front;
    private final int requests;
    private final long seed;
    private final Contract.Settings settings = Settings.of(
            true,
            Settings.type("read", 1, Contract.Effect.SAFE),
            Settings.type("job-submit", 2, Contract.Effect.UNSAFE));
    private final Ledger ledger = new Ledger(settings.classes());
    private final StandInProxy.Drains drains = new StandInProxy.Drains();
    private final Map<Tally.Kind, Long> tally = new EnumMap<>(Tally.Kind.class);
    private volatile ProcessorRig processor;
    private int openAtDeath;
    private int openAtRestart;
    private int faults;
    private long nextId;

    ProcessorDay(AgentFront front, int requests, long seed) {
        this.front = front;
        this.requests = requests;
        this.seed = seed;
    }

    /**
     * Plays one of which nothing is judged, blocking for as long: the stand-ins and the processor share a JVM, and
     * while that is cold the stand-ins themselves are late.
     */
    static void warmUp(AgentFront front, long seed) throws IOException {
        new ProcessorDay(front, WARM_UP, seed).play();
    }

    /** Plays it; blocks for as long. */
    Result play() throws IOException {
        processor = processor();
        try {
            return OwnLoop.play(this::play);
        } finally {
            processor.close();
        }
    }

    private ProcessorRig processor() throws IOException {
        return new ProcessorRig(
                        settings,
                        actions -> new Decide(settings, seed, actions),
                        new Bounds(4000, 2000, 2 * requests, 60_000, 100),
                        list(Contract.ServerState.UP))
                .consulted(front);
    }

    private Result play(EventLoop others) throws IOException, InterruptedException, ExecutionException {
        LoopTimer timer = new LoopTimer(others);
        SocketAddress at = processor.address();
        List<StandInProxy> proxies = others.submit(() -> {
                    timer.begin();
                    return stage(timer, at);
                })
                .get();
        double length = requests / PER_SECOND * 1000;
        TimeUnit.MILLISECONDS.sleep((long) (RESTART_AT * length));
        restart(others, proxies);
        TimeUnit.MILLISECONDS.sleep((long) ((1 - RESTART_AT) * length + TIMEOUT_MS + TAIL_MS));
        int calls = others.submit(
                        () -> proxies.stream().mapToInt(StandInProxy::answers).sum())
                .get();
        count();
        int left = processor.ask(() -> processor.consultations().open());
        return new Result(ledger, drains.sentAfterGrace, left, openAtDeath, openAtRestart, calls, tally, faults);
    }

    private void count() throws IOException {
        Tally counts = processor.ask(() -> processor.consultations().tally());
        for (Tally.Kind kind : Tally.Kind.values()) {
            tally.merge(kind, processor.ask(() -> counts.count(kind)), Long::sum);
        }
        faults += processor.faults();
    }

    // The program ends and another begins. Proxies fail what they had open, closed, and
    // send none of it anew: the new program can't know what ran.
    private void restart(EventLoop others, List<StandInProxy> proxies)
            throws IOException, InterruptedException, ExecutionException {
        count();
        openAtRestart = processor.ask(() -> processor.consultations().open());
        processor.close();
        others.submit(() -> proxies.forEach(StandInProxy::programLost)).get();
        processor = processor();
        if (drains.since.containsKey("s0")) {
            processor.list(list(Contract.ServerState.DRAINING));
        }
        SocketAddress at = processor.address();
        others.submit(() -> {
                    proxies.forEach(p -> p.programBack(at));
                    for (int i = 0; i < LATE_AFTER_RESTART; i++) {
                        int classIndex = i % settings.classes().size();
                        // The first is dead.
                        proxies.subList(1, PROXIES).forEach(p -> p.requestReportedLate(nextId++, classIndex));
                    }
                })
                .get();
    }

    private static EndpointList list(Contract.ServerState first) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            entries.add(new EndpointList.Entry(
                    new Contract.Server("s" + i, i == 0 ? first : Contract.ServerState.UP, 1, "z", 0, 0),
                    EndpointList.address("127.0.0.1:" + (i + 1))));
        }
        return new EndpointList(1, true, entries);
    }

    // A tenth of all come in the first quarter, more and more of them: the stand-ins and the processor share
    // a JVM that is cold at first.
    private static double arrival(double part) {
        return part < RAMP_PART
                ? RAMP_TIME * Math.sqrt(part / RAMP_PART)
                : RAMP_TIME + (1 - RAMP_TIME) * (part - RAMP_PART) / (1 - RAMP_PART);
    }

    private List<StandInProxy> stage(LoopTimer timer, SocketAddress at) {
        Random dice = new Random(seed);
        Map<String, Workshop> endpoints = new LinkedHashMap<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.put(
                    "s" + i,
                    new Workshop(
                            new EndpointScript("s" + i, CORES, CORES * CORES, ServiceLaw.exponential(WORK_MS)),
                            dice.nextLong(),
                            timer));
        }
        AgentClient.Protocol protocol = front.protocol();
        List<String> classes =
                settings.classes().stream().map(Contract.RequestClass::name).toList();
        List<AgentClient> agents = new ArrayList<>();
        List<StandInProxy> proxies = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            AgentClient agent = new AgentClient(timer.loop(), protocol, at, CONNECTIONS, dice.nextLong());
            agents.add(agent);
            proxies.add(new StandInProxy(
                    timer,
                    agent,
                    classes,
                    endpoints,
                    ledger,
                    drains,
                    settings.obligations().drainGrace(),
                    TIMEOUT_MS,
                    dice.nextLong()));
            agent.start();
        }
        double length = requests / PER_SECOND * 1000;
        for (int i = 0; i < requests; i++) {
            double when = length * arrival(dice.nextDouble());
            int classIndex = dice.nextInt(classes.size());
            int by = dice.nextInt(PROXIES);
            // The clients of the one that dies go to the others.
            timer.at(
                    when,
                    () -> proxies.get(by == 0 && when > DEATH_AT * length ? 1 : by)
                            .request(nextId++, classIndex));
        }
        for (double t = CUT_EACH_MS; t < length; t += CUT_EACH_MS) {
            AgentClient agent = agents.get(1 + dice.nextInt(PROXIES - 1));
            timer.at(t, agent::cut);
        }
        timer.at(DEATH_AT * length, () -> {
            for (int i = 0; i < BURST; i++) {
                proxies.get(0).request(nextId++, i % classes.size());
            }
        });
        timer.at(DEATH_AT * length + DEATH_AFTER_MS, () -> {
            openAtDeath = proxies.get(0).open();
            proxies.get(0).die();
        });
        timer.at(DRAIN_AT * length, () -> {
            drains.since.put("s0", timer.nowMs());
            processor.list(list(Contract.ServerState.DRAINING));
        });
        return proxies;
    }
}
