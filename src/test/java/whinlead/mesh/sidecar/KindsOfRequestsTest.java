package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.plan.Calendar;

/**
 * No kind of request fares worse than another for where it comes from: routes that were added later, and calls of
 * endpoints, which carry no key. Requests go through the real client side, by a driven clock.
 */
public class KindsOfRequestsTest {
    private static final int ADDED = 350;
    private static final int CALLS = 200;
    private static final double WITHIN_MS = 2000;
    private static final String KEY = "Api-Key: key-1\r\n";

    /** A way to another sidecar whose endpoint answers at once. */
    private final class Answering extends ScriptedPath {

        private Answering(PeerPath.Listener listener) {
            super(listener);
        }

        @Override
        public void dial() {
            super.dial();
            calendar.after(1, () -> to(ReconnectingConnection.State.UP));
        }

        @Override
        public boolean send(PeerMessage message) {
            PeerMessage.ForwardRequest forwardRequest = (PeerMessage.ForwardRequest) message;
            sent.add(forwardRequest);
            calendar.after(
                    1,
                    () -> listener.message(new PeerMessage.ForwardResponse(
                            forwardRequest.stream(), 200, List.of("Server-Seal", "s"), new byte[0], 0, 0)));
            return true;
        }
    }

    private Calendar calendar;
    private List<PeerMessage.ForwardRequest> sent;
    private Map<String, MeshConfig.Route> routes;
    private double ratePerS;
    private RoutingTable routing;
    private ClientSide sidecar;

    @BeforeMethod
    public void start() {
        calendar = new Calendar();
        sent = new ArrayList<>();
        RequestForwarder forwarder = new RequestForwarder(
                calendar,
                task -> calendar.after(0, task),
                "here",
                (forwardRequest, done) -> {},
                (node, ear) -> new Answering(ear),
                () -> {});
        NodeSettings nodeSettings = new NodeSettings(
                new NodeSettings.Self("here", "127.0.0.1", "z", false, null, null, null, null),
                new NodeSettings.Network(new NodeSettings.Bind(null, null, null, null), List.of(1, 1), List.of()),
                new NodeSettings.Substrate(1),
                new NodeSettings.Clauses(new NodeSettings.Bounds(2.5, 6, 3, 2.5, 0.2, 10, 60, 5, 0.1, 20)));
        routes = new LinkedHashMap<>();
        ratePerS = 0;
        routes.put("first", route("/first/", 1, false));
        routes.put("call", route("/call/", 0, true));
        inForce(1);
        sidecar = new ClientSide(calendar, nodeSettings, forwarder, () -> routing, 1);
        List<EndpointRecord> records = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            records.add(new EndpointRecord("n" + i, 1, 1, "z", "i-" + i, "svc", EndpointRecord.Phase.SERVING, 10, 0));
        }
        sidecar.endpoints("svc", records);
    }

    private static MeshConfig.Route route(String prefix, int rank, boolean open) {
        return new MeshConfig.Route("h", prefix, MeshConfig.IDEMPOTENT, 2.0, 0.5, rank, null, "svc", 2, open);
    }

    private void inForce(long slot) {
        routing = new RoutingTable(
                slot,
                new MeshConfig(
                        "%08x".formatted(slot),
                        new LinkedHashMap<>(routes),
                        Map.of("svc", new MeshConfig.Service("/health", 100)),
                        new MeshConfig.Limits(16384, 1000, 3, 15),
                        Map.of("t-1", new MeshConfig.Tenant(List.of("key-1"), 1, ratePerS, ratePerS))));
    }

    private int status(String path, String headers) {
        EmbeddedChannel client = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel connection) {
                sidecar.accept(connection);
            }
        });
        String request = "GET " + path + "x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n" + headers + "\r\n";
        client.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.ISO_8859_1));
        double until = calendar.now() + WITHIN_MS;
        ByteBuf answer = client.readOutbound();
        while (answer == null && calendar.now() < until) {
            calendar.runTo(calendar.now() + 1);
            answer = client.readOutbound();
        }
        int status =
                Integer.parseInt(answer.toString(StandardCharsets.ISO_8859_1).split(" ")[1]);
        answer.release();
        client.close();
        return status;
    }

    @Test
    public void routesThatWereAddedLaterAreServedLikeTheFirst() {
        assertEquals(status("/first/", KEY), 200);
        for (int i = 0; i < ADDED; i++) {
            routes.put("added-" + i, route("/added/" + i + "/", 1, true));
        }
        inForce(2);
        int served = 0;
        for (int i = 0; i < ADDED; i++) {
            served += status("/added/" + i + "/", "") == 200 ? 1 : 0;
        }
        assertEquals(served, ADDED, "served as the first one");
        assertEquals(status("/first/", KEY), 200);
        // The module tells requests apart by class alone, and these are of one class.
        assertEquals(
                sent.stream().map(PeerMessage.ForwardRequest::rank).distinct().count(), 1);
    }

    @Test
    public void callsOfEndpointsCarryNoKeyAndAreHeldUpByNoTenantsLimit() {
        ratePerS = 5;
        inForce(2);
        int limited = 0;
        for (int i = 0; i < CALLS; i++) {
            limited += status("/first/", KEY) == 429 ? 1 : 0;
            assertEquals(status("/call/", ""), 200, "call " + i);
        }
        assertTrue(limited > 0, "the tenant is over its limit meanwhile");
        long calls = sent.stream().filter(p -> p.uri().startsWith("/call/")).count();
        assertEquals(calls, CALLS);
        sent.stream().filter(p -> p.uri().startsWith("/call/")).forEach(p -> {
            assertEquals(p.rank(), 0, "a call has its route's rank");
            assertTrue(!p.headers().contains(ForwardedHeaders.TENANT), "and no tenant");
        });
    }

    @Test
    public void nobodyTakesThePlacesOfTheHighestRankAtAnEndpoint() {
        EndpointGate gate = new EndpointGate(1500);
        gate.heartbeat(0, "i-1", new RpcCall.EndpointStatus("svc", "z", 4, "serving", 0, 1));
        for (int ms = 0; ms < 3000; ms += 50) {
            gate.admit(ms, "svc", 0);
        }
        for (int rank = 3; rank > 0; rank--) {
            while (gate.admit(3000, "svc", rank) == EndpointGate.Admission.OPEN) {
                gate.requestStarted(3000);
            }
        }
        assertEquals(gate.admit(3000, "svc", 0), EndpointGate.Admission.OPEN);
        assertNotEquals(gate.admit(3000, "svc", 1), EndpointGate.Admission.OPEN);
    }
}
