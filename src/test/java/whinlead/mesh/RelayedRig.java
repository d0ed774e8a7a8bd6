package whinlead.mesh;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import whinlead.testbed.mesh.LocalMeshRun;
import whinlead.testbed.mesh.Relay;
import whinlead.testbed.mesh.RelayedRole;
import whinlead.testbed.mesh.Talk;
import whinlead.testbed.mesh.TestbedSettings;

/**
 * Processes of the mesh on loopback with a relay on each way from one to another. Processes are named {@code o0} and on
 * (control nodes; the first three found the set of voters) and {@code c0} and on (sidecars). Any thread, but one at a
 * time for what starts and ends processes.
 */
final class RelayedRig implements AutoCloseable {
    static final int CONTROL_NODES = 5;
    static final int SIDECARS = 2;
    /** The control nodes that found the set of voters. */
    static final int[] FOUNDERS = {0, 1, 2};

    private static final double START_MS = 30_000;
    /** A route of repeatable requests that may be sent to one endpoint, and last two seconds. */
    private static final String ONCE = "\"r-0\":{\"Authority\":\"post.example\","
            + "\"PathPrefix\":\"/once/\",\"Kind\":\"idempotent\",\"DeadlineS\":2,"
            + "\"TargetS\":0.5,\"Rank\":1,\"Target\":\"svc\",\"Tries\":1,\"Public\":false},";

    private static final long PAUSE_NS = 5_000_000;
    private static final double NANOS = 1e6;

    final TestbedSettings settings;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, Relay> relays = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final AtomicInteger attempts = new AtomicInteger();
    private final Path folder;

    RelayedRig() throws IOException {
        settings = new TestbedSettings(3);
        folder = Files.createTempDirectory("relayed");
        List<String> names = new ArrayList<>();
        for (int i = 0; i < CONTROL_NODES; i++) {
            names.add("o" + i);
        }
        for (int i = 0; i < SIDECARS; i++) {
            names.add("c" + i);
        }
        for (String a : names) {
            for (String b : names) {
                // Control nodes dial no sidecar.
                if (!a.equals(b) && !(a.startsWith("o") && b.startsWith("c"))) {
                    relays.put(a + ">" + b, new Relay(group.next(), address(real(b))));
                }
            }
        }
    }

    private String real(String name) {
        int i = number(name);
        return name.startsWith("o") ? settings.talk(i) : settings.ingress(i);
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Milliseconds on a steady clock. */
    static double now() {
        return System.nanoTime() / NANOS;
    }

    // --- processes

    void controlNode(int i, boolean bootstrap) throws IOException {
        start("control", "o" + i, settings.controlNode(i, disk(i).toString(), bootstrap));
    }

    /** Starts the control nodes that found the set of voters, and waits until each runs. */
    void startControlNodes() throws Exception {
        for (int i : FOUNDERS) {
            controlNode(i, true);
        }
        for (int i : FOUNDERS) {
            runs(i);
        }
    }

    /** Starts all sidecars, with the founding control nodes as their seeds. */
    void startSidecars() throws IOException {
        for (int i = 0; i < SIDECARS; i++) {
            sidecar(i, FOUNDERS);
        }
    }

    /** A sidecar whose seeds are these control nodes, in this order. */
    void sidecar(int i, int... seeds) throws IOException {
        List<String> lines = settings.sidecar(i, "svc");
        List<String> at = new ArrayList<>();
        for (int s : seeds) {
            at.add(settings.control(s));
        }
        lines.replaceAll(l -> l.startsWith("Network.Seeds=") ? "Network.Seeds=" + String.join(",", at) : l);
        start("sidecar", "c" + i, lines);
    }

    /** A control node's disk. */
    Path disk(int i) {
        return folder.resolve("disk-" + i);
    }

    void loseDisk(int i) throws IOException {
        try (Stream<Path> files = Files.list(disk(i))) {
            for (Path f : files.collect(Collectors.toList())) {
                Files.delete(f);
            }
        }
    }

    private void start(String role, String name, List<String> lines) throws IOException {
        Path settingsFile = Files.write(folder.resolve(name + ".conf"), lines);
        List<String> ways = new ArrayList<>();
        relays.forEach((way, relay) -> {
            if (way.startsWith(name + ">")) {
                ways.add(real(way.substring(way.indexOf('>') + 1)) + " "
                        + relay.address().getHostString() + ":"
                        + relay.address().getPort());
            }
        });
        Path file = Files.write(folder.resolve(name + ".relays"), ways);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder b = new ProcessBuilder(
                java,
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx96m",
                "-D" + RelayedRole.RELAYS + "=" + file,
                "-cp",
                System.getProperty("java.class.path"),
                RelayedRole.class.getName(),
                role);
        b.environment().put("WHINLEAD_NODE_FILE", settingsFile.toString());
        File log = folder.resolve(name + ".log").toFile();
        Process old = processes.put(
                name,
                b.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start());
        if (old != null && old.isAlive()) {
            throw new IllegalStateException(name + " was still running");
        }
    }

    Process process(String name) {
        return processes.get(name);
    }

    /** Ends it as a loss of power does. */
    void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
    }

