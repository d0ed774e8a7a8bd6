package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound endpoint: it sends heartbeats to the control address of its machine, works on {@code capacity} requests at a
 * time, queues as many more, and answers each with its seal. The time that a request takes stands in its path
 * ({@code .../workMILLIS}).
 */
final class Endpoint implements AutoCloseable {
    /** One request that it began: when, and when it had written the answer or found the caller gone (0 if not yet). */
    static final class Run {
        final String attemptId;
        final String line;
        final Map<String, String> headers;
        final double begun = Record.now();
        volatile double workDone;
        volatile double ended;
        volatile String end = "at work";

        Run(Http.Message request) {
            attemptId = request.header("Attempt-Id");
            line = request.first();
            headers = request.headers();
        }
    }

    final String id;
    final String service;
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Record record;
    private final String address;
    private final String control;
    private final String zone;
    private final int capacity;
    private final ServerSocket server;
    private final AtomicInteger present = new AtomicInteger();
    private final AtomicLong calls = new AtomicLong();
    private final java.util.concurrent.Semaphore slots;
    private final String phase = "serving";
    private volatile boolean closed;
    private volatile boolean beating = true;

    Endpoint(Record record, String id, String service, String address, String control, String zone, int capacity)
            throws IOException {
        this.record = record;
        this.id = id;
        this.service = service;
        this.address = address;
        this.control = control;
        this.zone = zone;
        this.capacity = capacity;
        this.slots = new java.util.concurrent.Semaphore(capacity, true);
        int colon = address.lastIndexOf(':');
        server = new ServerSocket(
                Integer.parseInt(address.substring(colon + 1)), 128, InetAddress.getByName(address.substring(0, colon)));
        thread(this::accept);
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends heartbeats from now on, each so many milliseconds. */
    void beatEvery(long millis) {
        thread(() -> {
            while (!closed && beating) {
                try {
                    beat();
                } catch (IOException e) {
                    record.add("beat of " + id + " failed: " + e.getMessage());
                }
                sleep(millis);
            }
        });
    }

    /** Sends one heartbeat; its status. */
    int beat() throws IOException {
        return beat(calls.incrementAndGet());
    }

    /** Takes the number of the next call, for a heartbeat that arrives late. */
    long nextCall() {
        return calls.incrementAndGet();
    }

    /** Sends the heartbeat with this number; its status. */
    int beat(long callSeq) throws IOException {
        String body = "{\"Target\":\"" + service + "\",\"Address\":\"" + address + "\",\"Zone\":\"" + zone
                + "\",\"Epoch\":\"v1\",\"Capacity\":" + capacity + ",\"Phase\":\"" + phase
                + "\",\"WarmupS\":0,\"CallSeq\":" + callSeq + "}";
        Http.Message answer = Http.ask(
                control,
                "POST /whinlead/rpc?call=members.heartbeat&of=" + id,
                Map.of("Host", control, "Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8),
                1000);
        return answer == null ? 0 : answer.status();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                thread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (Http http = new Http(socket, 60_000)) {
            for (Http.Message request = http.read(); request != null; request = http.read()) {
                answer(http, request);
            }
        } catch (IOException e) {
            return;
        }
    }

    private void answer(Http http, Http.Message request) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String attemptId = request.header("Attempt-Id");
        if (attemptId != null) {
            headers.put("Attempt-Id", attemptId);
        }
        String instance = request.header("Target-Instance");
        if (attemptId == null || instance != null && !instance.equals(id)) {
            headers.put("Not-Executed", "1");
            http.send(
                    attemptId == null ? "HTTP/1.1 400 Bad Request" : "HTTP/1.1 421 Misdirected Request",
                    headers,
                    new byte[0]);
            return;
        }
        if (present.incrementAndGet() > capacity * 2) {
            present.decrementAndGet();
            headers.put("Not-Executed", "1");
            http.send("HTTP/1.1 503 Service Unavailable", headers, new byte[0]);
            return;
        }
        try {
            slots.acquireUninterruptibly();
            Run run = new Run(request);
            runs.add(run);
            record.add("endpoint " + id + " begins " + attemptId + " " + request.first() + ", body "
                    + request.body().length);
            try {
                work(http, request, run, headers);
            } finally {
                slots.release();
            }
        } finally {
            present.decrementAndGet();
        }
    }

    private void work(Http http, Http.Message request, Run run, Map<String, String> headers) throws IOException {
        double deadlineS = Double.parseDouble(request.headers().getOrDefault("deadline-ms", "60000")) / 1000;
        double workS = workS(request.first());
        sleep((long) (Math.min(workS, deadlineS) * 1000));
        run.workDone = Record.now();
        headers.put("Server-Seal", id + "." + run.attemptId);
        headers.put("Keep-Alive", "timeout=10");
        boolean late = workS > deadlineS;
        byte[] body = late
                ? new byte[0]
                : ("done " + run.attemptId + " by " + id).getBytes(StandardCharsets.US_ASCII);
        try {
            http.send(late ? "HTTP/1.1 504 Gateway Timeout" : "HTTP/1.1 200 OK", headers, body);
            run.end = late ? "504" : "200";
        } catch (IOException e) {
            run.end = "caller gone";
            throw e;
        } finally {
            run.ended = Record.now();
            record.add("endpoint " + id + " ends " + run.attemptId + ": " + run.end);
        }
    }

    private static double workS(String first) {
        int index = first.indexOf("/work");
        if (index < 0) {
            return 0.02;
        }
        int end = index + 5;
        while (end < first.length() && Character.isDigit(first.charAt(end))) {
            end++;
        }
        return Integer.parseInt(first.substring(index + 5, end)) / 1000.0;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends no further heartbeats on its own. */
    void stopBeating() {
        beating = false;
    }

    /** Says that it has left; the status. */
    int depart() throws IOException {
        Http.Message answer = Http.ask(
                control,
                "POST /whinlead/rpc?call=members.depart&of=" + id,
                Map.of("Host", control, "Content-Type", "application/json"),
                new byte[0],
                1000);
        return answer == null ? 0 : answer.status();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
