package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import whinlead.engine.Clock;

/** What runs before the sidecar is ready. */
class WarmupTest {
    @Test
    void requestsAreServedThroughAllParts() throws Exception {
        Config config = Config.parse(TestNode.config("127.0.0.1:0", "127.0.0.1:1", 1024), new ObjectMapper());
        assertTrue(Warmup.run(config.settings()) > 0);
    }

    @Test
    void theModulesClockStartsAtUnixTimeSoThatABirthNeedsNoConversion() {
        double before = System.currentTimeMillis();
        Clock clock = new Clock();
        double first = clock.now();
        double second = clock.now();
        // Births older than this process stay older than the clock's start, and above 0, which means long
        // ago.
        assertTrue(first >= before, first + " is before " + before);
        assertTrue(second >= first);
    }
}
