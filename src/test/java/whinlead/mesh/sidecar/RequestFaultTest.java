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
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.quota.QuotaRules;
import whinlead.mesh.quota.TenantQuota;
import whinlead.mesh.quota.TokenResponse;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.plan.Calendar;

/** An exception planted in the handling of a request: the request is answered, whatever it was handled by. */
public class RequestFaultTest {
    private static final double RATE_PER_S = 10;
    private static final double BURST = 10;

    /** A connection to a control node that records the token requests. */
    private final class RecordingConnection implements QuotaClient.Connection {
        @Override
        public boolean isUp() {
            return true;
        }

        @Override
        public int version() {
            return ProtocolVersion.SUPPORTED.newest();
        }

        @Override
        public void send(PeerMessage message) {
            if (message instanceof PeerMessage.QuotaTokenRequest request) {
                tokenRequests.add(request.request().number());
            }
        }
    }

    private Calendar calendar;
    private QuotaClient quota;
    private List<Long> tokenRequests;
    private EgressListener egress;
    private EmbeddedChannel channel;

    @BeforeMethod
    public void start() {
        calendar = new Calendar();
        tokenRequests = new ArrayList<>();
        quota = new QuotaClient(calendar, new TenantQuota(new QuotaRules(5, 0.1, 20), 1), () -> 1);
        quota.connected("control", new RecordingConnection());
        RoutingTable routing = new RoutingTable(
                1,
                new MeshConfig(
                        "00000001",
                        Map.of(
                                "r",
                                new MeshConfig.Route("h", "/", MeshConfig.MUTATING, 2.0, 0.5, 1, null, "svc", 2, true)),
                        Map.of("svc", new MeshConfig.Service("/health", 100)),
                        new MeshConfig.Limits(16384, 1000, 3, 15),
                        Map.of("t", new MeshConfig.Tenant(List.of("key-1"), 1, RATE_PER_S, BURST))));
        egress = new EgressListener(
                null,
                calendar,
                () -> routing,
                (target, large) -> {
                    throw new IllegalStateException("planted");
                },
                () -> "own",
                () -> 1,
                quota,
                new RequestClasses(),
                new BodyBudget());
        channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                egress.accept(ch);
            }
        });
    }

    private void send(String headers) {
        channel.writeInbound(Unpooled.copiedBuffer(
                "GET /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n" + headers + "\r\n", StandardCharsets.US_ASCII));
    }

    private String sentText() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf buffer = channel.readOutbound(); buffer != null; buffer = channel.readOutbound()) {
            text.append(buffer.toString(StandardCharsets.ISO_8859_1));
            buffer.release();
        }
        return text.toString();
    }

    private void assertAnswered() {
        assertTrue(sentText().startsWith("HTTP/1.1 500"));
        assertEquals(egress.pendingCount(), 0);
        assertTrue(channel.isActive());
    }

    @Test
    public void requestWithoutATenantIsAnswered() {
        send("");
        assertAnswered();
    }

    // Regression: the exception passed through the message of the control node, whose connection was closed, and the
    // request was never answered.
    @Test
    public void requestWhoseTokenComesFromAControlNodeIsAnswered() {
        send("Api-Key: key-1\r\n");
        assertEquals(sentText(), "");
        assertEquals(egress.pendingCount(), 1);
        quota.tokenAnswered(new TokenResponse(tokenRequests.get(0), true, 0));
        assertAnswered();
    }
}
