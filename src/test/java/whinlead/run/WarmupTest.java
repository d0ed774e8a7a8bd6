package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import whinlead.engine.Clock;

/** The warm-up before readiness, and the engine's clock. */
class WarmupTest {
    @Test
    void warmupServesRequests() throws Exception {
        Config config = Config.parse(TestNode.configJson("127.0.0.1:0", "127.0.0.1:1", 1024), new ObjectMapper());
        assertTrue(Warmup.run(config.settings()) > 0);
    }

    @Test
    void engineClockStartsAtUnixTime() {
        double before = System.currentTimeMillis();
        Clock clock = new Clock();
        double first = clock.nowMs();
        double second = clock.nowMs();
        // Start times from before this process stay below the clock's start and above 0, which means long ago.
        assertTrue(first >= before, first + " is before " + before);
        assertTrue(second >= first);
    }
}
