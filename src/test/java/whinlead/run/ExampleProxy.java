package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * What stand-ins for other people's proxies share that follow a worked example under {@code deploy/examples}: the
 * client's request, and a hop to an endpoint with what such a proxy knows of it. One request at a time.
 */
abstract class ExampleProxy implements AutoCloseable {
    /** An answer to the client. */
    record Answer(int status, Map<String, String> headers) {}

    /**
     * What became of one hop.
     *
     * @param status the endpoint's, or the proxy's own: 502, 503 or 504
     * @param connected whether the connection came up
     * @param answered whether a head came back on it
     */
    record Hop(int status, boolean connected, boolean answered, Map<String, String> headers) {
        /** As proxies write a time: seconds, or nothing for what never was. */
        String time(boolean was, String never) {
            return was ? "0.001" : never;
        }
    }

    private static final String GET = "GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\n\r\n";
    private static final int PATIENCE_MS = FakeServer.PATIENCE_S * 1000;

    /** Passes a client's request on as the example says, and gives the answer. */
    abstract Answer ask(String id, String type) throws Exception;

    /** Sends a request once; {@code refused} is the status that the proxy words a failed connect as. */
    static Hop hop(String host, int port, String id, int refused) throws IOException {
        Socket socket;
        try {
            socket = new Socket(InetAddress.getByName(host), port);
        } catch (ConnectException e) {
            return new Hop(refused, false, false, Map.of());
        }
        try (socket) {
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write(GET.formatted(id).getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line = FakeServer.line(in);
            if (line == null) {
                return new Hop(502, true, false, Map.of());
            }
            Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (String h = FakeServer.line(in); h != null && !h.isEmpty(); h = FakeServer.line(in)) {
                headers.put(
                        h.substring(0, h.indexOf(':')),
                        h.substring(h.indexOf(':') + 1).trim());
            }
            return new Hop(Integer.parseInt(line.split(" ")[1]), true, true, headers);
        } catch (SocketTimeoutException e) {
            return new Hop(504, true, false, Map.of());
        } catch (IOException e) {
            return new Hop(502, true, false, Map.of());
        }
    }

    /** The text between the braces after a line that begins so; the example must have it. */
    static String block(String config, String begin) {
        int at = config.indexOf(begin);
        assertTrue(at >= 0, "the example lacks: " + begin);
        int depth = 0;
        for (int i = config.indexOf('{', at); i < config.length(); i++) {
            depth += config.charAt(i) == '{' ? 1 : config.charAt(i) == '}' ? -1 : 0;
            if (depth == 0) {
                return config.substring(config.indexOf('{', at) + 1, i);
            }
        }
        throw new AssertionError("no end of " + begin);
    }

    /** Waits until every consultation is over: a report may come after the client has its answer. */
    static void awaitNoneOpen(TestNode n) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        while (n.group.next().submit(() -> n.consultations.open()).get() > 0) {
            assertTrue(System.nanoTime() < end, "no report came");
        }
    }
}
