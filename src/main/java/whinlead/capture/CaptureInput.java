package whinlead.capture;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UTFDataFormatException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import whinlead.engine.RequestListener;

/**
 * Reads a capture one entry at a time, so memory use does not depend on its length. A truncated last entry is skipped
 * and reported. An entry whose time is before that of the previous entry counts as a backward clock jump and gets the
 * previous entry's time. Not thread-safe.
 */
public final class CaptureInput implements Closeable {
    private static final RequestListener.Result[] OUTCOMES = RequestListener.Result.values();

    private final DataInputStream input;
    private final List<String> classNames = new ArrayList<>();
    private final byte[] entryBytes = new byte[CaptureOutput.ENTRY_BYTES];
    private long entriesRead;
    private long lostEntries;
    private long backwardClockJumps;
    private long lastArrivalMicros;
    private boolean truncated;

    /**
     * Reads the header.
     *
     * @throws IllegalArgumentException with a one-line message if this is not a capture or has another version
     */
    public CaptureInput(InputStream source) throws IOException {
        input = new DataInputStream(new BufferedInputStream(source));
        try {
            if (input.readInt() != CaptureOutput.MAGIC) {
                throw new IllegalArgumentException("not a capture file");
            }
            int version = input.readInt();
            if (version != CaptureOutput.VERSION) {
                throw new IllegalArgumentException(
                        "capture version " + version + " is not supported, expected " + CaptureOutput.VERSION);
            }
            int count = input.readInt();
            if (count < 1 || count > CaptureOutput.MAX_CLASSES) {
                throw new IllegalArgumentException("invalid capture header: " + count + " classes");
            }
            for (int i = 0; i < count; i++) {
                classNames.add(input.readUTF());
            }
        } catch (EOFException | UTFDataFormatException e) {
            throw new IllegalArgumentException("not a capture file: the header is truncated or unreadable", e);
        }
    }

    /** The names of the request classes in the header. */
    public List<String> classNames() {
        return List.copyOf(classNames);
    }

    /**
     * Returns the next entry, or null at the end.
     *
     * @throws IllegalArgumentException with a one-line message that names the position of an invalid entry
     */
    public Entry next() throws IOException {
        while (true) {
            int bytesRead = input.readNBytes(entryBytes, 0, entryBytes.length);
            if (bytesRead < entryBytes.length) {
                truncated = bytesRead > 0;
                return null;
            }
            entriesRead++;
            ByteBuffer buffer = ByteBuffer.wrap(entryBytes);
            long arrivalMicros = buffer.getLong();
            int classIndex = Byte.toUnsignedInt(buffer.get());
            int flags = buffer.get();
            int tenantIndex = buffer.getShort();
            int timeoutMs = buffer.getInt();
            int bodyBytes = buffer.getInt();
            int outcome = buffer.getInt();
            if (arrivalMicros < lastArrivalMicros) {
                backwardClockJumps++;
                arrivalMicros = lastArrivalMicros;
            }
            lastArrivalMicros = arrivalMicros;
            if (classIndex == CaptureOutput.LOST_ENTRIES_MARKER) {
                lostEntries += Math.max(0, bodyBytes);
                continue;
            }
            if (classIndex >= classNames.size()
                    || outcome < 0
                    || outcome >= OUTCOMES.length
                    || timeoutMs < 0
                    || bodyBytes < 0) {
                throw new IllegalArgumentException("entry " + entriesRead + " is invalid: a field is out of range");
            }
            return new Entry(
                    arrivalMicros, classIndex, tenantIndex, timeoutMs, bodyBytes, (flags & 1) != 0, OUTCOMES[outcome]);
        }
    }

    /** How many entries were lost while the capture was written, in the part read so far. */
    public long lostEntries() {
        return lostEntries;
    }

    /** How often the clock of the capture went back, in the part read so far. */
    public long backwardClockJumps() {
        return backwardClockJumps;
    }

    /** Whether the last entry was truncated; valid once {@link #next} has returned null. */
    public boolean truncated() {
        return truncated;
    }

    @Override
    public void close() throws IOException {
        input.close();
    }
}
