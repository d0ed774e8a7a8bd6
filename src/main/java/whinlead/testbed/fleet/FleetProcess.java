package whinlead.testbed.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A sidecar of a fleet in a process of its own, which can be killed, stopped and started again. It is ended with this
 * program, by its id. Not for use by several threads.
 */
public final class FleetProcess implements AutoCloseable {
    private static final List<String> JVM = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-Xms48m",
            "-Xmx48m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=32m",
            "-Dio.netty.jfr.enabled=false",
            "-Dio.netty.leakDetection.level=disabled");
    private static final String MAIN = "whinlead.run.Main";
    private static final int MAX_END_S = 10;
    private static final double MILLIS = 1000;
    private static final int BLOCK = 512;

    private final Path folder;
    private final Map<String, String> environment;
    private final Thread killer = new Thread(this::kill, "kill-of-the-fleet");
    private Process process;
    private boolean frozen;
    /** Of each file that it writes, in blocks of 512 bytes; 0 for any size. */
    private long blocksMost;

    /**
     * One that is yet to start.
     *
     * @param folder of its own, for its log; deleted by {@link #close} unless something broke
     * @param environment that names its files
     */
    public FleetProcess(Path folder, Map<String, String> environment) {
        this.folder = folder;
        this.environment = Map.copyOf(environment);
        Runtime.getRuntime().addShutdownHook(killer);
    }

    /** Starts it, or starts it again. */
    public void start() throws IOException {
        List<String> line = new ArrayList<>();
        if (blocksMost > 0) {
            line.addAll(List.of("sh", "-c", "ulimit -f " + blocksMost + "; exec \"$@\"", "sh"));
        }
        line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        line.addAll(JVM);
        line.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN, "serve"));
        ProcessBuilder builder = new ProcessBuilder(line)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        builder.environment().putAll(environment);
        process = builder.start();
        frozen = false;
    }

    /** From its next start on no file that it writes grows beyond this, as on a disk that is full. */
    public void fills(long bytes) {
        blocksMost = Math.max(1, bytes / BLOCK);
    }

    /** What it has said, over all its starts. */
    public Path log() {
        return folder.resolve("log");
    }

    /** True while it runs, stopped or not. */
    public boolean alive() {
        return process != null && process.isAlive();
    }

    /** Seconds of processor time that it has used since it started. */
    public double cpu() {
        return process.info().totalCpuDuration().map(d -> d.toMillis() / MILLIS).orElse(0.0);
    }

    /** True while it is stopped. */
    public boolean frozen() {
        return frozen;
    }

    /** SIGKILL; returns once it is gone. */
    public void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(MAX_END_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** SIGSTOP. */
    public void freeze() throws IOException {
        signal("STOP");
        frozen = true;
    }

    /** SIGCONT. */
    public void wake() throws IOException {
        signal("CONT");
        frozen = false;
    }

    private void signal(String name) throws IOException {
        if (alive()) {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        }
    }

    /** Deletes a folder of its, as a disk that is lost. */
    public static void delete(Path what) throws IOException {
        if (Files.exists(what)) {
            try (Stream<Path> all = Files.walk(what)) {
                for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }

    /** Ends it. */
    @Override
    public void close() {
        kill();
        Runtime.getRuntime().removeShutdownHook(killer);
    }
}
