package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** The limit on all attempts in flight where servers report no load; also that failed connects cause no refusals. */
class CeilingTest {
    private static final int SERVERS = 12;
    private static final double DURATION_MS = 140;

    private record Out(double sentAtMs, Contract.Request request) {}

    private final Rig rig =
            new Rig(Rig.settings(false, Rig.requestClass("read", 1, Contract.Effect.SAFE, Contract.Group.ALL)), 5);
    private final Deque<Out> inFlight = new ArrayDeque<>();
    private int requests;
    private int refused;
    private int maxInFlight;

    CeilingTest() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(SERVERS));
    }

    /** Sends one request every {@code gapMs} and answers each after {@code durationMs}. */
    private void drive(double fromMs, double toMs, double gapMs, double durationMs) {
        for (double nowMs = fromMs; nowMs < toMs; nowMs += gapMs) {
            while (!inFlight.isEmpty() && inFlight.peek().sentAtMs() + durationMs <= nowMs) {
                Out attempt = inFlight.poll();
                rig.runTo(attempt.sentAtMs() + durationMs);
                rig.endAttempt(attempt.sentAtMs() + durationMs, attempt.request(), Contract.Outcome.SERVED, durationMs);
            }
            rig.runTo(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 0);
            requests++;
            if (rig.sendCount(request) > 0) {
                inFlight.add(new Out(nowMs, request));
            } else {
                refused++;
            }
            maxInFlight = Math.max(maxInFlight, inFlight.size());
        }
    }

    @Test
    void burstDoesNotFillAllServers() {
        drive(1, 6000, 10, DURATION_MS);
        assertEquals(0, refused, "refused at the usual 14 in flight");
        // Ten times the load with slower answers. Without the limit nearly every request would find a server that
        // passes.
        drive(6000, 6400, 1, 400);
        assertTrue(maxInFlight <= 20, "most in flight: " + maxInFlight);
        assertTrue(refused > 300, "refused " + refused);
    }

    @Test
    void limitFollowsARiseAnsweredInTime() {
        drive(1, 3000, 10, DURATION_MS);
        drive(3000, 6000, 3, DURATION_MS);
        requests = 0;
        refused = 0;
        drive(6000, 9000, 3, DURATION_MS);
        assertTrue(refused < requests / 100, refused + " refused of " + requests);
    }

    @Test
    void limitIsRememberedAfterALull() {
        drive(1, 3000, 3, DURATION_MS);
        drive(3000, 23_000, 100, DURATION_MS);
        refused = 0;
        requests = 0;
        drive(23_000, 24_000, 3, DURATION_MS);
        assertTrue(refused < requests / 20, refused + " refused of " + requests);
    }

    @Test
    void unreachableHalfCausesNoRefusalsAndNoDropsElsewhere() {
        for (double nowMs = 1; nowMs < 8000; nowMs += 10) {
            rig.runTo(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 0);
            while (!rig.answers.containsKey(request.id)
                    && Integer.parseInt(rig.lastServer(request).substring(1)) % 2 == 0) {
                rig.endAttempt(nowMs, request, Contract.Outcome.CONNECT_FAILED, 0);
            }
            if (!rig.answers.containsKey(request.id)) {
                rig.endAttempt(nowMs, request, Contract.Outcome.SERVED, DURATION_MS);
            }
            refused += rig.answers.containsKey(request.id) ? 1 : 0;
            for (int i = 1; i < SERVERS; i += 2) {
                assertEquals(0, rig.module.dropShare("s" + i), "at " + nowMs + " of s" + i);
            }
        }
        assertTrue(
                refused <= 8,
                refused + " refused of 800; expected only where all attempts of a request failed to connect");
    }
}
