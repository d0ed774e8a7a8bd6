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
 * Plays a {@link QuotaScenario} with the quota's own classes under a driven clock: sidecars and control nodes whose
 * messages take their time, are cut off, held up or lost, and restart.
 */
final class QuotaMesh {
    private static final String TENANT = "tenant";
    private static final int TICK_MS = 100;
    /** A cut that lasts longer ends the connection, and what was on its way is lost. */
    private static final int CONNECTION_LOST_MS = 3000;
    /** As long as a mark of the reserve stays on a control node's disk. */
    private static final int RESERVE_WINDOW_MS = (int) LeaseTerms.COUNTED_MS + 6000;

    /**
     * What came of it, by the millisecond in which requests were sent or admitted.
     *
     * @param owed requests that one bucket for the whole mesh would have had room for
     * @param refused of these, how many were refused
     * @param admitted requests that passed
     */
    record Outcome(int[] owed, int[] refused, int[] admitted) {
        static int sum(int[] counts, int fromMs, int toMs) {
            return Arrays.stream(counts, fromMs, Math.min(toMs, counts.length)).sum();
        }

        /** The most that were admitted in any window. */
        int mostInWindow() {
            int windowMs = (int) (QuotaScenario.WINDOW_S * 1000);
            int inWindow = 0;
            int most = 0;
            for (int ms = 0; ms < admitted.length; ms++) {
                inWindow += admitted[ms] - (ms >= windowMs ? admitted[ms - windowMs] : 0);
                most = Math.max(most, inWindow);
            }
            return most;
        }
    }

    /** A fault that is put into the mesh, to see that it is found. */
    enum Fault {
        NONE,
        /** Control nodes forget at a restart who may hold leases. */
        FORGET_LESSEES,
        /** A control node with a new disk grants at once. */
        GRANT_AT_ONCE
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
    /** By control node: sidecars that may hold leases, as its disk has it. */
    private final List<Set<String>> disks = new ArrayList<>();
    /** By sidecar and control node: counts connections, and when the last message of one arrives. */
    private final int[][] connections;

    private final int[][] lastArrivalMs;
    /** By control node: until when its disk tells that the reserve is in use. */
    private final int[] reserveUntilMs;

    private final Outcome outcome;
    private int lives;
    private double wholeBucket;

    private QuotaMesh(QuotaScenario scenario, Fault fault) {
        this.scenario = scenario;
        this.fault = fault;
        this.random = new Random(scenario.seed());
        this.sidecars = new Sidecar[scenario.sidecars()];
        this.controlNodes = new ControlNode[scenario.controlNodes()];
        this.reserveUntilMs = new int[scenario.controlNodes()];
        this.connections = new int[sidecars.length][controlNodes.length];
        this.lastArrivalMs = new int[sidecars.length][2 * controlNodes.length];
        this.outcome =
                new Outcome(new int[scenario.lengthMs()], new int[scenario.lengthMs()], new int[scenario.lengthMs()]);
        this.wholeBucket = scenario.burst();
        for (int i = 0; i < sidecars.length; i++) {
            startSidecar(i);
        }
        for (int c = 0; c < controlNodes.length; c++) {
            disks.add(new HashSet<>());
            controlNodes[c] = new ControlNode(new QuotaGrantor(0, ++lives, Set.of(), false), 0);
        }
    }

    static Outcome play(QuotaScenario scenario) {
        return play(scenario, Fault.NONE);
    }

    static Outcome play(QuotaScenario scenario, Fault fault) {
        return new QuotaMesh(scenario, fault).play();
    }

    private Outcome play() {
        for (int ms = 0; ms < scenario.lengthMs(); ms++) {
            restart(ms);
            deliver(ms);
            wholeBucket = Math.min(Math.max(1, scenario.burst()), wholeBucket + scenario.limitPerS() / 1000);
            for (int i = 0; i < sidecars.length; i++) {
                if (sidecars[i] != null) {
                    runSidecar(i, ms);
                }
            }
        }
        return outcome;
    }

