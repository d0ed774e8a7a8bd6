package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.quota.QuotaRules;
import whinlead.mesh.quota.TenantQuota;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.plan.Calendar;

/**
 * Requests from a client's connection through the real egress listener, engine, module and forwarder, on simulated
 * time: to how many endpoints they are sent, with which remaining time, when they are answered, and what happens when
 * the client disconnects.
 */
public class EgressListenerTest {
    private static final int NODE_COUNT = 5;
    private static final double DEADLINE_MS = 2000;
    private static final double SECOND_MS = 1000;
    private static final double CONNECT_MS = 2;
    private static final String END_OF_HEADERS = "\r\n\r\n";

    /** A request that was written to another sidecar, and when. */
    private record Written(Path path, double atMs, PeerMessage.ForwardRequest request) {}

    /** A path to another sidecar that connects after a delay and reacts to requests as the test defines. */
    private final class Path extends ScriptedPath {

        private Path(PeerPath.Listener listener) {
            super(listener);
        }

        @Override
        public void dial() {
            super.dial();
            calendar.schedule(connectMs, () -> changeState(ReconnectingConnection.State.UP));
        }

        @Override
        public boolean send(PeerMessage message) {
            if (message instanceof PeerMessage.ForwardRequest forwardRequest) {
                written.add(new Written(this, calendar.nowMs(), forwardRequest));
                reaction.accept(this, forwardRequest);
            } else if (message instanceof PeerMessage.Cancel cancel) {
                cancels.add(cancel);
            }
            return true;
        }
    }

    private Calendar calendar;
    private RoutingTable routing;
    private double connectMs;
    private BiConsumer<Path, PeerMessage.ForwardRequest> reaction;
    private List<Written> written;
    private List<PeerMessage.Cancel> cancels;
    private EmbeddedChannel channel;
    private StringBuilder sentText;

    private static RoutingTable routingTable() {
        return new RoutingTable(
                1,
                new MeshConfig(
                        "00000001",
                        Map.of(
                                "once", route("/once/", MeshConfig.IDEMPOTENT, 1),
                                "twice", route("/twice/", MeshConfig.IDEMPOTENT, 2),
                                "thrice", route("/thrice/", MeshConfig.IDEMPOTENT, 3),
                                "sign", route("/sign/", MeshConfig.MUTATING, 2)),
                        Map.of("svc", new MeshConfig.Service("/health", 100)),
                        new MeshConfig.Limits(16384, 1000, 3, 15),
                        null));
    }

