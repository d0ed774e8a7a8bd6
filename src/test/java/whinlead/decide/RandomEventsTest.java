package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Seeded random event sequences against the rules, determinism, and that names mean nothing. */
class RandomEventsTest {
    private static final class Out {
        final Contract.Request request;
        final int attempt;
        final double at;

        Out(Contract.Request request, int attempt, double at) {
            this.request = request;
            this.attempt = attempt;
            this.at = at;
        }
    }

    private static Contract.Settings settings(String prefix, boolean copies) {
        Contract.RequestClass[] k = {
            new Contract.RequestClass(
                    prefix + "a", 5, 0.3, 400, 1500, Contract.Effect.SAFE, Contract.Group.ALL, 0, false),
            new Contract.RequestClass(
                    prefix + "b", 3, 0, 300, 1000, Contract.Effect.KEYED, Contract.Group.ZONE, 700, false),
            new Contract.RequestClass(
                    prefix + "c", 1, 0, 300, 1000, Contract.Effect.UNSAFE, Contract.Group.ALL, 0, false)
        };
        Contract.Settings s = Rig.settings(copies, k);
        return new Contract.Settings(
                s.classes(),
                List.of(new Contract.Tenant(prefix + "t", 0.6, 50), new Contract.Tenant(prefix + "u", 0.4, 30)),
                0.2,
                new Contract.Limits(4, copies, true, true, false, true, 1000, 0.002),
                s.obligations(),
                Contract.Reporting.WITH_PROBES,
                true,
                4,
                1);
    }

    /** Plays one random day; checks the rules at every action; returns the actions. */
    static List<String> play(long seed, String prefix, boolean copies) {
        Random dice = new Random(seed);
        Rig rig = new Rig(settings(prefix, copies), seed);
        Contract.Outcome[] outcomes = Contract.Outcome.values();
        List<Out> out = new ArrayList<>();
        Map<Long, Integer> attempts = new HashMap<>();
        Contract.Standing[] standing = new Contract.Standing[12];
        double[] started = new double[12];
        double now = 100000;
        rig.checked = true;
        int scanned = 0;
        rig.module.start(now);
        for (int step = 0; step < 3000; step++) {
            now += dice.nextInt(20) == 0 ? dice.nextInt(3000) : dice.nextInt(12);
            rig.runTo(now);
            scanned = scan(rig, scanned, out, attempts, standing);
            rig.now = now;
            int what = dice.nextInt(100);
            if (what < 45) {
                Contract.Request r =
                        new Contract.Request(step, dice.nextInt(3), dice.nextInt(2), 200 + dice.nextInt(900), false);
                rig.requests.put(r.id, r);
                rig.module.request(now, r);
            } else if (what < 85 && !out.isEmpty()) {
                Out o = out.remove(dice.nextInt(out.size()));
                Contract.Outcome end = outcomes[dice.nextInt(3) == 0 ? dice.nextInt(outcomes.length) : 0];
                boolean over = end == Contract.Outcome.SERVED || rig.answers.containsKey(o.request.id);
                if (end == Contract.Outcome.SERVED) {
                    rig.answers.putIfAbsent(o.request.id, "served");
                }
                rig.noteOutcome(o.request, o.attempt, end);
                rig.module.outcome(now, o.request, o.attempt, end, now - o.at, over, null);
                if (dice.nextInt(10) == 0) {
                    rig.module.outcome(now, o.request, o.attempt, end, now - o.at, true, null);
                }
                assertTrue(
                        rig.answers.containsKey(o.request.id) || rig.outstanding(o.request) > 0,
                        "held without an attempt out: " + o.request.id);
            } else if (what < 92) {
                List<Contract.Server> list = new ArrayList<>();
                boolean full = dice.nextBoolean();
                for (int i = 0; i < 12; i++) {
                    if (full || dice.nextInt(4) == 0) {
                        standing[i] = Contract.Standing.values()[dice.nextInt(3) == 0 ? dice.nextInt(3) : 0];
                        started[i] = dice.nextInt(4) == 0 ? now : started[i];
                        list.add(new Contract.Server("s" + i, standing[i], 1, "z" + i % 3, i / 4, started[i]));
                    }
                }
                rig.module.servers(now, full ? Contract.ListKind.FULL : Contract.ListKind.CHANGES, list);
            } else if (what < 94) {
                rig.module.servers(now, Contract.ListKind.FAILED, List.of());
            } else if (what < 96) {
                rig.module.probed(
                        now,
                        "s" + dice.nextInt(14),
                        Contract.Outcome.SERVED,
                        1,
                        new Contract.Report(
                                dice.nextInt(6), dice.nextInt(5), Double.NaN, Double.NaN, Double.NaN, Double.NaN));
            } else if (what < 98) {
                rig.module.message(now, 2, new byte[dice.nextInt(9)]);
            } else if (!out.isEmpty()) {
                Contract.Request r = out.get(0).request;
                rig.answers.putIfAbsent(r.id, "left");
                rig.module.abandoned(now, r);
            }
            scanned = scan(rig, scanned, out, attempts, standing);
        }
        return rig.actions;
    }

    /** Notes the attempts among the newest actions; each must have gone to a server that the list calls up. */
    private static int scan(
            Rig rig, int from, List<Out> out, Map<Long, Integer> attempts, Contract.Standing[] standing) {
        for (int i = from; i < rig.actions.size(); i++) {
            String[] a = rig.actions.get(i).split(" ");
            if (a[0].equals("send")) {
                Contract.Request r = rig.requests.get(Long.parseLong(a[1]));
                out.add(new Out(r, attempts.merge(r.id, 1, Integer::sum) - 1, rig.now));
                assertEquals(Contract.Standing.UP, standing[Integer.parseInt(a[2].substring(1))], "sent to " + a[2]);
            }
        }
        return rig.actions.size();
    }

    @Test
    void theRulesHoldUnderRandomEvents() {
        for (int seed = 0; seed < 30; seed++) {
            assertFalse(play(seed, "x", seed % 2 == 0).isEmpty());
        }
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        assertEquals(play(5, "x", true), play(5, "x", true));
        assertNotEquals(play(5, "x", true), play(6, "x", true));
    }

    @Test
    void namesOfClassesAndTenantsMeanNothing() {
        assertEquals(play(9, "x", false), play(9, "quite-other-", false));
    }
}
