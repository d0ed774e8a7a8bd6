package whinlead.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import whinlead.Contract;
import whinlead.admit.Budget;
import whinlead.capture.Recorder;
import whinlead.decide.Decide;
import whinlead.engine.Clock;
import whinlead.engine.Engine;
import whinlead.engine.Timers;
import whinlead.front.http1.ClientServer;
import whinlead.loop.LoopTimers;
import whinlead.membership.Discovery;
import whinlead.membership.EndpointList;
import whinlead.mesh.run.MeshCommand;
import whinlead.signals.Hangup;
import whinlead.testbed.mesh.LocalMeshRun;
import whinlead.transport.EndpointPool;

/**
 * The command line. {@code serve} runs a standalone sidecar, {@code check} starts one and stops it again,
 * {@code benchlink} is the adapter for the simulator, {@code sidecar} and {@code control} are the roles of the mesh.
 * All other commands are in {@link Tools}.
 */
public final class Main {
    /**
     * Sixteenths of the descriptors for client connections: requests take up to a third of all descriptors, and
     * connections that are rejected need some, too.
     */
    private static final int CLIENT_SIXTEENTHS = 7;
    /**
     * Sixteenths of the descriptors for endpoint connections: one for each client request, and some idle ones. The rest
     * is for the JVM's files, the listener and discovery.
     */
    private static final int ENDPOINT_SIXTEENTHS = 6;

    private static final int SIXTEENTHS = 16;
    /** A purpose always retains its initial share divided by this, whatever the demand of the other one. */
    private static final int MIN_SHARE_DIVISOR = 2;

    private static final long BUDGET_TICK_MS = 200;
    /** The platform allows client requests the number of descriptors divided by this. */
    private static final int REQUEST_DIVISOR = 3;
    /** Environment variable with the path of the external processor's file; unset: no external processor. */
    private static final String PROCESSOR_VARIABLE = "PROXY_PROCESSOR";
    /** Environment variable with the path of the file of limits per client; unset: no limits. */
    private static final String ADMISSION_VARIABLE = "PROXY_ADMISSION";

    /** Environment variable with the path of the replication file; unset: no replication. */
    private static final String COPIES_VARIABLE = "PROXY_COPIES";

    /** Environment variable with the path of the capture file; unset: no load is captured. */
    private static final String CAPTURE_VARIABLE = "PROXY_CAPTURE";

    private Main() {}

