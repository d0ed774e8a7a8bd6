package whinlead.mesh.control;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;
import whinlead.mesh.log.Event;
import whinlead.mesh.storage.StateStore;
import whinlead.mesh.storage.StateStoreException;

/**
 * Writes a control node's state on a separate thread, because the disk may stall. States queued during a write are
 * written once, as the latest of them, since each state includes all earlier promises. A state that the disk refuses is
 * retried until it or a later one is written; the callbacks that waited for it never run, as if their messages were
 * lost. Called from the control node's loop.
 */
final class StateWriter {
    /** Time between two attempts on a failing disk, unless there is a later state, in milliseconds. */
    static final long RETRY_INTERVAL_MS = 250;
    /**
     * The maximum number of callbacks that wait for a stalled disk; the oldest beyond it are dropped like lost
     * messages.
     */
    static final int MAX_PENDING = 1000;

    private static final double NANOS_PER_MILLI = 1e6;

    /** The disk to write to: a state store. */
    interface Disk {
        /**
         * Writes and syncs the state; it is on disk when this returns.
         *
         * @throws StateStoreException if it may not be on disk
         */
        void write(byte[] state) throws StateStoreException;
    }

    private final Disk disk;
    private final Executor loop;
    private final DoubleSupplier clockMs;
    private final Object lock = new Object();
    private Queue<Runnable> pendingCallbacks = new ArrayDeque<>();
    private byte[] newest;
    /** When the oldest state that is not on disk was submitted, in milliseconds; NaN if there is none. */
    private double unsyncedSinceMs = Double.NaN;
    /** The same for states submitted while a write is in progress. */
    private double nextUnsyncedSinceMs = Double.NaN;

    private boolean failing;

    /**
     * A writer to this store.
     *
     * @param loop runs the callbacks
     */
    StateWriter(StateStore store, String id, Executor loop) {
        this(state -> store.write(id, state), loop, () -> System.nanoTime() / NANOS_PER_MILLI);
    }

    /**
     * A writer to this disk.
     *
     * @param clockMs steady, in milliseconds
     */
    StateWriter(Disk disk, Executor loop, DoubleSupplier clockMs) {
        this.disk = disk;
        this.loop = loop;
        this.clockMs = clockMs;
    }

    /** Starts the thread that writes. */
    void start() {
        Thread thread = new Thread(this::run, "state-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Writes and syncs this state or a later one, then runs the callback; if the write fails, the callback never runs.
     */
    void write(byte[] state, Runnable onSynced) {
        synchronized (lock) {
            newest = state;
            if (pendingCallbacks.size() >= MAX_PENDING) {
                pendingCallbacks.remove();
            }
            pendingCallbacks.add(onSynced);
            if (Double.isNaN(nextUnsyncedSinceMs)) {
                nextUnsyncedSinceMs = clockMs.getAsDouble();
            }
            lock.notifyAll();
        }
    }

    /** Whether the last write failed. For any thread. */
    boolean isFailing() {
        synchronized (lock) {
            return failing;
        }
    }

    /** For how long there has been a state that is not on disk, in milliseconds; 0 if there is none. For any thread. */
    double stalledMs() {
        synchronized (lock) {
            double sinceMs = Double.isNaN(unsyncedSinceMs) ? nextUnsyncedSinceMs : unsyncedSinceMs;
            return Double.isNaN(sinceMs) ? 0 : Math.max(0, clockMs.getAsDouble() - sinceMs);
        }
    }

    /** Whether all submitted states are on disk. For any thread. */
    boolean isSynced() {
        synchronized (lock) {
            return Double.isNaN(unsyncedSinceMs) && Double.isNaN(nextUnsyncedSinceMs);
        }
    }

    private void run() {
        try {
            while (true) {
                synchronized (lock) {
                    while (newest == null) {
                        lock.wait();
                    }
                    if (failing && pendingCallbacks.isEmpty()) {
                        lock.wait(RETRY_INTERVAL_MS);
                    }
                }
                writeOnce();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the newest state once, if there is one. On the state writer's thread. */
    void writeOnce() {
        byte[] state;
        Queue<Runnable> callbacks;
        synchronized (lock) {
            if (newest == null) {
                return;
            }
            state = newest;
            callbacks = pendingCallbacks;
            newest = null;
            pendingCallbacks = new ArrayDeque<>();
            if (Double.isNaN(unsyncedSinceMs)) {
                unsyncedSinceMs = nextUnsyncedSinceMs;
            }
            nextUnsyncedSinceMs = Double.NaN;
        }
        String failure = tryWrite(state);
        boolean failedNow;
        boolean recovered;
        synchronized (lock) {
            failedNow = failure != null && !failing;
            recovered = failure == null && failing;
            failing = failure != null;
            if (!failing) {
                unsyncedSinceMs = Double.NaN;
            } else if (newest == null) {
                newest = state;
            }
        }
        if (recovered) {
            Event.DISK_RECOVERED.log("after a failed write");
        }
        if (failedNow) {
            // A voter with a failing disk must not vote; the others carry on. Logged once, not at each attempt.
            Event.DISK_FAILED.log(failure);
        } else if (failure == null) {
            callbacks.forEach(loop::execute);
        }
    }

    // Returns the failure, or null. Catches every exception, because without this thread the control node would never
    // vote again.
    private String tryWrite(byte[] state) {
        try {
            disk.write(state);
            return null;
        } catch (StateStoreException e) {
            return e.getMessage();
        } catch (RuntimeException e) {
            return e.toString();
        }
    }
}
