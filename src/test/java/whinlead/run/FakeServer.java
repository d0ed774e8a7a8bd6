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

/** A small HTTP server on loopback, as an endpoint or as discovery, that does what a script says. */
final class FakeServer implements AutoCloseable {
    static final int PATIENCE_S = 20;

    /** What came in, read whole. */
    record Request(String line, Map<String, String> headers, byte[] body) {}

    /** A connection that the script may answer on, leave silent or break. */
    record Wire(Socket socket) {
        void text(String raw) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(raw.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void answer(String status, String headers, String body) throws IOException {
            text("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n" + body);
        }

        void ok(String body) throws IOException {
            answer("200 OK", "", body);
        }

        /** Breaks the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** What it does with a request. */
    interface Script {
        void on(Request request, Wire wire) throws IOException;
    }

    final List<Request> requests = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Request> arrived = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> ended = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private volatile Script script;

    FakeServer(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    /** Answers "held" once this is released. */
    static Script holding(CountDownLatch release) {
        return (request, wire) -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            wire.ok("held");
        };
    }

    /** An address where nothing listens. */
    static String refusing() throws IOException {
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

    int connections() {
        return sockets.size();
    }

    Request awaitRequest() throws InterruptedException {
        Request r = arrived.poll(PATIENCE_S, TimeUnit.SECONDS);
        if (r == null) {
            throw new AssertionError("no request came");
        }
        return r;
    }

    /** Waits until the other side has closed a connection. */
    void awaitEnd() throws InterruptedException {
        if (ended.poll(PATIENCE_S, TimeUnit.SECONDS) == null) {
            throw new AssertionError("no connection was closed");
        }
    }

    private static void daemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket s = listener.accept();
                sockets.add(s);
                daemon(() -> serve(s));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request r = read(in); r != null; r = read(in)) {
                requests.add(r);
                arrived.add(r);
                script.on(r, new Wire(socket));
            }
        } catch (IOException e) {
            // broken by the script or by the other side
        }
        ended.add(socket);
    }

    private static Request read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
            int colon = h.indexOf(':');
            headers.put(
                    h.substring(0, colon).toLowerCase(Locale.ROOT),
                    h.substring(colon + 1).trim());
        }
        return new Request(line, headers, in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))));
    }

    static String line(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                b.append((char) c);
            }
        }
        return b.toString();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : sockets) {
            s.close();
        }
    }
}
