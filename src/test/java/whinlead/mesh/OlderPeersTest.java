package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.control.ConfigCodec;
import whinlead.mesh.control.ControlNode;
import whinlead.mesh.settings.NodeSettingsReader;
import whinlead.mesh.sidecar.Sidecar;
import whinlead.testbed.mesh.LocalMeshRun;
import whinlead.testbed.mesh.StandInApp;
import whinlead.testbed.mesh.Talk;
import whinlead.testbed.mesh.TestbedSettings;

/** A real control node and a real sidecar beside peers of the program before protocol versions, both ways. */
public class OlderPeersTest {
    private static final int WAIT_MS = 20_000;
    private static final byte PREPARE = 1;
    private static final byte PROMISE = 2;
    private static final byte ACCEPT = 3;
    private static final byte ACCEPTED = 4;
    private static final byte QUERY = 8;
    private static final byte STATE = 9;
    private static final String CONFIG =
            LocalMeshRun.config("00000001", "svc").replace("\"DeadlineS\":2", "\"DeadlineS\":20");

    private EventLoopGroup loops;
    private EventLoop loop;
    private ExecutorService threads;

    @BeforeMethod
    public void start() {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = loops.next();
        threads = Executors.newCachedThreadPool();
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        loops.shutdownGracefully(0, WAIT_MS, TimeUnit.MILLISECONDS).sync();
        threads.shutdownNow();
    }

    private void controlNode(TestbedSettings settings) throws Exception {
        String disk = Files.createTempDirectory("control").toString();
        new ControlNode(
                        new NodeSettingsReader(new ObjectMapper()).parse(settings.controlNode(0, disk, true)),
                        loop,
                        new ObjectMapper())
                .start();
    }

    private static int replace(TestbedSettings settings) throws IOException {
        return Talk.ask(
                        settings.control(0),
                        "POST /whinlead/rpc?call=config.replace",
                        Map.of("If-Match", "0"),
                        CONFIG.getBytes(StandardCharsets.UTF_8))
                .status();
    }

    @Test
    public void anOlderSidecarGetsItsConfigurationAndSumsFromThisControlNode() throws Exception {
        TestbedSettings settings = new TestbedSettings(1);
        controlNode(settings);
        MeshRig.await("the configuration is taken", () -> replace(settings) == 200);
        try (OlderPeer sidecar = OlderPeer.dial(settings.talk(0), settings.ingress(0), false)) {
            assertEquals(sidecar.hear().kind(), OlderPeer.POST);
            sidecar.say(OlderPeer.POST, p -> record(p, settings.ingress(0), "i-0"));
            sidecar.say(OlderPeer.ASK, p -> p.packLong(-1));
            assertEquals(sidecar.hear(OlderPeer.NOTICE).unpackLong(), 1);
            sidecar.say(OlderPeer.FETCH, p -> {});
            MessageUnpacker update = sidecar.hear(OlderPeer.NEWS);
            assertEquals(decision(update), CONFIG);
            assertTrue(update.unpackBoolean(), "its control node reaches a quorum: itself");
            sidecar.say(
                    OlderPeer.USES,
                    p -> p.packInt(1).packString("t-1").packFloat(2).packBoolean(true));
            MessageUnpacker sums = sidecar.hear(OlderPeer.SUMS);
            assertEquals(sums.unpackInt(), 1);
            assertEquals(sums.unpackInt(), 1);
            assertEquals(sums.unpackString(), "t-1");
        }
    }

    private static void record(MessageBufferPacker p, String node, String endpoint) throws IOException {
        p.packInt(1)
                .packString(node)
                .packLong(1)
                .packLong(1)
                .packString("hall-a")
                .packString(endpoint);
        p.packString("svc").packInt(0).packInt(6).packInt(0);
    }

    // The configuration of a decision at its first slot; the fields behind the decision are left.
    private static String decision(MessageUnpacker fields) throws IOException {
        assertEquals(fields.unpackLong(), 1, "slot");
        assertEquals(fields.unpackLong(), 1, "version");
        byte[] body = OlderPeer.bytes(fields);
        int taken = fields.unpackInt();
        for (int i = 0; i < taken; i++) {
            fields.unpackLong();
            fields.unpackString();
        }
        assertTrue(OlderPeer.strings(fields).length > 0, "voters");
        return new String(ConfigCodec.inflate(body), StandardCharsets.UTF_8);
    }

