package whinlead.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import whinlead.Contract;

/** A real sidecar in a process of its own, started from the program that runs, on a free loopback port. */
final class SidecarProcess implements FrontProcess {
    private static final long MAX_READY_MS = 30_000;
    private static final long POLL_MS = 20;
    private static final long MAX_STOP_S = 10;
    private static final int OK = 200;
    /** The limits that the platform's line `run` sets. */
    static final List<String> LIMITS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms48m",
            "-Xmx48m",
            "-XX:MaxDirectMemorySize=32m",
            "-Dio.netty.jfr.enabled=false",
            "-Dio.netty.leakDetection.level=disabled");

    static final String MAIN = "whinlead.run.Main";

    private final Process process;
    private final Path folder;
    private final InetSocketAddress address;
    // Guards against leaving it behind when the rehearsal itself is ended.
    private final Thread killer;

    private SidecarProcess(Process process, Path folder, InetSocketAddress address) {
        this.process = process;
        this.folder = folder;
        this.address = address;
        this.killer = new Thread(process::destroyForcibly, "kill-sidecar");
        Runtime.getRuntime().addShutdownHook(killer);
    }

    /**
     * Starts one and waits until it is ready.
     *
     * @param prefix words before the command, to bind it to a core say
     * @param known the list of endpoints, in discovery's form
     * @throws IOException if it ends, or is not ready within half a minute
     */
    static SidecarProcess start(
            List<String> prefix, Contract.Settings settings, String discovery, String known, long seed)
            throws IOException {
        return start(prefix, List.of(), settings, discovery, known, seed);
    }

    /** The same; {@code jvm} holds options of the JVM that come after the platform's and so win over them. */
    static SidecarProcess start(
            List<String> prefix,
            List<String> jvm,
            Contract.Settings settings,
            String discovery,
            String known,
            long seed)
            throws IOException {
        Path folder = Files.createTempDirectory("rehearse");
        int port = freePort();
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        String listen = address.getAddress().getHostAddress() + ":" + port;
        Path config = folder.resolve("config.json");
        Files.writeString(config, config(settings, listen, discovery, known, seed));
        List<String> line = new ArrayList<>(prefix);
        line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        line.addAll(LIMITS);
        line.addAll(jvm);
        line.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN, "serve"));
        ProcessBuilder builder = new ProcessBuilder(line)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("PROXY_CONFIG", config.toString());
        SidecarProcess sidecar = new SidecarProcess(builder.start(), folder, address);
        try {
            sidecar.awaitReady(listen);
        } catch (IOException e) {
            sidecar.close();
            throw e;
        }
        return sidecar;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    /** Seconds of processor time that it has used. */
    double cpuSeconds() {
        return process.info().totalCpuDuration().map(d -> d.toNanos() / 1e9).orElse(Double.NaN);
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private void awaitReady(String listen) throws IOException {
        URL ready = URI.create("http://" + listen + "/health/ready").toURL();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_READY_MS);
        while (System.nanoTime() < end) {
            if (!process.isAlive()) {
                throw new IOException("the sidecar ended: "
                        + Files.readString(folder.resolve("log")).strip());
            }
            try {
                HttpURLConnection c = (HttpURLConnection) ready.openConnection();
                if (c.getResponseCode() == OK) {
                    return;
                }
            } catch (IOException notYet) {
                // It does not listen yet; what it says when it can't is in its log.
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
        throw new IOException("the sidecar was not ready in time");
    }

    /** A sidecar's file, as the platform writes it. */
    static String config(Contract.Settings s, String listen, String discovery, String known, long seed)
            throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        root.put("name", "n0")
                .put("listen", listen)
                .put("discovery", discovery)
                .put("seed", Long.toHexString(seed))
                .set("known", mapper.readTree(known));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
        ObjectNode settings = root.putObject("settings");
        ArrayNode classes = settings.putArray("classes");
        for (Contract.RequestClass k : s.classes()) {
            classes.addObject()
                    .put("name", k.name())
                    .put(
                            "effect",
                            switch (k.effect()) {
                                case SAFE -> "idempotent";
                                case KEYED -> "deduplicated";
                                case UNSAFE -> "at_most_once";
                            })
                    .put("group", k.dedupGroup().name().toLowerCase(Locale.ROOT))
                    .put("window", k.dedupWindow())
                    .put("slo", k.latencyTarget())
                    .put("deadline", k.deadline())
                    .put("value", k.worth())
                    .put("late_worth", k.lateWorth());
        }
        Contract.Limits l = s.limits();
        settings.putObject("limits")
                .put("attempts_cap", l.attempts())
                .put("may_duplicate", l.duplicates())
                .put("cancel", l.cancel())
                .put("probes", false)
                .put("peers", l.peers())
                .put("retry_after", l.retryAfter())
                .put("max_retry_after", l.maxRetryAfter())
                .put("connect_timeout", 250)
                .put("conn_idle", 60_000);
        Contract.Obligations o = s.obligations();
        settings.putObject("obligations")
                .put("drain_grace", o.drainGrace())
                .put("fall_multiple", o.fallMultiple())
                .put("overload_for", o.fallTime())
                .put("cold_share", o.coldShare())
                .put("cold", o.coldTime())
                .put("ask_within", o.requestListWithin());
        ObjectNode reporting = settings.putObject("reporting");
        reporting.put("how", s.reporting() == Contract.Reporting.WITH_ANSWERS ? "inline" : "off");
        reporting.putArray("fields").add("util").add("qps").add("eps");
        settings.put("discovery", s.listMustBeRequested() ? "ask" : "push")
                .put("over_share_worth", s.overShareWorth())
                .put("peers_total", s.sidecars())
                .put("ordinal", s.ordinal())
                .putArray("tenants");
        return mapper.writeValueAsString(root);
    }

    /** Kills it: what it holds is of no more interest. */
    @Override
    public void close() throws IOException {
        Runtime.getRuntime().removeShutdownHook(killer);
        process.destroyForcibly();
        try {
            process.waitFor(MAX_STOP_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Files.deleteIfExists(folder.resolve("config.json"));
        Files.deleteIfExists(folder.resolve("log"));
        Files.delete(folder);
    }
}
