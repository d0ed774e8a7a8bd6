package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** What the scripts have in common: the start of the mesh, clients in the background, the exit code. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Whether the disruption is to be made. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Record record;
    final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    final List<Endpoint> endpoints = new ArrayList<>();
    Mesh mesh;
    Client client;

    Case(String recordFile) {
        record = new Record(Path.of(recordFile));
    }

    /** Runs the case on a mesh that serves, and returns whether the rule was broken. */
    abstract boolean isBroken() throws Exception;

    /** The first configuration. */
    abstract String configuration();

    /** How often an endpoint sends heartbeats, in milliseconds: HeartbeatS of the settings. */
    static final long HEARTBEAT_MS = 1500;

    final void run(int controls, int capacity, String... targets) {
        int code = COULD_NOT_RUN;
        try {
            mesh = new Mesh(record, controls, targets);
            client = new Client(mesh);
            record.say(trouble ? "with the disruption" : "without the disruption");
            mesh.startAll();
            for (Mesh.Machine machine : mesh.sidecars) {
                Endpoint endpoint = new Endpoint(
                        record,
                        "i-" + machine.name,
                        machine.target,
                        machine.app(),
                        machine.control(),
                        machine.zone,
                        capacity);
                endpoint.beatEvery(HEARTBEAT_MS);
                endpoints.add(endpoint);
            }
            if (!mesh.configure("00000000", configuration(), 25) || !mesh.awaitReady(20)) {
                record.say("the mesh did not come up");
            } else {
                // All machines are in touch ContactS after their start.
                Thread.sleep(4000);
                code = isBroken() ? BROKEN : HELD;
            }
        } catch (Exception e) {
            record.say("the case could not run: " + e);
            code = COULD_NOT_RUN;
        } finally {
            try {
                if (mesh != null) {
                    mesh.close();
                }
            } catch (Exception e) {
                record.say("closing failed: " + e);
            }
        }
        record.say(code == BROKEN ? "the rule was broken" : code == HELD ? "the rule held" : "not run");
        record.write();
        System.exit(code);
    }

    static String route(String name, String prefix, String kind, double deadlineS, double targetS, String service) {
        return String.format(
                Locale.ROOT,
                "\"%s\":{\"Authority\":\"shop.example\",\"PathPrefix\":\"%s\",\"Kind\":\"%s\",\"DeadlineS\":%s,"
                        + "\"TargetS\":%s,\"Rank\":1,\"Target\":\"%s\",\"Tries\":2,\"Public\":true}",
                name,
                prefix,
                kind,
                deadlineS,
                targetS,
                service);
    }

    static String configuration(String epoch, List<String> routes, String... services) {
        List<String> tables = new ArrayList<>();
        for (String service : services) {
            tables.add("\"" + service + "\":{\"Probe\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}");
        }
        return "{\"Epoch\":\"" + epoch + "\",\"Routes\":{" + String.join(",", routes) + "},\"Services\":{"
                + String.join(",", tables)
                + "},\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":67108864,\"HeaderS\":3,\"IdleS\":15}}";
    }

    /** The runs of all endpoints by Attempt-Id. */
    Map<String, List<Endpoint.Run>> runs() {
        Map<String, List<Endpoint.Run>> runs = new LinkedHashMap<>();
        for (Endpoint endpoint : endpoints) {
            for (Endpoint.Run run : endpoint.runs) {
                runs.computeIfAbsent(run.attemptId, id -> new ArrayList<>()).add(run);
            }
        }
        return runs;
    }

    /**
     * The tries that were answered with 500, 502 or 504 by the system, before their deadline, while an endpoint was at
     * work on them.
     */
    List<Client.Try> brokenOff(double deadlineS) {
        Map<String, List<Endpoint.Run>> runs = runs();
        List<Client.Try> found = new ArrayList<>();
        for (Client.Try request : client.tries) {
            boolean failed = request.status == 500 || request.status == 502 || request.status == 504;
            if (failed && request.answer.header("Server-Seal") == null && request.ended - request.sent < deadlineS) {
                for (Endpoint.Run run : runs.getOrDefault(request.id, List.of())) {
                    if (run.begun < request.ended && (run.workDone == 0 || run.workDone > request.ended)) {
                        record.add("broken off: " + request.id + " " + request.line + " sent at " + at(request.sent)
                                + ", begun by its endpoint at " + at(run.begun) + ", answered " + request.end + " at "
                                + at(request.ended) + "; the endpoint was done at " + at(run.workDone));
                        found.add(request);
                    }
                }
            }
        }
        return found;
    }

    static String at(double seconds) {
        return String.format(Locale.ROOT, "%.3f", seconds);
    }

    /** Counts how the tries ended. */
    Map<String, Integer> ends() {
        Map<String, Integer> ends = new java.util.TreeMap<>();
        client.tries.forEach(request ->
                ends.merge(request.line.replaceAll("/work.*", "") + " " + request.end.replaceAll(", .*", ""), 1, Integer::sum));
        return ends;
    }
}
