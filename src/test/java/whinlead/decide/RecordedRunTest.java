package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/**
 * Compares digests of the actions of whole random runs: a change that only moves code must give exactly the same
 * actions. A change of decisions records new digests and states so.
 */
class RecordedRunTest {
    private static final Map<String, String> RECORDED = Map.of(
            "queues 5", "8b7031ead09c4e49",
            "random 1", "9c3870015260f433",
            "random 2", "31354f4e90c43a1f",
            "random 3", "06282d5b8bf3db1f",
            "random 4", "9e24e0efb9bcd835");

    @Test
    void sameEventsGiveTheRecordedActions() {
        Map<String, String> actual = new TreeMap<>();
        for (long seed = 1; seed <= 4; seed++) {
            actual.put("random " + seed, digest(RandomEventsTest.play(seed, "n", seed % 2 == 0)));
        }
        actual.put("queues 5", digest(queues(5)));
        assertEquals(new TreeMap<>(RECORDED), actual);
    }

    /** Load that rises to twice the capacity of six servers with reports, and falls again. */
    private static List<String> queues(long seed) {
        Random random = new Random(seed);
        Contract.Settings base = Rig.settings(
                false,
                Rig.requestClass("a", 5, Contract.Effect.SAFE, Contract.Group.ALL),
                Rig.requestClass("b", 2, Contract.Effect.UNSAFE, Contract.Group.ALL));
        Rig rig = new Rig(
                new Contract.Settings(
                        base.classes(),
                        base.tenants(),
                        1,
                        base.limits(),
                        base.obligations(),
                        Contract.Reporting.WITH_ANSWERS,
                        true,
                        4,
                        0),
                seed);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(6));
        double[] freeAtMs = new double[6];
        PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::timeMs));
        double nowMs = 0;
        while (nowMs < 12_000) {
            nowMs += 1 + random.nextDouble() * (nowMs > 4000 && nowMs < 8000 ? 8 : 24);
            for (Due next = due.peek(); next != null && next.timeMs() <= nowMs; next = due.peek()) {
                due.poll();
                rig.runTo(next.timeMs());
                rig.module.outcome(
                        next.timeMs(),
                        next.request(),
                        next.attempt(),
                        Contract.Outcome.SERVED,
                        next.timeMs() - next.sentAtMs(),
                        true,
                        new Contract.Report(
                                Double.NaN, Double.NaN, next.util(), Double.NaN, 20 + random.nextInt(9), 0));
            }
            rig.runTo(nowMs);
            int classIndex = random.nextInt(2);
            Contract.Request request = rig.sendRequest(nowMs, classIndex);
            if (rig.sendCount(request) > 0) {
                int s = Integer.parseInt(rig.lastServer(request).substring(1));
                freeAtMs[s] = Math.max(nowMs, freeAtMs[s]) + 20 + random.nextInt(40);
                due.add(new Due(freeAtMs[s], nowMs, request, 0, Math.min(1, (freeAtMs[s] - nowMs) / 200)));
            }
        }
        return rig.actions;
    }

    private record Due(double timeMs, double sentAtMs, Contract.Request request, int attempt, double util) {}

    private static String digest(List<String> actions) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            actions.forEach(a -> sha.update((a + "\n").getBytes(StandardCharsets.UTF_8)));
            return HexFormat.of().formatHex(sha.digest(), 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
