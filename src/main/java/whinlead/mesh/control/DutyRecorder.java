package whinlead.mesh.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import whinlead.mesh.duty.DutyPromise;
import whinlead.mesh.log.Event;
import whinlead.mesh.log.GuardedTask;
import whinlead.mesh.storage.DutyStore;

/**
 * Persists a voter's vote before it is sent. Writes on a separate thread, one write at a time; votes that arrive during
 * a write go into the next one. On the control node's loop.
 */
final class DutyRecorder implements KeyDuty.Recorder {
    private record PendingPromise(DutyPromise promise, Runnable onRecorded) {}

    private final DutyStore store;
    private final Executor disk;
    private final Executor loop;
    private final List<PendingPromise> pending = new ArrayList<>();
    private DutyPromise recorded;
    private boolean writing;

    /**
     * Creates a recorder.
     *
     * @param recorded the promise on disk
     * @param disk runs tasks that may wait for the disk
     * @param loop runs the callbacks
     */
    DutyRecorder(DutyStore store, DutyPromise recorded, Executor disk, Executor loop) {
        this.store = store;
        this.recorded = recorded;
        this.disk = disk;
        this.loop = loop;
    }

    /** The promise on disk; null, and logged, if it can't be read. */
    static DutyPromise readPromise(DutyStore store) {
        try {
            return store.read();
        } catch (IOException e) {
            Event.VOTE_NOT_RECORDED.log(e.toString());
            return null;
        }
    }

    @Override
    public void whenRecorded(DutyPromise promise, Runnable onRecorded) {
        if (promise.equals(recorded) && !writing) {
            onRecorded.run();
            return;
        }
        pending.add(new PendingPromise(promise, onRecorded));
        writeNext();
    }

    private void writeNext() {
        if (writing || pending.isEmpty()) {
            return;
        }
        DutyPromise newest = pending.get(pending.size() - 1).promise();
        writing = true;
        disk.execute(() -> write(newest));
    }

    private void write(DutyPromise promise) {
        String failure = null;
        try {
            store.write(promise);
        } catch (IOException e) {
            failure = e.toString();
        }
        String outcome = failure;
        loop.execute(() -> GuardedTask.run(() -> written(promise, outcome)));
    }

    private void written(DutyPromise promise, String failure) {
        writing = false;
        List<PendingPromise> due = List.copyOf(pending);
        pending.clear();
        if (failure != null) {
            // Candidates whose vote was not sent ask again.
            Event.VOTE_NOT_RECORDED.log(failure);
            return;
        }
        recorded = promise;
        for (PendingPromise pendingPromise : due) {
            if (pendingPromise.promise().equals(promise)) {
                pendingPromise.onRecorded().run();
            } else if (pendingPromise.promise().epoch() > promise.epoch()) {
                pending.add(pendingPromise);
            }
        }
        writeNext();
    }
}
