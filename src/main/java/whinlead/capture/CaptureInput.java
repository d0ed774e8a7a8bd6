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
 * Reads a capture one entry at a time, however long it is. A torn last entry is left out and told, one whose time is
 * before the last one's counts as a jump of the clock and gets that one's. For one thread.
 */
public final class CaptureInput implements Closeable {
    private static final RequestListener.End[] ENDS = RequestListener.End.values();

    private final DataInputStream in;
    private final List<String> classes = new ArrayList<>();
    private final byte[] entry = new byte[CaptureOutput.ENTRY];
    private long read;
    private long lost;
    private long jumps;
    private long lastAt;
    private boolean torn;

    /**
     * Reads the head.
     *
     * @throws IllegalArgumentException with one line if this is no capture, or one of another version
     */
    public CaptureInput(InputStream from) throws IOException {
        in = new DataInputStream(new BufferedInputStream(from));
        try {
            if (in.readInt() != CaptureOutput.MAGIC) {
                throw new IllegalArgumentException("not a capture");
            }
            int version = in.readInt();
            if (version != CaptureOutput.VERSION) {
                throw new IllegalArgumentException(
                        "a capture of version " + version + ", not " + CaptureOutput.VERSION);
            }
            int count = in.readInt();
            if (count < 1 || count > CaptureOutput.MAX_CLASSES) {
                throw new IllegalArgumentException("a head of " + count + " classes");
            }
            for (int i = 0; i < count; i++) {
                classes.add(in.readUTF());
            }
        } catch (EOFException | UTFDataFormatException e) {
            throw new IllegalArgumentException("not a capture: its head is cut off or unreadable", e);
        }
    }

    /** The names of its classes. */
    public List<String> classes() {
        return List.copyOf(classes);
    }

    /**
     * The next one; null at the end.
     *
     * @throws IllegalArgumentException with one line that names an entry that makes no sense
     */
    public Entry next() throws IOException {
        while (true) {
            int got = in.readNBytes(entry, 0, entry.length);
            if (got < entry.length) {
                torn = got > 0;
                return null;
            }
            read++;
            ByteBuffer b = ByteBuffer.wrap(entry);
            long at = b.getLong();
            int kind = Byte.toUnsignedInt(b.get());
            int flags = b.get();
            int tenant = b.getShort();
            int timeout = b.getInt();
            int size = b.getInt();
            int end = b.getInt();
            if (at < lastAt) {
                jumps++;
                at = lastAt;
            }
            lastAt = at;
            if (kind == CaptureOutput.LOST) {
                lost += Math.max(0, size);
                continue;
            }
            if (kind >= classes.size() || end < 0 || end >= ENDS.length || timeout < 0 || size < 0) {
                throw new IllegalArgumentException("entry " + read + " makes no sense");
            }
            return new Entry(at, kind, tenant, timeout, size, (flags & 1) != 0, ENDS[end]);
        }
    }

    /** How many entries were lost as it was written, as far as read. */
    public long lost() {
        return lost;
    }

    /** How often its clock went back, as far as read. */
    public long jumps() {
        return jumps;
    }

    /** Whether its last entry was torn; known at the end. */
    public boolean torn() {
        return torn;
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
