package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.Contract;
import whinlead.decide.Decide;
import whinlead.decide.NoActions;

/** The decision module with the settings that a service balancer gives it. */
public class ServiceBalancerSettingsTest {
    private static final int SIDECAR_COUNT = 4;
    private static final double RESPONSE_TIME_MS = 20;
    private final RequestClasses classes = new RequestClasses();
    private final int highWorthClass = classes.indexOf(true, 0, 400);
    private final int lowWorthClass = classes.indexOf(true, 2, 400);

    private Decide module;
    private Map<String, Contract.Outcome> outcomesByServer;
    private Map<String, Integer> sendsByServer;
    private ArrayDeque<Runnable> pendingOutcomes;
    private List<String> actions;
    private double nowMs;
    private double wakeAtMs;
    private double lastRetryAfterMs;
    private double acceptedPerMs;
    private Map<String, double[]> buckets;
    private long nextId;

    // A token bucket with the capacity of an endpoint and a burst of three.
    private Contract.Outcome accept(String server) {
        double[] bucket = buckets.computeIfAbsent(server, k -> new double[] {3, nowMs});
        bucket[0] = Math.min(3, bucket[0] + (nowMs - bucket[1]) * acceptedPerMs);
        bucket[1] = nowMs;
        if (bucket[0] < 1) {
            return Contract.Outcome.FULL;
        }
        bucket[0]--;
        return Contract.Outcome.SERVED;
    }

    private final class RecordingActions extends NoActions {
        @Override
        public void send(Contract.Request request, String server, double withinMs) {
            sendsByServer.merge(server, 1, Integer::sum);
            actions.add("send");
            int attempt = attemptsByRequest.merge(request.id, 1, Integer::sum) - 1;
            Contract.Outcome outcome =
                    acceptedPerMs > 0 ? accept(server) : outcomesByServer.getOrDefault(server, Contract.Outcome.SERVED);
            pendingOutcomes.add(() -> module.outcome(
                    nowMs,
                    request,
                    attempt,
                    outcome,
                    outcome.neverRan ? 1 : RESPONSE_TIME_MS,
                    outcome == Contract.Outcome.SERVED,
                    null));
        }

        @Override
        public void refuse(Contract.Request request, double retryAfterMs) {
            actions.add("refuse");
            lastRetryAfterMs = retryAfterMs;
        }

        @Override
        public void fail(Contract.Request request) {
            actions.add("fail");
        }

        @Override
        public void wake(double atMs) {
            wakeAtMs = atMs;
        }
    }

    private Map<Long, Integer> attemptsByRequest;

    @BeforeMethod
    public void start() {
        nowMs = 1_000_000;
        outcomesByServer = new HashMap<>();
        sendsByServer = new HashMap<>();
        attemptsByRequest = new HashMap<>();
        buckets = new HashMap<>();
        acceptedPerMs = 0;
        pendingOutcomes = new ArrayDeque<>();
        actions = new ArrayList<>();
        module = new Decide(ServiceBalancer.settings(classes, 2.5, SIDECAR_COUNT), 7, new RecordingActions());
        module.start(nowMs);
        List<Contract.Server> servers = new ArrayList<>();
        for (String id : List.of("a", "b", "c")) {
            servers.add(new Contract.Server(id, Contract.ServerState.UP, 1, "z", -1, 0));
        }
        module.servers(nowMs, Contract.ListKind.FULL, servers);
    }

    // Sends a request after an interval; returns the first action of the module, or "refuse" if it refused at the end.
    private String request(int classIndex, double intervalMs) {
        nowMs += intervalMs;
        while (wakeAtMs <= nowMs) {
            module.wake(wakeAtMs);
        }
        actions.clear();
        module.request(nowMs, new Contract.Request(nextId++, classIndex, -1, 1500, false));
        assertEquals(actions.size(), 1, "exactly one immediate decision: " + actions);
        String firstAction = actions.get(0);
        while (!pendingOutcomes.isEmpty()) {
            pendingOutcomes.poll().run();
        }
        return actions.get(actions.size() - 1).equals("refuse") ? "refuse" : firstAction;
    }

    @Test
    public void endpointsAreChosenUniformly() {
        for (int i = 0; i < 3000; i++) {
            assertEquals(request(highWorthClass, 30), "send");
        }
        for (String id : List.of("a", "b", "c")) {
            assertEquals(sendsByServer.get(id), 1000, 120);
        }
    }

    private static void assertEquals(double actual, double expected, double tolerance) {
        assertTrue(Math.abs(actual - expected) <= tolerance, actual + " is not " + expected + " within " + tolerance);
    }

    private static void assertEquals(Object actual, Object expected) {
        org.testng.Assert.assertEquals(actual, expected);
    }

    private static void assertEquals(Object actual, Object expected, String message) {
        org.testng.Assert.assertEquals(actual, expected, message);
    }

    @Test
    public void requestsOfAFullEndpointGoToOthersUntilItAcceptsAgain() {
        outcomesByServer.put("a", Contract.Outcome.FULL);
        int refused = 0;
        for (int i = 0; i < 2000; i++) {
            refused += request(highWorthClass, 10).equals("refuse") ? 1 : 0;
        }
        assertTrue(module.dropShare("a") > 0.5, "drop share of a: " + module.dropShare("a"));
        assertTrue(
                sendsByServer.get("a") < sendsByServer.get("b") / 2 && sendsByServer.get("a") > 0,
                sendsByServer.toString());
        assertTrue(refused < 100, refused + " refused although two endpoints serve");
        // The share is drawn for each request, so an endpoint that accepts again is noticed and used.
        outcomesByServer.clear();
        for (int i = 0; i < 2000; i++) {
            request(highWorthClass, 10);
        }
        assertTrue(module.dropShare("a") < 0.05, "drop share of a: " + module.dropShare("a"));
    }

    @Test
    public void overloadRefusesLowWorthRequestsFirst() {
        int[] refused = new int[2];
        int requestCount = 6000;
        // The endpoints accept 65 of the 100 requests per second that arrive, half of them of low worth.
        acceptedPerMs = 65.0 / 3 / 1000;
        for (int i = 0; i < requestCount; i++) {
            boolean lowWorth = i % 4 < 2;
            lastRetryAfterMs = 0;
            boolean refusedNow =
                    request(lowWorth ? lowWorthClass : highWorthClass, 10).equals("refuse");
            assertTrue(refusedNow == lastRetryAfterMs > 0, "a refusal has a retry-after time");
            // Counts only refusals by the module's draw, not those that follow an endpoint's rejection.
            refused[lowWorth ? 0 : 1] += actions.get(0).equals("refuse") ? 1 : 0;
        }
        assertTrue(refused[0] > requestCount / 10, "requests refused: " + refused[0]);
        assertTrue(refused[0] > 4 * refused[1], refused[0] + " of low worth, " + refused[1] + " of high");
    }
}
