package whinlead.testbed.mesh.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import whinlead.mesh.log.Event;
import whinlead.mesh.settings.NodeSettingsReader;
import whinlead.mesh.sidecar.Sidecar;
import whinlead.testbed.mesh.Talk;

/**
 * The hollow sidecars of a scale run: many {@link Sidecar}s in one process, on few loops, with an endpoint beside each
 * that only beats. It beats to the real sidecar 0 as well. Commands come on standard input, one a line, and answers go
 * to standard output; the process ends with its input.
 */
public final class Hollow {
    private static final int LOOPS = 6;
    /** Threads that beat and ask, each for its own sidecars, for each waits for its answers. */
    private static final int WORKERS = 8;
    /** Within the settings' time between two beats, in microseconds. */
    private static final double BEAT_US = 1.2e6;
    /** How often a tenant's request comes to a sidecar, in microseconds: enough to be told to control nodes. */
    private static final double ASK_US = 4e6;

    private static final double US_A_MIN = 60e6;

    private final Places places;
    private final Sizes sizes;
    private final Heard heard = new Heard();
    private final ScheduledExecutorService[] workers = new ScheduledExecutorService[WORKERS];
    private final ScheduledExecutorService replacer = Executors.newSingleThreadScheduledExecutor();
    private final Talk[] toBeats;
    private final Talk[] toEgress;
    private final int[] lives;
    private final AtomicLong calls = new AtomicLong();
    private volatile int replaced;
    private Future<?> replacing;

    private Hollow(Places places, Sizes sizes) {
        this.places = places;
        this.sizes = sizes;
        this.toBeats = new Talk[sizes.sidecars()];
        this.toEgress = new Talk[sizes.sidecars()];
        this.lives = new int[sizes.sidecars()];
    }

    /** Runs; arguments are the places, sidecars, services, and tenants that are asked for. */
    public static void main(String... args) throws IOException, InterruptedException {
        Hollow hollow = new Hollow(
                Places.parse(args[0]),
                new Sizes(
                        Integer.parseInt(args[1]),
                        Integer.parseInt(args[2]),
                        1,
                        0,
                        Integer.parseInt(args[3]),
                        0,
                        0,
                        0));
        hollow.start();
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            hollow.run(line.split(" "));
        }
        Runtime.getRuntime().halt(0);
    }

    private void start() throws InterruptedException {
        heard.listen();
        NodeSettingsReader reader = new NodeSettingsReader(new ObjectMapper());
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
        for (int i = 1; i < sizes.sidecars(); i++) {
            new Sidecar(reader.parse(places.sidecar(i, target(i))), loops.next(), new ObjectMapper()).start();
        }
        for (int w = 0; w < WORKERS; w++) {
            workers[w] = Executors.newSingleThreadScheduledExecutor();
        }
        for (int i = 0; i < sizes.sidecars(); i++) {
            int sidecar = i;
            workers[i % WORKERS].scheduleAtFixedRate(
                    () -> beat(sidecar), spread(BEAT_US, i), (long) BEAT_US, TimeUnit.MICROSECONDS);
            for (int t = 0; t < sizes.asked(); t++) {
                int tenant = t;
                workers[i % WORKERS].scheduleAtFixedRate(
                        () -> ask(sidecar, tenant), spread(ASK_US, i + t), (long) ASK_US, TimeUnit.MICROSECONDS);
            }
        }
    }

    // When the first comes, so that they are spread over their time.
    private long spread(double everyUs, int i) {
        return (long) (everyUs * (i % sizes.sidecars()) / sizes.sidecars());
    }

    private void run(String... command) {
        if ("replace-records".equals(command[0])) {
            double perMin = Double.parseDouble(command[1]);
            if (replacing != null) {
                replacing.cancel(false);
            }
            if (perMin > 0) {
                long every = (long) (US_A_MIN / perMin);
                replacing = replacer.scheduleAtFixedRate(this::replace, every, every, TimeUnit.MICROSECONDS);
            }
        } else {
            heard.report(System.out);
            System.out.println("replaced " + replaced);
            System.out.println("end");
        }
    }

    private String target(int sidecar) {
        return Sizes.service(sidecar % sizes.services());
    }

    private void replace() {
        int sidecar = replaced % sizes.sidecars();
        replaced = replaced + 1;
        workers[sidecar % WORKERS].execute(() -> {
            lives[sidecar]++;
            beat(sidecar);
        });
    }

    private void beat(int i) {
        String body = "{\"Target\":\"" + target(i) + "\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"hall-a\","
                + "\"Epoch\":\"v1\",\"Capacity\":6,\"Phase\":\"serving\",\"WarmupS\":0,\"CallSeq\":"
                + calls.incrementAndGet() + "}";
        say(
                toBeats,
                i,
                places.beats(i),
                "POST /whinlead/rpc?call=members.heartbeat&of=endpoint-" + i + "-" + lives[i],
                Map.of("Content-Type", "application/json"),
                body);
    }

    private void ask(int i, int tenant) {
        say(
                toEgress,
                i,
                places.egress(i),
                "GET " + sizes.path(),
                Map.of(
                        "Host",
                        Sizes.service(0) + ".mesh.example",
                        "Attempt-Id",
                        "ask-" + calls.incrementAndGet(),
                        "Deadline-Ms",
                        "1000",
                        "Api-Key",
                        Sizes.key(tenant)),
                "");
    }

    private static void say(
            Talk[] talks, int i, String address, String first, Map<String, String> headers, String body) {
        try {
            if (talks[i] == null) {
                talks[i] = new Talk(address);
            }
            if (talks[i].ask(first, headers, body.getBytes(StandardCharsets.UTF_8)) != null) {
                return;
            }
            talks[i].close();
        } catch (IOException e) {
            // Not up yet, or closed as idle: the next one dials again.
            Event.INTERNAL_ERROR.log(e.getMessage());
        }
        talks[i] = null;
    }
}