    private void runSidecar(int i, int ms) {
        if ((ms + 37 * i) % TICK_MS == 0) {
            reportWhereDue(i, ms);
        }
        double expected = scenario.demandPerS(ms) * scenario.weights()[i] / 1000;
        for (double chance = expected; chance > 0; chance--) {
            if (random.nextDouble() < chance) {
                request(i, ms);
            }
        }
    }

    private void request(int i, int ms) {
        boolean owed = wholeBucket >= 1;
        wholeBucket -= owed ? 1 : 0;
        outcome.owed()[ms] += owed ? 1 : 0;
        TenantQuota quota = sidecars[i].quota;
        QuotaDecision decision = quota.acquire(ms, TENANT, scenario.limitPerS(), scenario.burst());
        if (decision instanceof QuotaDecision.NeedsToken need) {
            new Search(i, sidecars[i], need, ms, owed).begin();
        } else if (decision instanceof QuotaDecision.Refused refused) {
            refused(owed, ms, refused.retryAfterMs());
        } else {
            outcome.admitted()[ms]++;
        }
    }

    private void refused(boolean owed, int sentMs, double retryAfterMs) {
        assertTrue(
                retryAfterMs >= 0 && retryAfterMs <= QuotaScenario.WINDOW_S * 1000,
                "told to come back in " + retryAfterMs + " ms");
        outcome.refused()[sentMs] += owed ? 1 : 0;
    }

    /** A request that asks control nodes for a token. */
    private final class Search implements TokenSearch.Actions {
        private final int index;
        private final Sidecar sidecar;
        private final QuotaDecision.NeedsToken need;
        private final int sentMs;
        private final boolean owed;
        private final TokenSearch search;
        private int nowMs;

        private Search(int index, Sidecar sidecar, QuotaDecision.NeedsToken need, int sentMs, boolean owed) {
            this.index = index;
            this.sidecar = sidecar;
            this.need = need;
            this.sentMs = sentMs;
            this.owed = owed;
            List<String> order = new ArrayList<>();
            for (int c = 0; c < controlNodes.length; c++) {
                order.add(Integer.toString((c + sentMs) % controlNodes.length));
            }
            this.search = new TokenSearch(order, need.allowance(), this);
        }

        private void begin() {
            after((int) (TokenSearch.MAX_MS * TokenSearch.HEDGE_PART), search::hedge);
            after((int) TokenSearch.MAX_MS, search::end);
            nowMs = sentMs;
            search.begin();
        }

        private void after(int waitMs, Runnable step) {
            post(sentMs + waitMs, () -> at(sentMs + waitMs, step));
        }

        // A process that has ended waits for nothing.
        private void at(int ms, Runnable step) {
            nowMs = ms;
            if (sidecars[index] == sidecar) {
                step.run();
            }
        }

        @Override
        public void ask(String controlNode) {
            int c = Integer.parseInt(controlNode);
            send(index, c, nowMs, true, arrivedMs -> {
                TokenResponse response =
                        controlNode(c, arrivedMs).take(arrivedMs, new TokenRequest(1, TENANT, need.allowance()));
                send(
                        index,
                        c,
                        arrivedMs,
                        false,
                        backMs ->
                                at(backMs, () -> search.answered(controlNode, response.granted(), response.waitMs())));
            });
        }

        @Override
        public void granted() {
            sidecar.quota.tokenGranted(TENANT);
            if (nowMs < scenario.lengthMs()) {
                outcome.admitted()[nowMs]++;
            }
        }

        @Override
        public void surplus(String controlNode) {
            sidecar.quota.tokenUnused("control-" + controlNode, TENANT);
        }

        @Override
        public void denied(double waitMs) {
            refused(owed, sentMs, sidecar.quota.tokenDenied(nowMs, TENANT, waitMs));
        }

        @Override
        public void cancelled() {
            throw new AssertionError("nobody cancels it");
        }
    }

