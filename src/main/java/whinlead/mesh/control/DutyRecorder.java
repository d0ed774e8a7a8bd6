package whinlead.mesh.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import whinlead.mesh.duty.DutyPromise;
import whinlead.mesh.log.Event;
import whinlead.mesh.storage.DutyStore;

/**
 * Has a voter's vote on disk before it is told. Writes on a thread of its own, one write at a time; what waits when one
 * is done goes into the next. On the control node's loop.
 */
final class DutyRecorder implements KeyDuty.Recorder {
    private record Waiting(DutyPromise promise, Runnable then) {}

    private final DutyStore store;
    private final Executor disk;
    private final Executor loop;
    private final List<Waiting> waiting = new ArrayList<>();
    private DutyPromise recorded;
    private boolean writing;

    /**
     * A recorder.
     *
     * @param recorded what is on disk
     * @param disk runs what may wait for the disk
     * @param loop runs what follows
     */
    DutyRecorder(DutyStore store, DutyPromise recorded, Executor disk, Executor loop) {
        this.store = store;
        this.recorded = recorded;
        this.disk = disk;
        this.loop = loop;
    }

    @Override
    public void whenRecorded(DutyPromise promise, Runnable then) {
        if (promise.equals(recorded) && !writing) {
            then.run();
            return;
        }
        waiting.add(new Waiting(promise, then));
        writeNext();
    }

    private void writeNext() {
        if (writing || waiting.isEmpty()) {
            return;
        }
        DutyPromise newest = waiting.get(waiting.size() - 1).promise();
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
        List<Waiting> due = List.copyOf(waiting);
        waiting.clear();
        if (failure != null) {
            // Who waits asks again.
            Event.VOTE_NOT_RECORDED.log(failure);
            return;
        }
        recorded = promise;
        for (Waiting each : due) {
            if (each.promise().equals(promise)) {
                each.then().run();
            } else if (each.promise().epoch() > promise.epoch()) {
                waiting.add(each);
            }
        }
        writeNext();
    }
}
