package cobaltrack.run;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A real proxy as Debian packages it, started by a test on loopback, and a client of it. */
final class RealProxy implements AutoCloseable {
    private static final String GET = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nRequest-Id: %s\r\n"
            + "Request-Class: %s\r\nRequest-Timeout: 2.000\r\n\r\n";

    private final Process process;
    private final int port;

    private RealProxy(Process process, int port) {
        this.process = process;
        this.port = port;
    }

    static boolean installed(String name) {
        return List.of("/usr/sbin/", "/usr/bin/").stream().anyMatch(f -> new File(f + name).canExecute());
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    /** Runs this command line and waits until it listens. */
    static RealProxy start(Path folder, int port, List<String> line) throws Exception {
        Path out = folder.resolve("out");
        RealProxy proxy = new RealProxy(new ProcessBuilder(line).redirectErrorStream(true)
                .redirectOutput(out.toFile()).start(), port);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        while (System.nanoTime() < end) {
            assertTrue(proxy.process.isAlive(), Files.readString(out));
            try {
                new Socket(InetAddress.getLoopbackAddress(), port).close();
                return proxy;
            } catch (IOException notYet) {
                Thread.onSpinWait();
            }
        }
        proxy.close();
        throw new IOException("it does not listen: " + Files.readString(out));
    }

    /** Its whole answer to a request. */
    String ask(String id, String type) throws IOException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(FakeServer.PATIENCE_S * 1000);
            s.getOutputStream().write(GET.formatted(id, type).getBytes());
            return new String(s.getInputStream().readAllBytes());
        }
    }

    // The report may come after the client has its answer.
    static void awaitNoneOpen(TestNode n) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        while (n.group.next().submit(() -> n.consultations.open()).get() > 0) {
            assertTrue(System.nanoTime() < end, "no report came");
        }
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(FakeServer.PATIENCE_S, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
