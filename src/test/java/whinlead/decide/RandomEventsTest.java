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

/** Seeded random event sequences: checks the rules, determinism, and that names do not influence decisions. */
class RandomEventsTest {
    private static final class Out {
        final Contract.Request request;
        final int attempt;
        final double sentAtMs;

        Out(Contract.Request request, int attempt, double sentAtMs) {
            this.request = request;
            this.attempt = attempt;
            this.sentAtMs = sentAtMs;
        }
    }

    private static Contract.Settings settings(String prefix, boolean copies) {
        Contract.RequestClass[] requestClasses = {
            new Contract.RequestClass(
                    prefix + "a", 5, 0.3, 400, 1500, Contract.Effect.SAFE, Contract.Group.ALL, 0, false),
            new Contract.RequestClass(
                    prefix + "b", 3, 0, 300, 1000, Contract.Effect.KEYED, Contract.Group.ZONE, 700, false),
            new Contract.RequestClass(
                    prefix + "c", 1, 0, 300, 1000, Contract.Effect.UNSAFE, Contract.Group.ALL, 0, false)
        };
        Contract.Settings settings = Rig.settings(copies, requestClasses);
        return new Contract.Settings(
                settings.classes(),
                List.of(new Contract.Tenant(prefix + "t", 0.6, 50), new Contract.Tenant(prefix + "u", 0.4, 30)),
                0.2,
                new Contract.Limits(4, copies, true, true, false, true, 1000, 0.002),
                settings.obligations(),
                Contract.Reporting.WITH_PROBES,
                true,
                4,
                1);
    }

    /** Runs one random sequence of events, checks the rules at every action, and returns the actions. */
    static List<String> play(long seed, String prefix, boolean copies) {
        Random random = new Random(seed);
        Rig rig = new Rig(settings(prefix, copies), seed);
        Contract.Outcome[] outcomes = Contract.Outcome.values();
        List<Out> inFlight = new ArrayList<>();
        Map<Long, Integer> attempts = new HashMap<>();
        Contract.ServerState[] states = new Contract.ServerState[12];
        double[] startedAtMs = new double[12];
        double nowMs = 100000;
        rig.checkRules = true;
        int collected = 0;
        rig.module.start(nowMs);
        for (int step = 0; step < 3000; step++) {
            nowMs += random.nextInt(20) == 0 ? random.nextInt(3000) : random.nextInt(12);
            rig.runTo(nowMs);
            collected = collectAttempts(rig, collected, inFlight, attempts, states);
            rig.nowMs = nowMs;
            int eventKind = random.nextInt(100);
            if (eventKind < 45) {
                Contract.Request request = new Contract.Request(
                        step, random.nextInt(3), random.nextInt(2), 200 + random.nextInt(900), false);
                rig.requests.put(request.id, request);
                rig.module.request(nowMs, request);
            } else if (eventKind < 85 && !inFlight.isEmpty()) {
                Out attempt = inFlight.remove(random.nextInt(inFlight.size()));
                Contract.Outcome end = outcomes[random.nextInt(3) == 0 ? random.nextInt(outcomes.length) : 0];
                boolean finished = end == Contract.Outcome.SERVED || rig.answers.containsKey(attempt.request.id);
                if (end == Contract.Outcome.SERVED) {
                    rig.answers.putIfAbsent(attempt.request.id, "served");
                }
                rig.noteOutcome(attempt.request, attempt.attempt, end);
                rig.module.outcome(
                        nowMs, attempt.request, attempt.attempt, end, nowMs - attempt.sentAtMs, finished, null);
                if (random.nextInt(10) == 0) {
                    rig.module.outcome(
                            nowMs, attempt.request, attempt.attempt, end, nowMs - attempt.sentAtMs, true, null);
                }
                assertTrue(
                        rig.answers.containsKey(attempt.request.id) || rig.outstanding(attempt.request) > 0,
                        "neither answered nor in flight: " + attempt.request.id);
            } else if (eventKind < 92) {
                List<Contract.Server> list = new ArrayList<>();
                boolean full = random.nextBoolean();
                for (int i = 0; i < 12; i++) {
                    if (full || random.nextInt(4) == 0) {
                        states[i] = Contract.ServerState.values()[random.nextInt(3) == 0 ? random.nextInt(3) : 0];
                        startedAtMs[i] = random.nextInt(4) == 0 ? nowMs : startedAtMs[i];
                        list.add(new Contract.Server("s" + i, states[i], 1, "z" + i % 3, i / 4, startedAtMs[i]));
                    }
                }
                rig.module.servers(nowMs, full ? Contract.ListKind.FULL : Contract.ListKind.CHANGES, list);
            } else if (eventKind < 94) {
                rig.module.servers(nowMs, Contract.ListKind.FAILED, List.of());
            } else if (eventKind < 96) {
                rig.module.probed(
                        nowMs,
                        "s" + random.nextInt(14),
                        Contract.Outcome.SERVED,
                        1,
                        new Contract.Report(
                                random.nextInt(6), random.nextInt(5), Double.NaN, Double.NaN, Double.NaN, Double.NaN));
            } else if (eventKind < 98) {
                rig.module.message(nowMs, 2, new byte[random.nextInt(9)]);
            } else if (!inFlight.isEmpty()) {
                Contract.Request request = inFlight.get(0).request;
                rig.answers.putIfAbsent(request.id, "left");
                rig.module.abandoned(nowMs, request);
            }
            collected = collectAttempts(rig, collected, inFlight, attempts, states);
        }
        return rig.actions;
    }

    /** Collects the attempts among the newest actions. Each must have gone to a server that is listed as up. */
    private static int collectAttempts(
            Rig rig, int from, List<Out> inFlight, Map<Long, Integer> attempts, Contract.ServerState[] states) {
        for (int i = from; i < rig.actions.size(); i++) {
            String[] words = rig.actions.get(i).split(" ");
            if (words[0].equals("send")) {
                Contract.Request request = rig.requests.get(Long.parseLong(words[1]));
                inFlight.add(new Out(request, attempts.merge(request.id, 1, Integer::sum) - 1, rig.nowMs));
                assertEquals(
                        Contract.ServerState.UP,
                        states[Integer.parseInt(words[2].substring(1))],
                        "sent to " + words[2]);
            }
        }
        return rig.actions.size();
    }

    @Test
    void rulesHoldUnderRandomEvents() {
        for (int seed = 0; seed < 30; seed++) {
            assertFalse(play(seed, "x", seed % 2 == 0).isEmpty());
        }
    }

    @Test
    void sameEventsGiveTheSameActions() {
        assertEquals(play(5, "x", true), play(5, "x", true));
        assertNotEquals(play(5, "x", true), play(6, "x", true));
    }

    @Test
    void namesOfClassesAndTenantsDoNotMatter() {
        assertEquals(play(9, "x", false), play(9, "quite-other-", false));
    }
}