    @BeforeMethod
    public void start() {
        calendar = new Calendar();
        connectMs = CONNECT_MS;
        reaction = (path, forwardRequest) -> {};
        written = new ArrayList<>();
        cancels = new ArrayList<>();
        sentText = new StringBuilder();
        RequestClasses classes = new RequestClasses();
        RequestForwarder forwarder = new RequestForwarder(
                calendar,
                task -> calendar.schedule(0, task),
                "here",
                (forwardRequest, body, done) -> {},
                (node, pathListener) -> new Path(pathListener),
                () -> {});
        ServiceBalancer balancer = new ServiceBalancer(
                calendar, classes, settings(), NODE_COUNT, 1, forwarder, null, new RetryBudget(10, 1000));
        List<EndpointRecord> records = new ArrayList<>();
        for (int i = 0; i < NODE_COUNT; i++) {
            records.add(new EndpointRecord("n" + i, 1, 1, "z", "i-" + i, "svc", EndpointRecord.Phase.SERVING, 4, 0));
        }
        balancer.update(records);
        routing = routingTable();
        EgressListener egress = new EgressListener(
                null,
                calendar,
                () -> routing,
                (target, large) -> balancer,
                () -> "own",
                () -> NODE_COUNT,
                new QuotaClient(calendar, new TenantQuota(new QuotaRules(5, 0.1, 20), 1), () -> NODE_COUNT),
                classes,
                new BodyBudget());
        channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                new ClientConnection(egress).addTo(ch);
            }
        });
    }

    private static MeshConfig.Route route(String prefix, String kind, int tries) {
        return new MeshConfig.Route("h", prefix, kind, DEADLINE_MS / 1000, 0.5, 1, null, "svc", tries, true);
    }

    private static NodeSettings settings() {
        return new NodeSettings(
                new NodeSettings.Self("here", "127.0.0.1", "z", false, null, null, null, null),
                new NodeSettings.Network(new NodeSettings.Bind(null, null, null, null), List.of(7000, 7001), List.of()),
                new NodeSettings.Substrate(1),
                new NodeSettings.Clauses(new NodeSettings.Bounds(2.5, 6, 3, 2.5, 0.2, 10, 60, 5, 0.1, 20)));
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private static String request(String path, String headers) {
        return "POST " + path + "x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n" + headers;
    }

    private static String requestWithoutBody(String path, String headers) {
        return request(path, headers) + "Content-Length: 0" + END_OF_HEADERS;
    }

    private void runTo(double endMs) {
        while (calendar.nowMs() < endMs) {
            calendar.runUntil(Math.min(endMs, calendar.nowMs() + 1));
            collectOutput();
        }
    }

    private void collectOutput() {
        for (ByteBuf buffer = channel.readOutbound(); buffer != null; buffer = channel.readOutbound()) {
            sentText.append(buffer.toString(StandardCharsets.ISO_8859_1));
            buffer.release();
        }
    }

    /** The time of the response; fails if there is none by {@code endMs}. */
    private double awaitAnswer(double endMs) {
        while (sentText.isEmpty() && calendar.nowMs() < endMs) {
            runTo(calendar.nowMs() + 1);
        }
        assertTrue(!sentText.isEmpty(), "no response until " + endMs);
        return calendar.nowMs();
    }

    private void resetAfter(double delayMs) {
        reaction = (path, forwardRequest) ->
                calendar.schedule(delayMs, () -> path.changeState(ReconnectingConnection.State.DOWN));
    }

    @DataProvider
    public Object[][] losses() {
        return new Object[][] {
            {ReconnectingConnection.State.DOWN, 5.0},
            {ReconnectingConnection.State.SUSPECT, 300.0},
            {ReconnectingConnection.State.DOWN, 300.0}
        };
    }

    @Test(dataProvider = "losses")
    public void requestIsSentToAtMostItsRoutesTries(ReconnectingConnection.State nextState, double delayMs) {
        List<String> paths = List.of("/once/", "/twice/", "/thrice/");
        for (int tries = 1; tries <= paths.size(); tries++) {
            start();
            reaction = (path, forwardRequest) -> calendar.schedule(delayMs, () -> path.changeState(nextState));
            receive(requestWithoutBody(paths.get(tries - 1), ""));
            awaitAnswer(DEADLINE_MS);
            runTo(2 * DEADLINE_MS);
            assertEquals(written.size(), tries);
            assertEquals(written.stream().map(Written::path).distinct().count(), tries);
            // Silence does not end a request that may go to no other endpoint; its endpoint has until the deadline.
            assertTrue(
                    sentText.toString()
                            .startsWith(
                                    nextState == ReconnectingConnection.State.SUSPECT
                                            ? "HTTP/1.1 504"
                                            : "HTTP/1.1 502"),
                    sentText.toString());
        }
    }

    @Test
    public void answerAfterSilenceIsAcceptedWhenNoOtherEndpointIsAllowed() {
        reaction = (path, forwardRequest) -> {
            calendar.schedule(300, () -> path.changeState(ReconnectingConnection.State.SUSPECT));
            calendar.schedule(900, () -> path.changeState(ReconnectingConnection.State.UP));
            calendar.schedule(
                    1800,
                    () -> path.listener.messageReceived(new PeerMessage.ForwardResponse(
                            forwardRequest.stream(), 200, List.of("Attempt-Id", "a"), new byte[0], 0, 0)));
        };
        receive(requestWithoutBody("/once/", ""));
        assertEquals(Math.floor(awaitAnswer(DEADLINE_MS) / 100), 18.0);
        assertTrue(sentText.toString().startsWith("HTTP/1.1 200"), sentText.toString());
        assertEquals(written.size(), 1);
    }

    @Test
    public void rejectionBySidecarDoesNotCountAsATry() {
        reaction = (path, forwardRequest) -> calendar.schedule(1, () -> {
            if (written.size() == 1) {
                path.listener.messageReceived(
                        new PeerMessage.ForwardFailure(forwardRequest.stream(), PeerMessage.FailureReason.FULL, 0, 0));
            } else {
                path.changeState(ReconnectingConnection.State.DOWN);
            }
        });
        receive(requestWithoutBody("/twice/", ""));
        runTo(DEADLINE_MS);
        assertEquals(written.size(), 3);
    }

    @Test
    public void nonIdempotentRequestIsNotRetriedAfterAReset() {
        resetAfter(5);
        receive(requestWithoutBody("/sign/", ""));
        runTo(2 * DEADLINE_MS);
        assertEquals(written.size(), 1);
        assertTrue(sentText.toString().startsWith("HTTP/1.1 502"), sentText.toString());
    }

    @DataProvider
    public Object[][] deadlines() {
        return new Object[][] {
            {"", DEADLINE_MS}, {"Deadline-Ms: 9000\r\n", DEADLINE_MS}, {"Deadline-Ms: 1500\r\n", 1500.0}
        };
    }

    @Test(dataProvider = "deadlines")
    public void attemptsGetTheRemainingTime(String header, double timeMs) {
        resetAfter(400);
        receive(requestWithoutBody("/thrice/", header));
        runTo(DEADLINE_MS);
        assertEquals(written.size(), 3);
        for (Written write : written) {
            assertTrue(write.request.leftMs() <= timeMs - write.atMs, write.request.leftMs() + " ms at " + write.atMs);
            assertTrue(
                    write.request.leftMs() > timeMs - write.atMs - 50, write.request.leftMs() + " ms at " + write.atMs);
        }
    }

    @Test(dataProvider = "deadlines")
    public void unansweredRequestGets504JustBeforeItsDeadline(String header, double timeMs) {
        for (String path : List.of("/once/", "/thrice/", "/sign/")) {
            start();
            receive(requestWithoutBody(path, header));
            double answeredMs = awaitAnswer(timeMs);
            assertTrue(answeredMs > timeMs - 50, "answered too early, at " + answeredMs);
            assertTrue(sentText.toString().startsWith("HTTP/1.1 504"), sentText.toString());
        }
    }

    @Test(dataProvider = "deadlines")
    public void requestWithoutConnectionGets503BeforeItsDeadline(String header, double timeMs) {
        for (String path : List.of("/once/", "/sign/")) {
            start();
            connectMs = 10 * DEADLINE_MS;
            receive(requestWithoutBody(path, header));
            awaitAnswer(timeMs);
            assertTrue(sentText.toString().startsWith("HTTP/1.1 503"), sentText.toString());
            runTo(11 * DEADLINE_MS);
            assertEquals(written, List.of(), "it was answered as not run");
        }
    }

    @Test(dataProvider = "deadlines")
    public void timeToReadTheBodyCountsAgainstTheDeadline(String header, double timeMs) {
        receive(request("/sign/", header) + "Content-Length: 2" + END_OF_HEADERS + "x");
        runTo(SECOND_MS);
        receive("x");
        awaitAnswer(timeMs);
        assertTrue(written.get(0).request.leftMs() <= timeMs - SECOND_MS, written.toString());
        assertTrue(sentText.toString().startsWith("HTTP/1.1 504"), sentText.toString());
    }

    @Test(dataProvider = "deadlines")
    public void unfinishedBodyGets408BeforeTheDeadline(String header, double timeMs) {
        receive(request("/sign/", header) + "Content-Length: 2" + END_OF_HEADERS);
        assertTrue(awaitAnswer(timeMs) > timeMs - 50);
        assertTrue(sentText.toString().startsWith("HTTP/1.1 408"), sentText.toString());
        assertEquals(written, List.of());
    }

    @Test
    public void missingConfigurationGets503WithRetryAfter() {
        routing = null;
        receive(requestWithoutBody("/sign/", ""));
        awaitAnswer(1);
        String answer = sentText.toString();
        assertTrue(answer.matches("(?s)HTTP/1.1 503.*Retry-After: 0\\.\\d+\r\n.*"), answer);
    }

    @Test
    public void requestWhoseBodyUsedItsTimeIsNotSent() {
        receive(request("/sign/", "Deadline-Ms: 500\r\n") + "Content-Length: 2" + END_OF_HEADERS + "x");
        calendar.runUntil(499.5);
        receive("x");
        awaitAnswer(500);
        assertTrue(sentText.toString().startsWith("HTTP/1.1 503"), sentText.toString());
        runTo(DEADLINE_MS);
        assertEquals(written, List.of());
    }

    @Test
    public void nothingIsWrittenAfterTheClientDisconnects() {
        for (String path : List.of("/thrice/", "/sign/")) {
            start();
            connectMs = 300;
            receive(requestWithoutBody(path, ""));
            runTo(100);
            channel.close();
            runTo(2 * DEADLINE_MS);
            assertEquals(written, List.of());
        }
    }

    @Test
    public void nothingIsRetriedAfterTheClientDisconnects() {
        resetAfter(300);
        receive(requestWithoutBody("/thrice/", ""));
        runTo(100);
        channel.close();
        runTo(2 * DEADLINE_MS);
        assertEquals(written.size(), 1);
    }

    @Test
    public void disconnectCancelsTheRunningAttempt() {
        for (String path : List.of("/thrice/", "/sign/")) {
            start();
            receive(requestWithoutBody(path, ""));
            runTo(100);
            assertEquals(cancels, List.of());
            channel.close();
            assertEquals(
                    cancels, List.of(new PeerMessage.Cancel(written.get(0).request.stream(), !path.equals("/sign/"))));
            runTo(2 * DEADLINE_MS);
            assertEquals(cancels.size(), 1);
        }
    }

    @Test
    public void answeredRequestIsNotCancelled() {
        reaction = (path, forwardRequest) -> calendar.schedule(
                5,
                () -> path.listener.messageReceived(new PeerMessage.ForwardResponse(
                        forwardRequest.stream(), 200, List.of("Attempt-Id", "a"), new byte[0], 0, 0)));
        receive(requestWithoutBody("/thrice/", ""));
        awaitAnswer(100);
        channel.close();
        runTo(2 * DEADLINE_MS);
        assertEquals(cancels, List.of());
    }
}
