package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Servers that leave one class without an answer and serve the rest, and lines that break on their own. */
class SilentClassTest {
    private static final int SERVERS = 10;
    private static final int SILENT = 5;
    private static final double TOOK = 60;
    private static final double DEADLINE = 2000;
    private static final int SICK_CLASS = 1;
    /** One answer in so many breaks off. */
    private static final int BREAKS = 6;

    private static final double REFUSED_PART = 0.01;

    private record Due(double at, Contract.Request request, Contract.Outcome outcome, double took) {}

    private final Rig rig = new Rig(
            Rig.settings(
                    false,
                    Rig.kind("low", 1, Contract.Effect.SAFE, Contract.Group.ALL),
                    Rig.kind("high", 3, Contract.Effect.UNSAFE, Contract.Group.ALL)),
            7);
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at));
    private final int[] asked = new int[2];
    private final int[] refused = new int[2];
    private int sickToSilent;
    private int soundToSilent;

    SilentClassTest() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(SERVERS));
    }

    private static boolean silent(String server) {
        return Integer.parseInt(server.substring(1)) < SILENT;
    }

    /** One request each gap; the second class has no answer from half of the servers while they are sick. */
    private void drive(double from, double to, double gap, boolean sick) {
        int i = 0;
        for (double now = from; now < to; now += gap, i++) {
            settle(now);
            int k = i % 2;
            Contract.Request r = rig.ask(now, k);
            asked[k]++;
            if (rig.sends(r) == 0) {
                refused[k]++;
                continue;
            }
            boolean lost = sick && k == SICK_CLASS && silent(rig.lastServer(r));
            sickToSilent += lost ? 1 : 0;
            soundToSilent += k != SICK_CLASS && silent(rig.lastServer(r)) ? 1 : 0;
            double took = lost ? DEADLINE : TOOK;
            due.add(new Due(now + took, r, lost ? Contract.Outcome.TIMED_OUT : Contract.Outcome.SERVED, took));
        }
    }

    private void settle(double now) {
        while (!due.isEmpty() && due.peek().at() <= now) {
            Due d = due.poll();
            rig.runTo(d.at());
            rig.end(d.at(), d.request(), d.outcome(), d.took());
        }
        rig.runTo(now);
    }

    private void forget() {
        asked[0] = asked[1] = refused[0] = refused[1] = 0;
        sickToSilent = 0;
        soundToSilent = 0;
    }

    @Test
    void aServerSilentToOneClassKeepsTheOthers() {
        drive(1, 5000, 5, false);
        drive(5000, 15_000, 5, true);
        forget();
        drive(15_000, 25_000, 5, true);
        assertTrue(refused[0] < 0.02 * asked[0], "the sound class: refused " + refused[0] + " of " + asked[0]);
        assertTrue(soundToSilent > 0.3 * asked[0], "used on: " + soundToSilent + " of " + asked[0]);
        assertTrue(refused[1] < 0.1 * asked[1], "the sick class: refused " + refused[1] + " of " + asked[1]);
        assertTrue(sickToSilent < 0.1 * asked[1], "to where it is silent: " + sickToSilent + " of " + asked[1]);
        assertTrue(sickToSilent > 0, "tried now and then");
        drive(25_000, 60_000, 5, false);
        forget();
        drive(60_000, 65_000, 5, false);
        assertEquals(0, refused[1], "well again");
    }

    @Test
    void aServerSilentToAllIsShed() {
        drive(1, 5000, 5, false);
        for (double now = 5000; now < 15_000; now += 5) {
            rig.runTo(now);
            Contract.Request r = rig.ask(now, 0);
            if (rig.sends(r) > 0) {
                rig.end(
                        now,
                        r,
                        silent(rig.lastServer(r)) ? Contract.Outcome.TIMED_OUT : Contract.Outcome.SERVED,
                        silent(rig.lastServer(r)) ? DEADLINE : TOOK);
            }
        }
        assertTrue(rig.module.dropShare("s0") > 0.9, "s0: " + rig.module.dropShare("s0"));
    }

    // Where answers are good a server may hold up to twice what it lately held, and lines that break on their own
    // make no answer worse.
    @Test
    void linesThatBreakDoNotHoldARiseBack() {
        int sent = 0;
        for (double now = 1; now < 12_000; now += now < 10_000 ? 1 : 0.6) {
            settle(now);
            Contract.Request r = rig.ask(now, 1);
            asked[now < 10_000 ? 0 : 1]++;
            if (rig.sends(r) == 0) {
                refused[now < 10_000 ? 0 : 1]++;
            } else {
                boolean broke = sent++ % BREAKS == 0;
                due.add(new Due(now + TOOK, r, broke ? Contract.Outcome.RESET : Contract.Outcome.SERVED, TOOK));
            }
        }
        assertTrue(refused[1] < REFUSED_PART * asked[1], "refused " + refused[1] + " of " + asked[1]);
    }

    @Test
    void aServerThatOnlyResetsIsShed() {
        for (double now = 1; now < 10_000; now += 5) {
            settle(now);
            Contract.Request r = rig.ask(now, 1);
            if (rig.sends(r) > 0) {
                boolean broke = silent(rig.lastServer(r));
                due.add(new Due(now + TOOK, r, broke ? Contract.Outcome.RESET : Contract.Outcome.SERVED, TOOK));
            }
        }
        assertTrue(rig.module.dropShare("s0") > 0.9, "s0: " + rig.module.dropShare("s0"));
    }
}
