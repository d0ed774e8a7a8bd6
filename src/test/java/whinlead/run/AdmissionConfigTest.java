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

/** The operator's file of limits per client, and their enforcement on real connections. */
class AdmissionConfigTest {
    private final ObjectMapper mapper = new ObjectMapper();

    @Test
    void repositoryFileIsValid() {
        AdmissionConfig config = AdmissionConfig.read("deploy/admission.json", mapper);
        assertEquals(64, config.clientLimits().perClient());
        assertEquals(256, config.clientLimits().perKnownClient());
        assertEquals(128, config.clientLimits().reserve());
        assertFalse(config.moveDescriptors());
    }

    @Test
    void absentFieldsLimitNothing() {
        AdmissionConfig config = AdmissionConfig.parse("{}", mapper);
        assertEquals(1024, config.clientLimits().perClient());
        assertEquals(0, config.clientLimits().reserve());
        assertTrue(config.clientLimits().connectionsPerSecond() >= 1e6);
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
    void invalidFileGivesOneLineError(String text) {
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> AdmissionConfig.parse(text, mapper));
        assertFalse(e.getMessage().contains("\n"), e.getMessage());
    }

    @Test
    void clientOverItsLimitLosesItsLongestIdleConnection() throws Exception {
        AdmissionConfig config = AdmissionConfig.parse("{\"connections\":2,\"connections_known\":2}", mapper);
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"));
                TestNode node =
                        new TestNode(config, null, 1024, FakeServer.refusingAddress(), "ask", endpoint.address());
                TestClient first = node.newClient()) {
            assertEquals(200, first.call(TestClient.status("5")).status());
            try (TestClient second = node.newClient()) {
                assertEquals(200, second.call(TestClient.status("5")).status());
                // A new connection may be closed first while the others may still send another request.
                TestClient.Answer answer = null;
                long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_S);
                while (answer == null) {
                    assertTrue(System.nanoTime() < end, "the third connection was never served");
                    try (TestClient third = node.newClient()) {
                        answer = third.call(TestClient.status("5"));
                    } catch (IOException closed) {
                        answer = null;
                    }
                }
                assertEquals(200, answer.status());
                assertNull(first.read(), "the longest idle connection is still open");
            }
        }
    }
}
