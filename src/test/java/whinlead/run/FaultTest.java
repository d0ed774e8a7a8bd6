package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import whinlead.Contract;
import whinlead.admit.Budget;
import whinlead.decide.Decide;
import whinlead.engine.Clock;
import whinlead.engine.Engine;
import whinlead.engine.Request;
import whinlead.engine.ResponseSink;
import whinlead.http.EndpointResponse;
import whinlead.http.HttpCall;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.transport.EndpointPool;

/** An exception while a decision is executed: the affected request still ends exactly once. */
class FaultTest {
    @Test
    void requestEndsOnceWhenSendingThrows() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            var loop = group.next();
            Contract.Settings settings = Config.parse(
                            TestNode.configJson("127.0.0.1:0", "127.0.0.1:1", 64), new ObjectMapper())
                    .settings();
            Clock clock = new Clock();
            BlockingQueue<String> log = new LinkedBlockingQueue<>();
            BlockingQueue<String> ends = new LinkedBlockingQueue<>();
            EndpointPool pool = new EndpointPool(
                    loop, NioSocketChannel.class, clock, 250, 1000, Budget.fixed(Budget.Purpose.ENDPOINTS, 8));
            Engine engine = new Engine(
                    new LoopTimers(loop, clock),
                    settings,
                    actions -> new Decide(settings, 1, actions),
                    pool::update,
                    log::add);
            // A connect to a null address throws.
            EndpointList list = new EndpointList(
                    0,
                    true,
                    List.of(new EndpointList.Entry(
                            new Contract.Server("s0", Contract.ServerState.UP, 1, "", 0, 0), null)));
            ResponseSink<EndpointResponse> caller = new ResponseSink<>() {
                @Override
                public void served(EndpointResponse answer) {
                    ends.add("served");
                }

                @Override
                public void refused(double retryAfter) {
                    ends.add("refused");
                }

                @Override
                public void failed() {
                    ends.add("failed");
                }
            };
            loop.submit(() -> {
                        engine.start(() -> {}, list);
                        HttpCall http = new HttpCall(HttpMethod.GET, "/api", new DefaultHttpHeaders(), new byte[0]);
                        engine.accept(new Request(0, -1, 300, false), pool.transport(http), caller);
                    })
                    .get();
            assertTrue(log.poll(FakeServer.TIMEOUT_S, TimeUnit.SECONDS).startsWith("decision failed"));
            assertEquals("failed", ends.poll(FakeServer.TIMEOUT_S, TimeUnit.SECONDS));
            assertTrue(ends.isEmpty());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
