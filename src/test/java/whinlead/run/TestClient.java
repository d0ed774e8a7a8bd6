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

/** The application: one connection to a sidecar. */
final class TestClient implements AutoCloseable {
    /** What the sidecar answered. */
    record Answer(int status, Map<String, String> headers, String body) {}

    private static final AtomicInteger IDS = new AtomicInteger();
    private final Socket socket;
    private final InputStream in;

    TestClient(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(FakeServer.PATIENCE_S * 1000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    static String status(String timeout) {
        return "GET /api?obj=k HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: r" + IDS.getAndIncrement()
                + "\r\nRequest-Class: status\r\nRequest-Timeout: " + timeout + "\r\n\r\n";
    }

    static String submit(String timeout) {
        return "POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: r" + IDS.getAndIncrement()
                + "\r\nRequest-Class: submit\r\nRequest-Timeout: " + timeout + "\r\nContent-Length: 3\r\n\r\nabc";
    }

    Answer ask(String text) throws IOException {
        send(text);
        return read();
    }

    /** The next answer, read whole; null if the connection ended first. */
    Answer read() throws IOException {
        String line = FakeServer.line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h = FakeServer.line(in); !h.isEmpty(); h = FakeServer.line(in)) {
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
