package whinlead.mesh.control;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;
import whinlead.mesh.log.Event;
import whinlead.mesh.storage.StateStore;
import whinlead.mesh.storage.StateStoreException;

/**
 * Writes a control node's memory on a thread of its own, for a disk may stall. What waits meanwhile is written once, as
 * it is last: each memory holds all that was promised before. A memory that the disk refuses is tried again until it,
 * or a later one, is written; what waited for it is never run, as if lost on the way. Called from the control node's
 * loop.
 */
final class StateWriter {
    /** Between two tries of a disk that refuses, unless there is a later memory, in milliseconds. */
    static final long PAUSE_MS = 250;
    /** What may wait for a disk that stalls; the oldest beyond are dropped, as messages lost on the way. */
    static final int MAX_WAITING = 1000;

    private static final double NANOS = 1e6;

    /** Where it writes: a state store. */
    interface Disk {
        /**
         * Writes and syncs; it is on disk when this returns.
         *
         * @throws StateStoreException if it may not be
         */
        void write(byte[] memory) throws StateStoreException;
    }

    private final Disk disk;
    private final Executor loop;
    private final DoubleSupplier clock;
    private final Object lock = new Object();
    private Queue<Runnable> waiting = new ArrayDeque<>();
    private byte[] newest;
    /** When the oldest memory that is not on disk was handed in, in milliseconds; NaN if there is none. */
    private double since = Double.NaN;
    /** The same, of those that came while the disk was busy. */
    private double sinceNext = Double.NaN;

    private boolean refused;

    /**
     * A state writer.
     *
     * @param loop runs what waited for the disk
     */
    StateWriter(StateStore store, String id, Executor loop) {
        this(memory -> store.write(id, memory), loop, () -> System.nanoTime() / NANOS);
    }

    /**
     * A state writer of this disk.
     *
     * @param clock steady, in milliseconds
     */
    StateWriter(Disk disk, Executor loop, DoubleSupplier clock) {
        this.disk = disk;
        this.loop = loop;
        this.clock = clock;
    }

    /** Begins to write. */
    void start() {
        Thread thread = new Thread(this::run, "state-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes and syncs this memory, or a later one, then has this run; if that fails, it never runs. */
    void write(byte[] memory, Runnable then) {
        synchronized (lock) {
            newest = memory;
            if (waiting.size() >= MAX_WAITING) {
                waiting.remove();
            }
            waiting.add(then);
            if (Double.isNaN(sinceNext)) {
                sinceNext = clock.getAsDouble();
            }
            lock.notifyAll();
        }
    }

    /** Whether the disk refused what it was last given. For any thread. */
    boolean isFailing() {
        synchronized (lock) {
            return refused;
        }
    }

    /** For how long there has been a memory that is not on disk, in ms; 0 if all is. For any thread. */
    double stalledMs() {
        synchronized (lock) {
            double from = Double.isNaN(since) ? sinceNext : since;
            return Double.isNaN(from) ? 0 : Math.max(0, clock.getAsDouble() - from);
        }
    }

    /** Whether all that it was given is on disk. For any thread. */
    boolean isSynced() {
        synchronized (lock) {
            return Double.isNaN(since) && Double.isNaN(sinceNext);
        }
    }

    private void run() {
        try {
            while (true) {
                synchronized (lock) {
                    while (newest == null) {
                        lock.wait();
                    }
                    if (refused && waiting.isEmpty()) {
                        lock.wait(PAUSE_MS);
                    }
                }
                step();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes what is newest, if anything is, once. On the state writer's thread. */
    void step() {
        byte[] memory;
        Queue<Runnable> then;
        synchronized (lock) {
            if (newest == null) {
                return;
            }
            memory = newest;
            then = waiting;
            newest = null;
            waiting = new ArrayDeque<>();
            if (Double.isNaN(since)) {
                since = sinceNext;
            }
            sinceNext = Double.NaN;
        }
        String fault = attempt(memory);
        boolean first;
        boolean again;
        synchronized (lock) {
            first = fault != null && !refused;
            again = fault == null && refused;
            refused = fault != null;
            if (!refused) {
                since = Double.NaN;
            } else if (newest == null) {
                newest = memory;
            }
        }
        if (again) {
            Event.DISK_AGAIN.log("after a refusal");
        }
        if (first) {
            // Not voting is all that a member may do then; the others carry on. Said once, not at each try.
            Event.DISK_FAILED.log(fault);
        } else if (fault == null) {
            then.forEach(loop::execute);
        }
    }

    // What failed, or null. Whatever is thrown: an ended state writer would keep the control node from voting for good.
    private String attempt(byte[] memory) {
        try {
            disk.write(memory);
            return null;
        } catch (StateStoreException e) {
            return e.getMessage();
        } catch (RuntimeException e) {
            return e.toString();
        }
    }
}
