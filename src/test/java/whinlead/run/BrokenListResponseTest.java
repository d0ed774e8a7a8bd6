package whinlead.run;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import whinlead.Contract;
import whinlead.http.SampleResponses;
import whinlead.membership.Discovery;
import whinlead.membership.EndpointList;
import whinlead.membership.Membership;

/** A discovery service whose responses are malformed, or odd but valid. A list in a malformed one is not believed. */
public class BrokenListResponseTest {
    private static final String LIST =
            TestNode.listJson(1, true, TestNode.hostJson("s", "127.0.0.1:9", "ready")) + "\n";
    private static final SampleResponses RESPONSES = new SampleResponses("", LIST);
    private static final String UNREACHABLE = "unreachable";

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private EventLoopGroup loops;

    /** Records what the watch reports. */
    private final class RecordingMembership implements Membership {
        @Override
        public void listReceived(Contract.ListKind kind, EndpointList list) {
            events.add("list of " + list.entries().size());
        }

        @Override
        public void sourceUnreachable() {
            events.add(UNREACHABLE);
        }
    }

    @BeforeMethod
    public void start() {
        events.clear();
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterMethod(alwaysRun = true)
    public void end() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private String firstEventOf(String response) throws Exception {
        EventLoop loop = loops.next();
        try (FakeServer service = new FakeServer((request, connection) ->
                connection.socket().getOutputStream().write(SampleResponses.bytes(response)))) {
            loop.execute(() -> new Discovery(
                            loop,
                            EndpointList.address(service.address()),
                            new ObjectMapper(),
                            false,
                            1,
                            null,
                            new RecordingMembership())
                    .watch());
            return events.poll(FakeServer.TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    // Without those whose list has arrived before the malformed part.
    @DataProvider
    public Object[] malformed() {
        return RESPONSES.malformed().keySet().stream()
                .filter(name -> !name.startsWith("chunk") && !name.contains("trailer"))
                .toArray();
    }

    @Test(dataProvider = "malformed")
    public void listInAMalformedResponseIsNotBelieved(String name) throws Exception {
        assertEquals(firstEventOf(RESPONSES.malformed().get(name)), UNREACHABLE, name);
    }

    @DataProvider
    public Object[] valid() {
        return RESPONSES.valid().keySet().toArray();
    }

    @Test(dataProvider = "valid")
    public void listInAValidResponseIsTakenIfItsStatusIs200(String name) throws Exception {
        String expected = name.startsWith("200") ? "list of 1" : UNREACHABLE;
        assertEquals(firstEventOf(RESPONSES.valid().get(name)), expected, name);
    }
}
