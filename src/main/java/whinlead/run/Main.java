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
 * The command line: {@code serve} runs a real sidecar, {@code check} only starts one and stops it again,
 * {@code benchlink} is the simulator's adapter, {@code sidecar} and {@code control} are the mesh's roles; all else is
 * in {@link Tools}.
 */
public final class Main {
    /**
     * Sixteenths of the descriptors: clients hold a third for requests, and there must be room to turn bad ones away.
     */
    private static final int CLIENT_SHARE = 7;
    /** As many as clients hold requests, and some idle. The rest is for the JVM's files, the listener and discovery. */
    private static final int ENDPOINT_SHARE = 6;

    private static final int SHARES = 16;
    /** Of its first share, what a purpose keeps whatever another needs. */
    private static final int MIN_PART = 2;

    private static final long BUDGET_TICK_MS = 200;
    /** The platform lets clients hold one in so many of the descriptors for requests. */
    private static final int REQUEST_PART = 3;
    /** Names the file of the external processor; without it there is none. */
    private static final String PROCESSOR = "PROXY_PROCESSOR";
    /** Names the file of limits by client; without it there are none. */
    private static final String ADMISSION = "PROXY_ADMISSION";

    /** Names the file of those that it keeps copies with; without it there are none. */
    private static final String COPIES = "PROXY_COPIES";

    /** Names the file that says where load is captured; without it none is. */
    private static final String CAPTURE = "PROXY_CAPTURE";

    private Main() {}

