package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.Relay.Mode;
import whinlead.testbed.mesh.Talk;

/**
 * Point 1 on processes: a control node that reaches no other, but sidecars and operators, hands out nothing old as
 * confirmed, takes and confirms no order, and lets no sidecar begin with what is old while something newer can be
 * reached.
 */
public class CutOffControlNodeTest {
    /** How long it is cut off, in milliseconds. */
    private static final double CUT_MS = Double.parseDouble(System.getProperty("whinlead.cut-ms", "3000"));

    private static final double CONVERGE_MS = 2500;
    private static final double ACK_MS = 5000;
    /** Within this a control node that has noticed says that it reaches no majority. */
    private static final double REFUSED_MS = 1000;
    /** What is confirmed may be of so long ago: an answer proves nothing older. */
    private static final double CONFIRMED_MS = 1000;

    private static final double SLACK_MS = 250;
    private static final double START_MS = 30_000;
    /** Until a sidecar begins with what nobody confirms; less than it waits there is too soon. */
    private static final double WAIT_MS = 2000;

    private static final int OUT = 0;
    private RelayedRig rig;
    private int version;

    @BeforeClass
    public void start() throws Exception {
        rig = new RelayedRig();
        rig.startControlNodes();
        rig.startSidecars();
        rig.change(0, ++version, START_MS, RelayedRig.FOUNDERS);
        for (int i = 0; i < 2; i++) {
            int sidecar = i;
            RelayedRig.await("sidecar " + i + " has it", START_MS, () -> rig.serves(sidecar, version));
        }
        rig.awaitReadable();
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        rig.close();
    }

    // What one test leaves behind is no other's trouble.
    @AfterMethod(alwaysRun = true)
    public void mend() throws Exception {
        rig.open();
        rig.signal("o" + OUT, "CONT");
        RelayedRig.await(
                "all have the newest",
                START_MS,
                () -> rig.read(OUT).status() == 200 && rig.serves(0, version) && rig.serves(1, version));
    }

    private interface Step {
        void run() throws Exception;
    }

    private void others(Mode from, Mode to) {
        rig.between("o" + OUT, "o1", from, to);
        rig.between("o" + OUT, "o2", from, to);
    }

    /** A change while it is out, and all that must hold of the control node, until it has caught up. */
    private void out(String name, Step begin, Step meanwhile, Step end) throws Exception {
        int old = version++;
        double ended;
        List<ConfigUpdateProbe.Seen> seen;
        try (ConfigUpdateProbe probe = new ConfigUpdateProbe(rig.settings, OUT)) {
            double began = RelayedRig.now();
            begin.run();
            change(name, old);
            refuses(name, began);
            meanwhile.run();
            stay(began + CUT_MS);
            assertTrue(rig.read(OUT).status() == 503, "still out");
            ended = RelayedRig.now();
            end.run();
            caughtUp(name, ended);
            seen = probe.seen();
            confirmsNothingOld(seen, old, began + CONFIRMED_MS + SLACK_MS);
        }
    }

    private void change(String name, int old) throws Exception {
        double acked = rig.change(old, version, ACK_MS, 1, 2);
        double at = RelayedRig.now();
        for (int i = 0; i < 2; i++) {
            int sidecar = i;
            RelayedRig.await(
                    "sidecar " + i + " has the change",
                    CONVERGE_MS - (RelayedRig.now() - at),
                    () -> rig.serves(sidecar, version));
        }
        RelayedRig.figure(name + ": change acknowledged", acked);
        RelayedRig.figure(name + ": in force at both sidecars after that", RelayedRig.now() - at);
    }

    // Once it has noticed, it says so at once; before that it may be slow, but is never wrong.
    private void refuses(String name, double began) throws Exception {
        double noticed = Double.NaN;
        while (Double.isNaN(noticed)) {
            double asked = RelayedRig.now();
            Talk.Message read = rig.read(OUT);
            assertTrue(read.status() == 503 || read.text().equals(RelayedRig.config(version)), read.first());
            if (read.status() == 503 && RelayedRig.now() - asked < REFUSED_MS) {
                noticed = RelayedRig.now() - began;
            }
            assertTrue(RelayedRig.now() - began < 2 * CUT_MS, "it never noticed");
        }
        RelayedRig.figure(name + ": noticed by the control node after", noticed);
        double slowest = 0;
        for (int i = 0; i < 5; i++) {
            double asked = RelayedRig.now();
            assertEquals(rig.read(OUT).status(), 503);
            assertEquals(
                    rig.replace(OUT, version, RelayedRig.config(version + 1000)).status(), 503);
            slowest = Math.max(slowest, RelayedRig.now() - asked);
        }
        RelayedRig.figure(name + ": read and replace refused, slowest pair of 5", slowest);
        assertTrue(slowest < REFUSED_MS, slowest + " ms");
    }

    private static void stay(double until) {
        while (RelayedRig.now() < until) {
            LockSupport.parkNanos((long) ((until - RelayedRig.now()) * 1e6));
        }
    }

    private void caughtUp(String name, double ended) throws Exception {
        RelayedRig.await("the control node has the newest", ACK_MS, () -> {
            Talk.Message read = rig.read(OUT);
            assertTrue(read.status() == 503 || read.text().equals(RelayedRig.config(version)), read.first());
            return read.status() == 200;
        });
        RelayedRig.figure(name + ": newest read from it after the end", RelayedRig.now() - ended);
    }

