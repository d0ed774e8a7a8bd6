package whinlead.mesh.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.sidecar.EndpointCalls;
import whinlead.mesh.sidecar.EndpointGate;
import whinlead.mesh.storage.DepartureStore;
import whinlead.mesh.storage.Syncer;
import whinlead.mesh.wire.MessageSender;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.plan.Calendar;

/**
 * One machine's sidecar, the endpoints beside it in succession, and three control nodes under simulated time: processes
 * are killed and start again, links are cut, heartbeats arrive late. Counts how often an endpoint is open to requests
 * later than {@link #DRAIN_MS} after its departure was acknowledged.
 */
final class DepartureMesh implements AutoCloseable {
    /** Faults that can be planted, to show that the check finds them. */
    enum Fault {
        NONE,
        /** A sidecar that starts ignores what earlier processes have acknowledged. */
        IGNORES_EARLIER_PROCESSES,
        /** The sidecar acknowledges a departure before it is stored anywhere. */
        ACKNOWLEDGES_AT_ONCE,
        /** Control nodes answer before their disk has a departure, and lose it when they are killed. */
        KEPT_IN_MEMORY
    }

    static final double DRAIN_MS = 2500;
    private static final int CONTROL_NODES = 3;
    private static final double HEARTBEAT_MS = 1500;
    private static final double MAX_LATE_MS = 3000;
    private static final double STEP_MS = 50;
    private static final String NODE = "10.0.1.1:8366";
    private static final String SERVICE = "svc";
    private static final Syncer NO_SYNC = new Syncer() {
        @Override
        public void syncFile(Path file) {}

        @Override
        public void syncFolder(Path folder) {}
    };

    private final Calendar calendar = new Calendar();
    private final Random random;
    private final Fault fault;
    /** Contains the disks of all control nodes. */
    private final Path folder = Files.createTempDirectory("departures");

    private final ControlProcess[] controlNodes = new ControlProcess[CONTROL_NODES];
    private final Map<String, Double> acknowledgedAtMs = new HashMap<>();
    private SidecarProcess sidecar;
    private Endpoint endpoint;
    private int lives;
    private int openTooLate;
    private boolean calm;

    DepartureMesh(long seed, Fault fault) throws IOException {
        this.random = new Random(seed);
        this.fault = fault;
        for (int i = 0; i < CONTROL_NODES; i++) {
            controlNodes[i] = new ControlProcess(i);
        }
        sidecar = new SidecarProcess();
        endpoint = new Endpoint();
        calendar.schedule(STEP_MS, this::step);
    }

    /** Runs with trouble for this long and then for a while without, in which no endpoint begins to leave. */
    void run(double troubleMs, double calmMs) {
        trouble(troubleMs);
        calendar.runUntil(troubleMs);
        calm = true;
        calendar.runUntil(troubleMs + calmMs);
    }

    @Override
    public void close() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** How often an endpoint was open to requests too late after its acknowledged departure. */
    int openTooLate() {
        return openTooLate;
    }

    /** How many endpoints' departures were acknowledged. */
    int acknowledgements() {
        return acknowledgedAtMs.size();
    }

    /** Whether the newest endpoint is open to requests. */
    boolean serves() {
        return sidecar.gate.endpoint().equals(endpoint.id) && sidecar.admits();
    }

    private void trouble(double untilMs) {
        double nextMs = calendar.nowMs() + 300 + random.nextInt(2500);
        if (nextMs > untilMs) {
            return;
        }
        calendar.scheduleAt(nextMs, () -> {
            boolean all = random.nextInt(8) == 0;
            if (all || random.nextInt(3) > 0) {
                sidecar.restart();
            }
            for (ControlProcess each : controlNodes) {
                if (all || random.nextInt(6) == 0) {
                    each.restart();
                } else if (random.nextInt(5) == 0) {
                    each.cutUntilMs = calendar.nowMs() + random.nextInt(2000);
                }
            }
            trouble(untilMs);
        });
    }

    private void step() {
        boolean open = sidecar.up && sidecar.admits();
        Double acknowledgedMs = acknowledgedAtMs.get(sidecar.gate.endpoint());
        if (open && acknowledgedMs != null && calendar.nowMs() - acknowledgedMs > DRAIN_MS) {
            openTooLate++;
        }
        calendar.schedule(STEP_MS, this::step);
    }

    /** One life of an endpoint: it serves, announces its departure in one of two ways, serves on, and ends. */
    private final class Endpoint {
        private final String id = "i-" + ++lives;
        private final boolean drainsFirst = random.nextBoolean();
        private final double departAtMs = calendar.nowMs() + 1000 + random.nextInt(6000);
        private long callSeq;
        private boolean departing;

        private Endpoint() {
            calendar.schedule(random.nextInt((int) HEARTBEAT_MS), this::beat);
            calendar.scheduleAt(departAtMs, this::depart);
        }

        private void beat() {
            if (endpoint != this || departing) {
                return;
            }
            call(heartbeat("serving"), random.nextInt(3) == 0 ? random.nextDouble() * MAX_LATE_MS : 1);
            calendar.schedule(HEARTBEAT_MS, this::beat);
        }

        private RpcCall heartbeat(String phase) {
            return new RpcCall.Heartbeat(id, new RpcCall.EndpointStatus(SERVICE, "hall-a", 4, phase, 0, ++callSeq));
        }

        private void call(RpcCall call, double delayMs) {
            calendar.schedule(delayMs, () -> sidecar.call(call, id));
        }

