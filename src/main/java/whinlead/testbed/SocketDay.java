package whinlead.testbed;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import whinlead.Contract;
import whinlead.plan.Arrival;

/**
 * One real sidecar in real time, on loopback sockets: stand-in endpoints, discovery and open-loop clients, all in this
 * process and on one loop of their own, and the ledger of what truly became of each request.
 */
public final class SocketDay {
    /** After the last deadline, for what is still under way. */
    private static final double TAIL_MS = 200;

    private static final long TICK_MS = 1000;

    /**
     * Something that the list tells at a time.
     *
     * @param startedAt when the endpoint's process started, in milliseconds since the run began; NaN for long ago
     */
    public record Notice(double at, String id, String health, double startedAt) {}

    /**
     * What one sidecar's clients ask.
     *
     * @param loads drawn as the day goes
     * @param arrivals at given times besides, or none
     * @param habit of the clients whose arrivals those are
     */
    record Asked(List<Load> loads, Iterator<Arrival> arrivals, Habit habit) {
        /** Loads alone. */
        static Asked of(List<Load> loads) {
            return new Asked(loads, Collections.emptyIterator(), Habit.NONE);
        }
    }

    private final Contract.Settings settings;
    private final List<EndpointScript> fleet;
    private final List<Asked> asked;
    private final List<Notice> notices;
    private final double length;
    private final long seed;

    /**
     * A day.
     *
     * @param length milliseconds for which clients ask
     */
    public SocketDay(
            Contract.Settings settings, List<EndpointScript> fleet, List<Load> loads, double length, long seed) {
        this(settings, fleet, List.of(Asked.of(loads)), List.of(), length, seed);
    }

    /** One of several sidecars, each with loads of its own. */
    SocketDay(
            Contract.Settings settings,
            List<EndpointScript> fleet,
            List<Asked> asked,
            List<Notice> notices,
            double length,
            long seed) {
        this.settings = settings;
        this.fleet = fleet;
        this.asked = asked;
        this.notices = notices;
        this.length = length;
        this.seed = seed;
    }

    /**
     * Plays it, and gives what became of every request. Blocks for as long as the day is.
     *
     * @throws IOException if the sidecar does not start
     */
    public Ledger play() throws IOException {
        return play((now, ledger) -> {});
    }

    /** The same; {@code eachSecond} sees the time and the ledger so far, on the stand-ins' loop. */
    public Ledger play(BiConsumer<Double, Ledger> eachSecond) throws IOException {
        return OwnLoop.play(loop -> {
            LoopTimer timer = new LoopTimer(loop);
            StandInDiscovery discovery = new StandInDiscovery(timer);
            discovery.start();
            return play(timer, discovery, eachSecond);
        });
    }

    private Ledger play(LoopTimer timer, StandInDiscovery discovery, BiConsumer<Double, Ledger> eachSecond)
            throws IOException, InterruptedException, ExecutionException {
        Ledger ledger = new Ledger(settings.classes());
        EventLoop loop = timer.loop();
        List<SocketEndpoint> endpoints = new ArrayList<>();
        for (EndpointScript script : fleet) {
            SocketEndpoint e = new SocketEndpoint(script, settings.classes(), timer, ledger, seed + endpoints.size());
            e.start();
            endpoints.add(e);
        }
        loop.submit(() -> endpoints.forEach(e -> discovery.set(e.id(), e.dial(), "ready")))
                .get();
        String known = loop.submit(discovery::whole).get();
        List<FrontProcess> processes = new ArrayList<>();
        try {
            for (int i = 0; i < asked.size(); i++) {
                processes.add(SidecarProcess.start(List.of(), numbered(i), discovery.dial(), known, seed + i));
            }
            loop.submit(() -> {
                        timer.begin();
                        endpoints.forEach(SocketEndpoint::run);
                        notices.forEach(n -> timer.at(n.at(), () -> tell(n, endpoints, discovery, timer)));
                        for (int i = 0; i < asked.size(); i++) {
                            OpenLoopClients clients = new OpenLoopClients(
                                    processes.get(i).address(),
                                    settings.classes(),
                                    asked.get(i).loads(),
                                    length,
                                    timer,
                                    ledger,
                                    seed + i,
                                    i,
                                    asked.size());
                            clients.run();
                            clients.follow(asked.get(i).arrivals(), asked.get(i).habit());
                        }
                        loop.scheduleAtFixedRate(
                                () -> eachSecond.accept(timer.nowMs(), ledger),
                                TICK_MS,
                                TICK_MS,
                                TimeUnit.MILLISECONDS);
                    })
                    .get();
            double longest = settings.classes().stream()
                    .mapToDouble(Contract.RequestClass::deadline)
                    .max()
                    .orElse(0);
            TimeUnit.MILLISECONDS.sleep((long) (length + longest + TAIL_MS));
            // Ended on the loop, after which nobody writes to the ledger any more.
            loop.submit(() -> {
                        endpoints.forEach(SocketEndpoint::stop);
                        discovery.stop();
                    })
                    .get();
        } finally {
            for (FrontProcess p : processes) {
                p.close();
            }
        }
        return ledger;
    }

    private Contract.Settings numbered(int ordinal) {
        return new Contract.Settings(
                settings.classes(),
                settings.tenants(),
                settings.overShareWorth(),
                settings.limits(),
                settings.obligations(),
                settings.reporting(),
                settings.listMustBeRequested(),
                asked.size(),
                ordinal);
    }

    private static void tell(Notice n, List<SocketEndpoint> endpoints, StandInDiscovery discovery, LoopTimer timer) {
        long startedAt = Double.isNaN(n.startedAt())
                ? 0
                : Math.round(System.currentTimeMillis() - timer.nowMs() + n.startedAt());
        endpoints.stream()
                .filter(e -> e.id().equals(n.id()))
                .findFirst()
                .ifPresent(e -> discovery.set(e.id(), e.dial(), n.health(), startedAt));
    }
}