    @Test
    public void anOlderControlNodeVotesWithThisOneAndGetsItsVotes() throws Exception {
        TestbedSettings settings = new TestbedSettings(2);
        String older = settings.controlNodeIp(1) + "#0";
        try (ServerSocket server = OlderPeer.listen(settings.talk(1))) {
            controlNode(settings);
            OlderPeer in = OlderPeer.accept(server, older);
            OlderPeer out = OlderPeer.dial(settings.talk(0), older, true);
            CompletableFuture<String> accepted = new CompletableFuture<>();
            CompletableFuture<Void> promised = new CompletableFuture<>();
            threads.execute(() -> vote(in, out, accepted, promised));
            MeshRig.await("the configuration is taken by both", () -> replace(settings) == 200);
            assertEquals(accepted.get(WAIT_MS, TimeUnit.MILLISECONDS), CONFIG);
            out.say(
                    OlderPeer.PAPER,
                    p -> p.packByte(PREPARE).packLong(2).packLong(1000).packString(older));
            promised.get(WAIT_MS, TimeUnit.MILLISECONDS);
            in.close();
            out.close();
        }
    }

    // An acceptor of the older program: it promises and votes as it is asked, until its connection ends.
    private static void vote(
            OlderPeer in, OlderPeer out, CompletableFuture<String> accepted, CompletableFuture<Void> promised) {
        try {
            while (true) {
                MessageUnpacker paper = in.hear(OlderPeer.PAPER);
                byte kind = paper.unpackByte();
                if (kind == PREPARE) {
                    long slot = paper.unpackLong();
                    long round = paper.unpackLong();
                    String by = paper.unpackString();
                    out.say(
                            OlderPeer.PAPER,
                            p -> p.packByte(PROMISE)
                                    .packLong(slot)
                                    .packLong(round)
                                    .packString(by)
                                    .packNil());
                } else if (kind == ACCEPT) {
                    long round = paper.unpackLong();
                    String by = paper.unpackString();
                    accepted.complete(decision(paper));
                    out.say(
                            OlderPeer.PAPER,
                            p -> p.packByte(ACCEPTED)
                                    .packLong(1)
                                    .packLong(round)
                                    .packString(by));
                } else if (kind == QUERY) {
                    long nonce = paper.unpackLong();
                    out.say(
                            OlderPeer.PAPER,
                            p -> p.packByte(STATE).packLong(nonce).packLong(0).packBoolean(false));
                } else if (kind == PROMISE) {
                    assertEquals(paper.unpackLong(), 2, "slot");
                    assertEquals(paper.unpackLong(), 1000, "round");
                    promised.complete(null);
                }
            }
        } catch (IOException | AssertionError e) {
            // Nothing, if both were heard before the end.
            accepted.completeExceptionally(e);
            promised.completeExceptionally(e);
        }
    }

    private static int get(TestbedSettings settings, String attempt) throws IOException {
        return Talk.ask(settings.egress(0), "GET /a/x", headers(attempt), new byte[0])
                .status();
    }

    private static Map<String, String> headers(String attempt) {
        return Map.of("Host", "post.example", "Attempt-Id", attempt, "Deadline-Ms", "20000", "Api-Key", "key-1");
    }

    @Test
    public void thisSidecarServesBetweenAnOlderControlNodeAndAnOlderSidecar() throws Exception {
        TestbedSettings settings = new TestbedSettings(1);
        try (ServerSocket controlNodeServer = OlderPeer.listen(settings.talk(0));
                ServerSocket sidecarServer = OlderPeer.listen(settings.ingress(1));
                StandInApp endpoint = new StandInApp("i-0", "svc", settings.app(0), settings.beats(0))) {
            new Sidecar(
                            new NodeSettingsReader(new ObjectMapper()).parse(settings.sidecar(0, "svc")),
                            loop,
                            new ObjectMapper())
                    .start();
            OlderPeer controlNode = OlderPeer.accept(controlNodeServer, "127.0.0.1#0");
            configure(controlNode, settings);
            MeshRig.await(
                    "the sidecar is ready",
                    () -> Talk.ask(settings.readiness(0), "GET /whinlead/readiness", Map.of(), new byte[0])
                                    .status()
                            == 200);
            OlderPeer far = passesOn(settings, sidecarServer);
            runsOf(settings, endpoint);
            far.close();
            controlNode.close();
        }
    }

