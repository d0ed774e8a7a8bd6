package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.Relay;

/** What the relay between processes does with bytes, by mode and direction. */
public class RelayTest {
    private static final int SOON_MS = 10_000;
    private static final int SILENCE_MS = 150;
    private MultiThreadIoEventLoopGroup group;
    private ServerSocket server;
    private Relay relay;
    private Socket near;
    private Socket far;

    @BeforeMethod
    public void start() throws IOException {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        server.setSoTimeout(SOON_MS);
        relay = new Relay(group.next(), (InetSocketAddress) server.getLocalSocketAddress());
        near = dial();
        far = accept();
        near.getOutputStream().write('a');
        assertEquals(far.getInputStream().read(), 'a');
        far.getOutputStream().write('b');
        assertEquals(near.getInputStream().read(), 'b');
    }

    private Socket dial() throws IOException {
        Socket s = new Socket();
        s.connect(relay.address(), SILENCE_MS);
        s.setSoTimeout(SOON_MS);
        return s;
    }

    private Socket accept() throws IOException {
        Socket s = server.accept();
        s.setSoTimeout(SOON_MS);
        return s;
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        relay.close();
        near.close();
        far.close();
        server.close();
        group.shutdownGracefully();
    }

    private static void silent(Socket s) throws IOException {
        s.setSoTimeout(SILENCE_MS);
        assertThrows(SocketTimeoutException.class, () -> s.getInputStream().read());
        s.setSoTimeout(SOON_MS);
    }

    @Test
    public void aCutPassesNothingAndAnswersNoDial() throws Exception {
        relay.set(Relay.Mode.CUT);
        near.getOutputStream().write('c');
        far.getOutputStream().write('d');
        silent(far);
        silent(near);
        assertThrows(SocketTimeoutException.class, this::dial);
        relay.set(Relay.Mode.OPEN);
        assertEquals(far.getInputStream().read(), 'c');
        assertEquals(near.getInputStream().read(), 'd');
        try (Socket again = dial();
                Socket there = accept()) {
            again.getOutputStream().write('e');
            assertEquals(there.getInputStream().read(), 'e');
        }
    }

    @Test
    public void aCutOneWayLetsTheOtherPass() throws Exception {
        relay.set(Relay.Way.THERE, Relay.Mode.CUT);
        near.getOutputStream().write('c');
        far.getOutputStream().write('d');
        assertEquals(near.getInputStream().read(), 'd');
        silent(far);
    }

    @Test
    public void whatIsHeldComesAllAtOnceThatOfClosedConnectionsToo() throws Exception {
        relay.set(Relay.Way.THERE, Relay.Mode.HELD);
        near.getOutputStream().write("one".getBytes());
        silent(far);
        far.getOutputStream().write('d');
        assertEquals(near.getInputStream().read(), 'd');
        try (Socket second = dial()) {
            second.getOutputStream().write("two".getBytes());
        }
        relay.set(Relay.Way.THERE, Relay.Mode.OPEN);
        assertEquals(new String(far.getInputStream().readNBytes(3)), "one");
        try (Socket there = accept()) {
            assertEquals(new String(there.getInputStream().readAllBytes()), "two");
        }
    }

    @Test
    public void aResetBreaksBothEndsAndTheNextDial() throws Exception {
        relay.set(Relay.Mode.RESET);
        assertThrows(IOException.class, () -> {
            // An end reads as -1 where only a close came: that is no reset.
            if (near.getInputStream().read() >= 0) {
                throw new AssertionError("bytes came");
            }
        });
        assertThrows(IOException.class, () -> far.getInputStream().read());
        // The reset may come while it is still being set up.
        assertThrows(IOException.class, () -> {
            try (Socket again = dial()) {
                again.getInputStream().read();
            }
        });
        relay.set(Relay.Mode.OPEN);
        try (Socket again = dial();
                Socket there = accept()) {
            again.getOutputStream().write('f');
            assertEquals(there.getInputStream().read(), 'f');
        }
    }
}
