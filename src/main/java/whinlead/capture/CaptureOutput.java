package whinlead.capture;

import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

/**
 * Writes a capture: a head with the names of the classes, then entries of one size, so that a torn last one shows. For
 * one thread.
 */
public final class CaptureOutput implements Closeable {
    /** "WLCP"; what follows is the version. */
    static final int MAGIC = 0x574C4350;

    static final int VERSION = 1;
    /** Bytes of an entry. */
    static final int ENTRY = 24;
    /** In the place of a class: an entry that tells how many were lost before it. */
    static final int LOST = 0xFF;
    /** The most classes, and the longest name in bytes. */
    static final int MAX_CLASSES = 200;

    private final DataOutputStream out;
    private final int classes;

    /**
     * Writes the head.
     *
     * @throws IllegalArgumentException if there is no class, or more than a head can name
     */
    public CaptureOutput(OutputStream to, List<String> classNames) throws IOException {
        if (classNames.isEmpty() || classNames.size() > MAX_CLASSES) {
            throw new IllegalArgumentException("a capture names 1 to " + MAX_CLASSES + " classes");
        }
        out = new DataOutputStream(to);
        classes = classNames.size();
        out.writeInt(MAGIC);
        out.writeInt(VERSION);
        out.writeInt(classes);
        for (String name : classNames) {
            out.writeUTF(name);
        }
    }

    /** Writes one; they come by time. */
    public void write(Entry e) throws IOException {
        if (e.kind() < 0 || e.kind() >= classes) {
            throw new IllegalArgumentException("class " + e.kind() + " is not in the head");
        }
        put(
                e.at(),
                e.kind(),
                e.repeat() ? 1 : 0,
                e.tenant(),
                e.timeout(),
                e.size(),
                e.end().ordinal());
    }

    /** Notes that so many were lost since the last one. */
    public void lost(long at, int count) throws IOException {
        put(at, LOST, 0, -1, 0, count, 0);
    }

    private void put(long at, int kind, int flags, int tenant, int timeout, int size, int end) throws IOException {
        out.writeLong(at);
        out.writeByte(kind);
        out.writeByte(flags);
        out.writeShort(tenant);
        out.writeInt(timeout);
        out.writeInt(size);
        out.writeInt(end);
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
