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

/** Where load is captured, and that what a sidecar serves is. */
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
    void aBadFieldIsNamedInOneLine(String more) {
        String message =
                assertThrows(IllegalArgumentException.class, () -> config(more)).getMessage();
        assertTrue(message.startsWith("capture.") && message.lines().count() == 1, message);
    }

    @Test
    void aFolderThatIsNotThereIsRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> CaptureConfig.parse("{\"folder\": \"" + dir + "/no\"}", new ObjectMapper()));
        assertThrows(IllegalArgumentException.class, () -> CaptureConfig.parse("{}", new ObjectMapper()));
    }

    @Test
    void requestsThatASidecarServesAreCapturedWithTheirEnds() throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                TestNode n = new TestNode(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            Recorder recorder = config("").start(n.settings, line -> {});
            n.group.next().submit(() -> n.engine.journal(recorder)).get();
            for (int i = 0; i < 5; i++) {
                assertEquals(200, c.ask(TestClient.submit("5")).status());
            }
            n.group.next().submit(recorder::close).get();
            try (CaptureInput in = new CaptureInput(Files.newInputStream(dir.resolve("load-0.capture")))) {
                assertEquals(List.of("status", "submit", "pay"), in.classes());
                for (int i = 0; i < 5; i++) {
                    Entry entry = in.next();
                    assertEquals(RequestListener.End.SERVED, entry.end());
                    assertEquals(1, entry.kind());
                    assertEquals(3, entry.size());
                    assertEquals(5000, entry.timeout());
                }
                assertNull(in.next());
            }
        }
    }
}
