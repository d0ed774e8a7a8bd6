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

/** What a sidecar serves, captured: in order, in files that go round, and without ever holding it up. */
class RecorderTest {
    private static final List<String> CLASSES = List.of("status", "submit");

    private final List<ByteArrayOutputStream> files = new CopyOnWriteArrayList<>();
    private final List<String> log = new CopyOnWriteArrayList<>();

    private OutputStream next() {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        files.add(file);
        return file;
    }

    private List<Entry> entries() throws IOException {
        List<Entry> all = new ArrayList<>();
        for (ByteArrayOutputStream f : files) {
            try (CaptureInput in = new CaptureInput(new ByteArrayInputStream(f.toByteArray()))) {
                for (Entry e = in.next(); e != null; e = in.next()) {
                    all.add(e);
                }
                assertEquals(0, in.jumps(), "by time");
            }
        }
        return all;
    }

    @Test
    void whatEndsInAnyOrderIsWrittenByArrivalInFilesOfTheirSize() throws IOException {
        Random dice = new Random(1);
        int count = 5000;
        try (Recorder r = new Recorder(CLASSES, new Recorder.Bounds(65_536, 1000, 24_000), this::next, log::add)) {
            r.over(new Request(0, -1, 500, false).at(1, 3), 100, RequestListener.End.SERVED);
            for (int i = 1; i < count; i++) {
                // Ended in this order, after up to a second.
                r.over(
                        new Request(i % 2, 2, 700, true),
                        2000 + i * 10 - 1000 * dice.nextDouble(),
                        RequestListener.End.REFUSED);
            }
        }
        List<Entry> all = entries();
        assertEquals(count, all.size());
        assertEquals(new Entry(0, 0, -1, 500, 3, false, RequestListener.End.SERVED), all.get(0));
        assertEquals(RequestListener.End.REFUSED, all.get(1).end());
        assertTrue(files.size() >= count * CaptureOutput.ENTRY / 24_000, "files: " + files.size());
        assertTrue(files.stream().allMatch(f -> f.size() <= 24_000 + 100));
        assertTrue(log.isEmpty(), log.toString());
    }

    @Test
    void aDiskThatStallsLosesEntriesThatAreCountedAndHoldsNobodyUp() throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        Recorder r = new Recorder(
                CLASSES,
                new Recorder.Bounds(64, 0, 1 << 20),
                () -> {
                    stalled.countDown();
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    return next();
                },
                log::add);
        int count = 10_000;
        int at = 0;
        // With a window of nothing the second one has the first written, and the disk stalls.
        while (stalled.getCount() > 0) {
            r.over(new Request(0, -1, 500, false), at++, RequestListener.End.SERVED);
            Thread.onSpinWait();
        }
        while (at < count) {
            r.over(new Request(0, -1, 500, false), at++, RequestListener.End.SERVED);
        }
        assertTrue(r.lost() > 0, "lost: " + r.lost());
        go.countDown();
        r.close();
        Summary s;
        try (CaptureInput in =
                new CaptureInput(new ByteArrayInputStream(files.get(0).toByteArray()))) {
            s = Summary.of(in);
        }
        assertEquals(at, s.requests() + s.lost(), "all are there or counted: " + s);
        assertEquals(r.lost(), s.lost());
    }

    @Test
    void aDiskThatFailsEndsTheCaptureWithOneLineAndNothingElse() throws Exception {
        CountDownLatch said = new CountDownLatch(1);
        try (Recorder r = new Recorder(
                CLASSES,
                new Recorder.Bounds(16, 0, 1 << 20),
                () -> {
                    throw new IOException("no space");
                },
                line -> {
                    log.add(line);
                    said.countDown();
                })) {
            for (int at = 0; said.getCount() > 0; at++) {
                r.over(new Request(0, -1, 500, false), at, RequestListener.End.SERVED);
                Thread.onSpinWait();
            }
            for (int i = 0; i < 1000; i++) {
                r.over(new Request(0, -1, 500, false), i, RequestListener.End.SERVED);
            }
            assertTrue(r.lost() > 900, "counted: " + r.lost());
        }
        assertEquals(List.of("capture ended: no space"), log);
    }
}
