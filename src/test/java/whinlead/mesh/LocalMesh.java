package whinlead.mesh;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import whinlead.mesh.control.ControlNode;
import whinlead.mesh.log.Logs;
import whinlead.mesh.settings.NodeSettingsReader;
import whinlead.mesh.sidecar.Sidecar;
import whinlead.testbed.mesh.LocalMeshRun;
import whinlead.testbed.mesh.StandInApp;
import whinlead.testbed.mesh.Talk;
import whinlead.testbed.mesh.TestbedSettings;

/**
 * The real parts of a mesh in one process, over sockets on loopback: a control node, a sidecar that takes clients and
 * has no endpoint, and a sidecar beside an endpoint whose answers come from a script. Each has a loop of its own, whose
 * end stands for the end of a process.
 */
final class LocalMesh implements AutoCloseable {
    private static final long BEAT_MS = 100;
    private static final int DEADLINE_MS = 60_000;
    private static final int BIND_TRIES = 5;

    final TestbedSettings settings;
    final StandInApp app;
    final Sidecar near;
    final Sidecar far;
    private final EventLoopGroup nearLoop = loops();
    private final EventLoopGroup otherLoops = loops();
    private final AtomicInteger attempts = new AtomicInteger();

    /**
     * A mesh that has no configuration yet. Ports that were free when they were drawn may be taken when they are bound,
     * by a connection of another process; then others are drawn.
     *
     * @param graceS from SIGTERM to the kill, in seconds
     */
    static LocalMesh start(int graceS, StandInApp.Script script) throws Exception {
        for (int i = 1; i < BIND_TRIES; i++) {
            try {
                return new LocalMesh(graceS, script);
            } catch (Exception e) {
                if (!(e instanceof BindException)) {
                    throw e;
                }
            }
        }
        return new LocalMesh(graceS, script);
    }

    private LocalMesh(int graceS, StandInApp.Script script) throws Exception {
        Logs.configure();
        settings = new TestbedSettings(1);
        NodeSettingsReader reader = new NodeSettingsReader(new ObjectMapper());
        EventLoop others = otherLoops.next();
        new ControlNode(
                        reader.parse(settings.controlNode(
                                0, Files.createTempDirectory("mesh").toString(), true)),
                        others,
                        new ObjectMapper())
                .start();
        near = new Sidecar(
                reader.parse(grace(settings.sidecar(0, "client"), graceS)), nearLoop.next(), new ObjectMapper());
        far = new Sidecar(reader.parse(grace(settings.sidecar(1, "svc"), graceS)), others, new ObjectMapper());
        near.start();
        far.start();
        app = new StandInApp("i-1", "svc", settings.app(1), settings.beats(1), script);
        app.beatEvery(BEAT_MS);
    }

    private static EventLoopGroup loops() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    private static List<String> grace(List<String> lines, int graceS) {
        String name = "Clauses.Bounds.GraceS=";
        return lines.stream()
                .map(line -> line.startsWith(name) ? name + graceS : line)
                .toList();
    }

    /** A configuration under this number, with this time for each route. */
    static String configuration(int version, double deadlineS) {
        return LocalMeshRun.config(number(version), "svc").replace("\"DeadlineS\":2", "\"DeadlineS\":" + deadlineS);
    }

    private static String number(int version) {
        return "%08x".formatted(version);
    }

    /** Has the configuration of this number taken, on top of the one before. */
    void replace(int version, String configuration) throws Exception {
        String before = version == 1 ? "0" : number(version - 1);
        MeshRig.await(
                "version " + version + " is taken",
                () -> Talk.ask(
                                        settings.control(0),
                                        "POST /whinlead/rpc?call=config.replace",
                                        Map.of("If-Match", before),
                                        configuration.getBytes(StandardCharsets.UTF_8))
                                .status()
                        == 200);
    }

    boolean ready() throws IOException {
        return Talk.ask(settings.readiness(0), "GET /whinlead/readiness", Map.of(), new byte[0])
                        .status()
                == 200;
    }

    /** A request that is under way at the sidecar without an endpoint. */
    record Sent(String id, CompletableFuture<Talk.Message> answer) {
        /** Its answer; null where the connection ended without one. */
        Talk.Message get() throws Exception {
            return answer.get(DEADLINE_MS, TimeUnit.MILLISECONDS);
        }
    }

    Sent send(String first, int bodyLength) {
        return send(first, bodyLength, Map.of());
    }

    Sent send(String first, int bodyLength, Map<String, String> more) {
        Map<String, String> headers = new LinkedHashMap<>(more);
        headers.putAll(Map.of(
                "Host",
                "post.example",
                "Attempt-Id",
                "a-" + attempts.incrementAndGet(),
                "Deadline-Ms",
                Integer.toString(DEADLINE_MS),
                "Api-Key",
                "key-1"));
        return new Sent(
                headers.get("Attempt-Id"),
                CompletableFuture.supplyAsync(
                        () -> {
                            try (Talk talk = new Talk(settings.egress(0))) {
                                talk.say(first + " HTTP/1.1", headers, new byte[bodyLength]);
                                return heard(talk);
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        },
                        task -> new Thread(task, "client").start()));
    }

    // A deadline is longer than one wait of the connection.
    private static Talk.Message heard(Talk talk) throws IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MS);
        while (true) {
            try {
                return talk.hear();
            } catch (SocketTimeoutException e) {
                if (System.nanoTime() > end) {
                    throw e;
                }
            }
        }
    }

    Talk.Message ask(String first) throws Exception {
        return send(first, 0).get();
    }

    /** Waits until the first configuration is in force and requests are served. */
    void serves() throws Exception {
        MeshRig.await("the sidecar is ready", this::ready);
        MeshRig.await("it serves", () -> ask("GET /a/x").status() == 200);
    }

    /** The control node and the other sidecar are lost, with its endpoint. */
    void loseAllOthers() throws Exception {
        app.close();
        otherLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** SIGTERM, and the end of the process: the future ends once it has ended. */
    CompletableFuture<Void> stop() {
        return CompletableFuture.runAsync(
                () -> {
                    near.shutDown();
                    nearLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
                },
                task -> new Thread(task, "leave").start());
    }

    @Override
    public void close() throws Exception {
        app.close();
        nearLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        otherLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
}
