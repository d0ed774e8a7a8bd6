package whinlead.testbed.mesh.hardening;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.wire.AcceptorRecord;

/**
 * A machine's disk and the one who writes to it, as {@code control.StateWriter} does: one write at a time, and what
 * waits meanwhile is written once, as it is last. It is slow, stalls, or refuses; what is under way as the power goes
 * is there or not. What is read back has gone through the bytes of the state store's entry. One thread.
 */
final class Disk {
    /** What lies on it: a control node's id, and its memory. */
    record Entry(String id, Acceptor.State memory) {}

    private static final double QUICK = 1;
    private static final double SPREAD = 3;
    /** One sync in so many takes this long, in milliseconds. */
    private static final int RARE = 50;

    private static final double LONG = 400;
    /** A memory that was refused is tried again after so long where none follows, in milliseconds. */
    private static final double PAUSE = 250;
    /** Of a write's work, what counts as none, in milliseconds. */
    private static final double LEAST = 1e-3;
    /** A hanging write looks again whether the disk goes on, in milliseconds. */
    private static final double LOOK = 10;

    private final Agenda agenda;
    private final SplittableRandom random;
    private Entry image;
    private Entry before;
    private Entry underWay;
    private Entry next;
    private List<Runnable> waiting = new ArrayList<>();
    private double times = 1;
    private double stalledUntil;
    private boolean refuses;
    private boolean pausing;
    private int life;

    Disk(Agenda agenda, SplittableRandom random) {
        this.agenda = agenda;
        this.random = random;
    }

    /** Puts an entry there at once: at a start, before anything is said. */
    void found(Entry entry) {
        image = entry;
    }

    /** What lies there, read from its bytes; null on an empty disk. */
    Entry read() {
        return image == null ? null : reread(image);
    }

    /** What lay there one write earlier, for a planted fault. */
    Entry readBefore() {
        return before == null ? read() : reread(before);
    }

    private static Entry reread(Entry entry) {
        try {
            return new Entry(entry.id(), AcceptorRecord.read(AcceptorRecord.write(entry.memory())));
        } catch (IOException e) {
            throw new IllegalStateException("a memory that was written can't be read", e);
        }
    }

    /** Whether all that it was given is there. */
    boolean settled() {
        return underWay == null && next == null && !pausing;
    }

    /** Writes this, or what is asked for later, and runs it then; never if the disk refuses. */
    void write(Entry entry, Runnable then) {
        next = entry;
        waiting.add(then);
        begin();
    }

    private void begin() {
        if (underWay != null || next == null) {
            return;
        }
        underWay = next;
        List<Runnable> then = waiting;
        next = null;
        waiting = new ArrayList<>();
        if (refuses) {
            refused(life);
            return;
        }
        work(QUICK + (random.nextInt(RARE) == 0 ? LONG : random.nextDouble() * SPREAD), life, then);
    }

    // What was to be told then never is; the memory is tried again.
    private void refused(int mine) {
        agenda.in(QUICK, () -> {
            if (mine != life) {
                return;
            }
            Entry again = underWay;
            underWay = null;
            if (next != null) {
                begin();
                return;
            }
            pausing = true;
            agenda.in(PAUSE, () -> {
                if (mine != life) {
                    return;
                }
                pausing = false;
                if (next == null && underWay == null) {
                    next = again;
                    begin();
                }
            });
        });
    }

    // In steps, for it may become slow, hang and be quick again in the midst of a write.
    private void work(double left, int mine, List<Runnable> then) {
        boolean hangs = agenda.now() < stalledUntil;
        double step = hangs ? LOOK : times > 1 ? Math.min(LOOK, left * times) : left;
        double done = hangs ? 0 : step / times;
        agenda.in(step, () -> {
            if (mine != life) {
                return;
            }
            if (left - done > LEAST || agenda.now() < stalledUntil) {
                work(Math.max(LEAST, left - done), mine, then);
                return;
            }
            before = image;
            image = underWay;
            underWay = null;
            then.forEach(Runnable::run);
            begin();
        });
    }

    /** The process ends, or the power goes: what is under way may have been written. */
    void cut() {
        if (underWay != null && !refuses && random.nextBoolean()) {
            before = image;
            image = underWay;
        }
        underWay = null;
        next = null;
        pausing = false;
        waiting = new ArrayList<>();
        life++;
    }

    /** All of it is gone. */
    void wipe() {
        cut();
        image = null;
        before = null;
    }

    /** From now on a write takes so many times as long. */
    void slow(double factor) {
        times = factor;
    }

    /** Nothing ends before then. */
    void stall(double until) {
        stalledUntil = until;
    }

    /** From now on it is full, or no longer. */
    void refuse(boolean full) {
        refuses = full;
    }
}
