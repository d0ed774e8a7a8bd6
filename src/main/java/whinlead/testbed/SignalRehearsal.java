package whinlead.testbed;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import whinlead.Contract;

/**
 * {@code rehearse signals}: SIGHUP and SIGTERM at every moment of a sidecar's start, each to a process of its own, on a
 * whole core and on one that others keep busy. Cores are bound by {@code taskset}.
 */
@Command(
        name = "signals",
        description = "SIGHUP and SIGTERM at every moment of the start, on a whole core " + "and on a fifth of one.")
final class SignalRehearsal implements Callable<Integer> {
    /** On a core that is shared, so many others that never wait. */
    private static final int BUSY = 4;

    private static final long MAX_ANSWER_S = 60;
    private static final int MAX_CONNECT_MS = 1000;
    private static final int MAX_ANSWER_MS = 10_000;
    /** Between requests: more at once than a sidecar's connections allow would be turned away for that. */
    private static final long PAUSE_MS = 3;

    private static final int PORT = 9000;
    /** In the second part of a loopback address. */
    private static final int NETS = 250;
    /** In the last part of one. */
    private static final int ADDRESSES = 250;

    private static final int ENDED_BY_TERM = 128 + 15;
    private static final String NOTHING_KNOWN = "{\"seq\":1,\"whole\":true,\"hosts\":[]}";

    @Option(names = "--step", description = "Milliseconds from one moment to the next.")
    private int step = 50;

    @Option(names = "--until", description = "The last moment, in milliseconds after the start.")
    private int until = 5000;

    @Option(names = "--cores", split = ",", description = "The cores that processes are bound to, one at a time each.")
    private List<Integer> cores = List.of(1, 2, 3);

    @Option(
            names = "--trap",
            negatable = true,
            defaultValue = "true",
            fallbackValue = "true",
            description = "Whether the shell ignores SIGHUP first, as the deploy file has it.")
    private boolean trap;

    /** What became of a process: how many ended as they must not, lost what was asked, or a request. */
    private final Map<String, AtomicInteger> faults = new TreeMap<>(Map.of(
            "ended by SIGHUP",
            new AtomicInteger(),
            "reloads lost",
            new AtomicInteger(),
            "not ended by SIGTERM",
            new AtomicInteger(),
            "requests lost",
            new AtomicInteger()));

    @Override
    public Integer call() throws Exception {
        Promises promises = new Promises(System.out);
        for (int busy : new int[] {0, BUSY}) {
            String share = busy == 0 ? "whole core" : "fifth of a core";
            faults.values().forEach(n -> n.set(0));
            int played = sweep(busy);
            promises.figure(share + ", processes", played);
            faults.forEach((name, n) -> promises.under(share + ", " + name, n.get(), 1));
        }
        return promises.kept() ? 0 : 1;
    }

