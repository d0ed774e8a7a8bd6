package whinlead.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import whinlead.engine.RequestListener;

/** Writing and reading captures, including truncated and corrupted ones. */
class CaptureTest {
    private static final List<String> CLASSES = List.of("status", "submit");

    private static List<Entry> randomEntries(int count, long seed) {
        Random random = new Random(seed);
        List<Entry> list = new ArrayList<>();
        long arrivalMicros = 0;
        for (int i = 0; i < count; i++) {
            arrivalMicros += random.nextInt(20_000);
            list.add(new Entry(
                    arrivalMicros,
                    random.nextInt(2),
                    random.nextInt(5) - 1,
                    random.nextInt(5000),
                    random.nextInt(70_000),
                    random.nextBoolean(),
                    RequestListener.Result.values()[random.nextInt(4)]));
        }
        return list;
    }

    private static byte[] encode(List<Entry> list) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (CaptureOutput out = new CaptureOutput(bytes, CLASSES)) {
            for (Entry e : list) {
                out.write(e);
            }
        }
        return bytes.toByteArray();
    }

    private static CaptureInput open(byte[] bytes) throws IOException {
        return new CaptureInput(new ByteArrayInputStream(bytes));
    }

    private static List<Entry> readAll(CaptureInput in) throws IOException {
        List<Entry> list = new ArrayList<>();
        for (Entry e = in.next(); e != null; e = in.next()) {
            list.add(e);
        }
        return list;
    }

    @Test
    void readsBackWrittenEntries() throws IOException {
        List<Entry> list = randomEntries(1000, 1);
        CaptureInput in = open(encode(list));
        assertEquals(CLASSES, in.classNames());
        assertEquals(list, readAll(in));
        assertFalse(in.truncated());
    }

    @Test
    void truncatedCaptureYieldsOnlyCompleteEntries() throws IOException {
        List<Entry> list = randomEntries(20, 2);
        byte[] whole = encode(list);
        int headBytes = whole.length - list.size() * CaptureOutput.ENTRY_BYTES;
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            if (length < headBytes) {
                assertThrows(IllegalArgumentException.class, () -> open(truncated));
                continue;
            }
            CaptureInput in = open(truncated);
            int completeEntries = (length - headBytes) / CaptureOutput.ENTRY_BYTES;
            assertEquals(list.subList(0, completeEntries), readAll(in));
            assertEquals((length - headBytes) % CaptureOutput.ENTRY_BYTES != 0, in.truncated());
        }
    }

    @Test
    void flippedBitGivesDifferentEntryOrOneLineError() throws IOException {
        byte[] whole = encode(randomEntries(20, 3));
        Random random = new Random(4);
        for (int i = 0; i < 2000; i++) {
            byte[] corrupted = whole.clone();
            corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 << random.nextInt(8));
            try {
                assertTrue(readAll(open(corrupted)).size() <= 20);
            } catch (IllegalArgumentException e) {
                assertEquals(1, e.getMessage().lines().count());
            }
        }
    }

    @Test
    void rejectsOtherVersionsAndOtherFiles() throws IOException {
        byte[] whole = encode(randomEntries(1, 5));
        whole[7] = 2;
        assertEquals(
                "capture version 2 is not supported, expected 1",
                assertThrows(IllegalArgumentException.class, () -> open(whole)).getMessage());
        assertEquals(
                "not a capture file",
                assertThrows(IllegalArgumentException.class, () -> open("{\"a\": 1}".getBytes()))
                        .getMessage());
    }

    @Test
    void reportsLostEntriesAndBackwardClockJumps() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (CaptureOutput out = new CaptureOutput(bytes, CLASSES)) {
            out.write(new Entry(5_000_000, 0, -1, 10, 0, false, RequestListener.Result.SERVED));
            out.writeLost(5_100_000, 17);
            out.write(new Entry(1_000_000, 1, -1, 10, 0, true, RequestListener.Result.REFUSED));
            out.write(new Entry(7_500_000, 1, -1, 10, 0, false, RequestListener.Result.LEFT));
        }
        Summary summary = Summary.read(open(bytes.toByteArray()));
        assertEquals(
                new Summary(CLASSES, List.of(1L, 2L), 3, 2.5, 2, 1, List.of(1L, 1L, 0L, 1L), 17, 1, false), summary);
    }

    @Test
    void emptyCaptureHasNoEntries() throws IOException {
        CaptureInput in = open(encode(List.of()));
        assertNull(in.next());
        assertEquals(0, Summary.read(open(encode(List.of()))).requests());
    }

    @Test
    void readsTenMillionEntriesWithoutRetainingThem() throws IOException {
        byte[] head = encode(List.of());
        byte[] whole = encode(randomEntries(1, 6));
        byte[] entryBytes = Arrays.copyOfRange(whole, head.length, whole.length);
        long count = 10_000_000;
        // Repeats one entry; the stream is never materialised.
        InputStream repeatedEntries = new InputStream() {
            private long at;

            @Override
            public int read() {
                if (at >= head.length + count * entryBytes.length) {
                    return -1;
                }
                byte b = at < head.length ? head[(int) at] : entryBytes[(int) ((at - head.length) % entryBytes.length)];
                at++;
                return Byte.toUnsignedInt(b);
            }
        };
        assertEquals(count, Summary.read(new CaptureInput(repeatedEntries)).requests());
    }
}
