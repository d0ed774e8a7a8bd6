package whinlead.testbed.mesh.upgrade;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongFunction;
import whinlead.testbed.mesh.LocalMeshRun;
import whinlead.testbed.mesh.Talk;

/**
 * An operator who sends one configuration after the other, each built on the one acknowledged before, to the control
 * nodes in turn; what got no clear answer is sent again as it was. A thread of its own.
 */
public final class Changes implements AutoCloseable {
    private static final long EVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long END_MS = 20_000;
    private static final int TAKEN = 200;
    private static final int UNCLEAR = 503;
    /** A route that only this version has. */
    private static final String PATH = "/version-%08x/";

    private static final String ROUTE = "\"Routes\":{\"r-3\":{\"Authority\":\"post.example\",\"PathPrefix\":"
            + "\"%s\",\"Kind\":\"idempotent\",\"DeadlineS\":5,\"TargetS\":0.5,\"Rank\":1,\"Target\":\"svc\","
            + "\"Tries\":2,\"Public\":false},";

    private final List<String> controlNodes;
    private final LongFunction<String> bodies;
    private final Queue<String> broken = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::run, "operator");
    private int turn;
    private long unclear;
    private long longestNanos;
    private volatile long acknowledged;
    private boolean held;
    private boolean idle;
    private boolean ended;

    /** Changes for the control nodes that take them at these addresses. */
    public Changes(List<String> controlNodes) {
        this(controlNodes, Changes::body);
    }

    /** Changes with bodies of their own, by version. */
    public Changes(List<String> controlNodes, LongFunction<String> bodies) {
        this.bodies = bodies;
        this.controlNodes = controlNodes;
    }

    /** The path of a route that only this version has. */
    static String path(long version) {
        return String.format(PATH, version);
    }

    /** This version, whole. */
    public static String body(long version) {
        return LocalMeshRun.config(String.format("%08x", version), "svc")
                .replace("\"DeadlineS\":2", "\"DeadlineS\":5")
                .replace("\"Routes\":{", String.format(ROUTE, path(version)));
    }

    /** Begins. */
    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        while (awaitTurn()) {
            change(acknowledged + 1);
            LockSupport.parkNanos(EVERY_NANOS);
        }
    }

    // False once it has ended.
    private synchronized boolean awaitTurn() {
        try {
            while (held && !ended) {
                idle = true;
                notifyAll();
                wait();
            }
            idle = false;
        } catch (InterruptedException e) {
            ended = true;
        }
        return !ended;
    }

    /** Waits for the change under way, and begins no other; the version acknowledged last. */
    public synchronized long hold() throws InterruptedException {
        held = true;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(END_MS);
        while (!idle && System.nanoTime() < end) {
            wait(END_MS);
        }
        if (!idle) {
            broken.add("version " + (acknowledged + 1) + " was not acknowledged in " + END_MS + " ms");
        }
        return acknowledged;
    }

    /** Goes on. */
    synchronized void resume() {
        held = false;
        notifyAll();
    }

    private void change(long version) {
        long began = System.nanoTime();
        String ifMatch = version == 1 ? "0" : String.format("%08x", version - 1);
        int status = UNCLEAR;
        while (status == UNCLEAR && !over()) {
            status = send(controlNodes.get(turn++ % controlNodes.size()), ifMatch, version);
        }
        if (status == TAKEN) {
            acknowledged = version;
            longestNanos = Math.max(longestNanos, System.nanoTime() - began);
            read(controlNodes.get(turn % controlNodes.size()), version);
        }
    }

    private synchronized boolean over() {
        return ended;
    }

    // UNCLEAR if it is to be sent again.
    private int send(String controlNode, String ifMatch, long version) {
        try {
            Talk.Message answer = Talk.ask(
                    controlNode,
                    "POST /whinlead/rpc?call=config.replace",
                    Map.of("If-Match", ifMatch),
                    bodies.apply(version).getBytes(StandardCharsets.UTF_8));
            if (answer != null && answer.status() == TAKEN) {
                return TAKEN;
            }
            if (answer != null && answer.status() != UNCLEAR) {
                broken.add("version " + version + " at " + controlNode + ": " + answer.first() + " " + answer.text());
                end();
                return answer.status();
            }
        } catch (IOException e) {
            // Not there, or gone in the middle of it: as unclear as a 503.
        }
        unclear++;
        LockSupport.parkNanos(AGAIN_NANOS);
        return UNCLEAR;
    }

    // What was acknowledged is in force wherever one asks; no answer says nothing.
    private void read(String controlNode, long version) {
        try {
            Talk.Message answer = Talk.ask(controlNode, "POST /whinlead/rpc?call=config.read", Map.of(), new byte[0]);
            if (answer != null && answer.status() == TAKEN && !answer.text().equals(bodies.apply(version))) {
                broken.add(
                        "read at " + controlNode + " after version " + version + " was acknowledged: " + answer.text());
            }
        } catch (IOException e) {
            // That control node is being replaced.
            return;
        }
    }

    private synchronized void end() {
        ended = true;
        notifyAll();
    }

    @Override
    public void close() throws InterruptedException {
        end();
        thread.join(END_MS);
    }

    /** What was not as it should be. */
    public List<String> broken() {
        return List.copyOf(broken);
    }

    /** Answers that told nothing. After it has ended or while it is held. */
    public long unclear() {
        return unclear;
    }

    /** The longest from a change's first call to its acknowledgement, in ms. After the end or while held. */
    double longestMs() {
        return longestNanos / 1e6;
    }
}
