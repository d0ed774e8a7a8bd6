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
 * Whole runs of random events against digests of the actions that they brought: a change that is meant to move code and
 * nothing else must give the same actions to the bit. Who changes a decision records anew, and says so.
 */
class RecordedRunTest {
    private static final Map<String, String> RECORDED = Map.of(
            "queues 5", "8b7031ead09c4e49",
            "random 1", "9c3870015260f433",
            "random 2", "31354f4e90c43a1f",
            "random 3", "06282d5b8bf3db1f",
            "random 4", "9e24e0efb9bcd835");

    @Test
    void theSameEventsGiveTheSameActionsToTheBit() {
        Map<String, String> actual = new TreeMap<>();
        for (long seed = 1; seed <= 4; seed++) {
            actual.put("random " + seed, digest(RandomEventsTest.play(seed, "n", seed % 2 == 0)));
        }
        actual.put("queues 5", digest(queues(5)));
        assertEquals(new TreeMap<>(RECORDED), actual);
    }

    /** An hour-glass of a day: load up to twice of what six servers with reports can do, and back. */
    private static List<String> queues(long seed) {
        Random dice = new Random(seed);
        Contract.Settings base = Rig.settings(
                false,
                Rig.kind("a", 5, Contract.Effect.SAFE, Contract.Group.ALL),
                Rig.kind("b", 2, Contract.Effect.UNSAFE, Contract.Group.ALL));
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
        double[] free = new double[6];
        PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at));
        double now = 0;
        while (now < 12_000) {
            now += 1 + dice.nextDouble() * (now > 4000 && now < 8000 ? 8 : 24);
            for (Due d = due.peek(); d != null && d.at() <= now; d = due.peek()) {
                due.poll();
                rig.runTo(d.at());
                rig.module.outcome(
                        d.at(),
                        d.request(),
                        d.attempt(),
                        Contract.Outcome.SERVED,
                        d.at() - d.sent(),
                        true,
                        new Contract.Report(Double.NaN, Double.NaN, d.util(), Double.NaN, 20 + dice.nextInt(9), 0));
            }
            rig.runTo(now);
            int k = dice.nextInt(2);
            Contract.Request r = rig.ask(now, k);
            if (rig.sends(r) > 0) {
                int s = Integer.parseInt(rig.lastServer(r).substring(1));
                free[s] = Math.max(now, free[s]) + 20 + dice.nextInt(40);
                due.add(new Due(free[s], now, r, 0, Math.min(1, (free[s] - now) / 200)));
            }
        }
        return rig.actions;
    }

    private record Due(double at, double sent, Contract.Request request, int attempt, double util) {}

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
