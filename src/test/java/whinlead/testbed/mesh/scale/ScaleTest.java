package whinlead.testbed.mesh.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import picocli.CommandLine;
import whinlead.mesh.config.ConfigReader;
import whinlead.mesh.config.ConfigValidator;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;

/** A scale run's figures are those of what it ran, and its fits those of its figures. */
public class ScaleTest {
    private static final double EXACT = 1e-9;

    @Test
    public void aFitFindsTheLineAndTheParabolaThatFiguresLieOn() {
        double[] sizes = {25, 50, 100, 200};
        Fit line = Fit.of(sizes, new double[] {77, 152, 302, 602}, 1);
        assertEquals(line.coefficients(), new double[] {2, 3}, EXACT);
        assertEquals(line.errors(), new double[] {0, 0}, EXACT);
        assertEquals(line.residual(), 0, EXACT);
        assertEquals(line.at(29_000), 87_002, 1e-6);
        Fit parabola = Fit.of(sizes, new double[] {626, 2501, 10_001, 40_001}, 2);
        assertEquals(parabola.coefficients(), new double[] {1, 0, 1}, 1e-6);
    }

    @Test
    public void aFitTellsItsErrors() {
        // Squares left 2.4 over 3 to spare; spread of the sizes 10, their mean 3.
        Fit fit = Fit.of(new double[] {1, 2, 3, 4, 5}, new double[] {2, 4, 5, 4, 5}, 1);
        assertEquals(fit.coefficients(), new double[] {2.2, 0.6}, EXACT);
        assertEquals(fit.residual(), Math.sqrt(0.8), EXACT);
        assertEquals(fit.errors(), new double[] {Math.sqrt(0.8 * 1.1), Math.sqrt(0.08)}, EXACT);
        assertEquals(fit.formula("N"), "2.200 (0.94) + 0.6000 (0.28) N, residual 0.89");
    }

    @Test
    public void sizesThatTellNothingAreRefused() {
        expectThrows(IllegalArgumentException.class, () -> Fit.of(new double[] {5, 5, 5}, new double[] {1, 2, 3}, 1));
        expectThrows(IllegalArgumentException.class, () -> Fit.of(new double[] {5}, new double[] {1}, 1));
    }

    @Test
    public void theConfigurationIsValidAndOfItsSizeAndChangesWithItsVersion() throws Exception {
        Sizes sizes = new Sizes(4, 3, 10, 5, 0, 0, 60, 60);
        byte[] first = sizes.config(7).getBytes(StandardCharsets.UTF_8);
        MeshConfig meshConfig = new ConfigReader().read(first);
        new ConfigValidator().check(meshConfig);
        assertEquals(meshConfig.version(), 7);
        assertEquals(
                List.of(
                        meshConfig.routes().size(),
                        meshConfig.services().size(),
                        meshConfig.tenants().size()),
                List.of(10, 3, 5));
        RoutingTable routing = new RoutingTable(1, meshConfig);
        assertEquals(
                routing.route(Sizes.service(0) + ".mesh.example", sizes.path()).name(), "route-00000");
        assertEquals(routing.tenantOf(Sizes.key(4)).name(), "tenant-00004");
        MeshConfig next = new ConfigReader().read(sizes.config(8).getBytes(StandardCharsets.UTF_8));
        long changed = meshConfig.routes().entrySet().stream()
                .filter(e -> !e.getValue().equals(next.routes().get(e.getKey())))
                .count();
        assertEquals(changed, 2, "the route of either version");
    }

    @Test
    public void messagesWeighWhatIsSent() {
        Map<String, Double> small = Weights.of(new Sizes(2, 2, 8, 20, 0, 0, 0, 0));
        Map<String, Double> large = Weights.of(new Sizes(2, 2, 1008, 20, 0, 0, 0, 0));
        assertEquals(small.get("ping, bytes"), 4.0 + PeerMessageCodec.write(new PeerMessage.Ping(100_000)).length);
        double more = large.get("configuration deflated, bytes") - small.get("configuration deflated, bytes");
        assertTrue(more > 5_000 && more < 100_000, "a thousand routes more: " + more);
        assertEquals(
                large.get("news of it to a sidecar, bytes") - small.get("news of it to a sidecar, bytes"),
                more,
                4,
                "but for longer lengths");
        // A version and its digest of 22 characters each, between control nodes only.
        double remembered = small.get("decision between control nodes, bytes, all that is remembered")
                - small.get("decision between control nodes, bytes, nothing remembered");
        assertTrue(remembered > 256 * 25 && remembered < 256 * 30, "remembered " + remembered);
        assertTrue(
                Math.abs(small.get("news of it to a sidecar, bytes")
                                - small.get("decision between control nodes, bytes, nothing remembered"))
                        < 4,
                small.toString());
        assertTrue(small.get("one endpoint record more, bytes") > 50, small.toString());
    }

    @Test
    public void whatWasHeardIsReportedWhole() {
        Heard heard = new Heard();
        heard.line("301 control node in reach: 127.0.0.1", 1);
        heard.line("401 configuration in force: version 0000001f slot 3", 20);
        heard.line("401 configuration in force: version 0000001f slot 3", 30);
        heard.line("304 endpoint: endpoint-3-0 is silent", 35);
        heard.line("heap 12345", 40);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        heard.report(new PrintStream(out, true, StandardCharsets.UTF_8));
        Heard read = new Heard();
        out.toString(StandardCharsets.UTF_8).lines().forEach(read::parse);
        assertEquals(read.inForce(31), List.of(20L, 30L));
        assertEquals(read.count(whinlead.mesh.log.Event.CONTROL_NODE_UP), 1);
        assertEquals(read.silent(), 1);
        assertEquals(heard.heap(), 12345.0);
    }