        // Sent again until it is acknowledged, as endpoints do after a failure.
        private void depart() {
            if (calm && !departing) {
                return;
            }
            departing = true;
            if (!acknowledgedAtMs.containsKey(id) && calendar.nowMs() < departAtMs + 5000) {
                call(drainsFirst ? heartbeat("draining") : new RpcCall.Depart(id), 1);
                calendar.schedule(1000, this::depart);
            } else {
                // Its address is used again once it has served on.
                calendar.schedule(DRAIN_MS + 3000, () -> endpoint = new Endpoint());
            }
        }
    }

    /** A process that can be killed and is started again. */
    private abstract class Process {
        /** Changes with each start and each kill. */
        int incarnation;

        boolean up = true;

        /** Starts, or starts again without what was in memory. */
        abstract void start();

        final void restart() {
            up = false;
            int killed = ++incarnation;
            calendar.schedule(200 + random.nextInt(600), () -> {
                if (incarnation == killed) {
                    incarnation++;
                    up = true;
                    start();
                }
            });
        }
    }

    private final class SidecarProcess extends Process {
        private EndpointGate gate = new EndpointGate(HEARTBEAT_MS);
        /** What this process has reported itself. */
        private final Set<String> reported = new HashSet<>();

        private EndpointCalls calls;

        private SidecarProcess() {
            start();
            tick();
        }

        @Override
        void start() {
            gate = new EndpointGate(HEARTBEAT_MS);
            calls = new EndpointCalls(calendar::nowMs, gate, this::broadcast, new EndpointCalls.Listener() {
                @Override
                public void endpointChanged(boolean sameEndpoint) {}

                @Override
                public void endpointPresent() {}

                @Override
                public void endpointLeft() {}
            });
            calls.departures().votersChanged(List.of("10.0.0.1#0", "10.0.0.2#0", "10.0.0.3#0"));
            reported.clear();
            for (ControlProcess each : controlNodes) {
                each.connect();
            }
        }

        private void tick() {
            if (up) {
                calls.tick();
            }
            calendar.schedule(100, this::tick);
        }

        private boolean admits() {
            return gate.admit(calendar.nowMs(), SERVICE, 0) == EndpointGate.Admission.OPEN;
        }

        private void call(RpcCall call, String id) {
            if (!up) {
                return;
            }
            boolean announces = !(call instanceof RpcCall.Heartbeat heartbeat)
                    || heartbeat.status().isDraining();
            if (announces && fault == Fault.ACKNOWLEDGES_AT_ONCE) {
                acknowledgedAtMs.putIfAbsent(id, calendar.nowMs());
            }
            calls.run(call, response -> {
                if (announces && response.status() == 200) {
                    acknowledgedAtMs.putIfAbsent(id, calendar.nowMs());
                }
            });
        }

        private void stored(PeerMessage.DeparturesStored message) {
            List<String> learned = fault == Fault.IGNORES_EARLIER_PROCESSES
                    ? message.endpoints().stream().filter(reported::contains).toList()
                    : message.endpoints();
            calls.departures().stored(new PeerMessage.DeparturesStored(message.controlNode(), learned));
        }

        private void broadcast(PeerMessage message) {
            PeerMessage.DepartureReport report = (PeerMessage.DepartureReport) message;
            reported.addAll(report.endpoints());
            for (ControlProcess each : controlNodes) {
                each.deliver(() -> each.recorder.report(each.connection, report));
            }
        }
    }

    private final class ControlProcess extends Process {
        private final int index;
        private final MessageSender connection = new Connection();
        private DepartureRecorder recorder;
        private double cutUntilMs;

        private ControlProcess(int index) {
            this.index = index;
            start();
        }

        private String id() {
            return "10.0.0." + (index + 1) + "#0";
        }

        @Override
        void start() {
            int started = incarnation;
            recorder = new DepartureRecorder(
                    calendar::nowMs,
                    id(),
                    new DepartureStore(disk(), NO_SYNC),
                    task -> calendar.schedule(1 + random.nextInt(random.nextInt(10) == 0 ? 900 : 5), () -> {
                        if (incarnation == started) {
                            task.run();
                        }
                    }),
                    Runnable::run,
                    message -> {});
            connect();
        }

        // A process that keeps departures in memory has an empty disk after each start.
        private Path disk() {
            String name = fault == Fault.KEPT_IN_MEMORY ? index + "-" + incarnation : Integer.toString(index);
            try {
                return Files.createDirectories(folder.resolve(name));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void connect() {
            deliver(() -> recorder.sidecarConnected(connection));
        }

        // Messages to this process arrive unless one side has ended meanwhile, or the link is cut.
        private void deliver(Runnable message) {
            int receiver = incarnation;
            int sender = sidecar == null ? 0 : sidecar.incarnation;
            calendar.schedule(1 + random.nextInt(20), () -> {
                boolean connected = calendar.nowMs() >= cutUntilMs && sidecar.incarnation == sender;
                if (up && connected && incarnation == receiver) {
                    message.run();
                }
            });
        }

        private final class Connection implements MessageSender {
            @Override
            public String peer() {
                return NODE;
            }

            @Override
            public int version() {
                return ProtocolVersion.SUPPORTED.newest();
            }

            @Override
            public void send(PeerMessage message) {
                deliver(() -> sidecar.stored((PeerMessage.DeparturesStored) message));
            }

            @Override
            public void send(byte[] encoded) {
                throw new AssertionError("not used");
            }
        }
    }
}
