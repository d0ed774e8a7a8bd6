package whinlead.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** A real sidecar in a process of its own among the stand-ins on sockets, through each kind of fault. */
class SocketDayTest {
    private static EndpointScript endpoint(String id) {
        return new EndpointScript(id, 32, 200, ServiceLaw.exponential(5)).reporting();
    }

    @Test
    void theRulesHoldWhileEachEndpointHasAnotherFault() throws Exception {
        List<EndpointScript> fleet = List.of(
                endpoint("a").with(EndpointScript.Kind.AWAY, 500, 1500),
                endpoint("b").with(EndpointScript.Kind.SILENT, 500, 1500),
                endpoint("c").with(EndpointScript.Kind.RESETTING, 500, 1500),
                endpoint("d").with(EndpointScript.Kind.SPOILING, 500, 1500),
                endpoint("e"),
                endpoint("f"));
        Contract.Settings settings = Settings.of(
                true,
                Settings.type("read", 5, Contract.Effect.SAFE),
                Settings.type("write", 2, Contract.Effect.UNSAFE));
        Ledger ledger = new SocketDay(
                        settings,
                        fleet,
                        List.of(Load.steady(0, 150, Habit.NONE), Load.steady(1, 50, Habit.AT_ONCE)),
                        3000,
                        11)
                .play();
        assertEquals(Map.of(), ledger.broken());
        Ledger.Count all = ledger.count(0, 3000);
        assertTrue(all.asked() > 400, "asked " + all);
        assertTrue(all.served() > all.asked() / 2, "two are sound throughout: " + all);
        assertTrue(all.failed() > 0, "what was cut short on the way has failed: " + all);
    }

    @Test
    void aBrokenPromiseIsToldAndRemembered() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Promises promises = new Promises(new PrintStream(bytes, true));
        promises.figure("plain", 1);
        promises.under("low", 0.5, 1);
        promises.rules("rules", Map.of());
        assertTrue(promises.kept());
        promises.over("high", 0.5, 1);
        assertTrue(!promises.kept());
        assertEquals(
                List.of(
                        "plain: 1.0000",
                        "low: 0.5000 (promised: under 1.0000)",
                        "rules: none (promised: none)",
                        "high: 0.5000 (promised: over 1.0000) BROKEN"),
                bytes.toString().lines().toList());
    }

    @Test
    void rehearseFailsOnAnUnknownName() {
        assertEquals(0, Rehearse.run());
        assertEquals(2, Rehearse.run("no-such"));
        assertEquals(0, Rehearse.run("room", "--driven", "--day", "away-1s"));
    }
}
