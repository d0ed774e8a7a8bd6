package whinlead.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import whinlead.engine.Request;
import whinlead.engine.RequestListener;

/** The recorder writes requests in order into rotating files and never blocks the engine's thread. */
class RecorderTest {
    private static final List<String> CLASSES = List.of("status", "submit");

    private final List<ByteArrayOutputStream> files = new CopyOnWriteArrayList<>();
    private final List<String> log = new CopyOnWriteArrayList<>();

    private OutputStream openNextFile() {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        files.add(file);
        return file;
    }

    private List<Entry> writtenEntries() throws IOException {
        List<Entry> all = new ArrayList<>();
        for (ByteArrayOutputStream file : files) {
            try (CaptureInput in = new CaptureInput(new ByteArrayInputStream(file.toByteArray()))) {
                for (Entry e = in.next(); e != null; e = in.next()) {
                    all.add(e);
                }
                assertEquals(0, in.backwardClockJumps(), "entries are not ordered by arrival time");
            }
        }
        return all;
    }

    @Test
    void writesRequestsByArrivalIntoFilesOfBoundedSize() throws IOException {
        Random random = new Random(1);
        int count = 5000;
        try (Recorder recorder =
                new Recorder(CLASSES, new Recorder.Bounds(65_536, 1000, 24_000), this::openNextFile, log::add)) {
            recorder.requestEnded(
                    new Request(0, -1, 500, false).withFreeShareAndBody(1, 3), 100, RequestListener.Result.SERVED);
            for (int i = 1; i < count; i++) {
                // The requests end in this order, up to 1 s after their arrival.
                recorder.requestEnded(
                        new Request(i % 2, 2, 700, true),
                        2000 + i * 10 - 1000 * random.nextDouble(),
                        RequestListener.Result.REFUSED);
            }
        }
        List<Entry> all = writtenEntries();
        assertEquals(count, all.size());
        assertEquals(new Entry(0, 0, -1, 500, 3, false, RequestListener.Result.SERVED), all.get(0));
        assertEquals(RequestListener.Result.REFUSED, all.get(1).outcome());
        assertTrue(files.size() >= count * CaptureOutput.ENTRY_BYTES / 24_000, "files: " + files.size());
        assertTrue(files.stream().allMatch(f -> f.size() <= 24_000 + 100));
        assertTrue(log.isEmpty(), log.toString());
    }

    @Test
    void stalledDiskDropsAndCountsEntriesWithoutBlocking() throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        Recorder recorder = new Recorder(
                CLASSES,
                new Recorder.Bounds(64, 0, 1 << 20),
                () -> {
                    stalled.countDown();
                    try {
                        resume.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    return openNextFile();
                },
                log::add);
        int count = 10_000;
        int arrivalMs = 0;
        // With a completion window of 0 the second entry causes the first to be written, and the disk stalls.
        while (stalled.getCount() > 0) {
            recorder.requestEnded(new Request(0, -1, 500, false), arrivalMs++, RequestListener.Result.SERVED);
            Thread.onSpinWait();
        }
        while (arrivalMs < count) {
            recorder.requestEnded(new Request(0, -1, 500, false), arrivalMs++, RequestListener.Result.SERVED);
        }
        assertTrue(recorder.lostEntries() > 0, "lost: " + recorder.lostEntries());
        resume.countDown();
        recorder.close();
        Summary summary;
        try (CaptureInput in =
                new CaptureInput(new ByteArrayInputStream(files.get(0).toByteArray()))) {
            summary = Summary.read(in);
        }
        assertEquals(
                arrivalMs,
                summary.requests() + summary.lostEntries(),
                "each entry is written or counted as lost: " + summary);
        assertEquals(recorder.lostEntries(), summary.lostEntries());
    }

    @Test
    void failedDiskEndsCaptureWithOneLogLine() throws Exception {
        CountDownLatch logged = new CountDownLatch(1);
        try (Recorder recorder = new Recorder(
                CLASSES,
                new Recorder.Bounds(16, 0, 1 << 20),
                () -> {
                    throw new IOException("no space");
                },
                line -> {
                    log.add(line);
                    logged.countDown();
                })) {
            for (int arrivalMs = 0; logged.getCount() > 0; arrivalMs++) {
                recorder.requestEnded(new Request(0, -1, 500, false), arrivalMs, RequestListener.Result.SERVED);
                Thread.onSpinWait();
            }
            for (int i = 0; i < 1000; i++) {
                recorder.requestEnded(new Request(0, -1, 500, false), i, RequestListener.Result.SERVED);
            }
            assertTrue(recorder.lostEntries() > 900, "lost: " + recorder.lostEntries());
        }
        assertEquals(List.of("capture ended: no space"), log);
    }
}
