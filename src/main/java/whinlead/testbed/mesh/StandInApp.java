package whinlead.testbed.mesh;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** An application endpoint: beats to the sidecar beside it and answers requests, each with its seal. */
public final class StandInApp implements AutoCloseable {
    /** In a path: the request ends only once {@link #release} was called. */
    public static final String SLOW = "/slow";
    /** In a path: the request runs until its caller closes the connection. */
    public static final String ENDLESS = "/endless";
    /** In a path: the request runs, and its connection is reset in place of an answer. */
    public static final String RESET = "/reset";

    /** Answers in place of the stand-in's own answer. */
    @FunctionalInterface
    public interface Script {
        /**
         * Answers a request that runs, or doesn't.
         *
         * @return false where the stand-in's own answer is to go out
         * @throws IOException if the connection has ended, or is to be ended
         */
        boolean answered(Talk talk, Talk.Message request) throws IOException;
    }

    private static final long STOP_WAIT_S = 30;

    private final CountDownLatch gate = new CountDownLatch(1);
    private final Script script;
    private final String id;
    private final String target;
    private final String beats;
    private final ServerSocket server;
    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "stand-in");
        t.setDaemon(true);
        return t;
    });
    private final ScheduledExecutorService beating = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "stand-in beats");
        t.setDaemon(true);
        return t;
    });
    /** Reaches zero when no thread accepts connections any more. */
    private final CountDownLatch acceptEnded = new CountDownLatch(1);

    private final Queue<Talk.Message> ran = new ConcurrentLinkedQueue<>();
    private final Queue<String> cancelled = new ConcurrentLinkedQueue<>();
    private final AtomicLong calls = new AtomicLong();

    /** An endpoint that listens; {@code address} and {@code beats} are ADDRESS:PORT. */
    public StandInApp(String id, String target, String address, String beats) throws IOException {
        this(id, target, address, beats, (talk, request) -> false);
    }

    /** One whose answers come from a script. */
    public StandInApp(String id, String target, String address, String beats, Script script) throws IOException {
        this.script = script;
        this.id = id;
        this.target = target;
        this.beats = beats;
        int colon = address.lastIndexOf(':');
        server = new ServerSocket(
                Integer.parseInt(address.substring(colon + 1)), 64, InetAddress.getByName(address.substring(0, colon)));
        threads.execute(this::accept);
    }

    /** Sends one heartbeat; returns the status of the response. */
    public int beat(String phase) throws IOException {
        return beat(phase, nextCall());
    }

    /** Takes the number of the next call, for a heartbeat that arrives late. */
    public long nextCall() {
        return calls.incrementAndGet();
    }

    /** Sends the heartbeat with this number; returns the status of the response. */
    public int beat(String phase, long callSeq) throws IOException {
        String body = "{\"Target\":\"" + target + "\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"hall-a\","
                + "\"Epoch\":\"v1\",\"Capacity\":6,\"Phase\":\"" + phase + "\",\"WarmupS\":0,\"CallSeq\":"
                + callSeq + "}";
        return Talk.ask(
                        beats,
                        "POST /whinlead/rpc?call=members.heartbeat&of=" + id,
                        Map.of("Content-Type", "application/json"),
                        body.getBytes(StandardCharsets.UTF_8))
                .status();
    }

    /** Beats from now on, once in so many milliseconds, until it is closed. */
    public void beatEvery(long millis) {
        beating.scheduleAtFixedRate(
                () -> {
                    try {
                        beat("serving");
                    } catch (IOException e) {
                        // The sidecar is not there yet, or any more: the next beat may reach it.
                        return;
                    }
                },
                0,
                millis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Sends no further heartbeats at an interval, and waits for the one under way.
     *
     * @throws InterruptedException if interrupted
     */
    public void stopBeating() throws InterruptedException {
        beating.shutdown();
        if (!beating.awaitTermination(STOP_WAIT_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException("a heartbeat did not end in " + STOP_WAIT_S + " s");
        }
    }

    /** Tells that it has left; the answer's status. */
    public int depart() throws IOException {
        return Talk.ask(beats, "POST /whinlead/rpc?call=members.depart&of=" + id, Map.of(), new byte[0])
                .status();
    }

    /** Lets the requests end whose path holds {@link #SLOW}. */
    public void release() {
        gate.countDown();
    }

    /** How often it ran what came under this Attempt-Id. */
    public long runs(String attempt) {
        return ran.stream()
                .filter(m -> attempt.equals(m.headers().get("attempt-id")))
                .count();
    }

    /** The requests that it ran. */
    public Queue<Talk.Message> ran() {
        return ran;
    }

    /** The ids of the requests whose caller closed the connection while they ran; in no order. */
    public Queue<String> cancelled() {
        return cancelled;
    }

    private void accept() {
        try {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                threads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            // The endpoint has ended.
            return;
        } finally {
            acceptEnded.countDown();
        }
    }

    private void serve(Socket socket) {
        try (Talk talk = new Talk(socket)) {
            for (Talk.Message m = talk.hear(); m != null; m = talk.hear()) {
                Map<String, String> headers = new LinkedHashMap<>();
                String attempt = m.headers().get("attempt-id");
                if (attempt != null) {
                    headers.put("Attempt-Id", attempt);
                }
                String instance = m.headers().get("target-instance");
                if (instance != null && !instance.equals(id)) {
                    talk.say("HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
                    continue;
                }
                ran.add(m);
                if (script.answered(talk, m)) {
                    continue;
                }
                if (m.first().contains(SLOW)) {
                    gate.await();
                }
                if (m.first().contains(ENDLESS)) {
                    untilClosed(talk);
                    cancelled.add(attempt);
                    return;
                }
                if (m.first().contains(RESET)) {
                    talk.reset();
                    return;
                }
                headers.put("Server-Seal", id + "." + ran.size());
                headers.put("Keep-Alive", "timeout=10");
                talk.say("HTTP/1.1 200 OK", headers, ("from " + id).getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException | InterruptedException e) {
            // The caller went away, or was silent for long, or this endpoint ends.
            return;
        }
    }

    // However long that takes: a connection's own wait is shorter.
    private void untilClosed(Talk talk) throws IOException {
        while (!server.isClosed()) {
            try {
                if (talk.hear() == null) {
                    return;
                }
            } catch (SocketTimeoutException e) {
                continue;
            } catch (SocketException e) {
                // Reset, which closes it as well.
                return;
            }
        }
    }

    /** Ends the endpoint; its address is free afterwards, which it is not before the thread that accepts has ended. */
    @Override
    public void close() throws IOException {
        server.close();
        beating.shutdownNow();
        threads.shutdownNow();
        try {
            if (!acceptEnded.await(STOP_WAIT_S, TimeUnit.SECONDS)) {
                throw new IOException("the address was not released in " + STOP_WAIT_S + " s");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
