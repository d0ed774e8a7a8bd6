package whinlead.mesh.quota;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates a {@link QuotaScenario} with the classes of the quota package and a simulated clock: messages between
 * sidecars and control nodes are delayed, blocked or lost, and processes restart.
 */
final class QuotaMesh {
    private static final String TENANT = "tenant";
    private static final int TICK_MS = 100;
    /** A network cut that lasts longer ends the connection, and messages in transit are lost. */
    private static final int CONNECTION_TIMEOUT_MS = 3000;
    /** How long a control node's disk records that the reserve is in use. */
    private static final int RESERVE_WINDOW_MS = (int) LeaseTerms.COUNTED_MS + 6000;

    /**
     * The result, by the millisecond in which requests were sent or admitted.
     *
     * @param admissible requests that one token bucket for the whole mesh would have admitted
     * @param refused how many of these were refused
     * @param admitted all requests that were admitted
     */
    record Outcome(int[] admissible, int[] refused, int[] admitted) {
        static int sum(int[] counts, int fromMs, int toMs) {
            return Arrays.stream(counts, fromMs, Math.min(toMs, counts.length)).sum();
        }

        /** The largest number of requests admitted in any window. */
        int maxInWindow() {
            int windowMs = (int) (QuotaScenario.WINDOW_S * 1000);
            int inWindow = 0;
            int max = 0;
            for (int ms = 0; ms < admitted.length; ms++) {
                inWindow += admitted[ms] - (ms >= windowMs ? admitted[ms - windowMs] : 0);
                max = Math.max(max, inWindow);
            }
            return max;
        }
    }

    /** A fault that is injected to verify that the check detects it. */
    enum Fault {
        NONE,
        /** Control nodes lose at a restart the record of the sidecars that may have leases. */
        FORGET_LESSEES,
        /** A control node with a new disk grants without waiting. */
        GRANT_WITHOUT_WAITING
    }

    /** A sidecar's process. */
    private static final class Sidecar {
        private final TenantQuota quota;
        private final LeaseSchedule[] schedules;

        private Sidecar(TenantQuota quota, int controlNodes) {
            this.quota = quota;
            this.schedules = new LeaseSchedule[controlNodes];
            for (int c = 0; c < controlNodes; c++) {
                schedules[c] = new LeaseSchedule();
            }
        }
    }

    /** A control node's process. */
    private record ControlNode(QuotaGrantor grantor, int grantsFromMs) {}

    private final QuotaScenario scenario;
    private final Fault fault;
    private final QuotaRules rules = new QuotaRules(QuotaScenario.WINDOW_S, QuotaScenario.EXCESS, QuotaScenario.SLACK);
    private final Random random;
    private final TreeMap<Integer, List<Runnable>> messages = new TreeMap<>();
    private final Sidecar[] sidecars;
    private final ControlNode[] controlNodes;
    /** By control node: the sidecars that may have leases, as recorded on its disk. */
    private final List<Set<String>> recordedLessees = new ArrayList<>();
    /**
     * By sidecar and control node: the number of the current connection, and the arrival time of its last message in
     * each direction.
     */
    private final int[][] connectionNumbers;

    private final int[][] lastArrivalMs;
    /** By control node: until when its disk records that the reserve is in use. */
    private final int[] reserveUntilMs;

    private final Outcome outcome;
    private int lastLife;
    private double referenceTokens;

    private QuotaMesh(QuotaScenario scenario, Fault fault) {
        this.scenario = scenario;
        this.fault = fault;
        this.random = new Random(scenario.seed());
        this.sidecars = new Sidecar[scenario.sidecars()];
        this.controlNodes = new ControlNode[scenario.controlNodes()];
        this.reserveUntilMs = new int[scenario.controlNodes()];
        this.connectionNumbers = new int[sidecars.length][controlNodes.length];
        this.lastArrivalMs = new int[sidecars.length][2 * controlNodes.length];
        this.outcome = new Outcome(
                new int[scenario.durationMs()], new int[scenario.durationMs()], new int[scenario.durationMs()]);
        this.referenceTokens = scenario.burst();
        for (int i = 0; i < sidecars.length; i++) {
            startSidecar(i);
        }
        for (int c = 0; c < controlNodes.length; c++) {
            recordedLessees.add(new HashSet<>());
            controlNodes[c] = new ControlNode(new QuotaGrantor(0, ++lastLife, Set.of(), false), 0);
        }
    }

