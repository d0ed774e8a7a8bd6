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
 * All kinds of requests are served alike, also those of routes that were added later and calls of endpoints, which
 * carry no API key. Requests pass through the real client side on simulated time.
 */
public class RequestFairnessTest {
    private static final int ADDED_ROUTES = 350;
    private static final int CALLS = 200;
    private static final double ANSWER_WITHIN_MS = 2000;
    private static final String API_KEY_HEADER = "Api-Key: key-1\r\n";

    /** A path to another sidecar whose endpoint responds at once. */
    private final class AnsweringPath extends ScriptedPath {

        private AnsweringPath(PeerPath.Listener listener) {
            super(listener);
        }

        @Override
        public void dial() {
            super.dial();
            calendar.schedule(1, () -> changeState(ReconnectingConnection.State.UP));
        }

        @Override
        public boolean send(PeerMessage message) {
            PeerMessage.ForwardRequest forwardRequest = (PeerMessage.ForwardRequest) message;
            sentRequests.add(forwardRequest);
            calendar.schedule(
                    1,
                    () -> listener.messageReceived(new PeerMessage.ForwardResponse(
                            forwardRequest.stream(), 200, List.of("Server-Seal", "s"), new byte[0], 0, 0)));
            return true;
        }
    }

    private Calendar calendar;
    private List<PeerMessage.ForwardRequest> sentRequests;
    private Map<String, MeshConfig.Route> routes;
    private double ratePerS;
    private RoutingTable routing;
    private ClientSide sidecar;

    @BeforeMethod
    public void start() {
        calendar = new Calendar();
        sentRequests = new ArrayList<>();
        RequestForwarder forwarder = new RequestForwarder(
                calendar,
                task -> calendar.schedule(0, task),
                "here",
                (forwardRequest, body, done) -> {},
                (node, pathListener) -> new AnsweringPath(pathListener),
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
        applyConfig(1);
        sidecar = new ClientSide(calendar, nodeSettings, forwarder, () -> routing, 1);
        List<EndpointRecord> records = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            records.add(new EndpointRecord("n" + i, 1, 1, "z", "i-" + i, "svc", EndpointRecord.Phase.SERVING, 10, 0));
        }
        sidecar.updateEndpoints("svc", records);
    }

    private static MeshConfig.Route route(String prefix, int rank, boolean open) {
        return new MeshConfig.Route("h", prefix, MeshConfig.IDEMPOTENT, 2.0, 0.5, rank, null, "svc", 2, open);
    }

    private void applyConfig(long slot) {
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
        double endMs = calendar.nowMs() + ANSWER_WITHIN_MS;
        ByteBuf answer = client.readOutbound();
        while (answer == null && calendar.nowMs() < endMs) {
            calendar.runUntil(calendar.nowMs() + 1);
            answer = client.readOutbound();
        }
        int status =
                Integer.parseInt(answer.toString(StandardCharsets.ISO_8859_1).split(" ")[1]);
        answer.release();
        client.close();
        return status;
    }

    @Test
    public void routesAddedLaterAreServedLikeTheFirst() {
        assertEquals(status("/first/", API_KEY_HEADER), 200);
        for (int i = 0; i < ADDED_ROUTES; i++) {
            routes.put("added-" + i, route("/added/" + i + "/", 1, true));
        }
        applyConfig(2);
        int served = 0;
        for (int i = 0; i < ADDED_ROUTES; i++) {
            served += status("/added/" + i + "/", "") == 200 ? 1 : 0;
        }
        assertEquals(served, ADDED_ROUTES, "added routes that were served");
        assertEquals(status("/first/", API_KEY_HEADER), 200);
        // The module distinguishes requests by class only, and these are of one class.
        assertEquals(
                sentRequests.stream()
                        .map(PeerMessage.ForwardRequest::rank)
                        .distinct()
                        .count(),
                1);
    }

    @Test
    public void callsWithoutApiKeyAreNotLimitedByTenantQuota() {
        ratePerS = 5;
        applyConfig(2);
        int limited = 0;
        for (int i = 0; i < CALLS; i++) {
            limited += status("/first/", API_KEY_HEADER) == 429 ? 1 : 0;
            assertEquals(status("/call/", ""), 200, "call " + i);
        }
        assertTrue(limited > 0, "the tenant exceeds its quota in this time");
        long calls =
                sentRequests.stream().filter(p -> p.uri().startsWith("/call/")).count();
        assertEquals(calls, CALLS);
        sentRequests.stream().filter(p -> p.uri().startsWith("/call/")).forEach(p -> {
            assertEquals(p.rank(), 0, "a call has its route's rank");
            assertTrue(!p.headers().contains(ForwardedHeaders.TENANT), "a call has no tenant");
        });
    }

    @Test
    public void lowerRanksDoNotTakeThePlacesOfTheHighestRank() {
        EndpointGate gate = new EndpointGate(1500);
        gate.departuresComplete();
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
