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

/** The program as a process: start, and stop without losing open requests. */
class ProcessTest {
    @TempDir
    Path dir;

    private Process start(Path config, Path errors) throws IOException {
        return start("serve", config, errors);
    }

    private Process start(String command, Path config, Path errors, String... options) throws IOException {
        List<String> commandLine = new ArrayList<>();
        commandLine.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        commandLine.addAll(List.of(options));
        // As in the jar: with the logging API of the planner's libraries, but without a backend for it.
        String path = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(entry -> !entry.contains("slf4j-jdk14"))
                .collect(Collectors.joining(File.pathSeparator));
        commandLine.addAll(List.of("-cp", path, "whinlead.run.Main", command));
        ProcessBuilder builder = new ProcessBuilder(commandLine);
        builder.environment().remove("PROXY_CONFIG");
        if (config != null) {
            builder.environment().put("PROXY_CONFIG", config.toString());
        }
        return builder.redirectError(errors.toFile()).start();
    }

    private static int exit(Process process) throws InterruptedException {
        assertTrue(process.waitFor(FakeServer.TIMEOUT_S, TimeUnit.SECONDS));
        return process.exitValue();
    }

    @Test
    void invalidConfigurationGivesOneLineAndFailedExit() throws Exception {
        Path malformed = Files.writeString(dir.resolve("c.json"), "{");
        Path errors = dir.resolve("err");
        for (Path config : new Path[] {null, dir.resolve("absent.json"), malformed}) {
            Process process = start(config, errors);
            assertNotEquals(0, exit(process));
            assertEquals(1, Files.readAllLines(errors).size(), Files.readString(errors));
        }
    }

    @Test
    void exampleConfigurationPassesCheck() throws Exception {
        Path errors = dir.resolve("err");
        assertEquals(0, exit(start("check", Path.of("deploy/example.json"), errors)), () -> "see " + errors);
        assertEquals("", Files.readString(errors));
    }

    @Test
    void socketClassesAreLoadedBeforeReadiness() throws Exception {
        Path loaded = dir.resolve("loaded");
        assertEquals(
                0,
                exit(start(
                        "check",
                        Path.of("deploy/example.json"),
                        dir.resolve("err"),
                        "-Xlog:class+load:file=" + loaded)));
        // This class is loaded only when a connection is made.
        assertTrue(Files.readString(loaded).contains("sun.nio.ch.SocketChannelImpl "));
    }

    @Test
    void addressInUseGivesOneLineAndFailedExit() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path config = Files.writeString(
                    dir.resolve("c.json"),
                    TestNode.configJson("127.0.0.1:" + taken.getLocalPort(), FakeServer.refusingAddress(), 1024));
            Path errors = dir.resolve("err");
            assertNotEquals(0, exit(start(config, errors)));
            assertEquals(1, Files.readAllLines(errors).size(), Files.readString(errors));
        }
    }

    @Test
    void sigtermLetsOpenRequestFinishBeforeExit() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (FakeServer endpoint = new FakeServer(FakeServer.answeringAfter(release))) {
            String listen = FakeServer.refusingAddress();
            int port = Integer.parseInt(listen.substring(listen.indexOf(':') + 1));
            Process process = start(
                    Files.writeString(
                            dir.resolve("c.json"),
                            TestNode.configJson(listen, FakeServer.refusingAddress(), 1024, endpoint.address()),
                            StandardCharsets.UTF_8),
                    dir.resolve("err"));
            try (TestClient client = connect(process, port);
                    TestClient idle = new TestClient(port)) {
                assertEquals(
                        200, idle.call("GET /health/ready HTTP/1.1\r\n\r\n").status());
                client.send(TestClient.submit("60"));
                endpoint.awaitRequest();
                process.destroy();
                // Idle connections are closed before the exit; the one with an open request stays open.
                assertNull(idle.read());
                release.countDown();
                TestClient.Answer answer = client.read();
                assertEquals("held", answer.body());
                assertEquals("close", answer.headers().get("connection"));
                assertNull(client.read());
                exit(process);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void sighupMovesWatchWithoutEndingProcess() throws Exception {
        FakeServer.Script watch =
                (request, connection) -> connection.sendRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"));
                FakeServer discovery = new FakeServer(watch);
                FakeServer moved = new FakeServer(watch)) {
            String listen = FakeServer.refusingAddress();
            Path config = Files.writeString(
                    dir.resolve("c.json"), TestNode.configJson(listen, discovery.address(), 1024, endpoint.address()));
            Process process = start(config, dir.resolve("err"));
            try {
                discovery.awaitRequest();
                Files.writeString(config, TestNode.configJson(listen, moved.address(), 1024));
                for (int i = 0; i < 3; i++) {
                    new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                            .start()
                            .waitFor();
                }
                discovery.awaitConnectionClosed();
                moved.awaitRequest();
                try (TestClient client = new TestClient(Integer.parseInt(listen.substring(listen.indexOf(':') + 1)))) {
                    assertEquals("done", client.call(TestClient.submit("5")).body());
                }
                assertTrue(process.isAlive());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void drainFailsRequestsThatWouldOutliveIt() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (FakeServer silent = new FakeServer((request, connection) -> {});
                TestNode node = new TestNode(FakeServer.refusingAddress(), silent.address());
                TestClient client = node.newClient()) {
            // The request's timeout is far longer than the platform lets a process live after SIGTERM.
            client.send(TestClient.submit("60"));
            silent.awaitRequest();
            node.group.next().execute(() -> node.server.drain(drained::countDown));
            assertEquals(502, client.read().status());
            assertNull(client.read());
            assertTrue(drained.await(FakeServer.TIMEOUT_S, TimeUnit.SECONDS));
        }
    }

    private static TestClient connect(Process process, int port) throws Exception {
        for (int i = 0; i < 2000 && process.isAlive(); i++) {
            try {
                return new TestClient(port);
            } catch (IOException e) {
                Thread.sleep(10);
            }
        }
        throw new AssertionError("the process did not start");
    }

    @Test
    void connectionsAreServedDuringDrainGracePeriod() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"));
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient clientBeforeDrain = node.newClient()) {
            assertEquals(200, clientBeforeDrain.call(TestClient.status("5")).status());
            // In one turn of the event loop, so that both arrive in time on a slow machine, too.
            String again = TestClient.status("5");
            try (TestClient client = node.group
                    .next()
                    .submit(() -> {
                        node.server.drain(drained::countDown);
                        clientBeforeDrain.send(again);
                        return node.newClient();
                    })
                    .get()) {
                assertEquals(200, clientBeforeDrain.read().status());
                assertEquals(200, client.call(TestClient.status("5")).status());
                assertNull(clientBeforeDrain.read());
                assertNull(client.read());
            }
            assertTrue(drained.await(FakeServer.TIMEOUT_S, TimeUnit.SECONDS));
        }
    }
}
