package whinlead.run;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import whinlead.Contract;
import whinlead.admit.Budget;
import whinlead.engine.Clock;
import whinlead.http.EndpointResponse;
import whinlead.http.HttpCall;
import whinlead.http.SampleResponses;
import whinlead.membership.EndpointList;
import whinlead.transport.EndpointPool;

/**
 * The endpoint pool and an endpoint whose responses are malformed, or odd but valid. A request with a malformed
 * response may have run, and its connection is not used again.
 */
public class BrokenEndpointResponseTest {
    private static final String BODY = "hello";
    private static final SampleResponses RESPONSES = new SampleResponses("", BODY);
    private static final int TIMEOUT_MS = 10_000;

    private EventLoopGroup loops;

    /** An outcome and the response that was passed on with it; null if there was none. */
    private record Result(Contract.Outcome outcome, EndpointResponse response) {}

    @BeforeMethod
    public void start() {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterMethod(alwaysRun = true)
    public void end() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static FakeServer endpoint(String name, String response) throws IOException {
        return new FakeServer((request, connection) -> {
            connection.socket().getOutputStream().write(SampleResponses.bytes(response));
            if (name.endsWith(SampleResponses.CLOSE)) {
                connection.socket().close();
            }
        });
    }

    private Result exchange(FakeServer endpoint) throws Exception {
        EventLoop loop = loops.next();
        CompletableFuture<Result> result = new CompletableFuture<>();
        loop.execute(() -> {
            EndpointPool pool = new EndpointPool(
                    loop, NioSocketChannel.class, new Clock(), 1000, 60000, Budget.fixed(Budget.Purpose.ENDPOINTS, 4));
            pool.update(new EndpointList(
                    1,
                    true,
                    List.of(new EndpointList.Entry(
                            new Contract.Server("s", Contract.ServerState.UP, 1, "a", 0, 0),
                            EndpointList.address(endpoint.address())))));
            pool.transport(new HttpCall(HttpMethod.POST, "/api", new DefaultHttpHeaders(), new byte[0]))
                    .send(
                            "s",
                            0,
                            TIMEOUT_MS,
                            (outcome, response, report) -> result.complete(new Result(outcome, response)));
        });
        return result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @DataProvider
    public Object[] malformed() {
        return RESPONSES.malformed().keySet().toArray();
    }

    @Test(dataProvider = "malformed")
    public void requestWithAMalformedResponseMayHaveRun(String name) throws Exception {
        try (FakeServer endpoint = endpoint(name, RESPONSES.malformed().get(name))) {
            assertEquals(exchange(endpoint), new Result(Contract.Outcome.RESET, null), name);
            endpoint.awaitConnectionClosed();
            assertEquals(endpoint.requests.size(), 1, name);
        }
    }

    @DataProvider
    public Object[] valid() {
        return RESPONSES.valid().keySet().toArray();
    }

    // Responses without a length are not passed on, as they may be cut off.
    @Test(dataProvider = "valid")
    public void validResponseHasItsOwnOutcome(String name) throws Exception {
        Contract.Outcome expected = name.endsWith(SampleResponses.CLOSE)
                ? Contract.Outcome.RESET
                : name.startsWith("200") ? Contract.Outcome.SERVED : Contract.Outcome.ERROR;
        try (FakeServer endpoint = endpoint(name, RESPONSES.valid().get(name))) {
            Result result = exchange(endpoint);
            assertEquals(result.outcome(), expected, name);
            assertEquals(result.response() != null, expected == Contract.Outcome.SERVED, name);
        }
    }
}
