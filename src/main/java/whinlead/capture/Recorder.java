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
 * Captures the requests that a sidecar serves. The engine's thread puts entries into a ring buffer and never blocks; if
 * the writer lags, entries are dropped and counted. Entries are enqueued when requests end, so a separate writer thread
 * sorts them by arrival before it writes them to rotating files.
 */
public final class Recorder implements RequestListener, AutoCloseable {
    /** Opens the next file of the rotation; the writer closes it. */
    @FunctionalInterface
    public interface FileRotation {
        /** Opens the next file and discards the oldest one beyond the retained number. */
        OutputStream openNext() throws IOException;
    }

    /**
     * Resource limits of a recorder.
     *
     * @param queueEntries capacity of the ring buffer between the two threads
     * @param completionWindowMs time after its arrival within which a request has ended
     * @param fileBytes maximum size of a file
     */
    public record Bounds(int queueEntries, double completionWindowMs, long fileBytes) {}

    /**
     * Bounds the entries that wait to be written in order, as a multiple of the ring buffer's capacity. Each takes
     * about 80 bytes.
     */
    private static final int MAX_SORTED_QUEUES = 4;

    private static final long IDLE_NANOS = 20_000_000;
    private static final double MICROS_PER_MS = 1000;

    private final List<String> classNames;
    private final Bounds bounds;
    private final FileRotation fileRotation;
    private final Consumer<String> log;
    private final AtomicReferenceArray<Entry> ring;
    /** Written by the engine's thread; read by the writer. */
    private final AtomicLong enqueued = new AtomicLong();
    /** Written by the writer; read by the engine's thread. */
    private final AtomicLong dequeued = new AtomicLong();

    private final AtomicLong lostEntries = new AtomicLong();
    private final PriorityQueue<Entry> sortedByArrival =
            new PriorityQueue<>(Comparator.comparingLong(Entry::arrivalMicros));
    private final Thread writerThread;
    private volatile boolean closing;
    private double captureStartMs = Double.NaN;
    private CaptureOutput output;
    private long fileBytesWritten;
    private long lostEntriesWritten;

    /** Starts the writer thread, which runs until {@link #close}. */
    public Recorder(List<String> classNames, Bounds bounds, FileRotation fileRotation, Consumer<String> log) {
        this.classNames = classNames;
        this.bounds = bounds;
        this.fileRotation = fileRotation;
        this.log = log;
        this.ring = new AtomicReferenceArray<>(bounds.queueEntries());
        this.writerThread = new Thread(this::writeEntries, "capture");
        writerThread.setDaemon(true);
        writerThread.start();
    }

    @Override
    public void requestEnded(Request request, double arrivalMs, Result outcome) {
        if (Double.isNaN(captureStartMs)) {
            captureStartMs = arrivalMs;
        }
        long position = enqueued.get();
        if (position - dequeued.get() >= bounds.queueEntries()) {
            lostEntries.incrementAndGet();
            return;
        }
        // A request that arrived before the first one that ended arrived before the capture began: time 0.
        long arrivalMicros = Math.max(0, Math.round((arrivalMs - captureStartMs) * MICROS_PER_MS));
        ring.set(
                (int) (position % bounds.queueEntries()),
                new Entry(
                        arrivalMicros,
                        request.classIndex(),
                        request.tenantIndex(),
                        (int) Math.round(request.timeoutMs()),
                        request.bodyBytes(),
                        request.repeat(),
                        outcome));
        enqueued.set(position + 1);
    }

    /** How many entries have been lost so far. */
    public long lostEntries() {
        return lostEntries.get();
    }

    private void writeEntries() {
        try {
            while (!closing || dequeued.get() < enqueued.get()) {
                if (dequeued.get() == enqueued.get()) {
                    LockSupport.parkNanos(IDLE_NANOS);
                    continue;
                }
                int slot = (int) (dequeued.get() % bounds.queueEntries());
                Entry e = ring.getAndSet(slot, null);
                dequeued.incrementAndGet();
                sortedByArrival.add(e);
                // A request that ends now arrived within the completion window: all earlier entries are present.
                long settledBeforeMicros = e.arrivalMicros() - Math.round(bounds.completionWindowMs() * MICROS_PER_MS);
                while (!sortedByArrival.isEmpty()
                        && (sortedByArrival.peek().arrivalMicros() < settledBeforeMicros
                                || sortedByArrival.size() > MAX_SORTED_QUEUES * bounds.queueEntries())) {
                    write(sortedByArrival.poll());
                }
            }
            while (!sortedByArrival.isEmpty()) {
                write(sortedByArrival.poll());
            }
            if (output != null) {
                output.close();
            }
        } catch (IOException e) {
            // The ring buffer fills up and further entries are dropped and counted; request serving is not affected.
            log.accept("capture ended: " + e.getMessage());
        }
    }

    private void write(Entry entry) throws IOException {
        if (output == null || fileBytesWritten + CaptureOutput.ENTRY_BYTES > bounds.fileBytes()) {
            if (output != null) {
                output.close();
            }
            output = new CaptureOutput(new BufferedOutputStream(fileRotation.openNext()), classNames);
            fileBytesWritten = 0;
        }
        long lostSoFar = lostEntries.get();
        if (lostSoFar > lostEntriesWritten) {
            output.writeLost(entry.arrivalMicros(), (int) Math.min(Integer.MAX_VALUE, lostSoFar - lostEntriesWritten));
            lostEntriesWritten = lostSoFar;
            fileBytesWritten += CaptureOutput.ENTRY_BYTES;
        }
        output.write(entry);
        fileBytesWritten += CaptureOutput.ENTRY_BYTES;
    }

    /** Writes the remaining entries and stops; waits at most 1 s for the writer. */
    @Override
    public void close() {
        closing = true;
        LockSupport.unpark(writerThread);
        try {
            writerThread.join(1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
