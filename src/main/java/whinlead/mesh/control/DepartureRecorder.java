package whinlead.mesh.control;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import whinlead.mesh.departure.Departure;
import whinlead.mesh.departure.DepartureLog;
import whinlead.mesh.log.Event;
import whinlead.mesh.log.GuardedTask;
import whinlead.mesh.storage.DepartureStore;
import whinlead.mesh.wire.MessageSender;
import whinlead.mesh.wire.PeerMessage;

/**
 * Stores departures of endpoints for sidecars, and answers once they are on disk. Writes on a separate thread, one
 * write at a time; departures that arrive during a write go into the next one. On the control node's loop.
 */
final class DepartureRecorder {
    private final DoubleSupplier clockMs;
    private final String id;
    private final DepartureStore store;
    private final Executor disk;
    private final Executor loop;
    private final Consumer<PeerMessage> broadcast;
    private final DepartureLog log = new DepartureLog();
    /** Sidecars that wait for an answer until so many additions are on disk. */
    private final Map<MessageSender, Long> pending = new LinkedHashMap<>();

    private List<Departure> onDisk = List.of();
    /** Until then this process does not know all that an earlier one stored. */
    private double incompleteUntilMs = Double.NEGATIVE_INFINITY;

    private long additions;
    private long additionsOnDisk;
    private boolean writing;
    private boolean failing;

    /**
     * A recorder that knows what is on disk.
     *
     * @param clockMs steady, in milliseconds
     * @param id this control node's id
     * @param disk runs tasks that may wait for the disk
     * @param loop runs the callbacks
     * @param broadcast sends a message to the other control nodes
     */
    DepartureRecorder(
            DoubleSupplier clockMs,
            String id,
            DepartureStore store,
            Executor disk,
            Executor loop,
            Consumer<PeerMessage> broadcast) {
        this.clockMs = clockMs;
        this.id = id;
        this.store = store;
        this.disk = disk;
        this.loop = loop;
        this.broadcast = broadcast;
        try {
            onDisk = store.read();
            log.addAll(clockMs.getAsDouble(), onDisk);
        } catch (IOException e) {
            Event.DEPARTURES_NOT_RECORDED.log(e.toString());
            incompleteUntilMs = clockMs.getAsDouble() + DepartureLog.RETENTION_MS;
        }
    }

    /** A sidecar has connected: it is told the departures of its endpoints. */
    void sidecarConnected(MessageSender sidecar) {
        whenOnDisk(sidecar);
    }

    /**
     * A sidecar reports departures; it is answered once they are on disk. The other control nodes are sent them too:
     * one of them may become a voter before the sidecar knows it.
     */
    void report(MessageSender sidecar, PeerMessage.DepartureReport report) {
        List<Departure> departures = report.endpoints().stream()
                .map(endpoint -> new Departure(sidecar.peer(), endpoint))
                .toList();
        if (add(departures)) {
            broadcast.accept(new PeerMessage.DepartureUpdate(departures));
        }
        whenOnDisk(sidecar);
    }

    /** Another control node sends departures that it knows. */
    void merge(PeerMessage.DepartureUpdate update) {
        add(update.departures());
        writeNext();
    }

    /** All known departures, for another control node. */
    PeerMessage.DepartureUpdate all() {
        return new PeerMessage.DepartureUpdate(log.all(clockMs.getAsDouble()));
    }

    private boolean add(List<Departure> departures) {
        boolean added = log.addAll(clockMs.getAsDouble(), departures);
        additions += added ? 1 : 0;
        return added;
    }

    private void whenOnDisk(MessageSender sidecar) {
        if (additionsOnDisk == additions) {
            answer(sidecar);
        } else {
            pending.put(sidecar, additions);
            writeNext();
        }
    }

    private void answer(MessageSender sidecar) {
        if (clockMs.getAsDouble() >= incompleteUntilMs) {
            List<String> endpoints = onDisk.stream()
                    .filter(departure -> departure.node().equals(sidecar.peer()))
                    .map(Departure::endpoint)
                    .toList();
            sidecar.send(new PeerMessage.DeparturesStored(id, endpoints));
        }
    }

    private void writeNext() {
        if (writing || additionsOnDisk == additions) {
            return;
        }
        writing = true;
        long written = additions;
        List<Departure> departures = log.all(clockMs.getAsDouble());
        disk.execute(() -> write(departures, written));
    }

    private void write(List<Departure> departures, long written) {
        String failure = null;
        try {
            store.write(departures);
        } catch (IOException e) {
            failure = e.toString();
        }
        String outcome = failure;
        loop.execute(() -> GuardedTask.run(() -> written(departures, written, outcome)));
    }

    private void written(List<Departure> departures, long written, String failure) {
        writing = false;
        if (failure != null) {
            if (!failing) {
                Event.DEPARTURES_NOT_RECORDED.log(failure);
            }
            failing = true;
            // Sidecars report again what is not stored; that is the next attempt to write.
            pending.clear();
            return;
        }
        failing = false;
        onDisk = departures;
        additionsOnDisk = written;
        List<MessageSender> due = pending.keySet().stream()
                .filter(sidecar -> pending.get(sidecar) <= written)
                .toList();
        pending.keySet().removeAll(due);
        due.forEach(this::answer);
        writeNext();
    }
}
