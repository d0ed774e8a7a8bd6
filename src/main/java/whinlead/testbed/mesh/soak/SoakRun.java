package whinlead.testbed.mesh.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import whinlead.testbed.mesh.StandInApp;
import whinlead.testbed.mesh.Talk;
import whinlead.testbed.mesh.TestbedSettings;
import whinlead.testbed.mesh.upgrade.Changes;
import whinlead.testbed.mesh.upgrade.Machine;
import whinlead.testbed.mesh.upgrade.Program;

/**
 * One soak: three control nodes, some sidecars, an endpoint beside each, clients and an operator, while processes get
 * SIGTERM, SIGHUP, a kill and a new start, several at once and before the last has run its course. What happens is
 * drawn from a seed; when it happens in the processes is the machine's.
 */
public final class SoakRun implements AutoCloseable {
    private static final int CONTROL_NODES = 3;
    private static final long HEARTBEAT_MS = 200;
    private static final long WAIT_S = 60;
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final double NANOS_PER_MS = 1e6;
    /** The longest pause between two disturbances, in milliseconds. */
    private static final int MAX_PAUSE_MS = 1500;
    /** What a process may have open at the end beyond what it had open at the beginning. */
    private static final long MAX_MORE_FILES = 40;

    private static final double LIMIT_PER_S = 20;
    private static final double WINDOW_MS = 5000;
    /** What the rules allow of the limited tenant: 20 a second and a burst of 20, a tenth more, and 20 requests. */
    private static final SoakHistory.Limit LIMIT =
            new SoakHistory.Limit("limited", WINDOW_MS, (LIMIT_PER_S * 5 + LIMIT_PER_S) * 1.1 + 20);
    /** Pauses between the requests of one client: the limited tenant always asks for more than it may. */
    private static final double LIMITED_PAUSE_MS = 25;

    private static final double FREE_PAUSE_MS = 40;

    private final Random random;
    private final int sidecarCount;
    private final TestbedSettings cards = new TestbedSettings(CONTROL_NODES);
    private final List<Machine> controlNodes = new ArrayList<>();
    private final List<Machine> sidecars = new ArrayList<>();
    private final List<StandInApp> endpoints = new ArrayList<>();
    private final List<Future<?>> disturbances = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final SoakHistory history = new SoakHistory();
    private final SoakClients clients;
    private final Changes changes;
    private volatile boolean closed;

    /**
     * A fleet that is not started.
     *
     * @param sidecarCount sidecars, with an endpoint each
     */
    public SoakRun(long seed, int sidecarCount) throws IOException {
        this.random = new Random(seed);
        this.sidecarCount = sidecarCount;
        Path folder = Files.createTempDirectory("soak");
        List<String> control = new ArrayList<>();
        for (int i = 0; i < CONTROL_NODES; i++) {
            List<String> settings =
                    cards.controlNode(i, folder.resolve("disk-" + i).toString(), true);
            controlNodes.add(new Machine(Machine.Role.CONTROL_NODE, i, folder, settings, cards.control(i)));
            control.add(cards.control(i));
        }
        for (int i = 0; i < sidecarCount; i++) {
            sidecars.add(new Machine(Machine.Role.SIDECAR, i, folder, cards.sidecar(i, "svc"), cards.readiness(i)));
            endpoints.add(new StandInApp("i-" + i, "svc", cards.app(i), cards.beats(i), this::ran));
        }
        clients = new SoakClients(history, SoakRun::nowMs);
        changes = new Changes(control, SoakRun::config);
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    // The endpoint's own answer follows.
    private boolean ran(Talk talk, Talk.Message request) {
        history.ran(new SoakHistory.Ran(request.headers().get("attempt-id"), nowMs()));
        return false;
    }

    private static String config(long version) {
        return Changes.body(version)
                .replace(
                        "\"Tenants\":{",
                        "\"Tenants\":{\"limited\":{\"Credentials\":[\"key-limited\"],\"Rank\":1,\"RatePerS\":"
                                + LIMIT_PER_S + ",\"Burst\":" + LIMIT_PER_S + "},");
    }

    /**
     * Plays it.
     *
     * @return what breaks the rules, a line each
     * @throws IllegalStateException if a process is not ready again within a minute
     */
    public List<String> play(double seconds) throws Exception {
        begin();
        long filesBefore = openFiles();
        double end = nowMs() + TimeUnit.SECONDS.toMillis(1) * seconds;
        while (nowMs() < end) {
            disturb();
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(random.nextInt(MAX_PAUSE_MS)));
        }
        for (Future<?> each : disturbances) {
            each.get();
        }
        awaitAllReady();
        return verdict(filesBefore);
    }

