package whinlead.testbed.mesh;

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

/** A plain HTTP/1.1 connection to say and hear by: one message after another, blocking. One thread. */
public final class Talk implements AutoCloseable {
    private static final int WAIT_MS = 5000;

    /** A message: its first line, its headers by lower-case names, its body. */
    public record Message(String first, Map<String, String> headers, byte[] body) {
        /** An answer's status. */
        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        /** The body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private final Socket socket;
    private final InputStream in;

    /** Connects to ADDRESS:PORT. */
    public Talk(String address) throws IOException {
        this(connected(address));
    }

    /** Talks over this socket. */
    public Talk(Socket socket) throws IOException {
        this.socket = socket;
        this.in = new BufferedInputStream(socket.getInputStream());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(WAIT_MS);
    }

    private static Socket connected(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket s = new Socket();
        s.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                WAIT_MS);
        return s;
    }

    /** Asks once over a connection of its own. */
    public static Message ask(String address, String first, Map<String, String> headers, byte[] body)
            throws IOException {
        try (Talk talk = new Talk(address)) {
            return talk.ask(first, headers, body);
        }
    }

    /** Asks: {@code first} is a method and a path. */
    public Message ask(String first, Map<String, String> headers, byte[] body) throws IOException {
        say(first + " HTTP/1.1", headers, body);
        return hear();
    }

    /** Says a message. */
    public void say(String first, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((n, v) -> head.append(n).append(": ").append(v).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        raw(all.toByteArray());
    }

    /** Says these bytes. */
    public void raw(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Hears a message whole; null if the other side closed between two. */
    public Message hear() throws IOException {
        String first = line();
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String l = line(); l != null && !l.isEmpty(); l = line()) {
            int colon = l.indexOf(':');
            headers.put(
                    l.substring(0, colon).toLowerCase(Locale.ROOT),
                    l.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("a body cut short");
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
                throw new EOFException("a head cut short");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Ends it by a reset. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