    static Outcome simulate(QuotaScenario scenario) {
        return simulate(scenario, Fault.NONE);
    }

    static Outcome simulate(QuotaScenario scenario, Fault fault) {
        return new QuotaMesh(scenario, fault).simulate();
    }

    private Outcome simulate() {
        for (int ms = 0; ms < scenario.durationMs(); ms++) {
            applyRestarts(ms);
            deliver(ms);
            referenceTokens = Math.min(Math.max(1, scenario.burst()), referenceTokens + scenario.limitPerS() / 1000);
            for (int i = 0; i < sidecars.length; i++) {
                if (sidecars[i] != null) {
                    runSidecar(i, ms);
                }
            }
        }
        return outcome;
    }

    private void runSidecar(int sidecarIndex, int ms) {
        if ((ms + 37 * sidecarIndex) % TICK_MS == 0) {
            sendDueReports(sidecarIndex, ms);
        }
        double expected = scenario.demandPerS(ms) * scenario.weights()[sidecarIndex] / 1000;
        for (double chance = expected; chance > 0; chance--) {
            if (random.nextDouble() < chance) {
                request(sidecarIndex, ms);
            }
        }
    }

    private void request(int sidecarIndex, int ms) {
        boolean isAdmissible = referenceTokens >= 1;
        referenceTokens -= isAdmissible ? 1 : 0;
        outcome.admissible()[ms] += isAdmissible ? 1 : 0;
        TenantQuota quota = sidecars[sidecarIndex].quota;
        QuotaDecision decision = quota.acquire(ms, TENANT, scenario.limitPerS(), scenario.burst());
        if (decision instanceof QuotaDecision.NeedsToken need) {
            new Search(sidecarIndex, sidecars[sidecarIndex], need, ms, isAdmissible).begin();
        } else if (decision instanceof QuotaDecision.Refused refused) {
            recordRefusal(isAdmissible, ms, refused.retryAfterMs());
        } else {
            outcome.admitted()[ms]++;
        }
    }

    private void recordRefusal(boolean isAdmissible, int sentMs, double retryAfterMs) {
        assertTrue(
                retryAfterMs >= 0 && retryAfterMs <= QuotaScenario.WINDOW_S * 1000,
                "retry-after is " + retryAfterMs + " ms");
        outcome.refused()[sentMs] += isAdmissible ? 1 : 0;
    }

    /** A request's search for a token. */
    private final class Search implements TokenSearch.Actions {
        private final int index;
        private final Sidecar sidecar;
        private final QuotaDecision.NeedsToken need;
        private final int sentMs;
        private final boolean isAdmissible;
        private final TokenSearch search;
        private int nowMs;

        private Search(int index, Sidecar sidecar, QuotaDecision.NeedsToken need, int sentMs, boolean isAdmissible) {
            this.index = index;
            this.sidecar = sidecar;
            this.need = need;
            this.sentMs = sentMs;
            this.isAdmissible = isAdmissible;
            List<String> order = new ArrayList<>();
            for (int c = 0; c < controlNodes.length; c++) {
                order.add(Integer.toString((c + sentMs) % controlNodes.length));
            }
            this.search = new TokenSearch(order, need.allowance(), this);
        }

        private void begin() {
            runAfter((int) (TokenSearch.MAX_MS * TokenSearch.HEDGE_FRACTION), search::hedge);
            runAfter((int) TokenSearch.MAX_MS, search::end);
            nowMs = sentMs;
            search.begin();
        }

