package whinlead.testbed.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import whinlead.replication.wire.CopiesGrpc;
import whinlead.replication.wire.Wire;

/**
 * What keeping copies costs the sidecar that is asked: real processes, one of which has callers that ask, report that
 * it was served, and begin anew. Blocks its caller.
 */
public final class CopiesCost {
    /**
     * What it comes to.
     *
     * @param perSecond consultations by a second of the asked process's processor time, all of its threads'
     * @param median microseconds of an ask with one caller
     * @param p99 of the same
     * @param bytes said by all members for each consultation
     * @param notSent share of asks that were not told to send
     */
    public record Cost(double perSecond, double median, double p99, double bytes, double notSent) {}

    private static final int CALLERS = 16;
    private static final long MAX_READY_MS = 60_000;
    private static final long TICK_MS = 50;
    private static final long MAX_CALL_MS = 4000;
    private static final long REMEMBER_MS = 2000;
    private static final long HIGHEST_MICROS = 10_000_000;
    private static final int DIGITS = 3;
    private static final double MILLIS = 1000;

    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicLong ids = new AtomicLong();
    private final double seconds;

    /** Of measurements of so many seconds, each after a warm-up as long. */
    public CopiesCost(double seconds) {
        this.seconds = seconds;
    }

    /**
     * Measures it.
     *
     * @param members 0 for a process that keeps no copies
     * @param kind of the requests
     * @throws IOException if the processes don't come up
     */
    public Cost measure(int members, String kind) throws IOException {
        Path root = Files.createTempDirectory("cost");
        CopiesFleet.Plan plan = new CopiesFleet.Plan(1, Math.max(1, members), members > 0, false, false, 0, 0, 1);
        FleetFiles files = new FleetFiles(plan, REMEMBER_MS, mapper);
        List<FleetProcess> processes = new ArrayList<>();
        List<ManagedChannel> channels = new ArrayList<>();
        List<Relay> relays = new ArrayList<>();
        var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            for (int i = 0; i < plan.members(); i++) {
                Path folder = Files.createDirectories(root.resolve("n" + i));
                for (int j = 0; j < plan.members(); j++) {
                    if (i != j) {
                        Relay relay =
                                new Relay(loops.next(), new InetSocketAddress(files.address(0, j), FleetFiles.GROUP));
                        relay.listen(files.link(0, i, j));
                        relays.add(relay);
                    }
                }
                processes.add(new FleetProcess(folder, files.write(0, i, folder, Integer.toHexString(i))));
                processes.get(i).start();
                channels.add(
                        NettyChannelBuilder.forAddress(new InetSocketAddress(files.address(0, i), FleetFiles.GROUP))
                                .usePlaintext()
                                .build());
            }
            return asked(files.address(0, 0), processes.get(0), channels, members, kind);
        } finally {
            channels.forEach(ManagedChannel::shutdownNow);
            processes.forEach(FleetProcess::close);
            relays.forEach(r -> loops.next().execute(r::close));
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            FleetProcess.delete(root);
        }
    }

    private Cost asked(String address, FleetProcess process, List<ManagedChannel> channels, int members, String kind)
            throws IOException {
        await(() -> FleetFiles.ready(http, address, MAX_CALL_MS)
                && (members == 0 || channels.stream().allMatch(c -> votes(c))));
        Callers warm = new Callers(address, kind, CALLERS);
        pause(seconds);
        double cpu = process.cpu();
        long bytes = bytes(channels, members);
        int done = warm.done.get();
        pause(seconds);
        double used = process.cpu() - cpu;
        int did = warm.done.get() - done;
        double said = (double) (bytes(channels, members) - bytes) / Math.max(1, did);
        warm.stop();
        Callers one = new Callers(address, kind, 1);
        pause(seconds);
        one.stop();
        return new Cost(
                did / used,
                one.times.getValueAtPercentile(50),
                one.times.getValueAtPercentile(99),
                said,
                (double) warm.notSent.get() / Math.max(1, warm.done.get()));
    }

    private interface Check {
        boolean holds();
    }

    private static void await(Check check) throws IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_READY_MS);
        while (!check.holds()) {
            if (System.nanoTime() > end) {
                throw new IOException("the processes don't come up");
            }
            pause(TICK_MS / MILLIS);
        }
    }

    private static void pause(double seconds) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep((long) (seconds * MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static Wire.StatusReply status(ManagedChannel channel) {
        try {
            return CopiesGrpc.newBlockingStub(channel)
                    .withDeadlineAfter(MAX_CALL_MS, TimeUnit.MILLISECONDS)
                    .status(Wire.StatusRequest.getDefaultInstance());
        } catch (StatusRuntimeException e) {
            channel.resetConnectBackoff();
            return Wire.StatusReply.getDefaultInstance();
        }
    }

    private static boolean votes(ManagedChannel channel) {
        return status(channel).getVotes();
    }

    private static long bytes(List<ManagedChannel> channels, int members) {
        return members == 0
                ? 0
                : channels.stream().mapToLong(c -> status(c).getSaidBytes()).sum();
    }

    /** Callers that each ask, report and begin anew. */
    private final class Callers {
        private final String address;
        private final String kind;
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final AtomicInteger done = new AtomicInteger();
        private final AtomicInteger notSent = new AtomicInteger();
        private final Histogram times = new SynchronizedHistogram(HIGHEST_MICROS, DIGITS);

        private Callers(String address, String kind, int count) {
            this.address = address;
            this.kind = kind;
            for (int i = 0; i < count; i++) {
                ask();
            }
        }

        private void stop() {
            stopped.set(true);
        }

        private HttpRequest call(String what, ObjectNode said) {
            return HttpRequest.newBuilder(URI.create("http://" + address + ":" + FleetFiles.CONSULT + "/v1/" + what))
                    .timeout(Duration.ofMillis(MAX_CALL_MS))
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(said.toString()))
                    .build();
        }

        private void ask() {
            if (stopped.get()) {
                return;
            }
            String id = "c" + ids.incrementAndGet();
            long at = System.nanoTime();
            ObjectNode asked =
                    mapper.createObjectNode().put("id", id).put("class", kind).put("timeout_ms", 2000);
            http.sendAsync(call("ask", asked), HttpResponse.BodyHandlers.ofString())
                    .whenComplete((r, fault) -> {
                        times.recordValue(Math.min(HIGHEST_MICROS, (System.nanoTime() - at) / 1000));
                        JsonNode said = fault == null ? read(r.body()) : mapper.createObjectNode();
                        if (said.path("do").asText().equals("send")) {
                            report(id, said);
                        } else {
                            notSent.incrementAndGet();
                            next();
                        }
                    });
        }

        private JsonNode read(String body) {
            try {
                return mapper.readTree(body);
            } catch (IOException e) {
                return mapper.createObjectNode();
            }
        }

        private void report(String id, JsonNode said) {
            ObjectNode report = mapper.createObjectNode()
                    .put("id", id)
                    .put("attempt", said.path("attempt").asInt())
                    .put("endpoint", said.path("endpoint").asText())
                    .put("outcome", "served");
            http.sendAsync(call("outcome", report), HttpResponse.BodyHandlers.discarding())
                    .whenComplete((r, fault) -> next());
        }

        private void next() {
            done.incrementAndGet();
            ask();
        }
    }
}