    private void confirmsNothingOld(List<ConfigUpdateProbe.Seen> seen, int old, double from) {
        assertFalse(seen.isEmpty());
        List<ConfigUpdateProbe.Seen> wrong = seen.stream()
                .filter(s -> s.at() > from && s.confirmed() && s.version() <= old)
                .toList();
        assertEquals(wrong, List.of(), "confirmed an old configuration");
    }

    // A restarted sidecar whose first seed is the control node that is out.
    private void restartBeginsWithTheNewest(String name, int... seeds) throws Exception {
        rig.kill("c1");
        rig.sidecar(1, seeds);
        double began = RelayedRig.now();
        RelayedRig.await("the restarted sidecar is ready", START_MS, () -> rig.ready(1));
        assertTrue(rig.serves(1, version), "ready with an old configuration");
        RelayedRig.figure(
                name + ": sidecar restarted with seeds " + Arrays.toString(seeds) + " ready with the newest",
                RelayedRig.now() - began);
    }

    @Test
    public void oneThatIsCutOff() throws Exception {
        out(
                "cut",
                () -> others(Mode.CUT, Mode.CUT),
                () -> {
                    restartBeginsWithTheNewest("cut", 0, 1, 2);
                    restartBeginsWithTheNewest("cut", 0);
                    restartWhereItAloneCanBeReached();
                },
                () -> others(Mode.OPEN, Mode.OPEN));
    }

    private void restartWhereItAloneCanBeReached() throws Exception {
        rig.kill("c1");
        rig.between("c1", "o1", Mode.CUT, Mode.CUT);
        rig.between("c1", "o2", Mode.CUT, Mode.CUT);
        long before = reached();
        rig.sidecar(1, RelayedRig.FOUNDERS);
        RelayedRig.await("it reaches the control node", START_MS, () -> reached() > before);
        double began = RelayedRig.now();
        RelayedRig.await("it is ready all the same", START_MS, () -> rig.ready(1));
        double ready = RelayedRig.now() - began;
        assertTrue(rig.serves(1, version - 1), "and serves what can be had");
        assertFalse(rig.serves(1, version));
        RelayedRig.figure("alone: sidecar ready after it reached the cut-off control node alone", ready);
        assertTrue(ready > WAIT_MS - SLACK_MS, "not before it has looked for better: " + ready);
        rig.between("c1", "o1", Mode.OPEN, Mode.OPEN);
        rig.between("c1", "o2", Mode.OPEN, Mode.OPEN);
        RelayedRig.figure(
                "alone: newest in force after another control node is back in reach",
                RelayedRig.await("it takes the newest", CONVERGE_MS, () -> rig.serves(1, version)));
    }

    private long reached() throws IOException {
        return rig.log("c1").lines().filter(l -> l.startsWith("301 ")).count();
    }

    @Test
    public void oneThatIsNotHeard() throws Exception {
        out(
                "cut one way, from it",
                () -> others(Mode.CUT, Mode.OPEN),
                () -> restartBeginsWithTheNewest("cut one way, from it", 0),
                () -> others(Mode.OPEN, Mode.OPEN));
    }

    @Test
    public void oneThatHearsNothing() throws Exception {
        out("cut one way, to it", () -> others(Mode.OPEN, Mode.CUT), () -> {}, () -> others(Mode.OPEN, Mode.OPEN));
    }

    @Test
    public void oneWhosePacketsComeAllAtOnce() throws Exception {
        out("held back", () -> others(Mode.HELD, Mode.HELD), () -> {}, () -> others(Mode.OPEN, Mode.OPEN));
        out("held back one way", () -> others(Mode.OPEN, Mode.HELD), () -> {}, () -> others(Mode.OPEN, Mode.OPEN));
    }

    @Test
    public void oneThatIsFrozen() throws Exception {
        int old = version++;
        try (ConfigUpdateProbe probe = new ConfigUpdateProbe(rig.settings, OUT)) {
            RelayedRig.await("it answers", ACK_MS, () -> !probe.seen().isEmpty());
            double began = RelayedRig.now();
            rig.signal("o" + OUT, "STOP");
            change("frozen", old);
            stay(began + CUT_MS - REFUSED_MS);
            // What waits for it in the moment of its thaw.
            CompletableFuture<Talk.Message> read = CompletableFuture.supplyAsync(() -> asked(false, old));
            CompletableFuture<Talk.Message> replace = CompletableFuture.supplyAsync(() -> asked(true, old));
            stay(began + CUT_MS);
            double thawed = RelayedRig.now();
            rig.signal("o" + OUT, "CONT");
            Talk.Message first = read.get((long) START_MS, TimeUnit.MILLISECONDS);
            boolean newest = first.text().equals(RelayedRig.config(version));
            assertTrue(first.status() == 503 || newest, first.first());
            int order = replace.get((long) START_MS, TimeUnit.MILLISECONDS).status();
            assertTrue(order == 503 || order == 412, "an order built on the old one: " + order);
            System.out.println("frozen: read at the thaw " + first.status() + ", order " + order);
            caughtUp("frozen", thawed);
            RelayedRig.await(
                    "answers of after the thaw",
                    ACK_MS,
                    () -> probe.seen().stream()
                            .anyMatch(s -> s.at() > thawed && s.confirmed() && s.version() == version));
            confirmsNothingOld(probe.seen(), old, thawed);
            System.out.println("frozen: told unconfirmed after the thaw "
                    + probe.seen().stream()
                            .filter(s -> s.at() > thawed && !s.confirmed())
                            .count());
        }
    }

    private Talk.Message asked(boolean order, int old) {
        try {
            return order ? rig.replace(OUT, old, RelayedRig.config(old + 1000)) : rig.read(OUT);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