    /** {@code STOP} freezes a process, {@code CONT} thaws it. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        int code = new ProcessBuilder(
                        "kill", "-" + signal, Long.toString(processes.get(name).pid()))
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("kill -" + signal + " " + name + " gave " + code);
        }
    }

    /** What it has logged in all its lives. */
    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** Of a control node's log, the voters of the last decision, or nothing. */
    String voters(int controlNode) throws IOException {
        return log("o" + controlNode)
                .lines()
                .filter(l -> l.startsWith("201 "))
                .reduce((a, b) -> b)
                .orElse("");
    }

    // --- ways

    /** What becomes of what one sends to the other, and the other to the one, whoever dialled. */
    void between(String a, String b, Relay.Mode there, Relay.Mode back) {
        if (relays.containsKey(a + ">" + b)) {
            relays.get(a + ">" + b).set(Relay.Way.THERE, there);
            relays.get(a + ">" + b).set(Relay.Way.BACK, back);
        }
        if (relays.containsKey(b + ">" + a)) {
            relays.get(b + ">" + a).set(Relay.Way.THERE, back);
            relays.get(b + ">" + a).set(Relay.Way.BACK, there);
        }
    }

    /** All ways are open again. */
    void open() {
        relays.values().forEach(r -> r.set(Relay.Mode.OPEN));
    }

    Relay relay(String from, String to) {
        return relays.get(from + ">" + to);
    }

    // --- what operators and clients ask

    static String epoch(int version) {
        return String.format("%08x", version);
    }

    /**
     * A configuration that alone serves {@code /v<version>/}. Each serves {@code /b/}, and {@code /once/} whose
     * requests may be repeated but not sent to a second endpoint.
     */
    static String config(int version) {
        return LocalMeshRun.config(epoch(version), "svc")
                .replace("/a/", "/v" + version + "/")
                .replace("\"DeadlineS\":2", "\"DeadlineS\":20")
                .replace("\"Routes\":{", "\"Routes\":{" + ONCE);
    }

    Talk.Message replace(int controlNode, int builtOn, String body) throws IOException {
        return Talk.ask(
                settings.control(controlNode),
                "POST /whinlead/rpc?call=config.replace",
                Map.of("If-Match", epoch(builtOn), "Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
    }

    Talk.Message read(int controlNode) throws IOException {
        return Talk.ask(settings.control(controlNode), "POST /whinlead/rpc?call=config.read", Map.of(), new byte[0]);
    }

    /** Waits until each founding control node reads out a configuration. */
    void awaitReadable() throws Exception {
        await("each control node has it", START_MS, () -> {
            for (int controlNode : FOUNDERS) {
                if (read(controlNode).status() != 200) {
                    return false;
                }
            }
            return true;
        });
    }

    boolean ready(int sidecar) throws IOException {
        return Talk.ask(settings.readiness(sidecar), "GET /whinlead/readiness", Map.of(), new byte[0])
                        .status()
                == 200;
    }

    Map<String, String> headers(int deadlineMs) {
        return Map.of(
                "Host",
                "post.example",
                "Attempt-Id",
                "a-" + attempts.incrementAndGet(),
                "Deadline-Ms",
                Integer.toString(deadlineMs),
                "Api-Key",
                "key-1");
    }

    /** Whether this version's own route is there at the sidecar. */
    boolean serves(int sidecar, int version) throws IOException {
        return Talk.ask(settings.egress(sidecar), "GET /v" + version + "/x", headers(2000), new byte[0])
                        .status()
                != 404;
    }

    /** Sends a change to these control nodes in turn until one says that it was taken; how long, in ms. */
    double change(int builtOn, int version, double mostMs, int... controlNodes) throws Exception {
        int[] turn = {0};
        return await(
                "a change is taken",
                mostMs,
                () -> replace(controlNodes[turn[0]++ % controlNodes.length], builtOn, config(version))
                                .status()
                        == 200);
    }

    /** Waits until it holds, asked again and again; the time that took in milliseconds, at most this. */
    static double await(String what, double mostMs, Callable<Boolean> holds) throws Exception {
        double began = now();
        while (now() - began < mostMs) {
            try {
                if (holds.call()) {
                    return now() - began;
                }
            } catch (IOException e) {
                // Not up yet, frozen or just gone: asked again.
                Thread.onSpinWait();
            }
            LockSupport.parkNanos(PAUSE_NS);
        }
        throw new AssertionError("not in " + mostMs + " ms: " + what);
    }

    /** Waits until a control node runs; fails at once where it can't. */
    void runs(int controlNode) throws Exception {
        await("control node " + controlNode + " runs", START_MS, () -> {
            if (!process("o" + controlNode).isAlive()) {
                throw new AssertionError("control node " + controlNode + " ended: " + log("o" + controlNode));
            }
            return log("o" + controlNode).contains("102 ready");
        });
    }

    /** Prints a figure. */
    static void figure(String name, double ms) {
        System.out.printf("%s: %.0f ms%n", name, ms);
    }

    @Override
    public void close() throws Exception {
        for (Process p : processes.values()) {
            p.destroyForcibly().waitFor();
        }
        relays.values().forEach(Relay::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
