package whinlead.mesh.wire;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.Decision;

/**
 * The state that an acceptor stores on disk, as MessagePack. The record ends with its format number; fields of later
 * formats follow. A program that does not know these fields ignores them, unless the record says that its reader must
 * know a later format. For any thread.
 */
public final class AcceptorRecord {
    /** The format of records without a format number. */
    private static final int UNNUMBERED_FORMAT = 1;

    private static final int FORMAT = 2;
    /** The oldest format whose programs may ignore the fields added in this format. */
    private static final int READABLE_FROM = UNNUMBERED_FORMAT;

    private AcceptorRecord() {}

    /** Encodes a record. */
    public static byte[] write(Acceptor.State state) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (state.decided() == null) {
                packer.packNil();
            } else {
                ConsensusMessageCodec.decision(packer, state.decided());
            }
            ConsensusMessageCodec.ballot(packer, state.promised());
            ConsensusMessageCodec.vote(packer, state.vote());
            packer.packInt(FORMAT).packInt(READABLE_FROM);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Decodes a record.
     *
     * @throws LaterFormatException if it requires a later program
     * @throws IOException if these bytes are not a record
     */
    public static Acceptor.State read(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            Decision decided = unpacker.tryUnpackNil() ? null : ConsensusMessageCodec.decision(unpacker);
            Ballot promised = ConsensusMessageCodec.ballot(unpacker);
            Acceptor.State state = new Acceptor.State(decided, promised, ConsensusMessageCodec.vote(unpacker));
            checkFormat(unpacker);
            return state;
        } catch (RuntimeException e) {
            throw new IOException("malformed acceptor record", e);
        }
    }

    private static void checkFormat(MessageUnpacker unpacker) throws IOException {
        int format = unpacker.hasNext() ? unpacker.unpackInt() : UNNUMBERED_FORMAT;
        int readableFrom = unpacker.hasNext() ? unpacker.unpackInt() : UNNUMBERED_FORMAT;
        if (readableFrom > FORMAT) {
            throw new LaterFormatException(format, readableFrom, FORMAT);
        }
    }
}
