package whinlead.testbed.mesh.upgrade;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import whinlead.testbed.mesh.StandInApp;
import whinlead.testbed.mesh.Talk;
import whinlead.testbed.mesh.TestbedSettings;

/**
 * Three control nodes and three sidecars as processes on loopback, upgraded one at a time under requests and changes:
 * half way, back, through, and all back. One thread.
 */
public final class Rollout implements AutoCloseable {
    private static final int NODES = 3;
    private static final int CLIENTS_EACH = 2;
    private static final long HEARTBEAT_MS = 200;
    private static final long WAIT_S = 60;
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final double NANOS_PER_MS = 1e6;
    private static final double PROMISED_READY_MS = 30_000;
    private static final int LOSSES_TOLD = 10;

    private final Figures figures;
    private final Program old;
    private final Program current;
    private final long standMs;
    private final TestbedSettings cards = new TestbedSettings(NODES);
    private final List<Machine> controlNodes = new ArrayList<>();
    private final List<Machine> sidecars = new ArrayList<>();
    private final List<StandInApp> endpoints = new ArrayList<>();
    private final Clients clients;
    private final Changes changes;

    /**
     * A fleet that is not started.
     *
     * @param standMs how long it stands after each way
     */
    public Rollout(Figures figures, Program old, Program current, long standMs) throws IOException {
        this.figures = figures;
        this.old = old;
        this.current = current;
        this.standMs = standMs;
        Path folder = Files.createTempDirectory("upgrade");
        List<String> egress = new ArrayList<>();
        List<String> control = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            controlNodes.add(new Machine(
                    Machine.Role.CONTROL_NODE,
                    i,
                    folder,
                    cards.controlNode(i, folder.resolve("disk-" + i).toString(), true),
                    cards.control(i)));
            sidecars.add(new Machine(Machine.Role.SIDECAR, i, folder, cards.sidecar(i, "svc"), cards.readiness(i)));
            endpoints.add(new StandInApp("i-" + i, "svc", cards.app(i), cards.beats(i)));
            egress.add(cards.egress(i));
            control.add(cards.control(i));
        }
        clients = new Clients(sidecars, egress);
        changes = new Changes(control);
    }

    /**
     * Plays it all.
     *
     * @throws IllegalStateException if a machine is not ready again within a minute
     */
    public void play() throws Exception {
        begin();
        replace("half way up, ", current, controlNodes.get(0), sidecars.get(0), controlNodes.get(1));
        stand("half way up, ");
        replace("back, ", old, controlNodes.get(1), sidecars.get(0), controlNodes.get(0));
        stand("back, ");
        replace("through, ", current, inPairs());
        stand("through, ");
        replace("all back, ", old, inPairs());
        stand("all back, ");
        report();
    }

    private Machine[] inPairs() {
        return new Machine[] {
            controlNodes.get(0),
            sidecars.get(0),
            controlNodes.get(1),
            sidecars.get(1),
            controlNodes.get(2),
            sidecars.get(2)
        };
    }

    private void begin() throws Exception {
        for (Machine m : controlNodes) {
            m.start(old);
        }
        for (int i = 0; i < NODES; i++) {
            sidecars.get(i).start(old);
            endpoints.get(i).beatEvery(HEARTBEAT_MS);
        }
        changes.start();
        for (Machine m : sidecars) {
            await(m.name() + " is ready", m::ready);
        }
        for (Machine m : controlNodes) {
            await(m.name() + " answers", m::ready);
        }
        for (String egress : List.of(cards.egress(0), cards.egress(1), cards.egress(2))) {
            await(egress + " serves", () -> status(egress, "/a/first") == 200);
        }
        clients.start(CLIENTS_EACH);
    }

    private static void await(String what, Callable<Boolean> holds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (!holds.call()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("not in " + WAIT_S + " s: " + what);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static int status(String egress, String path) {
        try {
            Talk.Message answer = Talk.ask(
                    egress,
                    "GET " + path,
                    Map.of(
                            "Host",
                            "post.example",
                            "Attempt-Id",
                            "probe-" + System.nanoTime(),
                            "Deadline-Ms",
                            "4000",
                            "Api-Key",
                            "key-1"),
                    new byte[0]);
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    private void replace(String of, Program program, Machine... machines) throws Exception {
        for (Machine m : machines) {
            long began = System.nanoTime();
            m.stop();
            double stopped = (System.nanoTime() - began) / NANOS_PER_MS;
            m.start(program);
            await(m.name() + " is ready again", m::ready);
            figures.figure(of + m.name() + " to " + program.name() + ", ms to its process's end", stopped);
            figures.under(
                    of + m.name() + " to " + program.name() + ", ms from SIGTERM to ready",
                    (System.nanoTime() - began) / NANOS_PER_MS,
                    PROMISED_READY_MS);
        }
    }

    // Under load for a while; then what was acknowledged last must be at every control node and sidecar.
    private void stand(String of) throws Exception {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(standMs));
        long version = changes.hold();
        long began = System.nanoTime();
        for (int i = 0; i < NODES; i++) {
            String control = cards.control(i);
            String egress = cards.egress(i);
            await(control + " has version " + version, () -> read(control).equals(Changes.body(version)));
            await(egress + " serves version " + version, () -> status(egress, Changes.path(version) + "x") == 200);
        }
        figures.figure(of + "changes acknowledged so far, the last one in force everywhere", version);
        figures.figure(
                of + "ms until the last one was seen at every control node and sidecar",
                (System.nanoTime() - began) / NANOS_PER_MS);
        changes.resume();
    }

    private static String read(String control) {
        try {
            Talk.Message answer = Talk.ask(control, "POST /whinlead/rpc?call=config.read", Map.of(), new byte[0]);
            return answer == null ? "" : answer.text();
        } catch (IOException e) {
            return "";
        }
    }

    private void report() throws InterruptedException, IOException {
        changes.close();
        clients.close();
        clients.losses().stream().limit(LOSSES_TOLD).forEach(loss -> System.out.println("lost: " + loss));
        changes.broken().forEach(what -> System.out.println("change: " + what));
        Clients.Sums sums = clients.sums(endpoints);
        figures.figure("requests", sums.asked());
        figures.figure("requests served", sums.served());
        figures.figure("requests refused, and not run", sums.refused() - sums.refusedYetRun());
        figures.figure("repeatable requests that ran twice", sums.repeated());
        figures.under("requests lost", sums.lost(), 1);
        figures.under("requests that may not be repeated and ran twice", sums.runTwice(), 1);
        figures.under("requests refused that ran", sums.refusedYetRun(), 1);
        figures.under("requests served that never ran", sums.servedUnrun(), 1);
        figures.figure("changes with no clear answer, sent again", changes.unclear());
        figures.figure("longest ms from a change's first call to its acknowledgement", changes.longestMs());
        figures.under(
                "changes lost, refused or read back as another",
                changes.broken().size(),
                1);
        logs();
    }

    private void logs() throws IOException {
        long killed = 0;
        long faults = 0;
        for (Machine m : machines()) {
            killed += m.wasKilled() ? 1 : 0;
            faults += m.logged("107 a fault").size();
            for (String line : m.logged(" passed over, of a later version")) {
                System.out.println(m.name() + ": " + line);
            }
            for (String line : m.logged("306 peer refused")) {
                System.out.println(m.name() + ": " + line);
            }
        }
        figures.under("machines whose process did not end within the grace", killed, 1);
        figures.under("faults logged", faults, 1);
    }

    private List<Machine> machines() {
        List<Machine> all = new ArrayList<>(controlNodes);
        all.addAll(sidecars);
        return all;
    }

    @Override
    public void close() throws Exception {
        changes.close();
        clients.close();
        for (Machine m : machines()) {
            m.kill();
        }
        for (StandInApp endpoint : endpoints) {
            endpoint.close();
        }
    }
}
