package whinlead.mesh;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import whinlead.testbed.mesh.StandInApp;
import whinlead.testbed.mesh.Talk;
import whinlead.testbed.mesh.TestbedSettings;

/** A mesh of processes on loopback: three control nodes, sidecars, and an endpoint of one service beside each. */
final class MeshRig implements AutoCloseable {
    private static final long WAIT_S = 30;
    private static final long BEAT_MS = 200;

    final TestbedSettings settings;
    final List<StandInApp> apps = new ArrayList<>();
    final List<Process> controlNodes = new ArrayList<>();
    final List<Process> sidecars = new ArrayList<>();
    private final Path folder;
    private int attempts;

    MeshRig(int sidecarCount) throws IOException {
        settings = new TestbedSettings(3);
        folder = Files.createTempDirectory("mesh");
        for (int i = 0; i < 3; i++) {
            controlNodes.add(controlNode(i, true));
        }
        for (int i = 0; i < sidecarCount; i++) {
            apps.add(new StandInApp("i-" + i, "svc", settings.app(i), settings.beats(i)));
            sidecars.add(sidecar(i));
            apps.get(i).beatEvery(BEAT_MS);
        }
    }

    Process sidecar(int i) throws IOException {
        return run("sidecar", "sidecar-" + i, settings.sidecar(i, "svc"));
    }

    Process controlNode(int i, boolean bootstrap) throws IOException {
        return run(
                "control",
                "control-" + i,
                settings.controlNode(i, folder.resolve("disk-" + i).toString(), bootstrap));
    }

    private Process run(String role, String name, List<String> lines) throws IOException {
        Path settingsFile = Files.write(folder.resolve(name + ".conf"), lines);
        ProcessBuilder b = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx96m",
                "-cp",
                System.getProperty("java.class.path"),
                "whinlead.run.Main",
                role);
        b.environment().put("WHINLEAD_NODE_FILE", settingsFile.toString());
        File log = folder.resolve(name + ".log").toFile();
        return b.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    /** Waits until it holds, asking again and again, within a bound. */
    static void await(String what, Callable<Boolean> holds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (System.nanoTime() < end) {
            try {
                if (holds.call()) {
                    return;
                }
            } catch (IOException e) {
                // Not up yet, or just gone: asked again.
                Thread.onSpinWait();
            }
        }
        throw new AssertionError("not in " + WAIT_S + " s: " + what);
    }

    Talk.Message replace(int controlNode, String ifMatch, String body) throws IOException {
        return Talk.ask(
                settings.control(controlNode),
                "POST /whinlead/rpc?call=config.replace",
                Map.of("If-Match", ifMatch, "Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
    }

    Talk.Message read(int controlNode) throws IOException {
        return Talk.ask(settings.control(controlNode), "POST /whinlead/rpc?call=config.read", Map.of(), new byte[0]);
    }

    boolean ready(int sidecar) throws IOException {
        return Talk.ask(settings.readiness(sidecar), "GET /whinlead/readiness", Map.of(), new byte[0])
                        .status()
                == 200;
    }

    /** The headers of a good request, with an id of its own. */
    Map<String, String> headers() {
        Map<String, String> h = new LinkedHashMap<>();
        h.put("Host", "post.example");
        h.put("Attempt-Id", "a-" + ++attempts);
        h.put("Deadline-Ms", "20000");
        h.put("Api-Key", "key-1");
        return h;
    }

    Talk.Message get(int sidecar, String path) throws IOException {
        return Talk.ask(settings.egress(sidecar), "GET " + path, headers(), new byte[0]);
    }

    int ran() {
        return apps.stream().mapToInt(a -> a.ran().size()).sum();
    }

    @Override
    public void close() throws IOException {
        controlNodes.forEach(Process::destroyForcibly);
        sidecars.forEach(Process::destroyForcibly);
        for (StandInApp app : apps) {
            app.close();
        }
    }
}
