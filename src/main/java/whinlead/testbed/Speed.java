package whinlead.testbed;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import whinlead.Contract;

/** {@code rehearse speed}: requests a second on one core, beside the endpoints asked directly. */
@Command(
        name = "speed",
        description = "Requests a second of a sidecar on one core, and their times, "
                + "beside those of its endpoint without it.")
final class Speed implements Callable<Integer> {
    private static final int ENDPOINTS = 3;
    private static final String DIRECT = "direct";
    private static final String SIDECAR = "sidecar";
    /** Nobody listens there, as at the address of discovery: the list as last known stands. */
    private static final String NOWHERE = "127.0.0.1:1";

    @Option(names = "--connections", description = "Clients, each with a connection.")
    private int connections = 4;

    @Option(names = "--seconds", description = "Length of one measurement.")
    private double seconds = 4;

    @Option(names = "--warm", description = "Seconds before each measurement.")
    private double warm = 1;

    @Option(names = "--jvm", description = "An option of the sidecar's JVM that comes after the platform's.")
    private List<String> jvm = List.of();

    @Option(names = "--rounds", description = "Measurements of each, in turn; the median counts.")
    private int rounds = 3;

    @Option(names = "--core", description = "The core that each is bound to, by taskset.")
    private int core;

    @Option(names = "--share", description = "What is promised of the requests a second without it.")
    private double share = 0.05;

    @Override
    public Integer call() throws IOException, InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        try {
            List<String> dials = new ArrayList<>();
            for (int i = 0; i < ENDPOINTS; i++) {
                dials.add(new FastEndpoint(group.next()).dial());
            }
            return measure(group, dials);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private int measure(EventLoopGroup group, List<String> dials) throws IOException, InterruptedException {
        List<String> prefix = Files.isExecutable(Path.of("/usr/bin/taskset"))
                ? List.of("taskset", "-c", Integer.toString(core))
                : List.of();
        Map<String, List<ClosedLoopClients.Result>> results = new LinkedHashMap<>();
        for (int round = 0; round < rounds; round++) {
            for (String name : List.of(DIRECT, SIDECAR)) {
                try (FrontProcess t = start(name, prefix, dials)) {
                    ClosedLoopClients clients = new ClosedLoopClients(group.next());
                    results.computeIfAbsent(name, n -> new ArrayList<>())
                            .add(clients.run(t.address(), connections, warm, seconds));
                }
            }
        }
        Promises promises = new Promises(System.out);
        Map<String, Double> rates = new LinkedHashMap<>();
        results.forEach((name, all) -> {
            all.sort((a, b) -> Double.compare(a.perSecond(), b.perSecond()));
            ClosedLoopClients.Result r = all.get(all.size() / 2);
            rates.put(name, r.perSecond());
            System.out.printf(
                    Locale.ROOT,
                    "%s: %.0f a second (%.0f to %.0f), median %.0f us, p99 %.0f us%n",
                    name,
                    r.perSecond(),
                    all.get(0).perSecond(),
                    all.get(all.size() - 1).perSecond(),
                    r.medianMicros(),
                    r.p99Micros());
            promises.under(name + ", not answered 200", r.otherShare(), 0.01);
        });
        promises.over("sidecar, of direct", rates.get(SIDECAR) / rates.get(DIRECT), share);
        return promises.kept() ? 0 : 1;
    }

    private FrontProcess start(String name, List<String> prefix, List<String> dials) throws IOException {
        return name.equals(SIDECAR) ? sidecar(prefix, dials) : direct(dials.get(0));
    }

    private FrontProcess sidecar(List<String> prefix, List<String> dials) throws IOException {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < dials.size(); i++) {
            hosts.append(i == 0 ? "" : ",").append(StandInDiscovery.host("s" + i, dials.get(i), "ready"));
        }
        String known = "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}";
        return SidecarProcess.start(
                prefix, jvm, Settings.of(true, Settings.type("read", 1, Contract.Effect.SAFE)), NOWHERE, known, 1);
    }

    private static FrontProcess direct(String dial) {
        String[] parts = dial.split(":");
        return new FrontProcess() {
            @Override
            public InetSocketAddress address() {
                return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
            }

            @Override
            public void close() {
                // The endpoint is not ours to end.
            }
        };
    }
}
