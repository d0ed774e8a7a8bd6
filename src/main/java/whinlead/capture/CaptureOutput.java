package whinlead.capture;

import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

/**
 * Writes a capture: a header with the names of the request classes, then entries of a fixed size, so that a reader
 * detects a truncated last entry. Not thread-safe.
 */
public final class CaptureOutput implements Closeable {
    /** "WLCP"; followed by the version. */
    static final int MAGIC = 0x574C4350;

    static final int VERSION = 1;
    /** Size of an entry in bytes. */
    static final int ENTRY_BYTES = 24;
    /** Class index of an entry that records how many entries were lost before it. */
    static final int LOST_ENTRIES_MARKER = 0xFF;
    /** Maximum number of classes. */
    static final int MAX_CLASSES = 200;

    private final DataOutputStream output;
    private final int classCount;

    /**
     * Writes the header.
     *
     * @throws IllegalArgumentException if there is no class, or more classes than a header can hold
     */
    public CaptureOutput(OutputStream target, List<String> classNames) throws IOException {
        if (classNames.isEmpty() || classNames.size() > MAX_CLASSES) {
            throw new IllegalArgumentException("a capture names 1 to " + MAX_CLASSES + " classes");
        }
        output = new DataOutputStream(target);
        classCount = classNames.size();
        output.writeInt(MAGIC);
        output.writeInt(VERSION);
        output.writeInt(classCount);
        for (String name : classNames) {
            output.writeUTF(name);
        }
    }

    /** Writes an entry. Entries have to be written in the order of their arrival times. */
    public void write(Entry entry) throws IOException {
        if (entry.classIndex() < 0 || entry.classIndex() >= classCount) {
            throw new IllegalArgumentException("class " + entry.classIndex() + " is not in the capture header");
        }
        writeFields(
                entry.arrivalMicros(),
                entry.classIndex(),
                entry.repeat() ? 1 : 0,
                entry.tenantIndex(),
                entry.timeoutMs(),
                entry.bodyBytes(),
                entry.outcome().ordinal());
    }

    /** Records that {@code count} entries were lost since the previous one. */
    public void writeLost(long arrivalMicros, int count) throws IOException {
        writeFields(arrivalMicros, LOST_ENTRIES_MARKER, 0, -1, 0, count, 0);
    }

    private void writeFields(
            long arrivalMicros,
            int classIndex,
            int flags,
            int tenantIndex,
            int timeoutMs,
            int bodyBytes,
            int outcomeOrdinal)
            throws IOException {
        output.writeLong(arrivalMicros);
        output.writeByte(classIndex);
        output.writeByte(flags);
        output.writeShort(tenantIndex);
        output.writeInt(timeoutMs);
        output.writeInt(bodyBytes);
        output.writeInt(outcomeOrdinal);
    }

    @Override
    public void close() throws IOException {
        output.close();
    }
}
