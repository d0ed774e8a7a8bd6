package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as a process: how it starts, and how it stops without losing what it holds. */
class ProcessTest {
    @TempDir
    Path dir;

    private Process start(Path config, Path errors) throws IOException {
        return start("serve", config, errors);
    }

    private Process start(String command, Path config, Path errors, String... options) throws IOException {
        List<String> line = new ArrayList<>();
        line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        line.addAll(List.of(options));
        // As in the jar: with what the planner's libraries log by, and nowhere for it to go.
        String path = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(entry -> !entry.contains("slf4j-jdk14"))
                .collect(Collectors.joining(File.pathSeparator));
        line.addAll(List.of("-cp", path, "whinlead.run.Main", command));
        ProcessBuilder b = new ProcessBuilder(line);
        b.environment().remove("PROXY_CONFIG");
        if (config != null) {
            b.environment().put("PROXY_CONFIG", config.toString());
        }
        return b.redirectError(errors.toFile()).start();
    }

    private static int exit(Process p) throws InterruptedException {
        assertTrue(p.waitFor(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
        return p.exitValue();
    }

    @Test
    void missingOrMalformedConfigurationIsOneLineAndAFailedExit() throws Exception {
        Path malformed = Files.writeString(dir.resolve("c.json"), "{");
        Path errors = dir.resolve("err");
        for (Path config : new Path[] {null, dir.resolve("absent.json"), malformed}) {
            Process p = start(config, errors);
            assertNotEquals(0, exit(p));
            assertEquals(1, Files.readAllLines(errors).size(), Files.readString(errors));
        }
    }

    @Test
    void theExampleConfigurationPassesTheCheckThatTheBuildRuns() throws Exception {
        Path errors = dir.resolve("err");
        assertEquals(0, exit(start("check", Path.of("deploy/example.json"), errors)), () -> "see " + errors);
        assertEquals("", Files.readString(errors));
    }

    @Test
    void whatServingOnSocketsNeedsIsLoadedBeforeTheSidecarIsReady() throws Exception {
        Path loaded = dir.resolve("loaded");
        assertEquals(
                0,
                exit(start(
                        "check",
                        Path.of("deploy/example.json"),
                        dir.resolve("err"),
                        "-Xlog:class+load:file=" + loaded)));
        // The kind of channel that a connection is, once there is one.
        assertTrue(Files.readString(loaded).contains("sun.nio.ch.SocketChannelImpl "));
    }

    @Test
    void anAddressInUseIsOneLineAndAFailedExit() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path config = Files.writeString(
                    dir.resolve("c.json"),
                    TestNode.config("127.0.0.1:" + taken.getLocalPort(), FakeServer.refusing(), 1024));
            Path errors = dir.resolve("err");
            assertNotEquals(0, exit(start(config, errors)));
            assertEquals(1, Files.readAllLines(errors).size(), Files.readString(errors));
        }
    }

    @Test
    void aTerminatedSidecarAnswersWhatItHoldsBeforeItExits() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (FakeServer e = new FakeServer(FakeServer.holding(release))) {
            String listen = FakeServer.refusing();
            int port = Integer.parseInt(listen.substring(listen.indexOf(':') + 1));
            Process p = start(
                    Files.writeString(
                            dir.resolve("c.json"),
                            TestNode.config(listen, FakeServer.refusing(), 1024, e.address()),
                            StandardCharsets.UTF_8),
                    dir.resolve("err"));
            try (TestClient c = connect(p, port);
                    TestClient idle = new TestClient(port)) {
                assertEquals(200, idle.ask("GET /health/ready HTTP/1.1\r\n\r\n").status());
                c.send(TestClient.submit("60"));
                e.awaitRequest();
                p.destroy();
                // Idle connections close before the end; the one that holds a request does not.
                assertNull(idle.read());
                release.countDown();
                TestClient.Answer a = c.read();
                assertEquals("held", a.body());
                assertEquals("close", a.headers().get("connection"));
                assertNull(c.read());
                exit(p);
            } finally {
                p.destroyForcibly();
            }
        }
    }

    @Test
    void aHangupMovesTheWatchAndEndsNothing() throws Exception {
        FakeServer.Script watch = (r, w) -> w.text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                FakeServer d = new FakeServer(watch);
                FakeServer moved = new FakeServer(watch)) {
            String listen = FakeServer.refusing();
            Path config =
                    Files.writeString(dir.resolve("c.json"), TestNode.config(listen, d.address(), 1024, e.address()));
            Process p = start(config, dir.resolve("err"));
            try {
                d.awaitRequest();
                Files.writeString(config, TestNode.config(listen, moved.address(), 1024));
                for (int i = 0; i < 3; i++) {
                    new ProcessBuilder("kill", "-HUP", Long.toString(p.pid()))
                            .start()
                            .waitFor();
                }
                d.awaitEnd();
                moved.awaitRequest();
                try (TestClient c = new TestClient(Integer.parseInt(listen.substring(listen.indexOf(':') + 1)))) {
                    assertEquals("done", c.ask(TestClient.submit("5")).body());
                }
                assertTrue(p.isAlive());
            } finally {
                p.destroyForcibly();
            }
        }
    }

    @Test
    void whatTheKillWouldFindIsFailedBeforeIt() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (FakeServer silent = new FakeServer((r, w) -> {});
                TestNode n = new TestNode(FakeServer.refusing(), silent.address());
                TestClient c = n.client()) {
            // Its client waits far longer than a stopped process may live.
            c.send(TestClient.submit("60"));
            silent.awaitRequest();
            n.group.next().execute(() -> n.server.drain(drained::countDown));
            assertEquals(502, c.read().status());
            assertNull(c.read());
            assertTrue(drained.await(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
        }
    }

    private static TestClient connect(Process p, int port) throws Exception {
        for (int i = 0; i < 2000 && p.isAlive(); i++) {
            try {
                return new TestClient(port);
            } catch (IOException e) {
                Thread.sleep(10);
            }
        }
        throw new AssertionError("did not start");
    }

    @Test
    void oldAndNewConnectionsAreServedForAWhileAfterTheStop() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient before = n.client()) {
            assertEquals(200, before.ask(TestClient.status("5")).status());
            // In one turn of the loop, so that they come in time however slow the machine is.
            String again = TestClient.status("5");
            try (TestClient c = n.group
                    .next()
                    .submit(() -> {
                        n.server.drain(drained::countDown);
                        before.send(again);
                        return n.client();
                    })
                    .get()) {
                assertEquals(200, before.read().status());
                assertEquals(200, c.ask(TestClient.status("5")).status());
                assertNull(before.read());
                assertNull(c.read());
            }
            assertTrue(drained.await(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
        }
    }
}
