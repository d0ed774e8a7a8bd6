package cobaltrack.post.office;

import cobaltrack.post.ledger.Ledger;
import cobaltrack.post.ledger.LedgerException;
import cobaltrack.post.log.Event;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Writes an office's memory on a thread of its own, for a disk may stall. What waits meanwhile is written
 * once, as it is last: each memory holds all that was promised before. Called from the office's loop.
 */
final class Scribe {
    private final Ledger ledger;
    private final String id;
    private final Executor loop;
    private final Object lock = new Object();
    private List<Runnable> waiting = new ArrayList<>();
    private byte[] newest;

    /**
     * A scribe.
     *
     * @param loop runs what waited for the disk
     */
    Scribe(Ledger ledger, String id, Executor loop) {
        this.ledger = ledger;
        this.id = id;
        this.loop = loop;
    }

    /** Begins to write. */
    void start() {
        Thread thread = new Thread(this::run, "scribe");
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes and syncs this memory, or a later one, then has this run; if that fails, it never runs. */
    void write(byte[] memory, Runnable then) {
        synchronized (lock) {
            newest = memory;
            waiting.add(then);
            lock.notifyAll();
        }
    }

    private void run() {
        try {
            while (true) {
                byte[] memory;
                List<Runnable> then;
                synchronized (lock) {
                    while (newest == null) {
                        lock.wait();
                    }
                    memory = newest;
                    then = waiting;
                    newest = null;
                    waiting = new ArrayList<>();
                }
                try {
                    ledger.write(id, memory);
                    loop.execute(() -> then.forEach(Runnable::run));
                } catch (LedgerException e) {
                    // Not voting is all that a member may do then; the others carry on.
                    Event.DISK_FAILED.log(e.getMessage());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
