package whinlead.testbed.mesh.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import whinlead.mesh.log.Event;
import whinlead.testbed.mesh.Talk;

/**
 * The processes of one point of a scale run: control nodes, one real sidecar behind a {@link Relay}, and one process of
 * hollow sidecars. They end when this is closed, or with this process. One thread.
 */
final class Fleet implements AutoCloseable {
    /** As in {@code deploy/system.toml}; the archive of classes is taken where the build has made one. */
    private static final List<String> JAVA = List.of(
            "-Xmx96m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-XX:SharedArchiveFile=target/mesh.jsa",
            "-Xlog:disable",
            "-XX:-UsePerfData",
            "-Dio.netty.jfr.enabled=false",
            "-Dio.netty.leakDetection.level=disabled");

    private static final List<String> HOLLOW = List.of(
            "-Xmx4g",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Dio.netty.leakDetection.level=disabled");
    private static final long WAIT_S = 60;
    private static final long POLL_MS = 50;
    private static final int TAKEN = 200;

    private final Sizes sizes;
    private final Places places;
    private final Path folder;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Relay relay = new Relay(loop);
    private final Heard heard = new Heard();
    private final List<Process> controlNodes = new ArrayList<>();
    private final List<Heard> controlNodesHeard = new ArrayList<>();
    private Process sidecar;
    private Process hollow;
    private PrintStream toHollow;
    private BufferedReader fromHollow;
    private int replaced;
    private long version;

    private Fleet(Sizes sizes, int controlNodeCount) throws IOException {
        this.sizes = sizes;
        this.places = new Places(controlNodeCount);
        this.folder = Files.createTempDirectory("scale");
    }

    /**
     * Starts all and waits until the first configuration is in force everywhere.
     *
     * @throws IOException if that does not come about within a minute
     */
    static Fleet start(Sizes sizes, int controlNodeCount) throws IOException, InterruptedException {
        Fleet fleet = new Fleet(sizes, controlNodeCount);
        try {
            fleet.begin();
            return fleet;
        } catch (IOException | InterruptedException | RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    private void begin() throws IOException, InterruptedException {
        for (int i = 0; i < places.controlNodes(); i++) {
            controlNodes.add(role(
                    "control",
                    "control-" + i,
                    places.controlNode(i, folder.resolve("disk-" + i).toString()),
                    hear()));
            relay.listen(
                    new InetSocketAddress(places.controlNodeIp(i), places.relay()),
                    new InetSocketAddress(places.controlNodeIp(i), places.talk()));
        }
        until("the first configuration is taken", () -> {
            try {
                return change() > 0;
            } catch (IOException e) {
                // Not up yet.
                return false;
            }
        });
        List<String> words = new ArrayList<>(HOLLOW);
        words.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                Hollow.class.getName(),
                places.toString(),
                Integer.toString(sizes.sidecars()),
                Integer.toString(sizes.services()),
                Integer.toString(sizes.asked())));
        hollow = java(words).redirectError(log("hollow")).start();
        toHollow = new PrintStream(hollow.getOutputStream(), true, StandardCharsets.UTF_8);
        fromHollow = hollow.inputReader(StandardCharsets.UTF_8);
        sidecar = role("sidecar", "sidecar", places.sidecar(0, Sizes.service(0)), heard);
        if (sizes.listed() > 0) {
            Ghosts ghosts = new Ghosts(loop, sizes);
            for (int i = 0; i < places.controlNodes(); i++) {
                ghosts.say(places, i);
            }
        }
        until("the first configuration is in force", () -> inForce(1).size() == sizes.sidecars());
    }

    private File log(String name) {
        return folder.resolve(name + ".log").toFile();
    }

    private ProcessBuilder java(List<String> words) {
        List<String> command = new ArrayList<>(words);
        command.add(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        return new ProcessBuilder(command);
    }

    private Heard hear() {
        controlNodesHeard.add(new Heard());
        return controlNodesHeard.get(controlNodesHeard.size() - 1);
    }

    private Process role(String role, String name, List<String> settings, Heard ear) throws IOException {
        Path file = Files.write(folder.resolve(name + ".conf"), settings);
        List<String> words = new ArrayList<>(JAVA);
        words.addAll(List.of(
                "-cp", System.getProperty("java.class.path"), Tethered.class.getName(), role, "-s", file.toString()));
        Process process = java(words).redirectErrorStream(true).start();
        Thread reading = new Thread(
                () -> process.inputReader(StandardCharsets.UTF_8)
                        .lines()
                        .forEach(line -> ear.line(line, System.nanoTime())),
                "log of " + name);
        reading.setDaemon(true);
        reading.start();
        return process;
    }

    /** Whether something holds. */
    interface Question {
        /** Whether it does. */
        boolean holds() throws IOException;
    }

    /**
     * Waits until it holds.
     *
     * @throws IOException if it does not within a minute, or asking fails
     */
    static void until(String what, Question question) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (!question.holds()) {
            if (System.nanoTime() > end) {
                throw new IOException("not in " + WAIT_S + " s: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    /** Orders the next version; the time of its acknowledgement, or 0 if it was not taken. */
    long change() throws IOException {
        long next = version + 1;
        int controlNode = (int) (next % controlNodes.size());
        int status = Talk.ask(
                        places.control(controlNode),
                        "POST /whinlead/rpc?call=config.replace",
                        Map.of("If-Match", Long.toHexString(version), "Content-Type", "application/json"),
                        sizes.config(next).getBytes(StandardCharsets.UTF_8))
                .status();
        if (status != TAKEN) {
            return 0;
        }
        version = next;
        return System.nanoTime();
    }

    /** The newest version that was acknowledged. */
    long version() {
        return version;
    }

    /** Has endpoints replaced at this rate from now on. */
    void replaceEndpointRecords(double perMin) {
        toHollow.println("replace-records " + perMin);
    }

    /** How many endpoints were replaced so far. */
    int replaced() throws IOException {
        ask();
        return replaced;
    }

    /** When each sidecar had a version in force. */
    List<Long> inForce(long aVersion) throws IOException {
        List<Long> times = new ArrayList<>(ask().inForce(aVersion));
        times.addAll(heard.inForce(aVersion));
        return times;
    }

    /** How often sidecars, the real one too, logged an event. */
    int count(Event event) throws IOException {
        return ask().count(event) + heard.count(event);
    }

    /** The real sidecar's heap in use after a collection, in bytes. */
    double sidecarHeap() throws IOException, InterruptedException {
        return heap(sidecar, heard);
    }

    /** The same of the control node with the most. */
    double controlNodeHeap() throws IOException, InterruptedException {
        double most = 0;
        for (int i = 0; i < controlNodes.size(); i++) {
            most = Math.max(most, heap(controlNodes.get(i), controlNodesHeard.get(i)));
        }
        return most;
    }

    private static double heap(Process process, Heard ear) throws IOException, InterruptedException {
        process.getOutputStream().write('\n');
        process.getOutputStream().flush();
        until("a heap is told", () -> !Double.isNaN(ear.heap()));
        return ear.heap();
    }

    /** How often a stand-in endpoint's beats stayed away; then the run measures that as well. */
    int silent() throws IOException {
        return ask().silent() + heard.silent();
    }

    private Heard ask() throws IOException {
        toHollow.println("report");
        Heard told = new Heard();
        for (String line = fromHollow.readLine(); !"end".equals(line); line = fromHollow.readLine()) {
            if (line == null) {
                throw new IOException("the hollow sidecars' process has ended: "
                        + Files.readString(log("hollow").toPath()));
            }
            if (line.startsWith("replaced ")) {
                replaced = Integer.parseInt(line.split(" ")[1]);
            } else {
                told.parse(line);
            }
        }
        return told;
    }

    /** What each process has used and each way has carried so far. */
    Snapshot snapshot() throws IOException {
        List<Usage> each = new ArrayList<>();
        for (Process controlNode : controlNodes) {
            each.add(Usage.of(controlNode.pid()));
        }
        return new Snapshot(
                System.nanoTime(),
                Usage.of(sidecar.pid()),
                each,
                Usage.of(hollow.pid()),
                Usage.of(ProcessHandle.current().pid()),
                relay.counts());
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        controlNodes.forEach(Process::destroyForcibly);
        if (hollow != null) {
            hollow.destroyForcibly();
        }
        if (sidecar != null) {
            sidecar.destroyForcibly();
        }
        try {
            for (Process controlNode : controlNodes) {
                controlNode.waitFor();
            }
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        } catch (IOException e) {
            System.err.println("left behind: " + folder);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
