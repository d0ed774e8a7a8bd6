package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import whinlead.Contract;
import whinlead.admit.Budget;
import whinlead.engine.Clock;
import whinlead.http.HttpCall;
import whinlead.membership.EndpointList;
import whinlead.transport.EndpointPool;

/** The endpoint pool without free descriptors, and its report of idle connections. */
class EndpointPoolTest {
    private static final AtomicBoolean EXHAUSTED = new AtomicBoolean();

    /** A channel whose creation fails while descriptors are exhausted. */
    public static final class ScarceChannel extends NioSocketChannel {
        /** Creates a channel if there is a descriptor for it. */
        public ScarceChannel() {
            if (EXHAUSTED.get()) {
                throw new IllegalStateException("too many open files");
            }
        }
    }

    @Test
    void missingDescriptorProvesThatNothingRanAndIsTemporary() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"))) {
            // The budget allows one connection, so a failed one that still counted as open would block the next.
            EndpointPool pool = new EndpointPool(
                    loop, ScarceChannel.class, new Clock(), 1000, 60000, Budget.fixed(Budget.Purpose.ENDPOINTS, 1));
            loop.submit(() -> pool.update(new EndpointList(
                            1,
                            true,
                            List.of(new EndpointList.Entry(
                                    new Contract.Server("s", Contract.ServerState.UP, 1, "a", 0, 0),
                                    EndpointList.address(endpoint.address()))))))
                    .get();
            EXHAUSTED.set(true);
            for (int i = 0; i < 3; i++) {
                assertEquals(Contract.Outcome.CONNECT_FAILED, send(loop, pool));
            }
            EXHAUSTED.set(false);
            assertEquals(Contract.Outcome.SERVED, send(loop, pool));
            assertEquals(1, endpoint.requests.size());
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    @Test
    void endpointIsConnectedWhileItHasIdleConnection() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"))) {
            EndpointPool pool = new EndpointPool(
                    loop, NioSocketChannel.class, new Clock(), 1000, 60000, Budget.fixed(Budget.Purpose.ENDPOINTS, 4));
            loop.submit(() -> pool.update(new EndpointList(
                            1,
                            true,
                            List.of(new EndpointList.Entry(
                                    new Contract.Server("s", Contract.ServerState.UP, 1, "a", 0, 0),
                                    EndpointList.address(endpoint.address()))))))
                    .get();
            assertFalse(connected(loop, pool, "s"));
            assertEquals(Contract.Outcome.SERVED, send(loop, pool));
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_S);
            while (!connected(loop, pool, "s")) {
                assertTrue(System.nanoTime() < end, "the connection never becomes available again");
            }
            assertFalse(connected(loop, pool, "another"));
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static boolean connected(EventLoop loop, EndpointPool pool, String id) throws Exception {
        return loop.submit(() -> pool.transport(
                                new HttpCall(HttpMethod.GET, "/api", new DefaultHttpHeaders(), new byte[0]))
                        .connected(id))
                .get();
    }

    private static Contract.Outcome send(EventLoop loop, EndpointPool pool) throws Exception {
        CompletableFuture<Contract.Outcome> ended = new CompletableFuture<>();
        loop.execute(() -> pool.transport(new HttpCall(HttpMethod.GET, "/api", new DefaultHttpHeaders(), new byte[0]))
                .send("s", 0, 1000, (outcome, answer, report) -> ended.complete(outcome)));
        return ended.get(FakeServer.TIMEOUT_S, TimeUnit.SECONDS);
    }
}
