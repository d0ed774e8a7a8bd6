package whinlead.mesh.control;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import whinlead.mesh.log.Event;
import whinlead.mesh.storage.LesseeStore;

/**
 * Has on disk which sidecars may hold leases, before any of them is given one. Writes on a thread of its own, one write
 * at a time; what comes meanwhile goes into the next one. On the control node's loop.
 */
final class LesseeRecorder {
    private final LesseeStore store;
    private final Executor disk;
    private final Executor loop;
    private final Supplier<Set<String>> current;
    private final Set<String> recorded = new LinkedHashSet<>();
    private final Set<String> wanted = new LinkedHashSet<>();
    private boolean writing;
    private boolean markChanged;
    private boolean failing;
    private boolean reserveInUse;

    /**
     * A recorder.
     *
     * @param before what the disk has at the start
     * @param disk runs what may wait for the disk
     * @param loop runs what follows
     * @param current sidecars that may hold leases now; others are dropped with the next write
     */
    LesseeRecorder(
            LesseeStore store, LesseeStore.Entry before, Executor disk, Executor loop, Supplier<Set<String>> current) {
        this.store = store;
        this.disk = disk;
        this.loop = loop;
        this.current = current;
        this.recorded.addAll(before.lessees());
        this.reserveInUse = before.reserveInUse();
    }

    /** Whether this sidecar is on disk; if not, it will be. */
    boolean isRecorded(String sidecar) {
        if (recorded.contains(sidecar)) {
            return true;
        }
        wanted.add(sidecar);
        writeNext();
        return false;
    }

    /** From now on a process that starts finds that the reserve was, or was not, lately in use. */
    void markReserve(boolean inUse) {
        if (reserveInUse != inUse) {
            reserveInUse = inUse;
            markChanged = true;
            writeNext();
        }
    }

    /** Sidecars that hold nothing any more are taken off the disk, so that no process that starts waits for them. */
    void prune() {
        if (!writing && !current.get().containsAll(recorded)) {
            markChanged = true;
            writeNext();
        }
    }

    private void writeNext() {
        if (writing || wanted.isEmpty() && !markChanged) {
            return;
        }
        markChanged = false;
        LesseeStore.Entry entry = new LesseeStore.Entry(next(), reserveInUse);
        // Until the write is done the disk may have either.
        recorded.retainAll(entry.lessees());
        writing = true;
        disk.execute(() -> write(entry));
    }

    private Set<String> next() {
        Set<String> next = new LinkedHashSet<>(current.get());
        next.addAll(wanted);
        wanted.clear();
        return next;
    }

    private void write(LesseeStore.Entry next) {
        String failure = null;
        try {
            store.write(next);
        } catch (IOException e) {
            failure = e.toString();
        }
        String outcome = failure;
        loop.execute(() -> GuardedTask.run(() -> written(next, outcome)));
    }

    // A sidecar that is not recorded reports again, and is written then.
    private void written(LesseeStore.Entry next, String failure) {
        writing = false;
        if (failure == null) {
            recorded.addAll(next.lessees());
        } else if (!failing) {
            Event.LESSEES_NOT_RECORDED.log(failure);
        }
        failing = failure != null;
        if (failure == null) {
            writeNext();
        }
    }
}
