package cobaltrack.standin;

import cobaltrack.Contract;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * One real sidecar in real time, on loopback sockets: stand-in endpoints, discovery and open-loop clients,
 * all in this process and on one loop of their own, and the ledger of what truly became of each request.
 */
public final class SocketDay {
    /** After the last deadline, for what is still under way. */
    private static final double TAIL_MS = 200;
    private static final long TICK_MS = 1000;

    private final Contract.Settings settings;
    private final List<EndpointScript> fleet;
    private final List<Load> loads;
    private final double length;
    private final long seed;

    /**
     * A day.
     *
     * @param length milliseconds for which clients ask
     */
    public SocketDay(Contract.Settings settings, List<EndpointScript> fleet, List<Load> loads, double length,
            long seed) {
        this.settings = settings;
        this.fleet = fleet;
        this.loads = loads;
        this.length = length;
        this.seed = seed;
    }

    /**
     * Plays it, and gives what became of every request. Blocks for as long as the day is.
     *
     * @throws IOException if the sidecar does not start
     */
    public Ledger play() throws IOException {
        return play((now, ledger) -> { });
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
            SocketEndpoint e = new SocketEndpoint(script, settings.classes(), timer, ledger,
                    seed + endpoints.size());
            e.start();
            endpoints.add(e);
        }
        loop.submit(() -> endpoints.forEach(e -> discovery.set(e.id(), e.dial(), "ready"))).get();
        String known = loop.submit(discovery::whole).get();
        try (FrontProcess process = SidecarProcess.start(List.of(), settings, discovery.dial(), known, seed)) {
            loop.submit(() -> {
                timer.begin();
                endpoints.forEach(SocketEndpoint::run);
                new OpenLoopClients(process.address(), settings.classes(), loads, length, timer, ledger, seed)
                        .run();
                loop.scheduleAtFixedRate(() -> eachSecond.accept(timer.now(), ledger), TICK_MS, TICK_MS,
                        TimeUnit.MILLISECONDS);
            }).get();
            double longest = settings.classes().stream().mapToDouble(Contract.RequestClass::deadline).max()
                    .orElse(0);
            TimeUnit.MILLISECONDS.sleep((long) (length + longest + TAIL_MS));
            // Ended on the loop, after which nobody writes to the ledger any more.
            loop.submit(() -> {
                endpoints.forEach(SocketEndpoint::stop);
                discovery.stop();
            }).get();
        }
        return ledger;
    }
}
