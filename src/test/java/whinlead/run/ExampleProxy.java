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
 * Base of simulated third-party proxies that follow an example under {@code deploy/examples}: the client's request, and
 * an attempt at an endpoint with what such a proxy knows about it. Handles one request at a time.
 */
abstract class ExampleProxy implements AutoCloseable {
    /** An answer to the client. */
    record Answer(int status, Map<String, String> headers) {}

    /**
     * The result of one attempt at an endpoint.
     *
     * @param status the endpoint's, or the proxy's own: 502, 503 or 504
     * @param connected whether the connection was established
     * @param answered whether a response header was received
     */
    record Hop(int status, boolean connected, boolean answered, Map<String, String> headers) {
        /** Formats a time as proxies do: in seconds, or as {@code absentValue} if the event did not happen. */
        String timeHeader(boolean happened, String absentValue) {
            return happened ? "0.001" : absentValue;
        }
    }

    private static final String GET = "GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\n\r\n";
    private static final int PATIENCE_MS = FakeServer.TIMEOUT_S * 1000;

    /** Handles a client's request as the example does and returns the answer. */
    abstract Answer handle(String id, String type) throws Exception;

    /** Sends a request once; {@code refusedStatus} is the status that the proxy reports for a failed connect. */
    static Hop sendOnce(String host, int port, String id, int refusedStatus) throws IOException {
        Socket socket;
        try {
            socket = new Socket(InetAddress.getByName(host), port);
        } catch (ConnectException e) {
            return new Hop(refusedStatus, false, false, Map.of());
        }
        try (socket) {
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write(GET.formatted(id).getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line = FakeServer.readLine(in);
            if (line == null) {
                return new Hop(502, true, false, Map.of());
            }
            Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (String h = FakeServer.readLine(in); h != null && !h.isEmpty(); h = FakeServer.readLine(in)) {
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

    /** Returns the text between the braces after a line that begins with this text; fails if there is none. */
    static String block(String config, String firstLine) {
        int start = config.indexOf(firstLine);
        assertTrue(start >= 0, "the example lacks: " + firstLine);
        int depth = 0;
        for (int i = config.indexOf('{', start); i < config.length(); i++) {
            depth += config.charAt(i) == '{' ? 1 : config.charAt(i) == '}' ? -1 : 0;
            if (depth == 0) {
                return config.substring(config.indexOf('{', start) + 1, i);
            }
        }
        throw new AssertionError("no end of " + firstLine);
    }

    /** Waits until no consultation is open: a report may arrive after the client has its answer. */
    static void awaitNoneOpen(TestNode node) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_S);
        while (node.group.next().submit(() -> node.consultations.open()).get() > 0) {
            assertTrue(System.nanoTime() < end, "consultations are still open");
        }
    }
}