        private void runAfter(int waitMs, Runnable step) {
            post(sentMs + waitMs, () -> runIfAlive(sentMs + waitMs, step));
        }

        // Steps of a process that has ended are dropped.
        private void runIfAlive(int ms, Runnable step) {
            nowMs = ms;
            if (sidecars[index] == sidecar) {
                step.run();
            }
        }

        @Override
        public void requestToken(String controlNode) {
            int nodeIndex = Integer.parseInt(controlNode);
            send(index, nodeIndex, nowMs, true, arrivedMs -> {
                TokenResponse response = advanceControlNode(nodeIndex, arrivedMs)
                        .handleTokenRequest(arrivedMs, new TokenRequest(1, TENANT, need.allowance()));
                send(
                        index,
                        nodeIndex,
                        arrivedMs,
                        false,
                        answeredMs -> runIfAlive(
                                answeredMs, () -> search.onAnswer(controlNode, response.granted(), response.waitMs())));
            });
        }

        @Override
        public void granted() {
            sidecar.quota.tokenGranted(TENANT);
            if (nowMs < scenario.durationMs()) {
                outcome.admitted()[nowMs]++;
            }
        }

        @Override
        public void returnToken(String controlNode) {
            sidecar.quota.tokenUnused("control-" + controlNode, TENANT);
        }

        @Override
        public void denied(double waitMs) {
            recordRefusal(isAdmissible, sentMs, sidecar.quota.tokenDenied(nowMs, TENANT, waitMs));
        }

        @Override
        public void cancelled() {
            throw new AssertionError("no search is cancelled in this simulation");
        }
    }

    private void sendDueReports(int sidecarIndex, int ms) {
        Sidecar sidecar = sidecars[sidecarIndex];
        double nowMs = ms;
        boolean hasDemandChanged = sidecar.quota.hasDemandChanged(nowMs);
        for (int c = 0; c < controlNodes.length; c++) {
            boolean hasNeeds = sidecar.quota.hasNeeds(nowMs, "control-" + c);
            if (sidecar.schedules[c].isDue(nowMs, hasNeeds, hasDemandChanged)) {
                sidecar.schedules[c].reportSent(nowMs);
                sendReport(sidecarIndex, c, ms);
            }
        }
    }

    private void sendReport(int sidecarIndex, int nodeIndex, int ms) {
        Sidecar sender = sidecars[sidecarIndex];
        LeaseReport report = sender.quota.createReport(ms, "control-" + nodeIndex);
        send(sidecarIndex, nodeIndex, ms, true, arrivedMs -> {
            String name = "sidecar-" + sidecarIndex;
            boolean recorded = recordedLessees.get(nodeIndex).contains(name);
            LeaseGrant grant = advanceControlNode(nodeIndex, arrivedMs).handleReport(arrivedMs, name, report, recorded);
            // The sidecar is recorded on disk a little later; until then it is granted nothing.
            post(arrivedMs + 5, () -> recordedLessees.get(nodeIndex).add(name));
            if (grant != null) {
                send(sidecarIndex, nodeIndex, arrivedMs, false, answeredMs -> {
                    if (sidecars[sidecarIndex] == sender) {
                        sender.quota.applyGrant(answeredMs, "control-" + nodeIndex, grant);
                    }
                });
            }
        });
    }

    private QuotaGrantor advanceControlNode(int nodeIndex, int ms) {
        ControlNode node = controlNodes[nodeIndex];
        node.grantor().advance(ms, ms >= node.grantsFromMs() ? 1.0 / controlNodes.length : 0);
        return node.grantor();
    }

    private interface Arrival {
        void onArrival(int ms);
    }

