package whinlead.mesh.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import whinlead.mesh.sidecar.DemandReports;

/**
 * Plays a {@link QuotaScenario} with the quota's own classes under a driven clock: sidecars and control nodes whose
 * messages take their time, are cut off and restart.
 */
final class QuotaMesh {
    private static final String TENANT = "tenant";
    private static final int REPORT_MS = 400;

    /**
     * What came of it.
     *
     * @param asked requests that clients sent
     * @param refusedInLimit requests refused that one bucket for the whole mesh would have had room for
     * @param mostInWindow the most that were admitted in any window
     */
    record Outcome(int asked, int refusedInLimit, int mostInWindow) {}

    private final QuotaScenario scenario;
    private final Random random;
    private final TreeMap<Integer, List<Runnable>> messages = new TreeMap<>();
    private final TenantQuota[] quotas;
    private final DemandReports[] reports;
    private final DemandTotals[] totals;
    private final int[] admitted;
    private int asked;
    private int refusedInLimit;
    private double wholeBucket;

    private QuotaMesh(QuotaScenario scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
        this.quotas = new TenantQuota[scenario.sidecars()];
        this.reports = new DemandReports[scenario.sidecars()];
        this.totals = new DemandTotals[scenario.controlNodes()];
        this.admitted = new int[scenario.lengthMs()];
        this.wholeBucket = scenario.burst();
        for (int i = 0; i < quotas.length; i++) {
            startSidecar(i, 0);
        }
        for (int i = 0; i < totals.length; i++) {
            totals[i] = new DemandTotals();
        }
    }

    static Outcome play(QuotaScenario scenario) {
        return new QuotaMesh(scenario).play();
    }

    private Outcome play() {
        for (int ms = 0; ms < scenario.lengthMs(); ms++) {
            deliver(ms);
            restart(ms);
            wholeBucket = Math.min(Math.max(1, scenario.burst()), wholeBucket + scenario.limitPerS() / 1000);
            for (int i = 0; i < quotas.length; i++) {
                if (quotas[i] != null) {
                    runSidecar(i, ms);
                }
            }
        }
        return new Outcome(asked, refusedInLimit, mostInWindow());
    }

    private void runSidecar(int i, int ms) {
        if ((ms + 37 * i) % REPORT_MS == 0) {
            report(i, ms);
        }
        double expected = scenario.demandPerS(ms) * scenario.weights()[i] / 1000;
        for (double chance = expected; chance > 0; chance--) {
            if (random.nextDouble() < chance) {
                request(i, ms);
            }
        }
    }

    private void request(int i, int ms) {
        asked++;
        boolean owed = wholeBucket >= 1;
        wholeBucket -= owed ? 1 : 0;
        boolean passes =
                quotas[i].acquire(ms, TENANT, scenario.limitPerS(), scenario.burst(), scenario.sidecars()) == 0;
        admitted[ms] += passes ? 1 : 0;
        refusedInLimit += owed && !passes ? 1 : 0;
    }

    private void report(int i, int ms) {
        List<TenantDemand> demand = quotas[i].demand(ms);
        DemandReports.Audience audience = reports[i].next(!demand.isEmpty());
        boolean wanted = audience != DemandReports.Audience.NONE;
        boolean all = audience == DemandReports.Audience.ALL;
        for (int c = 0; c < totals.length && (wanted || all); c++) {
            if (totals[c] != null && scenario.reaches(i, c, ms)) {
                send(i, c, ms, demand, wanted);
                wanted = false;
            }
        }
    }

    private void send(int i, int c, int ms, List<TenantDemand> demand, boolean wanted) {
        TenantQuota sender = quotas[i];
        DemandTotals receiver = totals[c];
        int arriveMs = ms + 1 + random.nextInt(scenario.maxDelayMs());
        post(arriveMs, () -> {
            if (totals[c] != receiver || !scenario.reaches(i, c, arriveMs)) {
                return;
            }
            receiver.report(arriveMs, "sidecar-" + i, demand);
            if (wanted) {
                int nodes = receiver.reportingNodes();
                List<TenantDemand> sums = receiver.totalsFor("sidecar-" + i);
                int backMs = arriveMs + 1 + random.nextInt(scenario.maxDelayMs());
                post(backMs, () -> {
                    if (quotas[i] == sender && scenario.reaches(i, c, backMs)) {
                        sender.updateTotals(backMs, nodes, sums);
                    }
                });
            }
        });
    }

    private void post(int atMs, Runnable message) {
        if (random.nextDouble() >= scenario.lossShare()) {
            messages.computeIfAbsent(atMs, at -> new ArrayList<>()).add(message);
        }
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
            totals[restart.index()] = null;
        } else {
            quotas[restart.index()] = null;
        }
    }

    private void start(QuotaScenario.Restart restart, int ms) {
        if (restart.isControlNode()) {
            totals[restart.index()] = new DemandTotals();
        } else {
            startSidecar(restart.index(), ms);
        }
    }

    private void startSidecar(int i, int ms) {
        quotas[i] = new TenantQuota(
                ms, QuotaScenario.SLACK, QuotaScenario.EXCESS, QuotaScenario.WINDOW_S, scenario.seed() * 1000 + i + ms);
        reports[i] = new DemandReports();
    }

    private int mostInWindow() {
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
