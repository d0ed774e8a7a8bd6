package whinlead.mesh.control;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import whinlead.mesh.log.Event;
import whinlead.mesh.log.GuardedTask;
import whinlead.mesh.storage.LesseeStore;

/**
 * Persists which sidecars may hold leases, before a sidecar is granted one. Writes on a separate thread, one write at a
 * time; changes during a write go into the next one. On the control node's loop.
 */
final class LesseeRecorder {
    private final LesseeStore store;
    private final Executor disk;
    private final Executor loop;
    private final Supplier<Set<String>> currentLessees;
    private final Set<String> recorded = new LinkedHashSet<>();
    private final Set<String> unrecorded = new LinkedHashSet<>();
    private boolean writing;
    private boolean changed;
    private boolean failing;
    private boolean reserveInUse;

    /**
     * Creates a recorder.
     *
     * @param initial what is on disk at the start
     * @param disk runs tasks that may wait for the disk
     * @param loop runs the callbacks
     * @param currentLessees the sidecars that may hold leases now; others are dropped with the next write
     */
    LesseeRecorder(
            LesseeStore store,
            LesseeStore.Entry initial,
            Executor disk,
            Executor loop,
            Supplier<Set<String>> currentLessees) {
        this.store = store;
        this.disk = disk;
        this.loop = loop;
        this.currentLessees = currentLessees;
        this.recorded.addAll(initial.lessees());
        this.reserveInUse = initial.reserveInUse();
    }

    /** Whether this sidecar is on disk; if not, it is scheduled to be written. */
    boolean isRecorded(String sidecar) {
        if (recorded.contains(sidecar)) {
            return true;
        }
        unrecorded.add(sidecar);
        writeNext();
        return false;
    }

    /** Records whether the reserve was recently in use, for the next process that starts. */
    void markReserve(boolean inUse) {
        if (reserveInUse != inUse) {
            reserveInUse = inUse;
            changed = true;
            writeNext();
        }
    }

    /**
     * Removes sidecars that no longer hold leases from the disk, so that a process that starts does not wait for them.
     */
    void prune() {
        if (!writing && !currentLessees.get().containsAll(recorded)) {
            changed = true;
            writeNext();
        }
    }

    private void writeNext() {
        if (writing || unrecorded.isEmpty() && !changed) {
            return;
        }
        changed = false;
        LesseeStore.Entry entry = new LesseeStore.Entry(takeLessees(), reserveInUse);
        // Until the write has ended, the disk may have the old or the new entry.
        recorded.retainAll(entry.lessees());
        writing = true;
        disk.execute(() -> write(entry));
    }

    private Set<String> takeLessees() {
        Set<String> lessees = new LinkedHashSet<>(currentLessees.get());
        lessees.addAll(unrecorded);
        unrecorded.clear();
        return lessees;
    }

    private void write(LesseeStore.Entry entry) {
        String failure = null;
        try {
            store.write(entry);
        } catch (IOException e) {
            failure = e.toString();
        }
        String outcome = failure;
        loop.execute(() -> GuardedTask.run(() -> written(entry, outcome)));
    }

    // A sidecar whose record was not written reports again and is written then.
    private void written(LesseeStore.Entry entry, String failure) {
        writing = false;
        if (failure == null) {
            recorded.addAll(entry.lessees());
        } else if (!failing) {
            Event.LESSEES_NOT_RECORDED.log(failure);
        }
        failing = failure != null;
        if (failure == null) {
            writeNext();
        }
    }
}
