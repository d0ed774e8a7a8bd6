package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import whinlead.engine.Clock;
import whinlead.http.SampleResponses;
import whinlead.loop.LoopTimers;
import whinlead.mesh.keys.GrantCall;
import whinlead.mesh.keys.KeyRange;
import whinlead.mesh.keys.ReleaseCall;
import whinlead.testbed.mesh.Talk;

/**
 * Calls about keys to an endpoint whose responses are malformed, or odd but valid. A malformed one neither grants nor
 * releases keys.
 */
public class EndpointGrantsTest {
    private static final int WAIT_MS = 10_000;
    private static final double HOLD_MS = 1000;
    private static final SampleResponses RESPONSES = new SampleResponses("Handoff: h\r\n", "hello");

    private EventLoopGroup loops;
    private ServerSocket server;
    private EndpointGrants grants;

    @BeforeMethod
    public void start() throws IOException {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = loops.next();
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        server.setSoTimeout(WAIT_MS);
        grants = new EndpointGrants(loop, new LoopTimers(loop, new Clock()), server.getLocalSocketAddress());
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        loops.shutdownGracefully(0, WAIT_MS, TimeUnit.MILLISECONDS).sync();
        server.close();
    }

    private CompletableFuture<String> grant() {
        CompletableFuture<String> result = new CompletableFuture<>();
        EndpointKeys.GrantListener listener = new EndpointKeys.GrantListener() {
            @Override
            public void granted(double writtenAtMs, double holdMs) {
                result.complete("granted");
            }

            @Override
            public void refused() {
                result.complete("refused");
            }

            @Override
            public void failed() {
                result.complete("failed");
            }
        };
        loops.next()
                .execute(() ->
                        grants.grant(new GrantCall(KeyRange.ALL, 1, HOLD_MS, ""), writtenAtMs -> HOLD_MS, listener));
        return result;
    }

    private CompletableFuture<String> release() {
        CompletableFuture<String> result = new CompletableFuture<>();
        EndpointKeys.ReleaseListener listener = new EndpointKeys.ReleaseListener() {
            @Override
            public void released(String handoff) {
                result.complete("released " + handoff);
            }

            @Override
            public void failed() {
                result.complete("failed");
            }
        };
        loops.next().execute(() -> grants.release(new ReleaseCall(KeyRange.ALL, 1), listener));
        return result;
    }

    // Answers one call, which uses a connection of its own, and keeps that open until its result is known.
    private String resultOf(CompletableFuture<String> call, String name, String response) throws Exception {
        try (Talk talk = new Talk(server.accept())) {
            talk.hear();
            talk.raw(SampleResponses.bytes(response));
            if (name.endsWith(SampleResponses.CLOSE)) {
                talk.close();
            }
            return call.get(WAIT_MS, TimeUnit.MILLISECONDS);
        }
    }

    @DataProvider
    public Object[] malformed() {
        return RESPONSES.malformed().keySet().toArray();
    }

    @Test(dataProvider = "malformed")
    public void malformedResponseGrantsNoKeys(String name) throws Exception {
        assertEquals(resultOf(grant(), name, RESPONSES.malformed().get(name)), "failed", name);
    }

    @Test(dataProvider = "malformed")
    public void malformedResponseReleasesNoKeys(String name) throws Exception {
        assertEquals(resultOf(release(), name, RESPONSES.malformed().get(name)), "failed", name);
    }

    @DataProvider
    public Object[] valid() {
        return RESPONSES.valid().keySet().toArray();
    }

    @Test(dataProvider = "valid")
    public void validResponseCountsByItsStatus(String name) throws Exception {
        boolean ok = name.startsWith("200");
        assertEquals(resultOf(grant(), name, RESPONSES.valid().get(name)), ok ? "granted" : "failed", name);
    }

    @Test(dataProvider = "valid")
    public void validResponseReleasesKeysWithTheirHandOver(String name) throws Exception {
        boolean ok = name.startsWith("200");
        assertEquals(resultOf(release(), name, RESPONSES.valid().get(name)), ok ? "released h" : "failed", name);
    }
}
