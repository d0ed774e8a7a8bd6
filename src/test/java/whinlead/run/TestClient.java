package whinlead.run;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An application with one connection to a sidecar. */
final class TestClient implements AutoCloseable {
    /** A response of the sidecar. */
    record Answer(int status, Map<String, String> headers, String body) {}

    private static final AtomicInteger NEXT_ID = new AtomicInteger();
    private final Socket socket;
    private final InputStream in;

    TestClient(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(FakeServer.TIMEOUT_S * 1000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    static String status(String timeout) {
        return "GET /api?obj=k HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: r" + NEXT_ID.getAndIncrement()
                + "\r\nRequest-Class: status\r\nRequest-Timeout: " + timeout + "\r\n\r\n";
    }

    static String submit(String timeout) {
        return "POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: r" + NEXT_ID.getAndIncrement()
                + "\r\nRequest-Class: submit\r\nRequest-Timeout: " + timeout + "\r\nContent-Length: 3\r\n\r\nabc";
    }

    Answer call(String text) throws IOException {
        send(text);
        return read();
    }

    /** Reads the next response completely; null if the connection ended first. */
    Answer read() throws IOException {
        String line = FakeServer.readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h = FakeServer.readLine(in); !h.isEmpty(); h = FakeServer.readLine(in)) {
            headers.put(
                    h.substring(0, h.indexOf(':')),
                    h.substring(h.indexOf(':') + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Answer(Integer.parseInt(line.split(" ")[1]), headers, new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
