package whinlead.capture;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import whinlead.engine.Request;
import whinlead.engine.RequestListener;

/**
 * Captures what a sidecar serves. The engine's thread puts an entry into a ring and never waits; where the writer lags,
 * entries are lost and counted. A thread of its own puts them in the order of their arrival, for they come as they end,
 * and writes them to files of which the oldest goes.
 */
public final class Recorder implements RequestListener, AutoCloseable {
    /** Opens the next file; the writer closes it. */
    @FunctionalInterface
    public interface Files {
        /** The next one, after which the oldest beyond those kept is gone. */
        OutputStream next() throws IOException;
    }

    /**
     * What it may use.
     *
     * @param queue entries between the two threads
     * @param window milliseconds after its arrival by which a request has ended
     * @param bytes of a file
     */
    public record Bounds(int queue, double window, long bytes) {}

    /** An entry that waits for its turn takes some 80 bytes: at most so many times the queue wait. */
    private static final int MAX_SORTED = 4;

    private static final long IDLE_NANOS = 20_000_000;
    private static final double MICROS = 1000;

    private final List<String> classes;
    private final Bounds bounds;
    private final Files files;
    private final Consumer<String> log;
    private final AtomicReferenceArray<Entry> ring;
    /** Written by the engine's thread; read by the writer. */
    private final AtomicLong put = new AtomicLong();
    /** Written by the writer; read by the engine's thread. */
    private final AtomicLong taken = new AtomicLong();

    private final AtomicLong lost = new AtomicLong();
    private final PriorityQueue<Entry> sorted = new PriorityQueue<>(Comparator.comparingLong(Entry::at));
    private final Thread thread;
    private volatile boolean closing;
    private double began = Double.NaN;
    private CaptureOutput out;
    private long written;
    private long lostTold;

    /** One that is ready; its writer runs until it is closed. */
    public Recorder(List<String> classes, Bounds bounds, Files files, Consumer<String> log) {
        this.classes = classes;
        this.bounds = bounds;
        this.files = files;
        this.log = log;
        this.ring = new AtomicReferenceArray<>(bounds.queue());
        this.thread = new Thread(this::run, "capture");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void over(Request ask, double at, End end) {
        if (Double.isNaN(began)) {
            began = at;
        }
        long next = put.get();
        if (next - taken.get() >= bounds.queue()) {
            lost.incrementAndGet();
            return;
        }
        // What was taken before the first one that ended came before the capture.
        long micros = Math.max(0, Math.round((at - began) * MICROS));
        ring.set(
                (int) (next % bounds.queue()),
                new Entry(
                        micros,
                        ask.classIndex(),
                        ask.tenantIndex(),
                        (int) Math.round(ask.timeout()),
                        ask.size(),
                        ask.repeat(),
                        end));
        put.set(next + 1);
    }

    /** How many entries were lost so far. */
    public long lost() {
        return lost.get();
    }

    private void run() {
        try {
            while (!closing || taken.get() < put.get()) {
                if (taken.get() == put.get()) {
                    LockSupport.parkNanos(IDLE_NANOS);
                    continue;
                }
                int at = (int) (taken.get() % bounds.queue());
                Entry e = ring.getAndSet(at, null);
                taken.incrementAndGet();
                sorted.add(e);
                // What has ended now arrived within the window before: earlier ones are all there.
                long settled = e.at() - Math.round(bounds.window() * MICROS);
                while (!sorted.isEmpty()
                        && (sorted.peek().at() < settled || sorted.size() > MAX_SORTED * bounds.queue())) {
                    write(sorted.poll());
                }
            }
            while (!sorted.isEmpty()) {
                write(sorted.poll());
            }
            if (out != null) {
                out.close();
            }
        } catch (IOException e) {
            // The queue fills, and what comes is lost and counted; nothing that serves notices.
            log.accept("capture ended: " + e.getMessage());
        }
    }

    private void write(Entry e) throws IOException {
        if (out == null || written + CaptureOutput.ENTRY > bounds.bytes()) {
            if (out != null) {
                out.close();
            }
            out = new CaptureOutput(new BufferedOutputStream(files.next()), classes);
            written = 0;
        }
        long now = lost.get();
        if (now > lostTold) {
            out.lost(e.at(), (int) Math.min(Integer.MAX_VALUE, now - lostTold));
            lostTold = now;
            written += CaptureOutput.ENTRY;
        }
        out.write(e);
        written += CaptureOutput.ENTRY;
    }

    /** Writes what it has and ends; waits for the writer at most a second. */
    @Override
    public void close() {
        closing = true;
        LockSupport.unpark(thread);
        try {
            thread.join(1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
