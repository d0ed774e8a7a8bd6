package whinlead.testbed.mesh.upgrade;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import whinlead.testbed.mesh.Talk;

/**
 * One machine: its settings, its disk, and the process of whichever version runs on it. One thread; {@link #ready} is
 * for any.
 */
public final class Machine {
    /** After SIGTERM a machine kills what has not ended; the settings say so too. */
    private static final long GRACE_S = 6;

    /** What runs on it. */
    public enum Role {
        /** A control node. */
        CONTROL_NODE("office"),
        /** A sidecar. */
        SIDECAR("carrier");

        private final String command;

        /** A role by its former name, the one that this version and those before it understand. */
        Role(String command) {
            this.command = command;
        }
    }

    private final Role role;
    private final String name;
    private final Path settings;
    private final Path log;
    private final String probeAddress;
    private volatile Process process;
    private volatile boolean killed;

    /**
     * A machine on which nothing runs.
     *
     * @param probeAddress where it is asked whether it is ready
     */
    public Machine(Role role, int number, Path folder, List<String> settings, String probeAddress) throws IOException {
        this.role = role;
        this.name = role.command + " " + number;
        this.settings = Files.write(folder.resolve(role.command + "-" + number + ".conf"), settings);
        this.log = folder.resolve(role.command + "-" + number + ".log");
        this.probeAddress = probeAddress;
    }

    /** What it is called in the figures. */
    public String name() {
        return name;
    }

    /** What runs on it. */
    public Role role() {
        return role;
    }

    /** Starts this version's process. */
    public void start(Program program) throws IOException {
        ProcessBuilder b = new ProcessBuilder(program.command(role.command));
        b.environment().put("WHINLEAD_NODE_FILE", settings.toString());
        process = b.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    /** Ends the process: SIGTERM, and a kill once the grace is over. */
    public void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(GRACE_S, TimeUnit.SECONDS)) {
            killed = true;
            kill();
        }
    }

    /** Sends the process a signal by its name, if it runs. */
    public void signal(String signalName) throws IOException, InterruptedException {
        if (isRunning()) {
            new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Whether its process runs. */
    public boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** How many files and sockets its process has open; 0 if none runs. */
    public long openFiles() throws IOException {
        if (!isRunning()) {
            return 0;
        }
        try (var files = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return files.count();
        }
    }

    /** Ends the process at once. */
    public void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Whether a process on it did not end within the grace. */
    public boolean wasKilled() {
        return killed;
    }

    /** Whether it can be used: a control node answers a read, a sidecar says that it is ready. */
    public boolean ready() {
        String first = role == Role.CONTROL_NODE ? "POST /whinlead/rpc?call=config.read" : "GET /whinlead/readiness";
        try {
            Talk.Message answer = Talk.ask(probeAddress, first, Map.of(), new byte[0]);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            // Not listening, or gone in the middle of it.
            return false;
        }
    }

    /** The lines that its processes have logged and that hold this. */
    public List<String> logged(String text) throws IOException {
        try (var lines = Files.lines(log)) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }
}
