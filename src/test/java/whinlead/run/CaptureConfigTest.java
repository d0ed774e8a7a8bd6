package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.capture.CaptureInput;
import whinlead.capture.Entry;
import whinlead.capture.Recorder;
import whinlead.engine.RequestListener;

/** The capture configuration, and the capture of requests that a sidecar serves. */
class CaptureConfigTest {
    @TempDir
    Path dir;

    private CaptureConfig config(String more) {
        return CaptureConfig.parse("{\"folder\": \"" + dir + "\"" + more + "}", new ObjectMapper());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                ", \"files\": 0",
                ", \"file_mb\": 1.5",
                ", \"queue\": 1",
                ", \"folders\": 2",
                ", \"files\": \"4\""
            })
    void invalidFieldGivesOneLineError(String more) {
        String message =
                assertThrows(IllegalArgumentException.class, () -> config(more)).getMessage();
        assertTrue(message.startsWith("capture.") && message.lines().count() == 1, message);
    }

    @Test
    void rejectsMissingFolder() {
        assertThrows(
                IllegalArgumentException.class,
                () -> CaptureConfig.parse("{\"folder\": \"" + dir + "/no\"}", new ObjectMapper()));
        assertThrows(IllegalArgumentException.class, () -> CaptureConfig.parse("{}", new ObjectMapper()));
    }

    @Test
    void capturesServedRequestsWithTheirOutcomes() throws Exception {
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"));
                TestNode node = new TestNode(FakeServer.refusingAddress(), endpoint.address());
                TestClient client = node.newClient()) {
            Recorder recorder = config("").start(node.settings, line -> {});
            node.group
                    .next()
                    .submit(() -> node.engine.requestListener(recorder))
                    .get();
            for (int i = 0; i < 5; i++) {
                assertEquals(200, client.call(TestClient.submit("5")).status());
            }
            node.group.next().submit(recorder::close).get();
            try (CaptureInput in = new CaptureInput(Files.newInputStream(dir.resolve("load-0.capture")))) {
                assertEquals(List.of("status", "submit", "pay"), in.classNames());
                for (int i = 0; i < 5; i++) {
                    Entry entry = in.next();
                    assertEquals(RequestListener.Result.SERVED, entry.outcome());
                    assertEquals(1, entry.classIndex());
                    assertEquals(3, entry.bodyBytes());
                    assertEquals(5000, entry.timeoutMs());
                }
                assertNull(in.next());
            }
        }
    }
}
