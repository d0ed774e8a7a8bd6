package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The operator's file of limits by client, and that they hold on real connections. */
class AdmissionConfigTest {
    private final ObjectMapper mapper = new ObjectMapper();

    @Test
    void theFileInTheRepositoryIsGood() {
        AdmissionConfig config = AdmissionConfig.read("deploy/admission.json", mapper);
        assertEquals(64, config.clients().perClient());
        assertEquals(256, config.clients().perKnownClient());
        assertEquals(128, config.clients().reserve());
        assertFalse(config.moves());
    }

    @Test
    void whatIsNotNamedLimitsNothing() {
        AdmissionConfig config = AdmissionConfig.parse("{}", mapper);
        assertEquals(1024, config.clients().perClient());
        assertEquals(0, config.clients().reserve());
        assertTrue(config.clients().perSecond() >= 1e6);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{",
                "{\"conections\":1}",
                "{\"connections\":0}",
                "{\"connections\":1.5}",
                "{\"connections\":2000}",
                "{\"connections\":9,\"connections_known\":8}",
                "{\"ipv4_prefix\":33}",
                "{\"ipv6_prefix\":-1}",
                "{\"move_descriptors\":1}",
                "{\"burst\":0}",
                "{\"remembered\":100000}"
            })
    void aBadFileIsOneLine(String text) {
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> AdmissionConfig.parse(text, mapper));
        assertFalse(e.getMessage().contains("\n"), e.getMessage());
    }

    @Test
    void aClientOverItsCapMakesRoomAmongItsOwn() throws Exception {
        AdmissionConfig config = AdmissionConfig.parse("{\"connections\":2,\"connections_known\":2}", mapper);
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                TestNode n = new TestNode(config, null, 1024, FakeServer.refusing(), "ask", e.address());
                TestClient first = n.client()) {
            assertEquals(200, first.ask(TestClient.status("5")).status());
            try (TestClient second = n.client()) {
                assertEquals(200, second.ask(TestClient.status("5")).status());
                // One that came just now goes while the others may be about to ask again.
                TestClient.Answer answer = null;
                long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.PATIENCE_S);
                while (answer == null) {
                    assertTrue(System.nanoTime() < end, "the third finds room");
                    try (TestClient third = n.client()) {
                        answer = third.ask(TestClient.status("5"));
                    } catch (IOException closed) {
                        answer = null;
                    }
                }
                assertEquals(200, answer.status());
                assertNull(first.read(), "the longest idle one went");
            }
        }
    }
}