    /** Runs a command; exits with 2 on bad usage and 1 on bad configuration. */
    public static void main(String[] args) {
        // Netty would otherwise find the logging API of the planner's libraries and load it, and that API would
        // warn on standard error that it has no backend.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        if (args.length > 0 && MeshCommand.isMeshRole(args[0])) {
            MeshCommand.main(args);
            return;
        }
        switch (args.length == 1 ? args[0] : "") {
            case "benchlink" -> whinlead.benchlink.Main.main(args);
            case "serve" -> startSidecar(false);
            case "check" -> startSidecar(true);
            case "walk" -> runLocalMesh();
            default -> System.exit(Tools.execute(args));
        }
    }

    // Runs the mesh in one process; from this the build records which classes the start of its roles loads.
    private static void runLocalMesh() {
        try {
            System.exit(LocalMeshRun.run());
        } catch (Exception e) {
            // What the future throws of a failed bind is a checked exception that it does not declare.
            exitWithError("walk: " + e);
        }
    }

    // A check validates a configuration; from it the build also records which classes a start loads.
    private static void startSidecar(boolean onlyCheck) {
        try {
            // Installed before the file is read: a change that an earlier SIGHUP announces is read anyway.
            Hangup hangup = Hangup.guard(Main::log);
            ObjectMapper mapper = new ObjectMapper();
            String path = configurationPath();
            Config config = Config.read(path, mapper);
            String processorPath = fileFromEnvironment(PROCESSOR_VARIABLE);
            ProcessorConfig processorConfig =
                    processorPath == null ? null : ProcessorConfig.read(processorPath, mapper);
            String admissionPath = fileFromEnvironment(ADMISSION_VARIABLE);
            AdmissionConfig admissionConfig =
                    admissionPath == null ? AdmissionConfig.defaults() : AdmissionConfig.read(admissionPath, mapper);
            String capturePath = fileFromEnvironment(CAPTURE_VARIABLE);
            CaptureConfig captureConfig = capturePath == null ? null : CaptureConfig.read(capturePath, mapper);
            ReplicationConfig replicationConfig = readReplicationConfig(config, processorConfig, mapper);
            EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
            // The JVM opens the time zone file for the first log line. Without a free descriptor at that time the
            // event loop would terminate, so the file is loaded here.
            ZoneId.systemDefault().getRules();
            Parts parts = wire(config, admissionConfig, processorConfig, replicationConfig, mapper, loop);
            Warmup.run(config.settings());
            Reload reload = new Reload(path, mapper, parts.discovery, Main::log);
            Recorder recorder =
                    captureConfig == null || onlyCheck ? null : captureConfig.start(config.settings(), Main::log);
            if (recorder != null) {
                parts.engine.requestListener(recorder);
            }
            if (!onlyCheck) {
                // Installed before the listener: once it accepts, a SIGTERM must not abort requests in progress.
                Runtime.getRuntime()
                        .addShutdownHook(new Thread(
                                () -> {
                                    drain(loop, parts.server);
                                    if (recorder != null) {
                                        recorder.close();
                                    }
                                },
                                "drain"));
            }
            parts.server.listen(config.listen()).syncUninterruptibly();
            if (replicationConfig != null) {
                parts.replication.listen();
            }
            if (!onlyCheck) {
                loop.submit(parts.start).syncUninterruptibly();
                if (replicationConfig != null) {
                    loop.execute(parts.replication::start);
                }
                // Runs on the loop, which owns the discovery watch and executes several reloads in order. Installed
                // after the start, because a watch that has not begun can't be moved.
                hangup.onHangup(() -> loop.execute(() -> {
                    reload.run();
                    if (processorConfig != null) {
                        parts.processor.reload(processorPath);
                    }
                }));
            }
            // After the start: these listeners accept at once, and without an endpoint list requests are refused.
            if (processorConfig != null) {
                log("processor listens at " + parts.processor.listen());
            }
            if (onlyCheck) {
                System.exit(0);
            }
            loop.execute(parts.server::ready);
        } catch (IllegalArgumentException e) {
            exitWithError("configuration: " + e.getMessage());
        } catch (Exception e) {
            // What the future throws of a failed bind is a checked exception that it does not declare.
            exitWithError("cannot start: " + e.getMessage());
        }
    }

    private static ReplicationConfig readReplicationConfig(
            Config config, ProcessorConfig processor, ObjectMapper mapper) {
        String path = fileFromEnvironment(COPIES_VARIABLE);
        if (path == null) {
            return null;
        }
        if (!config.settings().limits().peers()) {
            throw new IllegalArgumentException("replication is not allowed: limits.peers is false");
        }
        if (processor == null) {
            throw new IllegalArgumentException(
                    "replication needs the external processor: " + PROCESSOR_VARIABLE + " is not set");
        }
        // Hides messages of the libraries about their own logging from operators.
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        return ReplicationConfig.read(path, mapper);
    }

    private static String fileFromEnvironment(String variable) {
        String path = System.getenv(variable);
        return path == null || path.isEmpty() ? null : path;
    }

    private static String configurationPath() {
        String path = fileFromEnvironment("PROXY_CONFIG");
        if (path == null) {
            throw new IllegalArgumentException("PROXY_CONFIG is not set");
        }
        return path;
    }

    /**
     * The components, created but idle; {@code start} has to run on the loop after the server listens and before it is
     * ready.
     */
    record Parts(
            ClientServer server,
            Discovery discovery,
            Processor processor,
            ReplicationSetup replication,
            Engine engine,
            Runnable start) {}

    /** Creates the components. Discovery is not called until start, since a failed bind may still end the process. */
    static Parts wire(
            Config config,
            AdmissionConfig admission,
            ProcessorConfig processorConfig,
            ReplicationConfig replicationConfig,
            ObjectMapper mapper,
            EventLoop loop)
            throws IOException {
        Clock clock = new Clock();
        Budget budget = new Budget(Map.of(
                Budget.Purpose.CLIENTS,
                descriptorShare(config, CLIENT_SIXTEENTHS, admission),
                Budget.Purpose.ENDPOINTS,
                descriptorShare(config, ENDPOINT_SIXTEENTHS, admission)));
        loop.scheduleAtFixedRate(budget::tick, BUDGET_TICK_MS, BUDGET_TICK_MS, TimeUnit.MILLISECONDS);
        EndpointPool pool = new EndpointPool(
                loop, NioSocketChannel.class, clock, config.connectTimeoutMs(), config.endpointIdleMs(), budget);
        Contract.Settings settings = config.settings();
        Timers timers = new LoopTimers(loop, clock);
        List<Consumer<EndpointList>> endpointListListeners = new ArrayList<>();
        endpointListListeners.add(pool::update);
        Engine engine = new Engine(
                timers,
                settings,
                actions -> new Decide(settings, config.parseSeed(), actions),
                list -> endpointListListeners.forEach(f -> f.accept(list)),
                Main::log);
        Processor processor = null;
        ReplicationSetup replication =
                replicationConfig == null ? null : new ReplicationSetup(replicationConfig, loop, timers, Main::log);
        if (processorConfig != null) {
            processor = new Processor(
                    processorConfig,
                    loop,
                    timers,
                    engine,
                    settings,
                    replication == null ? null : replication.keeper(),
                    mapper,
                    Main::log);
            endpointListListeners.add(processor.consultations()::update);
        }
        Discovery discovery = new Discovery(
                loop,
                config.discovery(),
                mapper,
                !settings.listMustBeRequested(),
                config.parseSeed(),
                config.lastKnownEndpoints(),
                engine);
        ClientServer server = new ClientServer(
                loop,
                clock,
                engine,
                pool::transport,
                settings,
                admission.clientLimits(),
                budget,
                config.maxDescriptors() / REQUEST_DIVISOR);
        return new Parts(
                server,
                discovery,
                processor,
                replication,
                engine,
                () -> engine.start(discovery, config.lastKnownEndpoints()));
    }

    private static Budget.Share descriptorShare(Config config, int sixteenths, AdmissionConfig admission) {
        int initialShare = Math.max(1, config.maxDescriptors() * sixteenths / SIXTEENTHS);
        return new Budget.Share(
                initialShare,
                admission.moveDescriptors() ? Math.max(1, initialShare / MIN_SHARE_DIVISOR) : initialShare);
    }

    /** Runs as a shutdown hook on SIGTERM: the process does not end before this returns. */
    private static void drain(EventLoop loop, ClientServer server) {
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> server.drain(drained::countDown));
        try {
            drained.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void log(String line) {
        System.err.println(line);
    }

    private static void exitWithError(String reason) {
        System.err.println("whinlead: " + reason);
        System.exit(1);
    }
}
