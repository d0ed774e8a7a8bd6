package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Exhaustion of descriptors: a sidecar under {@code ulimit -n} whose configuration states a higher limit. */
class DescriptorsTest {
    private static final int DESCRIPTOR_LIMIT = 200;
    private static final int FLOOD_CONNECTIONS = 400;

    @TempDir
    Path dir;

    private Process start(Path config) throws IOException {
        List<String> line = new ArrayList<>(List.of(
                "sh",
                "-c",
                "ulimit -n " + DESCRIPTOR_LIMIT + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "whinlead.run.Main",
                "serve"));
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().put("PROXY_CONFIG", config.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(dir.resolve("log").toFile())
                .start();
    }

    private static TestClient connect(Process process, int port) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_S);
        while (true) {
            try {
                return new TestClient(port);
            } catch (IOException e) {
                assertTrue(process.isAlive() && System.nanoTime() < end, "the sidecar does not listen");
            }
        }
    }

    // A connection made during the flood may be closed before it sends a request; then the client reconnects.
    private static int awaitStatus(Process process, int port) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_S);
        while (true) {
            assertTrue(System.nanoTime() < end, "a well-behaved client was never served");
            try (TestClient good = connect(process, port)) {
                TestClient.Answer answer = good.call(TestClient.status("5"));
                if (answer != null) {
                    return answer.status();
                }
            } catch (IOException closed) {
                assertTrue(process.isAlive());
            }
        }
    }

    @Test
    void openRequestCompletesAndClientsAreServedWithoutFreeDescriptors() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        List<TestClient> flood = new ArrayList<>();
        Process process = null;
        try (FakeServer endpoint = new FakeServer((request, connection) -> {
            if (request.line().startsWith("POST")) {
                try {
                    release.await();
                } catch (InterruptedException x) {
                    throw new IOException(x);
                }
            }
            connection.ok("done");
        })) {
            String listen = FakeServer.refusingAddress();
            int port = Integer.parseInt(listen.substring(listen.indexOf(':') + 1));
            process = start(Files.writeString(
                    dir.resolve("c.json"),
                    TestNode.configJson(listen, FakeServer.refusingAddress(), 1024, endpoint.address())));
            try (TestClient submit = connect(process, port)) {
                submit.send(TestClient.submit("60"));
                endpoint.awaitRequest();
                for (int i = 0; i < FLOOD_CONNECTIONS; i++) {
                    flood.add(connect(process, port));
                }
                assertEquals(200, awaitStatus(process, port));
                release.countDown();
                assertEquals(200, submit.read().status(), "the open request ends on its own connection");
            }
        } finally {
            release.countDown();
            for (TestClient client : flood) {
                client.close();
            }
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
        }
    }
}
