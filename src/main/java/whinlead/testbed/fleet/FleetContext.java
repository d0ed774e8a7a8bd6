package whinlead.testbed.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * What the parts of one fleet run share: its plan, random numbers, clock, event loop, HTTP client, files and ledger.
 * Simulated clients and the ledger belong to the event loop; processes are started, ended and watched from the thread
 * that plays the run.
 */
final class FleetContext implements AutoCloseable {
    /** How long a client waits for its request, in milliseconds. */
    static final double CLIENT_TIMEOUT_MS = 2000;
    /** By how much a call may be late before that counts as a fault, in milliseconds. */
    static final double SLACK_MS = 500;
    /** For how long groups remember how a request ended. */
    private static final long REMEMBER_MS = 600_000;

    private static final long POLL_MS = 50;
    private static final double NANOS_PER_MILLI = 1e6;

    private final CopiesFleet.Plan plan;
    private final Random random;
    private final Path root;
    private final ObjectMapper mapper = new ObjectMapper();
    private final FleetFiles files;
    private final FleetLedger ledger = new FleetLedger();
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis((long) CLIENT_TIMEOUT_MS))
            .build();
    private final long startedNanos = System.nanoTime();

    /**
     * Of a plan, with a temporary folder for the run's files.
     *
     * @throws IOException if the folder can't be made
     */
    FleetContext(CopiesFleet.Plan plan) throws IOException {
        this.plan = plan;
        random = new Random(plan.seed());
        root = Files.createTempDirectory("fleet");
        files = new FleetFiles(plan, REMEMBER_MS, mapper);
    }

    CopiesFleet.Plan plan() {
        return plan;
    }

    Random random() {
        return random;
    }

    /** The folder of all files of the run. */
    Path root() {
        return root;
    }

    ObjectMapper mapper() {
        return mapper;
    }

    FleetFiles files() {
        return files;
    }

    /** For the event loop. */
    FleetLedger ledger() {
        return ledger;
    }

    EventLoop loop() {
        return loop;
    }

    HttpClient http() {
        return http;
    }

    /** Milliseconds since the run began. */
    double now() {
        return (System.nanoTime() - startedNanos) / NANOS_PER_MILLI;
    }

    /** Runs a task on the event loop and waits for it. Not to be called on the loop. */
    void runOnLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    /** Runs a task on the event loop after so many milliseconds. */
    void schedule(Runnable task, long delayMs) {
        loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Blocks for so many milliseconds. */
    void sleep(double millis) throws IOException {
        double end = now() + millis;
        while (now() < end) {
            pause();
        }
    }

    /**
     * Blocks for the interval at which conditions are polled.
     *
     * @throws IOException if the thread is interrupted
     */
    static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Ends the event loop. The folder is deleted, or kept with the ledger's cases if a rule was broken. */
    @Override
    public void close() throws IOException {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        if (ledger.broken().isEmpty()) {
            FleetProcess.delete(root);
        } else {
            Files.write(root.resolve("cases"), ledger.cases());
            System.out.println("logs: " + root);
        }
    }
}
