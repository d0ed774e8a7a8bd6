package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/**
 * Servers that do not answer one class and serve the others, and connections that break for other reasons than load.
 */
class SilentClassTest {
    private static final int SERVERS = 10;
    private static final int SILENT_SERVERS = 5;
    private static final double DURATION_MS = 60;
    private static final double DEADLINE_MS = 2000;
    private static final int FAILING_CLASS = 1;
    /** One answer in this many is broken off by a reset. */
    private static final int RESET_EVERY = 6;

    private static final double MAX_REFUSED_SHARE = 0.01;

    private record Due(double timeMs, Contract.Request request, Contract.Outcome outcome, double durationMs) {}

    private final Rig rig = new Rig(
            Rig.settings(
                    false,
                    Rig.requestClass("low", 1, Contract.Effect.SAFE, Contract.Group.ALL),
                    Rig.requestClass("high", 3, Contract.Effect.UNSAFE, Contract.Group.ALL)),
            7);
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::timeMs));
    private final int[] requests = new int[2];
    private final int[] refused = new int[2];
    private int failingClassToSilent;
    private int otherClassToSilent;

    SilentClassTest() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(SERVERS));
    }

    private static boolean silent(String server) {
        return Integer.parseInt(server.substring(1)) < SILENT_SERVERS;
    }

    /**
     * Sends one request every {@code gapMs}. While {@code failing} is set, half of the servers do not answer the second
     * class.
     */
    private void drive(double fromMs, double toMs, double gapMs, boolean failing) {
        int i = 0;
        for (double nowMs = fromMs; nowMs < toMs; nowMs += gapMs, i++) {
            endDueAttempts(nowMs);
            int classIndex = i % 2;
            Contract.Request request = rig.sendRequest(nowMs, classIndex);
            requests[classIndex]++;
            if (rig.sendCount(request) == 0) {
                refused[classIndex]++;
                continue;
            }
            boolean lost = failing && classIndex == FAILING_CLASS && silent(rig.lastServer(request));
            failingClassToSilent += lost ? 1 : 0;
            otherClassToSilent += classIndex != FAILING_CLASS && silent(rig.lastServer(request)) ? 1 : 0;
            double durationMs = lost ? DEADLINE_MS : DURATION_MS;
            due.add(new Due(
                    nowMs + durationMs,
                    request,
                    lost ? Contract.Outcome.TIMED_OUT : Contract.Outcome.SERVED,
                    durationMs));
        }
    }

    private void endDueAttempts(double nowMs) {
        while (!due.isEmpty() && due.peek().timeMs() <= nowMs) {
            Due next = due.poll();
            rig.runTo(next.timeMs());
            rig.endAttempt(next.timeMs(), next.request(), next.outcome(), next.durationMs());
        }
        rig.runTo(nowMs);
    }

    private void resetCounts() {
        requests[0] = requests[1] = refused[0] = refused[1] = 0;
        failingClassToSilent = 0;
        otherClassToSilent = 0;
    }

    @Test
    void serverSilentToOneClassKeepsTheOthers() {
        drive(1, 5000, 5, false);
        drive(5000, 15_000, 5, true);
        resetCounts();
        drive(15_000, 25_000, 5, true);
        assertTrue(refused[0] < 0.02 * requests[0], "the other class: refused " + refused[0] + " of " + requests[0]);
        assertTrue(
                otherClassToSilent > 0.3 * requests[0],
                "the other class at silent servers: " + otherClassToSilent + " of " + requests[0]);
        assertTrue(refused[1] < 0.1 * requests[1], "the failing class: refused " + refused[1] + " of " + requests[1]);
        assertTrue(
                failingClassToSilent < 0.1 * requests[1],
                "the failing class at silent servers: " + failingClassToSilent + " of " + requests[1]);
        assertTrue(failingClassToSilent > 0, "silent servers are still tried for the failing class");
        drive(25_000, 60_000, 5, false);
        resetCounts();
        drive(60_000, 65_000, 5, false);
        assertEquals(0, refused[1], "refusals after recovery");
    }

    @Test
    void serverSilentToAllClassesIsAvoided() {
        drive(1, 5000, 5, false);
        for (double nowMs = 5000; nowMs < 15_000; nowMs += 5) {
            rig.runTo(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 0);
            if (rig.sendCount(request) > 0) {
                rig.endAttempt(
                        nowMs,
                        request,
                        silent(rig.lastServer(request)) ? Contract.Outcome.TIMED_OUT : Contract.Outcome.SERVED,
                        silent(rig.lastServer(request)) ? DEADLINE_MS : DURATION_MS);
            }
        }
        assertTrue(rig.module.dropShare("s0") > 0.9, "drop share of s0: " + rig.module.dropShare("s0"));
    }

    // A server with good answers may have up to twice its recent number in flight, and connections that break for
    // other reasons do not make answers count as worse.
    @Test
    void resetConnectionsDoNotLimitARise() {
        int sent = 0;
        for (double nowMs = 1; nowMs < 12_000; nowMs += nowMs < 10_000 ? 1 : 0.6) {
            endDueAttempts(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 1);
            requests[nowMs < 10_000 ? 0 : 1]++;
            if (rig.sendCount(request) == 0) {
                refused[nowMs < 10_000 ? 0 : 1]++;
            } else {
                boolean reset = sent++ % RESET_EVERY == 0;
                due.add(new Due(
                        nowMs + DURATION_MS,
                        request,
                        reset ? Contract.Outcome.RESET : Contract.Outcome.SERVED,
                        DURATION_MS));
            }
        }
        assertTrue(refused[1] < MAX_REFUSED_SHARE * requests[1], "refused " + refused[1] + " of " + requests[1]);
    }

    @Test
    void serverThatOnlyResetsIsAvoided() {
        for (double nowMs = 1; nowMs < 10_000; nowMs += 5) {
            endDueAttempts(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 1);
            if (rig.sendCount(request) > 0) {
                boolean reset = silent(rig.lastServer(request));
                due.add(new Due(
                        nowMs + DURATION_MS,
                        request,
                        reset ? Contract.Outcome.RESET : Contract.Outcome.SERVED,
                        DURATION_MS));
            }
        }
        assertTrue(rig.module.dropShare("s0") > 0.9, "drop share of s0: " + rig.module.dropShare("s0"));
    }
}
