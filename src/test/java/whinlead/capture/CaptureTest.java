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

/** Captures, whole and spoilt. */
class CaptureTest {
    private static final List<String> CLASSES = List.of("status", "submit");

    private static List<Entry> entries(int count, long seed) {
        Random dice = new Random(seed);
        List<Entry> list = new ArrayList<>();
        long at = 0;
        for (int i = 0; i < count; i++) {
            at += dice.nextInt(20_000);
            list.add(new Entry(
                    at,
                    dice.nextInt(2),
                    dice.nextInt(5) - 1,
                    dice.nextInt(5000),
                    dice.nextInt(70_000),
                    dice.nextBoolean(),
                    RequestListener.End.values()[dice.nextInt(4)]));
        }
        return list;
    }

    private static byte[] written(List<Entry> list) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (CaptureOutput out = new CaptureOutput(bytes, CLASSES)) {
            for (Entry e : list) {
                out.write(e);
            }
        }
        return bytes.toByteArray();
    }

    private static CaptureInput read(byte[] bytes) throws IOException {
        return new CaptureInput(new ByteArrayInputStream(bytes));
    }

    private static List<Entry> all(CaptureInput in) throws IOException {
        List<Entry> list = new ArrayList<>();
        for (Entry e = in.next(); e != null; e = in.next()) {
            list.add(e);
        }
        return list;
    }

    @Test
    void whatIsWrittenIsRead() throws IOException {
        List<Entry> list = entries(1000, 1);
        CaptureInput in = read(written(list));
        assertEquals(CLASSES, in.classes());
        assertEquals(list, all(in));
        assertFalse(in.torn());
    }

    @Test
    void cutAnywhereItGivesTheEntriesBeforeAndNothingElse() throws IOException {
        List<Entry> list = entries(20, 2);
        byte[] whole = written(list);
        int head = whole.length - list.size() * CaptureOutput.ENTRY;
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            if (length < head) {
                assertThrows(IllegalArgumentException.class, () -> read(cut));
                continue;
            }
            CaptureInput in = read(cut);
            int left = (length - head) / CaptureOutput.ENTRY;
            assertEquals(list.subList(0, left), all(in));
            assertEquals((length - head) % CaptureOutput.ENTRY != 0, in.torn());
        }
    }

    @Test
    void aSpoiltBitIsReadAsAnotherEntryOrRefusedInOneLineAndNeverMore() throws IOException {
        byte[] whole = written(entries(20, 3));
        Random dice = new Random(4);
        for (int i = 0; i < 2000; i++) {
            byte[] spoilt = whole.clone();
            spoilt[dice.nextInt(spoilt.length)] ^= (byte) (1 << dice.nextInt(8));
            try {
                assertTrue(all(read(spoilt)).size() <= 20);
            } catch (IllegalArgumentException e) {
                assertEquals(1, e.getMessage().lines().count());
            }
        }
    }

    @Test
    void anotherVersionOrAnotherFileIsRefused() throws IOException {
        byte[] whole = written(entries(1, 5));
        whole[7] = 2;
        assertEquals(
                "a capture of version 2, not 1",
                assertThrows(IllegalArgumentException.class, () -> read(whole)).getMessage());
        assertEquals(
                "not a capture",
                assertThrows(IllegalArgumentException.class, () -> read("{\"a\": 1}".getBytes()))
                        .getMessage());
    }

    @Test
    void lossesAndAClockThatGoesBackAreTold() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (CaptureOutput out = new CaptureOutput(bytes, CLASSES)) {
            out.write(new Entry(5_000_000, 0, -1, 10, 0, false, RequestListener.End.SERVED));
            out.lost(5_100_000, 17);
            out.write(new Entry(1_000_000, 1, -1, 10, 0, true, RequestListener.End.REFUSED));
            out.write(new Entry(7_500_000, 1, -1, 10, 0, false, RequestListener.End.LEFT));
        }
        Summary s = Summary.of(read(bytes.toByteArray()));
        assertEquals(new Summary(CLASSES, List.of(1L, 2L), 3, 2.5, 2, 1, List.of(1L, 1L, 0L, 1L), 17, 1, false), s);
    }

    @Test
    void anEmptyOneHoldsNothing() throws IOException {
        CaptureInput in = read(written(List.of()));
        assertNull(in.next());
        assertEquals(0, Summary.of(read(written(List.of()))).requests());
    }

    @Test
    void tenMillionEntriesAreReadWithoutBeingHeld() throws IOException {
        byte[] head = written(List.of());
        byte[] whole = written(entries(1, 6));
        byte[] one = Arrays.copyOfRange(whole, head.length, whole.length);
        long count = 10_000_000;
        // A stream of one entry over and over; nothing keeps it.
        InputStream many = new InputStream() {
            private long at;

            @Override
            public int read() {
                if (at >= head.length + count * one.length) {
                    return -1;
                }
                byte b = at < head.length ? head[(int) at] : one[(int) ((at - head.length) % one.length)];
                at++;
                return Byte.toUnsignedInt(b);
            }
        };
        assertEquals(count, Summary.of(new CaptureInput(many)).requests());
    }
}