    @Test
    public void theRelayPassesMessagesOnAndCountsThem() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (ServerSocket controlNode = new ServerSocket(0, 4, InetAddress.getByName("127.0.0.1"))) {
            Relay relay = new Relay(loop);
            InetSocketAddress here = (InetSocketAddress)
                    relay.listen(new InetSocketAddress("127.0.0.1", 0), controlNode.getLocalSocketAddress())
                            .localAddress();
            byte[] ping = PeerMessageCodec.write(new PeerMessage.Ping(5));
            byte[] pong = PeerMessageCodec.write(new PeerMessage.Pong(5, "10.0.0.1#0", 5));
            try (Socket near = new Socket(here.getAddress(), here.getPort());
                    Socket far = controlNode.accept()) {
                say(near, ping);
                say(near, ping);
                assertEquals(hear(far), ping);
                assertEquals(hear(far), ping);
                say(far, pong);
                assertEquals(hear(near), pong);
            }
            Relay.Counts counts = relay.counts();
            assertEquals(counts.toControlNodes(), Map.of("Ping", new Relay.Count(2, 2L * (4 + ping.length))));
            assertEquals(counts.fromControlNodes(), Map.of("Pong", new Relay.Count(1, 4 + pong.length)));
        } finally {
            loop.parent().shutdownGracefully();
        }
    }

    @Test
    public void thoseWhoAreNotThereAreListed() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Places places = new Places(1);
        InetAddress here = InetAddress.getByName(places.controlNodeIp(0));
        try (ServerSocket controlNode = new ServerSocket(places.talk(), 4, here)) {
            new Ghosts(loop, new Sizes(2, 3, 3, 0, 0, 700, 0, 0)).say(places, 0);
            try (Socket socket = controlNode.accept()) {
                assertEquals(PeerMessageCodec.read(hear(socket)), new PeerMessage.Hello("ghosts", false));
                PeerMessage.EndpointUpdate post = (PeerMessage.EndpointUpdate) PeerMessageCodec.read(hear(socket));
                assertEquals(
                        post.records().stream()
                                .map(EndpointRecord::node)
                                .distinct()
                                .count(),
                        700);
                assertEquals(
                        post.records().stream()
                                .map(EndpointRecord::target)
                                .distinct()
                                .count(),
                        3);
                assertTrue(post.records().stream().allMatch(EndpointRecord::acceptsRequests));
            }
        } finally {
            loop.parent().shutdownGracefully();
        }
    }

    private static void say(Socket socket, byte[] message) throws Exception {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(message.length);
        out.write(message);
    }

    private static byte[] hear(Socket socket) throws Exception {
        socket.setSoTimeout(10_000);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        return in.readNBytes(in.readInt());
    }

    @Test
    public void aSmallMeshIsMeasured() throws Exception {
        Map<String, Double> figures = new Point(new Sizes(4, 1, 4, 2, 1, 50, 120, 300), 1, 4, 1).measure();
        assertEquals(figures.get("changes, not taken"), 0.0, figures.toString());
        assertTrue(figures.get("changes, taken") >= 1, figures.toString());
        // One notice from the one control node and the configuration once: neither less nor, but for one asked for
        // again beside other work, more.
        for (String kind : List.of("ConfigAvailable", "ConfigUpdate")) {
            double each = figures.get("changes, each, messages in, " + kind);
            assertTrue(each > 0.5 && each < 2.5, kind + " " + each);
        }
        assertTrue(
                figures.get("changes, in force at all sidecars, worst ms")
                        >= figures.get("changes, in force at half of the sidecars, median ms"),
                figures.toString());
        assertTrue(figures.get("endpoint records, changed") >= 1, figures.toString());
        assertTrue(figures.get("endpoint records, each, sidecar, bytes in") > 20, figures.toString());
        // An endpoint record each three seconds and what is asked for three times a second, to one control node; pings
        // when idle.
        assertTrue(figures.get("calm, messages/s out, EndpointUpdate") > 0.2, figures.toString());
        assertTrue(figures.get("calm, messages/s out, QuotaLeaseReport") > 0.5, figures.toString());
        assertTrue(
                figures.containsKey("connections lost by all sidecars")
                        && figures.containsKey("endpoints whose beats stayed away"),
                figures.toString());
        assertTrue(figures.get("sidecar, heap in use, MB") > 1, figures.toString());
        assertTrue(figures.get("control node, heap in use, MB") > 1, figures.toString());
        assertTrue(figures.get("calm, sidecar, MB") > figures.get("sidecar, heap in use, MB"), figures.toString());
    }

    @Test
    public void aPointThatTheMachineDisturbedIsNoCost() {
        String lost = "connections lost by all sidecars";
        String away = "endpoints whose beats stayed away";
        assertTrue(Point.disturbed(Map.of(lost, 1.0, away, 0.0)));
        assertTrue(Point.disturbed(Map.of(lost, 0.0, away, 2.0)));
        assertFalse(Point.disturbed(Map.of(lost, 0.0, away, 0.0)));
    }

    @Test
    public void sizesThatCannotBeRunAreBadUsage() {
        CommandLine line = new CommandLine(new ScaleRehearsal());
        line.setErr(new java.io.PrintWriter(new java.io.StringWriter()));
        assertEquals(line.execute("--sidecars", "25,50", "--services", "2,4"), 2);
        assertEquals(line.execute("--sidecars", "100000"), 2);
        assertEquals(line.execute("--services", "9", "--routes", "8"), 2);
    }
}