    private int sweep(int busy) throws Exception {
        List<Process> others = new ArrayList<>();
        ExecutorService threads = Executors.newFixedThreadPool(cores.size());
        BlockingQueue<Integer> free = new LinkedBlockingQueue<>(cores);
        List<Future<?>> plays = new ArrayList<>();
        try {
            for (int core : cores) {
                for (int i = 0; i < busy; i++) {
                    others.add(new ProcessBuilder(
                                    "taskset", "-c", Integer.toString(core), "sh", "-c", "while :; do :; done")
                            .start());
                }
            }
            for (int at = step; at <= until; at += step) {
                for (boolean hangup : new boolean[] {true, false}) {
                    int moment = at;
                    int number = plays.size();
                    plays.add(threads.submit(() -> {
                        int core = free.take();
                        try (Play play = new Play(core, number)) {
                            play.run(moment, hangup);
                        } finally {
                            free.add(core);
                        }
                        return null;
                    }));
                }
            }
            for (Future<?> play : plays) {
                play.get();
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } finally {
            threads.shutdownNow();
            others.forEach(Process::destroyForcibly);
        }
        return plays.size();
    }

    /** A list service that only tells that somebody came. */
    private static final class Visited implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final CountDownLatch came = new CountDownLatch(1);

        private Visited() throws IOException {
            Thread t = new Thread(
                    () -> {
                        try (Socket s = listener.accept()) {
                            came.countDown();
                            s.getInputStream().readAllBytes();
                        } catch (IOException e) {
                            // The play is over.
                        }
                    },
                    "visited");
            t.setDaemon(true);
            t.start();
        }

        private String dial() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** One process and one signal. */
    private final class Play implements AutoCloseable {
        private final Visited before = new Visited();
        private final Visited after = new Visited();
        private final Path folder = Files.createTempDirectory("signals");
        private final Path config = folder.resolve("config.json");
        private final InetSocketAddress listen;
        private final Process process;

        private Play(int core, int number) throws IOException {
            // An address of its own: a free port of the usual one may be another play's a moment later, and
            // another rehearsal may run on this machine.
            listen = new InetSocketAddress(
                    "127." + (ProcessHandle.current().pid() % NETS + 1) + "." + number / ADDRESSES + "."
                            + (number % ADDRESSES + 1),
                    PORT);
            write(before);
            List<String> line = new ArrayList<>(List.of(
                    "taskset",
                    "-c",
                    Integer.toString(core),
                    "sh",
                    "-c",
                    (trap ? "trap '' HUP; " : "") + "exec \"$@\"",
                    "sh",
                    Path.of(System.getProperty("java.home"), "bin", "java").toString()));
            line.addAll(SidecarProcess.LIMITS);
            line.addAll(List.of("-cp", System.getProperty("java.class.path"), SidecarProcess.MAIN, "serve"));
            ProcessBuilder builder = new ProcessBuilder(line)
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("log").toFile());
            builder.environment().put("PROXY_CONFIG", config.toString());
            process = builder.start();
        }

        private void write(Visited discovery) throws IOException {
            Path next = folder.resolve("next.json");
            Files.writeString(
                    next,
                    SidecarProcess.config(
                            Settings.of(true, Settings.type("read", 1, Contract.Effect.SAFE)),
                            listen.getAddress().getHostAddress() + ":" + PORT,
                            discovery.dial(),
                            NOTHING_KNOWN,
                            1));
            Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }

        private void run(int moment, boolean hangup) throws Exception {
            long started = System.nanoTime();
            Thread client = new Thread(this::ask, "client");
            if (!hangup) {
                client.start();
            }
            TimeUnit.NANOSECONDS.sleep(started + TimeUnit.MILLISECONDS.toNanos(moment) - System.nanoTime());
            if (hangup) {
                write(after);
                signal("HUP");
                awaitReload();
            } else {
                signal("TERM");
                if (!process.waitFor(MAX_ANSWER_S, TimeUnit.SECONDS) || process.exitValue() != ENDED_BY_TERM) {
                    faults.get("not ended by SIGTERM").incrementAndGet();
                }
                client.join();
            }
        }

        private void awaitReload() throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_ANSWER_S);
            boolean came = false;
            while (!came && process.isAlive() && System.nanoTime() < end) {
                came = after.came.await(MAX_CONNECT_MS, TimeUnit.MILLISECONDS);
            }
            if (!process.isAlive()) {
                faults.get("ended by SIGHUP").incrementAndGet();
            } else if (!came) {
                faults.get("reloads lost").incrementAndGet();
            }
        }

        private void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        // One request after another, each on a connection of its own: what was connected is to be answered.
        private void ask() {
            while (process.isAlive()) {
                try (Socket s = new Socket()) {
                    try {
                        s.connect(listen, MAX_CONNECT_MS);
                    } catch (IOException notThere) {
                        TimeUnit.MILLISECONDS.sleep(1);
                        continue;
                    }
                    if (!answered(s)) {
                        faults.get("requests lost").incrementAndGet();
                    }
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
                } catch (IOException e) {
                    faults.get("requests lost").incrementAndGet();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }

        private boolean answered(Socket s) throws IOException {
            s.setSoTimeout(MAX_ANSWER_MS);
            s.getOutputStream()
                    .write(("GET /api HTTP/1.1\r\nHost: a\r\nRequest-Id: " + System.nanoTime()
                                    + "\r\nRequest-Class: read\r\nRequest-Timeout: 2\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = s.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII).startsWith("HTTP/1.1 ");
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly();
            before.close();
            after.close();
            try {
                process.waitFor(MAX_ANSWER_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Files.deleteIfExists(config);
            Files.deleteIfExists(folder.resolve("log"));
            Files.deleteIfExists(folder.resolve("next.json"));
            Files.delete(folder);
        }
    }
}
