package whinlead.testbed.mesh;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import whinlead.mesh.control.ControlNode;
import whinlead.mesh.log.Logs;
import whinlead.mesh.settings.NodeSettingsReader;
import whinlead.mesh.sidecar.Sidecar;

/**
 * A small mesh: a control node, two sidecars and their endpoints in one process on loopback; a configuration is taken
 * and requests are served. The build runs it, for it notes which classes a start needs.
 */
public final class LocalMeshRun {
    private static final int REQUESTS = 600;
    private static final long WAIT_MS = 20_000;
    private static final int AGAIN = 50;
    private static final long BEAT_MS = 100;
    private static final long POLL_MS = 20;

    private LocalMeshRun() {}

    /** A configuration with one service and one tenant, whose key is {@code key-1}. */
    public static String config(String epoch, String target) {
        return "{\"Epoch\":\"" + epoch + "\",\"Routes\":{\"r-1\":{\"Authority\":\"post.example\","
                + "\"PathPrefix\":\"/a/\",\"Kind\":\"idempotent\",\"DeadlineS\":2,\"TargetS\":0.5,\"Rank\":1,"
                + "\"Target\":\"" + target + "\",\"Tries\":2,\"Public\":false},"
                + "\"r-2\":{\"Authority\":\"post.example\",\"PathPrefix\":\"/b/\",\"Kind\":\"mutating\","
                + "\"DeadlineS\":2,\"TargetS\":0.5,\"Rank\":1,\"Target\":\"" + target
                + "\",\"Tries\":2,\"Public\":false}},"
                + "\"Services\":{\"" + target + "\":{\"Probe\":\"/health\",\"MaxConns\":110}},"
                + "\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":67108864,\"HeaderS\":3,\"IdleS\":15},"
                + "\"Tenants\":{\"t-1\":{\"Credentials\":[\"key-1\"],\"Rank\":1,\"RatePerS\":0,\"Burst\":0}}}";
    }

    /** Walks; 0 if all was served. */
    public static int run() throws Exception {
        Logs.configure();
        TestbedSettings cards = new TestbedSettings(1);
        NodeSettingsReader reader = new NodeSettingsReader(new ObjectMapper());
        Path data = Files.createTempDirectory("walk");
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        new ControlNode(reader.parse(cards.controlNode(0, data.toString(), true)), loop, new ObjectMapper()).start();
        int served = 0;
        try (StandInApp a = new StandInApp("i-a", "svc", cards.app(0), cards.beats(0));
                StandInApp b = new StandInApp("i-b", "svc", cards.app(1), cards.beats(1))) {
            for (int i = 0; i < 2; i++) {
                new Sidecar(reader.parse(cards.sidecar(i, "svc")), loop, new ObjectMapper()).start();
            }
            int taken = Talk.ask(
                            cards.control(0),
                            "POST /whinlead/rpc?call=config.replace",
                            Map.of("If-Match", "0"),
                            config("00000001", "svc").getBytes(StandardCharsets.UTF_8))
                    .status();
            a.beat("serving");
            b.beat("serving");
            a.beatEvery(BEAT_MS);
            b.beatEvery(BEAT_MS);
            if (taken == 200 && ready(cards, 0) && ready(cards, 1)) {
                served = requests(cards);
            }
            a.depart();
        }
        System.out.println("served: " + served + " of " + REQUESTS);
        return served == REQUESTS ? 0 : 1;
    }

    private static boolean ready(TestbedSettings cards, int sidecar) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (System.nanoTime() < end) {
            if (Talk.ask(cards.readiness(sidecar), "GET /whinlead/readiness", Map.of(), new byte[0])
                            .status()
                    == 200) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        return false;
    }

    private static int requests(TestbedSettings cards) throws IOException {
        int served = 0;
        try (Talk first = new Talk(cards.egress(0));
                Talk second = new Talk(cards.egress(1))) {
            for (int i = 0; i < REQUESTS; i++) {
                Talk.Message m = null;
                // Told to come back, as any client on a busy machine may be, it does.
                for (int again = 0; again < AGAIN && (m == null || m.status() == 503); again++) {
                    m = (i % 2 == 0 ? first : second)
                            .ask(
                                    i % 3 == 0 ? "POST /b/x" : "GET /a/x",
                                    Map.of(
                                            "Host",
                                            "post.example",
                                            "Attempt-Id",
                                            "walk-" + i,
                                            "Deadline-Ms",
                                            "1900",
                                            "Api-Key",
                                            "key-1"),
                                    new byte[i % 3 == 0 ? 100 : 0]);
                    if (m == null) {
                        break;
                    }
                }
                served += m != null && m.status() == 200 ? 1 : 0;
            }
        }
        return served;
    }
}
