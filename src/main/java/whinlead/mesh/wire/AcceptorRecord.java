package whinlead.mesh.wire;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.Decision;

/**
 * What an acceptor keeps on disk, as MessagePack. It ends with its format; fields of later formats follow. A program
 * that does not know them passes over them, unless the record says that it needs a later one. For any thread.
 */
public final class AcceptorRecord {
    /** The format of records that don't name theirs. */
    private static final int UNNAMED_FORMAT = 1;

    private static final int FORMAT = 2;
    /** The oldest format whose programs may pass over what this one has added. */
    private static final int READABLE_FROM = UNNAMED_FORMAT;

    private AcceptorRecord() {}

    /** Writes a record. */
    public static byte[] write(Acceptor.State memory) {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            if (memory.decided() == null) {
                p.packNil();
            } else {
                ConsensusMessageCodec.decision(p, memory.decided());
            }
            ConsensusMessageCodec.ballot(p, memory.promised());
            ConsensusMessageCodec.vote(p, memory.vote());
            p.packInt(FORMAT).packInt(READABLE_FROM);
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Reads a record.
     *
     * @throws LaterFormatException if it needs a later program
     * @throws IOException if these bytes are none
     */
    public static Acceptor.State read(byte[] bytes) throws IOException {
        try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
            Decision decided = u.tryUnpackNil() ? null : ConsensusMessageCodec.decision(u);
            Ballot promised = ConsensusMessageCodec.ballot(u);
            Acceptor.State memory = new Acceptor.State(decided, promised, ConsensusMessageCodec.vote(u));
            checkFormat(u);
            return memory;
        } catch (RuntimeException e) {
            throw new IOException("not an acceptor's record", e);
        }
    }

    private static void checkFormat(MessageUnpacker u) throws IOException {
        int format = u.hasNext() ? u.unpackInt() : UNNAMED_FORMAT;
        int readableFrom = u.hasNext() ? u.unpackInt() : UNNAMED_FORMAT;
        if (readableFrom > FORMAT) {
            throw new LaterFormatException(format, readableFrom, FORMAT);
        }
    }
}