    private void begin() throws Exception {
        for (Machine each : controlNodes) {
            each.start(Program.running());
        }
        for (int i = 0; i < sidecarCount; i++) {
            sidecars.get(i).start(Program.running());
            endpoints.get(i).beatEvery(HEARTBEAT_MS);
        }
        changes.start();
        awaitAllReady();
        for (int i = 0; i < sidecarCount; i++) {
            clients.add(cards.egress(i), "t-1", "key-1", FREE_PAUSE_MS, random.nextLong());
            clients.add(cards.egress(i), LIMIT.tenant(), "key-limited", LIMITED_PAUSE_MS, random.nextLong());
        }
    }

    private void awaitAllReady() throws Exception {
        for (Machine each : machines()) {
            await(each.name() + " is ready", () -> isReady(each));
        }
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

    private List<Machine> machines() {
        List<Machine> all = new ArrayList<>(controlNodes);
        all.addAll(sidecars);
        return all;
    }

    // One process or several; what went before may still be under way, also at the same process.
    private void disturb() {
        int kind = random.nextInt(6);
        List<Machine> chosen = new ArrayList<>();
        int count = random.nextInt(5) == 0 ? 2 + random.nextInt(machines().size() - 1) : 1;
        for (int i = 0; i < count; i++) {
            chosen.add(machines().get(random.nextInt(machines().size())));
        }
        int secondAfterMs = random.nextInt(300);
        for (Machine each : chosen) {
            disturbances.add(threads.submit(() -> {
                disturb(each, kind, secondAfterMs);
                return null;
            }));
        }
    }

    private void disturb(Machine machine, int kind, int secondAfterMs) throws Exception {
        switch (kind) {
            case 0, 1 -> machine.signal("HUP");
            case 2 -> {
                machine.signal("HUP");
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(secondAfterMs));
                restart(machine, false);
            }
            case 3 -> restart(machine, true);
            case 4 -> {
                machine.signal("TERM");
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(secondAfterMs));
                restart(machine, false);
            }
            default -> restart(machine, false);
        }
    }

    private void restart(Machine machine, boolean kill) throws Exception {
        synchronized (machine) {
            if (closed) {
                return;
            }
            if (kill) {
                history.killed(nowMs());
                machine.kill();
            } else {
                machine.stop();
            }
            machine.start(Program.running());
            await(machine.name() + " is ready again", () -> isReady(machine));
        }
    }

    // As the platform does, what has ended is started again: by a signal that came before the process could take it.
    private boolean isReady(Machine machine) throws IOException {
        synchronized (machine) {
            if (!machine.isRunning() && !closed) {
                history.killed(nowMs());
                machine.start(Program.running());
            }
        }
        return machine.ready();
    }

    private long openFiles() throws IOException {
        long most = 0;
        for (Machine each : machines()) {
            most = Math.max(most, each.openFiles());
        }
        return most;
    }

    private List<String> verdict(long filesBefore) throws Exception {
        long version = changes.hold();
        clients.close();
        List<String> broken = new ArrayList<>(history.broken(LIMIT));
        broken.addAll(changes.broken());
        for (int i = 0; i < CONTROL_NODES; i++) {
            checkRead(cards.control(i), version, broken);
        }
        for (Machine each : machines()) {
            if (each.wasKilled()) {
                broken.add(each.name() + " did not end within its grace");
            }
            each.logged("107 a fault").forEach(line -> broken.add(each.name() + ": " + line));
        }
        long files = openFiles();
        if (files > filesBefore + MAX_MORE_FILES) {
            broken.add("a process has " + files + " files open, " + filesBefore + " at the beginning");
        }
        return broken;
    }

    private static void checkRead(String control, long version, List<String> broken) throws Exception {
        Talk.Message answer = Talk.ask(control, "POST /whinlead/rpc?call=config.read", Map.of(), new byte[0]);
        if (answer == null || answer.status() == 200 && !answer.text().equals(config(version))) {
            broken.add("CONFIG: version " + version + " can't be read at " + control);
        }
    }

    /** Ends all processes at once, whatever is under way. */
    public void killAll() {
        closed = true;
        for (Machine each : machines()) {
            try {
                each.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** What was asked and served, in a line. */
    public String summary() {
        return history.requests() + " requests, " + history.served() + " served, " + disturbances.size()
                + " disturbances, most of the limited tenant in a window " + history.mostInWindow(LIMIT) + " of "
                + LIMIT.allowed();
    }

    @Override
    public void close() throws Exception {
        closed = true;
        changes.close();
        clients.close();
        threads.shutdownNow();
        for (Machine each : machines()) {
            // Whoever is about to start it anew is waited for, or sees that the run is closed.
            synchronized (each) {
                each.kill();
            }
        }
        for (StandInApp each : endpoints) {
            each.close();
        }
    }
}
