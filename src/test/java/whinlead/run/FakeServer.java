package whinlead.run;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A small scripted HTTP server on loopback, used as an endpoint or as discovery. */
final class FakeServer implements AutoCloseable {
    static final int TIMEOUT_S = 20;

    /** A request, read completely. */
    record Request(String line, Map<String, String> headers, byte[] body) {}

    /** A connection on which the script may answer, stay silent or cause a reset. */
    record Connection(Socket socket) {
        void sendRaw(String raw) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(raw.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void answer(String status, String headers, String body) throws IOException {
            sendRaw("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n" + body);
        }

        void ok(String body) throws IOException {
            answer("200 OK", "", body);
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Handles the requests that the server receives. */
    interface Script {
        void handle(Request request, Connection wire) throws IOException;
    }

    final List<Request> requests = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Request> unreadRequests = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private volatile Script script;

    FakeServer(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    /** A script that answers "held" once the latch is released. */
    static Script answeringAfter(CountDownLatch release) {
        return (request, wire) -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            wire.ok("held");
        };
    }

    /** An address at which nothing listens. */
    static String refusingAddress() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + s.getLocalPort();
        }
    }

    void script(Script next) {
        script = next;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    int connectionCount() {
        return sockets.size();
    }

    Request awaitRequest() throws InterruptedException {
        Request request = unreadRequests.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no request received");
        }
        return request;
    }

    /** Waits until a connection is closed. */
    void awaitConnectionClosed() throws InterruptedException {
        if (closedConnections.poll(TIMEOUT_S, TimeUnit.SECONDS) == null) {
            throw new AssertionError("no connection was closed");
        }
    }

    private static void startDaemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = read(in); request != null; request = read(in)) {
                requests.add(request);
                unreadRequests.add(request);
                script.handle(request, new Connection(socket));
            }
        } catch (IOException e) {
            // The script or the peer broke the connection.
        }
        closedConnections.add(socket);
    }

    private static Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h = readLine(in); h != null && !h.isEmpty(); h = readLine(in)) {
            int colon = h.indexOf(':');
            headers.put(
                    h.substring(0, colon).toLowerCase(Locale.ROOT),
                    h.substring(colon + 1).trim());
        }
        return new Request(line, headers, in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))));
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder builder = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                builder.append((char) c);
            }
        }
        return builder.toString();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
