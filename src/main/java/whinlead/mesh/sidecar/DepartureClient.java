package whinlead.mesh.sidecar;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import whinlead.mesh.departure.DepartureLog;
import whinlead.mesh.departure.DepartureQuorum;
import whinlead.mesh.log.Event;
import whinlead.mesh.wire.PeerMessage;

/**
 * Has the departures of the endpoint beside this sidecar stored by the control nodes, and learns from them what earlier
 * processes of this sidecar have acknowledged. Runs on the loop's thread.
 */
public final class DepartureClient {
    /** How long a caller waits for its departure to be stored, in milliseconds; endpoints give up after a second. */
    private static final double STORE_TIMEOUT_MS = 700;
    /** Interval at which the control nodes are asked again while an answer is missing, in milliseconds. */
    private static final double RETRY_MS = 300;
    /** After this long, no heartbeat still arrives that was sent before this process started, in milliseconds. */
    private static final double MAX_HEARTBEAT_DELAY_MS = 10_000;
    /** Maximum number of departures that are reported; the oldest are dropped first. */
    private static final int MAX_DEPARTURES = 64;
    /** Maximum number of callers that wait; further ones fail at once. */
    private static final int MAX_WAITING = 256;

    /** Learns departures that earlier processes have acknowledged. */
    public interface Listener {
        /** These endpoints have announced their departure. */
        void departuresLearned(List<String> endpoints);

        /** All departures that earlier processes have acknowledged are learned. */
        void departuresComplete();

        /** Not enough control nodes have answered, but no heartbeat of before the start arrives any more. */
        void departuresOutdated();
    }

    private record Waiting(String endpoint, double untilMs, Consumer<Boolean> storedListener) {}

    private final DoubleSupplier clockMs;
    private final Consumer<PeerMessage> broadcast;
    private final Listener listener;
    private final DepartureQuorum quorum = new DepartureQuorum();
    /** When each endpoint's departure was first announced to this process, oldest first. */
    private final Map<String, Double> announcedAtMs = new LinkedHashMap<>();

    private final List<Waiting> waiting = new ArrayList<>();
    private final double startMs;
    private double lastReportMs = Double.NEGATIVE_INFINITY;
    private boolean complete;

    /**
     * Creates a client of a process that starts.
     *
     * @param clockMs steady, in milliseconds
     * @param broadcast sends a message to all connected control nodes
     */
    DepartureClient(DoubleSupplier clockMs, Consumer<PeerMessage> broadcast, Listener listener) {
        this.clockMs = clockMs;
        this.broadcast = broadcast;
        this.listener = listener;
        this.startMs = clockMs.getAsDouble();
    }

    /**
     * Has an endpoint's departure stored.
     *
     * @param storedListener called once: whether a majority of the voters has it on disk
     */
    void store(String endpoint, Consumer<Boolean> storedListener) {
        if (quorum.isStored(endpoint)) {
            storedListener.accept(true);
            return;
        }
        boolean isNew = announcedAtMs.putIfAbsent(endpoint, clockMs.getAsDouble()) == null;
        dropOldestDepartures();
        if (waiting.size() >= MAX_WAITING) {
            storedListener.accept(false);
            return;
        }
        waiting.add(new Waiting(endpoint, clockMs.getAsDouble() + STORE_TIMEOUT_MS, storedListener));
        if (isNew) {
            report();
        }
    }

    private void dropOldestDepartures() {
        var oldestFirst = announcedAtMs.values().iterator();
        while (oldestFirst.hasNext()
                && (clockMs.getAsDouble() - oldestFirst.next() > DepartureLog.RETENTION_MS
                        || announcedAtMs.size() > MAX_DEPARTURES)) {
            oldestFirst.remove();
        }
    }

    private void report() {
        lastReportMs = clockMs.getAsDouble();
        broadcast.accept(new PeerMessage.DepartureReport(List.copyOf(announcedAtMs.keySet())));
    }

    /** The newest known decision has these voters. */
    public void votersChanged(List<String> voters) {
        quorum.votersChanged(voters);
        answersChanged();
    }

    /** A control node has told which departures it has on disk. */
    public void stored(PeerMessage.DeparturesStored message) {
        quorum.stored(message.controlNode(), message.endpoints());
        listener.departuresLearned(message.endpoints());
        answersChanged();
    }

    /** The control node at this address runs a version that stores no departures. */
    public void withoutStore(String address) {
        quorum.withoutStore(address);
        answersChanged();
    }

    private void answersChanged() {
        if (!complete && quorum.isAnswered()) {
            complete = true;
            listener.departuresComplete();
        }
        List<Waiting> stored = waiting.stream()
                .filter(each -> quorum.isStored(each.endpoint()))
                .toList();
        waiting.removeAll(stored);
        stored.forEach(each -> each.storedListener().accept(true));
    }

    /** Called several times a second. */
    void tick() {
        double nowMs = clockMs.getAsDouble();
        failOverdue(nowMs);
        if (!complete && nowMs - startMs > MAX_HEARTBEAT_DELAY_MS) {
            complete = true;
            Event.DEPARTURES_UNKNOWN.log("no majority of the control nodes has answered");
            listener.departuresOutdated();
        }
        boolean isAnswerMissing = !complete && quorum.knowsVoters() || !waiting.isEmpty();
        if (isAnswerMissing && nowMs - lastReportMs >= RETRY_MS) {
            report();
        }
    }

    private void failOverdue(double nowMs) {
        List<Waiting> overdue =
                waiting.stream().filter(each -> nowMs >= each.untilMs()).toList();
        waiting.removeAll(overdue);
        overdue.forEach(each -> {
            Event.DEPARTURE_NOT_STORED.log(each.endpoint());
            each.storedListener().accept(false);
        });
    }
}
