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

/** The descriptor limit, really reached: a sidecar under {@code ulimit -n} that was told of a higher one. */
class DescriptorsTest {
    private static final int LIMIT = 200;
    private static final int FLOOD = 400;

    @TempDir
    Path dir;

    private Process start(Path config) throws IOException {
        List<String> line = new ArrayList<>(List.of(
                "sh",
                "-c",
                "ulimit -n " + LIMIT + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "whinlead.run.Main",
                "serve"));
        ProcessBuilder b = new ProcessBuilder(line);
        b.environment().put("PROXY_CONFIG", config.toString());
        return b.redirectErrorStream(true)
                .redirectOutput(dir.resolve("log").toFile())
                .start();
    }

    private static TestClient connect(Process p, int port) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        while (true) {
            try {
                return new TestClient(port);
            } catch (IOException e) {
                assertTrue(p.isAlive() && System.nanoTime() < end, "it listens");
            }
        }
    }

    // One that comes during the flood may be closed before it could ask, and comes again.
    private static int asked(Process p, int port) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
        while (true) {
            assertTrue(System.nanoTime() < end, "a good client is served in the end");
            try (TestClient good = connect(p, port)) {
                TestClient.Answer answer = good.ask(TestClient.status("5"));
                if (answer != null) {
                    return answer.status();
                }
            } catch (IOException closed) {
                assertTrue(p.isAlive());
            }
        }
    }

    @Test
    void withoutDescriptorsAHeldRequestEndsAndGoodClientsAreServedOn() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        List<TestClient> flood = new ArrayList<>();
        Process p = null;
        try (FakeServer e = new FakeServer((r, w) -> {
            if (r.line().startsWith("POST")) {
                try {
                    release.await();
                } catch (InterruptedException x) {
                    throw new IOException(x);
                }
            }
            w.ok("done");
        })) {
            String listen = FakeServer.refusing();
            int port = Integer.parseInt(listen.substring(listen.indexOf(':') + 1));
            p = start(Files.writeString(
                    dir.resolve("c.json"), TestNode.config(listen, FakeServer.refusing(), 1024, e.address())));
            try (TestClient submit = connect(p, port)) {
                submit.send(TestClient.submit("60"));
                e.awaitRequest();
                for (int i = 0; i < FLOOD; i++) {
                    flood.add(connect(p, port));
                }
                assertEquals(200, asked(p, port));
                release.countDown();
                assertEquals(200, submit.read().status(), "its one end, on the connection that asked");
            }
        } finally {
            release.countDown();
            for (TestClient c : flood) {
                c.close();
            }
            if (p != null) {
                p.destroyForcibly().waitFor();
            }
        }
    }
}
