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

/** Signals during the start and during the shutdown of the program. */
class SignalsTest {
    private static final FakeServer.Script WATCH =
            (r, w) -> w.sendRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    /** Shell command that the deploy file runs first. */
    private static final String IGNORE_HUP = "trap '' HUP; ";

    private static final int ENDED_BY_TERM = 128 + 15;

    @TempDir
    Path dir;

    // Starts the program like `run` does: by a shell that execs it.
    private Process start(String first, Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                first + "echo; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "whinlead.run.Main",
                "serve");
        builder.environment().put("PROXY_CONFIG", config.toString());
        return builder.redirectError(dir.resolve("err").toFile()).start();
    }

    private static void signal(String name, Process process) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Creates a named pipe: a write to it returns only when the program reads its configuration. */
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
    @ValueSource(strings = {"", IGNORE_HUP})
    void sighupRightAfterFileWasReadIsApplied(String first) throws Exception {
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"));
                FakeServer old = new FakeServer(WATCH);
                FakeServer moved = new FakeServer(WATCH)) {
            String listen = FakeServer.refusingAddress();
            Path config = pipe();
            Process process = start(first, config);
            try {
                Files.writeString(config, TestNode.configJson(listen, old.address(), 1024, endpoint.address()));
                replace(config, TestNode.configJson(listen, moved.address(), 1024, endpoint.address()));
                signal("HUP", process);
                moved.awaitRequest();
                assertTrue(process.isAlive(), this::errorOutput);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private String errorOutput() {
        try {
            return Files.readString(dir.resolve("err"));
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    @Test
    void sighupsDuringStartDoNotEndProcess() throws Exception {
        try (FakeServer discovery = new FakeServer(WATCH);
                FakeServer moved = new FakeServer(WATCH)) {
            Path config = Files.writeString(
                    dir.resolve("c.json"),
                    TestNode.configJson(FakeServer.refusingAddress(), discovery.address(), 1024));
            Process process = start(IGNORE_HUP, config);
            try {
                // The shell writes a newline once it ignores the signal.
                assertEquals('\n', process.getInputStream().read());
                while (discovery.connectionCount() == 0 && process.isAlive()) {
                    signal("HUP", process);
                }
                assertTrue(process.isAlive(), this::errorOutput);
                discovery.awaitRequest();
                replace(config, TestNode.configJson(FakeServer.refusingAddress(), moved.address(), 1024));
                signal("HUP", process);
                moved.awaitRequest();
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void sigtermBeforeListeningEndsProcessAtOnce() throws Exception {
        Path config = pipe();
        Process process = start(IGNORE_HUP, config);
        try {
            Files.writeString(
                    config, TestNode.configJson(FakeServer.refusingAddress(), FakeServer.refusingAddress(), 1024));
            signal("TERM", process);
            assertTrue(process.waitFor(FakeServer.TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(ENDED_BY_TERM, process.exitValue(), this::errorOutput);
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void drainBeforeListeningCompletesAtOnce() throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            Main.Parts parts = Main.wire(
                    Config.parse(TestNode.configJson("127.0.0.1:0", FakeServer.refusingAddress(), 64), mapper),
                    AdmissionConfig.defaults(),
                    null,
                    null,
                    mapper,
                    loop);
            CountDownLatch drained = new CountDownLatch(1);
            loop.execute(() -> parts.server().drain(drained::countDown));
            assertTrue(drained.await(FakeServer.TIMEOUT_S, TimeUnit.SECONDS));
        } finally {
            group.shutdownGracefully();
        }
    }

    @Test
    void sighupsDuringDrainLoseNoRequest() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (FakeServer endpoint = new FakeServer(FakeServer.answeringAfter(release));
                FakeServer discovery = new FakeServer(WATCH);
                FakeServer moved = new FakeServer(WATCH)) {
            String listen = FakeServer.refusingAddress();
            Path config = Files.writeString(
                    dir.resolve("c.json"), TestNode.configJson(listen, discovery.address(), 1024, endpoint.address()));
            Process process = start(IGNORE_HUP, config);
            try {
                discovery.awaitRequest();
                try (TestClient client = new TestClient(Integer.parseInt(listen.substring(listen.indexOf(':') + 1)))) {
                    client.send(TestClient.submit("60"));
                    endpoint.awaitRequest();
                    replace(config, TestNode.configJson(listen, moved.address(), 1024, endpoint.address()));
                    signal("TERM", process);
                    signal("HUP", process);
                    signal("TERM", process);
                    moved.awaitRequest();
                    release.countDown();
                    assertEquals("held", client.read().body());
                    assertNull(client.read());
                }
                assertTrue(process.waitFor(FakeServer.TIMEOUT_S, TimeUnit.SECONDS));
                assertEquals(ENDED_BY_TERM, process.exitValue(), this::errorOutput);
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