    private void reportWhereDue(int i, int ms) {
        Sidecar sidecar = sidecars[i];
        double now = ms;
        boolean hasNews = sidecar.quota.hasNews(now);
        for (int c = 0; c < controlNodes.length; c++) {
            boolean hasNeeds = sidecar.quota.hasNeeds(now, "control-" + c);
            if (sidecar.schedules[c].isDue(now, hasNeeds, hasNews)) {
                sidecar.schedules[c].sent(now);
                report(i, c, ms);
            }
        }
    }

    private void report(int i, int c, int ms) {
        Sidecar sender = sidecars[i];
        LeaseReport report = sender.quota.report(ms, "control-" + c);
        send(i, c, ms, true, arrivedMs -> {
            String name = "sidecar-" + i;
            boolean recorded = disks.get(c).contains(name);
            LeaseGrant grant = controlNode(c, arrivedMs).report(arrivedMs, name, report, recorded);
            // On disk a while later; until then it is told nothing.
            post(arrivedMs + 5, () -> disks.get(c).add(name));
            if (grant != null) {
                send(i, c, arrivedMs, false, backMs -> {
                    if (sidecars[i] == sender) {
                        sender.quota.granted(backMs, "control-" + c, grant);
                    }
                });
            }
        });
    }

    private QuotaGrantor controlNode(int c, int ms) {
        ControlNode node = controlNodes[c];
        node.grantor().advance(ms, ms >= node.grantsFromMs() ? 1.0 / controlNodes.length : 0);
        return node.grantor();
    }

    private interface Arrival {
        void at(int ms);
    }

    // In order, on a connection that a long cut or a restart ends; what a short cut holds up comes when that is over.
    private void send(int i, int c, int ms, boolean toControlNode, Arrival arrival) {
        if (random.nextDouble() < scenario.lossShare()) {
            return;
        }
        int connection = connections[i][c];
        int direction = 2 * c + (toControlNode ? 0 : 1);
        int arriveMs = Math.max(
                lastArrivalMs[i][direction],
                ms + scenario.minDelayMs() + random.nextInt(scenario.maxDelayMs() - scenario.minDelayMs() + 1));
        int heldFrom = arriveMs;
        while (!scenario.reaches(i, c, arriveMs)) {
            arriveMs++;
        }
        boolean broken = arriveMs - heldFrom > CONNECTION_LOST_MS;
        lastArrivalMs[i][direction] = arriveMs;
        int finalMs = arriveMs;
        post(finalMs, () -> {
            if (!broken && connections[i][c] == connection && sidecars[i] != null && controlNodes[c] != null) {
                arrival.at(finalMs);
            } else if (broken && connections[i][c] == connection) {
                reconnect(i, c);
            }
        });
    }

    private void reconnect(int i, int c) {
        connections[i][c]++;
        if (sidecars[i] != null) {
            sidecars[i].quota.connected("control-" + c);
            sidecars[i].schedules[c].connected();
        }
    }

    private void post(int atMs, Runnable message) {
        messages.computeIfAbsent(atMs, at -> new ArrayList<>()).add(message);
    }

    private void deliver(int ms) {
        while (!messages.isEmpty() && messages.firstKey() <= ms) {
            Map.Entry<Integer, List<Runnable>> due = messages.pollFirstEntry();
            due.getValue().forEach(Runnable::run);
        }
    }

    private void restart(int ms) {
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
            disks.set(index, new HashSet<>());
        }
        Set<String> earlier = fault == Fault.FORGET_LESSEES ? Set.of() : Set.copyOf(disks.get(index));
        int waitMs = restart.keepsDisk() || fault == Fault.GRANT_AT_ONCE ? 0 : (int) LeaseTerms.SETTLED_MS;
        boolean hasReserve = !earlier.isEmpty() && ms >= reserveUntilMs[index];
        if (hasReserve) {
            reserveUntilMs[index] = ms + RESERVE_WINDOW_MS;
        }
        QuotaGrantor grantor = new QuotaGrantor(ms, ++lives, earlier, hasReserve);
        controlNodes[index] = new ControlNode(grantor, ms + waitMs);
    }

    private void startSidecar(int i) {
        sidecars[i] = new Sidecar(new TenantQuota(rules, ++lives), scenario.controlNodes());
    }
}