    // Messages arrive in order, on a connection that a long cut or a restart ends; messages blocked by a short cut
    // arrive when it is over.
    private void send(int sidecarIndex, int nodeIndex, int ms, boolean toControlNode, Arrival arrival) {
        if (random.nextDouble() < scenario.lossShare()) {
            return;
        }
        int connection = connectionNumbers[sidecarIndex][nodeIndex];
        int direction = 2 * nodeIndex + (toControlNode ? 0 : 1);
        int arriveMs = Math.max(
                lastArrivalMs[sidecarIndex][direction],
                ms + scenario.minDelayMs() + random.nextInt(scenario.maxDelayMs() - scenario.minDelayMs() + 1));
        int blockedFromMs = arriveMs;
        while (!scenario.isReachable(sidecarIndex, nodeIndex, arriveMs)) {
            arriveMs++;
        }
        boolean isConnectionLost = arriveMs - blockedFromMs > CONNECTION_TIMEOUT_MS;
        lastArrivalMs[sidecarIndex][direction] = arriveMs;
        int arrivalMs = arriveMs;
        post(arrivalMs, () -> {
            if (!isConnectionLost
                    && connectionNumbers[sidecarIndex][nodeIndex] == connection
                    && sidecars[sidecarIndex] != null
                    && controlNodes[nodeIndex] != null) {
                arrival.onArrival(arrivalMs);
            } else if (isConnectionLost && connectionNumbers[sidecarIndex][nodeIndex] == connection) {
                reconnect(sidecarIndex, nodeIndex);
            }
        });
    }

    private void reconnect(int sidecarIndex, int nodeIndex) {
        connectionNumbers[sidecarIndex][nodeIndex]++;
        if (sidecars[sidecarIndex] != null) {
            sidecars[sidecarIndex].quota.onConnected("control-" + nodeIndex);
            sidecars[sidecarIndex].schedules[nodeIndex].onConnected();
        }
    }

    private void post(int atMs, Runnable message) {
        messages.computeIfAbsent(atMs, time -> new ArrayList<>()).add(message);
    }

    private void deliver(int ms) {
        while (!messages.isEmpty() && messages.firstKey() <= ms) {
            Map.Entry<Integer, List<Runnable>> due = messages.pollFirstEntry();
            due.getValue().forEach(Runnable::run);
        }
    }

    private void applyRestarts(int ms) {
        for (QuotaScenario.Restart restart : scenario.restarts()) {
            if (ms == restart.fromMs()) {
                stop(restart);
            } else if (ms == restart.toMs()) {
                start(restart, ms);
            }
        }
    }

    private void stop(QuotaScenario.Restart restart) {
        if (restart.isControlNode()) {
            controlNodes[restart.index()] = null;
            for (int i = 0; i < sidecars.length; i++) {
                reconnect(i, restart.index());
            }
        } else {
            sidecars[restart.index()] = null;
            for (int c = 0; c < controlNodes.length; c++) {
                reconnect(restart.index(), c);
            }
        }
    }

    private void start(QuotaScenario.Restart restart, int ms) {
        int index = restart.index();
        if (!restart.isControlNode()) {
            startSidecar(index);
            return;
        }
        if (!restart.keepsDisk()) {
            recordedLessees.set(index, new HashSet<>());
        }
        Set<String> earlier = fault == Fault.FORGET_LESSEES ? Set.of() : Set.copyOf(recordedLessees.get(index));
        int waitMs = restart.keepsDisk() || fault == Fault.GRANT_WITHOUT_WAITING ? 0 : (int) LeaseTerms.SETTLED_MS;
        boolean hasReserve = !earlier.isEmpty() && ms >= reserveUntilMs[index];
        if (hasReserve) {
            reserveUntilMs[index] = ms + RESERVE_WINDOW_MS;
        }
        QuotaGrantor grantor = new QuotaGrantor(ms, ++lastLife, earlier, hasReserve);
        controlNodes[index] = new ControlNode(grantor, ms + waitMs);
    }

    private void startSidecar(int index) {
        sidecars[index] = new Sidecar(new TenantQuota(rules, ++lastLife), scenario.controlNodes());
    }
}
