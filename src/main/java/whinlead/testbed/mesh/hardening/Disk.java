package whinlead.testbed.mesh.hardening;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.wire.AcceptorRecord;

/**
 * A machine's disk and its writer, which works as {@code control.StateWriter} does: one write at a time, and writes
 * that wait meanwhile are merged into the last one. The disk can be slow, stall or refuse writes; a write interrupted
 * by a loss of power is stored or not. Entries are read back through their serialized form. Single-threaded.
 */
final class Disk {
    /** The stored entry: a control node's id and its acceptor state. */
    record Entry(String id, Acceptor.State memory) {}

    private static final double MIN_WRITE_MS = 1;
    private static final double WRITE_SPREAD_MS = 3;
    /** One write in this many takes {@link #LONG_WRITE_MS}. */
    private static final int LONG_WRITE_PERIOD = 50;

    private static final double LONG_WRITE_MS = 400;
    /** A refused entry is retried after this time if no other follows, in milliseconds. */
    private static final double RETRY_PAUSE_MS = 250;
    /** Remaining work of a write that counts as none, in milliseconds. */
    private static final double NEGLIGIBLE_MS = 1e-3;
    /** The interval at which a stalled write checks whether the disk has resumed, in milliseconds. */
    private static final double POLL_MS = 10;

    private final Scheduler scheduler;
    private final SplittableRandom random;
    private Entry stored;
    private Entry storedBefore;
    private Entry underWay;
    private Entry next;
    private List<Runnable> waiting = new ArrayList<>();
    private double slowdown = 1;
    private double stalledUntilMs;
    private boolean isFull;
    private boolean pausing;
    private int incarnation;

    Disk(Scheduler scheduler, SplittableRandom random) {
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Stores an entry immediately: at a start, before any message is sent. */
    void store(Entry entry) {
        stored = entry;
    }

    /** The stored entry, read from its bytes; null on an empty disk. */
    Entry read() {
        return stored == null ? null : reread(stored);
    }

    /** The entry stored one write earlier, for a planted fault. */
    Entry readBefore() {
        return storedBefore == null ? read() : reread(storedBefore);
    }

    private static Entry reread(Entry entry) {
        try {
            return new Entry(entry.id(), AcceptorRecord.read(AcceptorRecord.write(entry.memory())));
        } catch (IOException e) {
            throw new IllegalStateException("an acceptor state that was written can't be read", e);
        }
    }

    /** Whether all entries passed to it are stored. */
    boolean isIdle() {
        return underWay == null && next == null && !pausing;
    }

    /** Writes this entry or a later one, then runs the callback; never runs it if the disk refuses the write. */
    void write(Entry entry, Runnable then) {
        next = entry;
        waiting.add(then);
        startWrite();
    }

    private void startWrite() {
        if (underWay != null || next == null) {
            return;
        }
        underWay = next;
        List<Runnable> then = waiting;
        next = null;
        waiting = new ArrayList<>();
        if (isFull) {
            retryLater(incarnation);
            return;
        }
        advance(
                MIN_WRITE_MS
                        + (random.nextInt(LONG_WRITE_PERIOD) == 0
                                ? LONG_WRITE_MS
                                : random.nextDouble() * WRITE_SPREAD_MS),
                incarnation,
                then);
    }

    // The callbacks of the refused write never run; the entry is retried.
    private void retryLater(int ownIncarnation) {
        scheduler.schedule(MIN_WRITE_MS, () -> {
            if (ownIncarnation != incarnation) {
                return;
            }
            Entry again = underWay;
            underWay = null;
            if (next != null) {
                startWrite();
                return;
            }
            pausing = true;
            scheduler.schedule(RETRY_PAUSE_MS, () -> {
                if (ownIncarnation != incarnation) {
                    return;
                }
                pausing = false;
                if (next == null && underWay == null) {
                    next = again;
                    startWrite();
                }
            });
        });
    }

    // In steps, since the disk may become slow, stall and become fast again during a write.
    private void advance(double leftMs, int ownIncarnation, List<Runnable> then) {
        boolean hangs = scheduler.nowMs() < stalledUntilMs;
        double stepMs = hangs ? POLL_MS : slowdown > 1 ? Math.min(POLL_MS, leftMs * slowdown) : leftMs;
        double doneMs = hangs ? 0 : stepMs / slowdown;
        scheduler.schedule(stepMs, () -> {
            if (ownIncarnation != incarnation) {
                return;
            }
            if (leftMs - doneMs > NEGLIGIBLE_MS || scheduler.nowMs() < stalledUntilMs) {
                advance(Math.max(NEGLIGIBLE_MS, leftMs - doneMs), ownIncarnation, then);
                return;
            }
            storedBefore = stored;
            stored = underWay;
            underWay = null;
            then.forEach(Runnable::run);
            startWrite();
        });
    }

    /** The process ends or the power fails: the current write may have been stored. */
    void powerLost() {
        if (underWay != null && !isFull && random.nextBoolean()) {
            storedBefore = stored;
            stored = underWay;
        }
        underWay = null;
        next = null;
        pausing = false;
        waiting = new ArrayList<>();
        incarnation++;
    }

    /** Erases the disk. */
    void wipe() {
        powerLost();
        stored = null;
        storedBefore = null;
    }

    /** From now on writes take this many times as long. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** No write ends before the given time. */
    void stallUntil(double untilMs) {
        stalledUntilMs = untilMs;
    }

    /** Sets whether the disk is full and refuses writes. */
    void setFull(boolean full) {
        isFull = full;
    }
}
