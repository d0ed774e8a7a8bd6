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

/** The design on a sidecar's ordinary path: the real module with the settings that a service balancer gives it. */
public class DesignTest {
    private static final int SIDECARS = 4;
    private static final double TOOK = 20;
    private final RequestClasses classes = new RequestClasses();
    private final int high = classes.of(true, 0, 400);
    private final int low = classes.of(true, 2, 400);

    private Decide module;
    private Map<String, Contract.Outcome> answers;
    private Map<String, Integer> sends;
    private ArrayDeque<Runnable> due;
    private List<String> did;
    private double now;
    private double wakeAt;
    private double lastAfter;
    private double acceptsEach;
    private Map<String, double[]> buckets;
    private long ids;

    // A bucket of what an endpoint can do, which holds three.
    private Contract.Outcome accept(String server) {
        double[] b = buckets.computeIfAbsent(server, k -> new double[] {3, now});
        b[0] = Math.min(3, b[0] + (now - b[1]) * acceptsEach);
        b[1] = now;
        if (b[0] < 1) {
            return Contract.Outcome.FULL;
        }
        b[0]--;
        return Contract.Outcome.SERVED;
    }

    private final class Acts extends NoActions {
        @Override
        public void send(Contract.Request r, String server, double within) {
            sends.merge(server, 1, Integer::sum);
            did.add("send");
            int attempt = attempts.merge(r.id, 1, Integer::sum) - 1;
            Contract.Outcome how =
                    acceptsEach > 0 ? accept(server) : answers.getOrDefault(server, Contract.Outcome.SERVED);
            due.add(() -> module.outcome(
                    now, r, attempt, how, how.neverRan ? 1 : TOOK, how == Contract.Outcome.SERVED, null));
        }

        @Override
        public void refuse(Contract.Request r, double retryAfter) {
            did.add("refuse");
            lastAfter = retryAfter;
        }

        @Override
        public void fail(Contract.Request r) {
            did.add("fail");
        }

        @Override
        public void wake(double at) {
            wakeAt = at;
        }
    }

    private Map<Long, Integer> attempts;

    @BeforeMethod
    public void start() {
        now = 1_000_000;
        answers = new HashMap<>();
        sends = new HashMap<>();
        attempts = new HashMap<>();
        buckets = new HashMap<>();
        acceptsEach = 0;
        due = new ArrayDeque<>();
        did = new ArrayList<>();
        module = new Decide(ServiceBalancer.settings(classes, 2.5, SIDECARS), 7, new Acts());
        module.start(now);
        List<Contract.Server> servers = new ArrayList<>();
        for (String id : List.of("a", "b", "c")) {
            servers.add(new Contract.Server(id, Contract.Standing.UP, 1, "z", -1, 0));
        }
        module.servers(now, Contract.ListKind.FULL, servers);
    }

    // Asks once in so many milliseconds; what the module does at once, outcomes aside.
    private String ask(int classIndex, double every) {
        now += every;
        while (wakeAt <= now) {
            module.wake(wakeAt);
        }
        did.clear();
        module.request(now, new Contract.Request(ids++, classIndex, -1, 1500, false));
        assertEquals(did.size(), 1, "one decision, at once: " + did);
        String first = did.get(0);
        while (!due.isEmpty()) {
            due.poll().run();
        }
        return did.get(did.size() - 1).equals("refuse") ? "refuse" : first;
    }

    @Test
    public void aSubsetIsPickedFromUniformly() {
        for (int i = 0; i < 3000; i++) {
            assertEquals(ask(high, 30), "send");
        }
        for (String id : List.of("a", "b", "c")) {
            assertEquals(sends.get(id), 1000, 120);
        }
    }

    private static void assertEquals(double is, double wanted, double within) {
        assertTrue(Math.abs(is - wanted) <= within, is + " is not " + wanted + " within " + within);
    }

    private static void assertEquals(Object is, Object wanted) {
        org.testng.Assert.assertEquals(is, wanted);
    }

    private static void assertEquals(Object is, Object wanted, String what) {
        org.testng.Assert.assertEquals(is, wanted, what);
    }

    @Test
    public void oneThatDoesNotAcceptGetsAPercentageAndItsRequestsGoToOthers() {
        answers.put("a", Contract.Outcome.FULL);
        int refused = 0;
        for (int i = 0; i < 2000; i++) {
            refused += ask(high, 10).equals("refuse") ? 1 : 0;
        }
        assertTrue(module.dropShare("a") > 0.5, "percentage of a: " + module.dropShare("a"));
        assertTrue(sends.get("a") < sends.get("b") / 2 && sends.get("a") > 0, sends.toString());
        assertTrue(refused < 100, refused + " refused though two serve");
        // It is drawn for each request: once it accepts again, it is found out and used again.
        answers.clear();
        for (int i = 0; i < 2000; i++) {
            ask(high, 10);
        }
        assertTrue(module.dropShare("a") < 0.05, "percentage of a: " + module.dropShare("a"));
    }

    @Test
    public void whereNoneAcceptsRequestsAreRefusedAtOnceLowWorthFirst() {
        int[] refused = new int[2];
        int asked = 6000;
        // Endpoints that accept 65 of the 100 requests a second that come, half of them of low worth.
        acceptsEach = 65.0 / 3 / 1000;
        for (int i = 0; i < asked; i++) {
            boolean lowWorth = i % 4 < 2;
            lastAfter = 0;
            boolean turnedAway = ask(lowWorth ? low : high, 10).equals("refuse");
            assertTrue(turnedAway == lastAfter > 0, "with a time to come back after");
            // By the draws alone: what an endpoint did not accept is refused for that.
            refused[lowWorth ? 0 : 1] += did.get(0).equals("refuse") ? 1 : 0;
        }
        assertTrue(refused[0] > asked / 10, "something is refused: " + refused[0]);
        assertTrue(refused[0] > 4 * refused[1], refused[0] + " of low worth, " + refused[1] + " of high");
    }
}
