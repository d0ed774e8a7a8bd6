package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A blocking HTTP/1.1 connection that sends and reads one message at a time. One thread. */
final class Http implements AutoCloseable {
    /** A request or response: first line, headers with lower-case names, body. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    final Socket socket;
    private final InputStream in;

    Http(Socket socket, int readTimeoutMs) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(readTimeoutMs);
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    static Http connect(String address, int connectMs, int readMs) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        try {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    connectMs);
            return new Http(socket, readMs);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sends one request on a connection of its own and returns its response; null if there is none. */
    static Message ask(String address, String first, Map<String, String> headers, byte[] body, int readMs)
            throws IOException {
        try (Http http = connect(address, 1000, readMs)) {
            http.send(first + " HTTP/1.1", headers, body);
            return http.read();
        }
    }

    void send(String first, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) ->
                head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            socket.getOutputStream().write(body);
        }
        socket.getOutputStream().flush();
    }

    /** The next message; null if the other side closed the connection before it. */
    Message read() throws IOException {
        String first = line();
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body is cut short");
        }
        return new Message(first, headers, body);
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the head is cut short");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
