package review;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Clients on one machine: each request is one try with an id of its own. */
final class Client {
    /** One request and how it ended. */
    static final class Try {
        final String id;
        final String line;
        final String machine;
        final double sent = Record.now();
        volatile double ended;
        volatile int status;
        volatile String end = "no answer yet";
        volatile Http.Message answer;

        Try(String id, String line, String machine) {
            this.id = id;
            this.line = line;
            this.machine = machine;
        }
    }

    final Queue<Try> tries = new ConcurrentLinkedQueue<>();
    private final Mesh mesh;

    Client(Mesh mesh) {
        this.mesh = mesh;
    }

    /** Sends one request on a connection of its own and waits for its end. */
    Try ask(Mesh.Machine machine, String host, String line, byte[] body, int deadlineMs, Map<String, String> more) {
        Try request = new Try(mesh.attemptId(), line, machine.name);
        tries.add(request);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("Attempt-Id", request.id);
        headers.put("Deadline-Ms", Integer.toString(deadlineMs));
        headers.putAll(more);
        mesh.record.add("client at " + machine.name + " sends " + request.id + " " + line + ", body "
                + (body == null ? 0 : body.length) + ", Deadline-Ms " + deadlineMs);
        try (Http http = Http.connect(machine.egress(), 1000, deadlineMs + 500)) {
            http.send(line + " HTTP/1.1", headers, body);
            Http.Message answer = http.read();
            request.answer = answer;
            request.status = answer == null ? 0 : answer.status();
            request.end = answer == null
                    ? "closed without an answer"
                    : request.status + (answer.header("Server-Seal") == null ? " without seal" : " with seal")
                            + (answer.header("Retry-After") == null ? "" : ", Retry-After " + answer.header("Retry-After"));
        } catch (IOException e) {
            request.end = e.getClass().getSimpleName() + " " + e.getMessage();
        }
        request.ended = Record.now();
        mesh.record.add("client at " + machine.name + " gets " + request.id + ": " + request.end);
        return request;
    }
}