    private void configure(OlderPeer controlNode, TestbedSettings settings) throws Exception {
        assertEquals(controlNode.hear(OlderPeer.ASK).unpackLong(), -1);
        controlNode.say(OlderPeer.POST, p -> record(p, settings.ingress(1), "i-1"));
        controlNode.say(OlderPeer.NOTICE, p -> p.packLong(1));
        controlNode.hear(OlderPeer.FETCH);
        byte[] body = ConfigCodec.deflate(CONFIG.getBytes(StandardCharsets.UTF_8));
        controlNode.say(OlderPeer.NEWS, p -> {
            p.packLong(1).packLong(1).packBinaryHeader(body.length).writePayload(body);
            p.packInt(0).packInt(1).packString("127.0.0.1#0").packBoolean(true);
        });
        threads.execute(() -> {
            try {
                while (true) {
                    controlNode.hear();
                }
            } catch (IOException e) {
                // The test is over.
                return;
            }
        });
    }

    // Requests of clients here run beside the older sidecar; it is told nothing that it can't read.
    private OlderPeer passesOn(TestbedSettings settings, ServerSocket server) throws Exception {
        CompletableFuture<OlderPeer> accepted = CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return OlderPeer.accept(server, settings.ingress(1));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                },
                threads);
        OlderPeer far;
        try (Talk leaves = new Talk(settings.egress(0))) {
            leaves.say("GET /a/x HTTP/1.1", headers("leaves"), new byte[0]);
            far = accepted.get(WAIT_MS, TimeUnit.MILLISECONDS);
            request(far, "leaves");
        }
        CompletableFuture<Integer> status = CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return get(settings, "stays");
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                },
                threads);
        long stream = request(far, "stays");
        far.say(OlderPeer.DELIVERED, p -> {
            p.packLong(stream).packInt(200).packInt(4).packString("Attempt-Id").packString("stays");
            p.packString("Server-Seal").packString("i-1.1").packBinaryHeader(2).writePayload(new byte[2]);
            p.packDouble(0.5).packDouble(2);
        });
        assertEquals(status.get(WAIT_MS, TimeUnit.MILLISECONDS), Integer.valueOf(200));
        return far;
    }

    // The next request at the older sidecar; its number.
    private static long request(OlderPeer far, String attempt) throws IOException {
        MessageUnpacker request = far.hear(OlderPeer.REQUEST);
        long stream = request.unpackLong();
        assertEquals(request.unpackString(), "GET");
        assertEquals(request.unpackString(), "/a/x");
        assertTrue(String.join(" ", OlderPeer.strings(request)).contains(attempt), attempt);
        assertEquals(OlderPeer.bytes(request).length, 0);
        assertTrue(request.unpackInt() <= WAIT_MS, "time left");
        assertEquals(request.unpackString(), "svc");
        assertEquals(request.unpackString(), "i-1");
        request.unpackInt();
        return stream;
    }

    // An older sidecar's request runs at the endpoint here.
    private static void runsOf(TestbedSettings settings, StandInApp endpoint) throws Exception {
        MeshRig.await("the endpoint is known", () -> endpoint.beat("serving") == 200);
        try (OlderPeer caller = OlderPeer.dial(settings.ingress(0), settings.ingress(1), false)) {
            caller.say(OlderPeer.REQUEST, p -> {
                p.packLong(77).packString("GET").packString("/a/y").packInt(2).packString("Attempt-Id");
                p.packString("older").packBinaryHeader(0).packInt(WAIT_MS).packString("svc");
                p.packString("i-0").packInt(0);
            });
            MessageUnpacker answer = caller.hear(OlderPeer.DELIVERED);
            assertEquals(answer.unpackLong(), 77);
            assertEquals(answer.unpackInt(), 200);
            assertEquals(endpoint.runs("older"), 1);
        }
    }
}
