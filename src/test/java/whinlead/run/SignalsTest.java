package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Signals that come at any time: while the program starts, and while it ends. */
class SignalsTest {
    private static final FakeServer.Script WATCH =
            (r, w) -> w.text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    /** What the deploy file has the shell do first. */
    private static final String TRAP = "trap '' HUP; ";

    private static final int ENDED_BY_TERM = 128 + 15;

    @TempDir
    Path dir;

    // As `run` starts it: by a shell that the program replaces.
    private Process start(String first, Path config) throws IOException {
        ProcessBuilder b = new ProcessBuilder(
                "sh",
                "-c",
                first + "echo; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "whinlead.run.Main",
                "serve");
        b.environment().put("PROXY_CONFIG", config.toString());
        return b.redirectError(dir.resolve("err").toFile()).start();
    }

    private static void signal(String name, Process p) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(p.pid())).start().waitFor();
    }

    /** A pipe: who writes to it knows when the program has read its configuration, and not sooner. */
    private Path pipe() throws Exception {
        Path pipe = dir.resolve("c.json");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        return pipe;
    }

    private void replace(Path config, String text) throws IOException {
        Path next = Files.writeString(dir.resolve("next.json"), text);
        Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", TRAP})
    void aHangupAsSoonAsTheFileIsReadIsTakenOver(String first) throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                FakeServer old = new FakeServer(WATCH);
                FakeServer moved = new FakeServer(WATCH)) {
            String listen = FakeServer.refusing();
            Path config = pipe();
            Process p = start(first, config);
            try {
                Files.writeString(config, TestNode.config(listen, old.address(), 1024, e.address()));
                replace(config, TestNode.config(listen, moved.address(), 1024, e.address()));
                signal("HUP", p);
                moved.awaitRequest();
                assertTrue(p.isAlive(), this::said);
            } finally {
                p.destroyForcibly();
            }
        }
    }

    private String said() {
        try {
            return Files.readString(dir.resolve("err"));
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    @Test
    void hangupsFromTheFirstMomentOnEndNothing() throws Exception {
        try (FakeServer d = new FakeServer(WATCH);
                FakeServer moved = new FakeServer(WATCH)) {
            Path config =
                    Files.writeString(dir.resolve("c.json"), TestNode.config(FakeServer.refusing(), d.address(), 1024));
            Process p = start(TRAP, config);
            try {
                // The shell says so once it ignores the signal.
                assertEquals('\n', p.getInputStream().read());
                while (d.connections() == 0 && p.isAlive()) {
                    signal("HUP", p);
                }
                assertTrue(p.isAlive(), this::said);
                d.awaitRequest();
                replace(config, TestNode.config(FakeServer.refusing(), moved.address(), 1024));
                signal("HUP", p);
                moved.awaitRequest();
            } finally {
                p.destroyForcibly();
            }
        }
    }

    @Test
    void aStopBeforeItListensEndsItAtOnce() throws Exception {
        Path config = pipe();
        Process p = start(TRAP, config);
        try {
            Files.writeString(config, TestNode.config(FakeServer.refusing(), FakeServer.refusing(), 1024));
            signal("TERM", p);
            assertTrue(p.waitFor(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
            assertEquals(ENDED_BY_TERM, p.exitValue(), this::said);
        } finally {
            p.destroyForcibly();
        }
    }

    @Test
    void aDrainBeforeItListensIsOverAtOnce() throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            Main.Parts parts = Main.wire(
                    Config.parse(TestNode.config("127.0.0.1:0", FakeServer.refusing(), 64), mapper),
                    AdmissionConfig.usual(),
                    null,
                    null,
                    mapper,
                    loop);
            CountDownLatch over = new CountDownLatch(1);
            loop.execute(() -> parts.server().drain(over::countDown));
            assertTrue(over.await(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
        } finally {
            group.shutdownGracefully();
        }
    }

    @Test
    void hangupsDuringTheDrainLoseNoRequest() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (FakeServer e = new FakeServer(FakeServer.holding(release));
                FakeServer d = new FakeServer(WATCH);
                FakeServer moved = new FakeServer(WATCH)) {
            String listen = FakeServer.refusing();
            Path config =
                    Files.writeString(dir.resolve("c.json"), TestNode.config(listen, d.address(), 1024, e.address()));
            Process p = start(TRAP, config);
            try {
                d.awaitRequest();
                try (TestClient c = new TestClient(Integer.parseInt(listen.substring(listen.indexOf(':') + 1)))) {
                    c.send(TestClient.submit("60"));
                    e.awaitRequest();
                    replace(config, TestNode.config(listen, moved.address(), 1024, e.address()));
                    signal("TERM", p);
                    signal("HUP", p);
                    signal("TERM", p);
                    moved.awaitRequest();
                    release.countDown();
                    assertEquals("held", c.read().body());
                    assertNull(c.read());
                }
                assertTrue(p.waitFor(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
                assertEquals(ENDED_BY_TERM, p.exitValue(), this::said);
            } finally {
                p.destroyForcibly();
            }
        }
    }
}