    /** Runs one of them; exits with 2 on bad usage and 1 on bad configuration. */
    public static void main(String[] args) {
        // Guards against what the planner's libraries log by: Netty would find it, and a sidecar load it and
        // be told on standard error that it logs nowhere.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        if (args.length > 0 && MeshCommand.knows(args[0])) {
            MeshCommand.main(args);
            return;
        }
        switch (args.length == 1 ? args[0] : "") {
            case "benchlink" -> whinlead.benchlink.Main.main(args);
            case "serve" -> start(false);
            case "check" -> start(true);
            case "walk" -> walk();
            default -> System.exit(Tools.execute(args));
        }
    }

    // The mesh in one process; the build notes by it which classes a start of its roles needs.
    private static void walk() {
        try {
            System.exit(LocalMeshRun.run());
        } catch (Exception e) {
            // What the future throws of a failed bind is a checked exception that it does not declare.
            quit("walk: " + e);
        }
    }

    // A check shows that a configuration is good; the build also notes by it which classes a start needs.
    private static void start(boolean onlyCheck) {
        try {
            // Before the file is read: what a SIGHUP before that tells of is read in any case.
            Hangup hangup = Hangup.guard(Main::log);
            ObjectMapper mapper = new ObjectMapper();
            String path = configuration();
            Config config = Config.read(path, mapper);
            String processorPath = file(PROCESSOR);
            ProcessorConfig processor = processorPath == null ? null : ProcessorConfig.read(processorPath, mapper);
            String admissionPath = file(ADMISSION);
            AdmissionConfig admission =
                    admissionPath == null ? AdmissionConfig.usual() : AdmissionConfig.read(admissionPath, mapper);
            String capturePath = file(CAPTURE);
            CaptureConfig capture = capturePath == null ? null : CaptureConfig.read(capturePath, mapper);
            ReplicationConfig copies = copies(config, processor, mapper);
            EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
            // Guards against a loop that ends for want of a descriptor: a line of its log needs the file of
            // time zones, which the JVM opens for the first one.
            ZoneId.systemDefault().getRules();
            Parts parts = wire(config, admission, processor, copies, mapper, loop);
            Warmup.run(config.settings());
            Reload reload = new Reload(path, mapper, parts.discovery, Main::log);
            Recorder recorder = capture == null || onlyCheck ? null : capture.start(config.settings(), Main::log);
            if (recorder != null) {
                parts.engine.journal(recorder);
            }
            if (!onlyCheck) {
                // Before the listener: from then on a SIGTERM must not end what clients have begun.
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
            if (copies != null) {
                parts.copies.listen();
            }
            if (!onlyCheck) {
                loop.submit(parts.start).syncUninterruptibly();
                if (copies != null) {
                    loop.execute(parts.copies::start);
                }
                // On the loop, which owns the watch and takes several in their order. After the start: a
                // watch that has not begun can't be moved.
                hangup.on(() -> loop.execute(() -> {
                    reload.run();
                    if (processor != null) {
                        parts.processor.reload(processorPath);
                    }
                }));
            }
            // After the start, for these accept at once, and a request that meets no list is refused.
            if (processor != null) {
                log("processor listens at " + parts.processor.listen());
            }
            if (onlyCheck) {
                System.exit(0);
            }
            loop.execute(parts.server::ready);
        } catch (IllegalArgumentException e) {
            quit("configuration: " + e.getMessage());
        } catch (Exception e) {
            // What the future throws of a failed bind is a checked exception that it does not declare.
            quit("cannot start: " + e.getMessage());
        }
    }

    private static ReplicationConfig copies(Config config, ProcessorConfig processor, ObjectMapper mapper) {
        String path = file(COPIES);
        if (path == null) {
            return null;
        }
        if (!config.settings().limits().peers()) {
            throw new IllegalArgumentException("copies are off where limits.peers is false");
        }
        if (processor == null) {
            throw new IllegalArgumentException("copies are of what others ask: " + PROCESSOR + " is not set");
        }
        // Libraries' notes on their own logging are no lines for operators.
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        return ReplicationConfig.read(path, mapper);
    }

    private static String file(String variable) {
        String path = System.getenv(variable);
        return path == null || path.isEmpty() ? null : path;
    }

    private static String configuration() {
        String path = file("PROXY_CONFIG");
        if (path == null) {
            throw new IllegalArgumentException("PROXY_CONFIG is not set");
        }
        return path;
    }

    /** The parts, made but idle; {@code start} is run on the loop when the server listens, before it is ready. */
    record Parts(
            ClientServer server,
            Discovery discovery,
            Processor processor,
            ReplicationSetup copies,
            Engine engine,
            Runnable start) {}

    /** Makes the parts. Nothing is asked of discovery before a failed bind could still end the process. */
    static Parts wire(
            Config config,
            AdmissionConfig admission,
            ProcessorConfig consulted,
            ReplicationConfig kept,
            ObjectMapper mapper,
            EventLoop loop)
            throws IOException {
        Clock clock = new Clock();
        Budget budget = new Budget(Map.of(
                Budget.Purpose.CLIENTS,
                share(config, CLIENT_SHARE, admission),
                Budget.Purpose.ENDPOINTS,
                share(config, ENDPOINT_SHARE, admission)));
        loop.scheduleAtFixedRate(budget::tick, BUDGET_TICK_MS, BUDGET_TICK_MS, TimeUnit.MILLISECONDS);
        EndpointPool pool = new EndpointPool(
                loop, NioSocketChannel.class, clock, config.connectTimeout(), config.endpointIdle(), budget);
        Contract.Settings settings = config.settings();
        Timers timers = new LoopTimers(loop, clock);
        List<Consumer<EndpointList>> followers = new ArrayList<>();
        followers.add(pool::update);
        Engine engine = new Engine(
                timers,
                settings,
                actions -> new Decide(settings, config.seed(), actions),
                list -> followers.forEach(f -> f.accept(list)),
                Main::log);
        Processor processor = null;
        ReplicationSetup copies = kept == null ? null : new ReplicationSetup(kept, loop, timers, Main::log);
        if (consulted != null) {
            processor = new Processor(
                    consulted,
                    loop,
                    timers,
                    engine,
                    settings,
                    copies == null ? null : copies.keeper(),
                    mapper,
                    Main::log);
            followers.add(processor.consultations()::update);
        }
        Discovery discovery = new Discovery(
                loop, config.discovery(), mapper, !settings.listMustBeAsked(), config.seed(), config.known(), engine);
        ClientServer server = new ClientServer(
                loop,
                clock,
                engine,
                pool::transport,
                settings,
                admission.clients(),
                budget,
                config.sockets() / REQUEST_PART);
        return new Parts(server, discovery, processor, copies, engine, () -> engine.start(discovery, config.known()));
    }

    private static Budget.Share share(Config config, int sixteenths, AdmissionConfig admission) {
        int first = Math.max(1, config.sockets() * sixteenths / SHARES);
        return new Budget.Share(first, admission.moves() ? Math.max(1, first / MIN_PART) : first);
    }

    /** Runs while the process ends on SIGTERM: it goes on for as long as this has not returned. */
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

    private static void quit(String why) {
        System.err.println("whinlead: " + why);
        System.exit(1);
    }
}
