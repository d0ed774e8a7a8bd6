package whinlead.mesh.wire;

import static whinlead.mesh.wire.FieldCodec.bytes;
import static whinlead.mesh.wire.FieldCodec.checkedSize;
import static whinlead.mesh.wire.FieldCodec.strings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessageUnpacker;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;

/**
 * MessagePack encoding of consensus messages and the values in them: a tag, then the fields in order. They may be
 * extended by the rules of {@link PeerMessageCodec}. For any thread.
 */
final class ConsensusMessageCodec {
    /** The kinds of messages, each with the tag that is the first byte of its encoding. */
    private enum Kind {
        PREPARE(1),
        PROMISE(2),
        ACCEPT(3),
        ACCEPTED(4),
        NACK(5),
        LAGGING(6),
        DECIDED(7),
        QUERY(8),
        STATE(9),
        JOIN(10);

        private final byte tag;

        Kind(int tag) {
            this.tag = (byte) tag;
        }
    }

    /** A message of a kind that this version does not know. */
    static final class UnknownKindException extends IOException {
        private static final long serialVersionUID = 1L;

        private UnknownKindException(String kind) {
            super(kind);
        }
    }

    private ConsensusMessageCodec() {}

    private static Kind kind(byte tag) throws UnknownKindException {
        for (Kind kind : Kind.values()) {
            if (kind.tag == tag) {
                return kind;
            }
        }
        throw new UnknownKindException("consensus message " + tag);
    }

    /** Encodes a message. */
    static void write(MessageBufferPacker packer, Message consensusMessage) throws IOException {
        if (consensusMessage instanceof Message.Prepare message) {
            packer.packByte(Kind.PREPARE.tag).packLong(message.slot());
            ballot(packer, message.ballot());
        } else if (consensusMessage instanceof Message.Promise message) {
            packer.packByte(Kind.PROMISE.tag).packLong(message.slot());
            ballot(packer, message.ballot());
            vote(packer, message.vote());
        } else if (consensusMessage instanceof Message.Accept message) {
            packer.packByte(Kind.ACCEPT.tag);
            ballot(packer, message.ballot());
            decision(packer, message.value());
        } else if (consensusMessage instanceof Message.Accepted message) {
            packer.packByte(Kind.ACCEPTED.tag).packLong(message.slot());
            ballot(packer, message.ballot());
        } else if (consensusMessage instanceof Message.Nack message) {
            packer.packByte(Kind.NACK.tag).packLong(message.slot());
            ballot(packer, message.ballot());
            ballot(packer, message.promised());
        } else if (consensusMessage instanceof Message.Lagging message) {
            packer.packByte(Kind.LAGGING.tag).packLong(message.slot()).packLong(message.decidedSlot());
        } else if (consensusMessage instanceof Message.Decided message) {
            packer.packByte(Kind.DECIDED.tag);
            decision(packer, message.decision());
        } else if (consensusMessage instanceof Message.Query message) {
            packer.packByte(Kind.QUERY.tag).packLong(message.nonce()).packLong(message.slot());
            suspects(packer, message.suspects());
        } else if (consensusMessage instanceof Message.State message) {
            packer.packByte(Kind.STATE.tag)
                    .packLong(message.nonce())
                    .packLong(message.slot())
                    .packBoolean(message.voted());
            opinions(packer, message.opinions());
        } else if (consensusMessage instanceof Message.Join message) {
            packer.packByte(Kind.JOIN.tag).packLong(message.slot());
        }
    }

    /**
     * Decodes a message.
     *
     * @throws UnknownKindException if this version does not know its kind
     */
    static Message read(MessageUnpacker unpacker) throws IOException {
        byte tag = unpacker.unpackByte();
        return switch (kind(tag)) {
            case PREPARE -> new Message.Prepare(unpacker.unpackLong(), ballot(unpacker));
            case PROMISE -> new Message.Promise(unpacker.unpackLong(), ballot(unpacker), vote(unpacker));
            case ACCEPT -> new Message.Accept(ballot(unpacker), decision(unpacker));
            case ACCEPTED -> new Message.Accepted(unpacker.unpackLong(), ballot(unpacker));
            case NACK -> new Message.Nack(unpacker.unpackLong(), ballot(unpacker), ballot(unpacker));
            case LAGGING -> new Message.Lagging(unpacker.unpackLong(), unpacker.unpackLong());
            case DECIDED -> new Message.Decided(decision(unpacker));
            case QUERY -> new Message.Query(unpacker.unpackLong(), unpacker.unpackLong(), suspects(unpacker));
            case STATE ->
                new Message.State(
                        unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackBoolean(), opinions(unpacker));
            case JOIN -> new Message.Join(unpacker.unpackLong());
        };
    }

    // Suspects and opinions follow the older fields and are omitted if there are none: a program of an earlier version
    // reads the fields that it knows and ignores the rest.
    private static void suspects(MessageBufferPacker packer, List<String> suspects) throws IOException {
        if (!suspects.isEmpty()) {
            strings(packer, suspects);
        }
    }

    private static List<String> suspects(MessageUnpacker unpacker) throws IOException {
        return unpacker.hasNext() ? strings(unpacker) : List.of();
    }

    private static void opinions(MessageBufferPacker packer, List<Message.Opinion> opinions) throws IOException {
        if (!opinions.isEmpty()) {
            packer.packInt(opinions.size());
            for (Message.Opinion opinion : opinions) {
                packer.packString(opinion.voter())
                        .packInt(opinion.reachability().ordinal());
            }
        }
    }

    private static List<Message.Opinion> opinions(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.hasNext() ? checkedSize(unpacker.unpackInt()) : 0;
        List<Message.Opinion> opinions = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            opinions.add(new Message.Opinion(unpacker.unpackString(), reachability(unpacker.unpackInt())));
        }
        return opinions;
    }

    // A value that only a newer program knows is read as unsure.
    private static Message.Reachability reachability(int number) {
        Message.Reachability[] known = Message.Reachability.values();
        return number >= 0 && number < known.length ? known[number] : Message.Reachability.UNSURE;
    }

    static void ballot(MessageBufferPacker packer, Ballot ballot) throws IOException {
        packer.packLong(ballot.round()).packString(ballot.proposer());
    }

    static Ballot ballot(MessageUnpacker unpacker) throws IOException {
        return new Ballot(unpacker.unpackLong(), unpacker.unpackString());
    }

    static void vote(MessageBufferPacker packer, Message.Vote vote) throws IOException {
        if (vote == null) {
            packer.packNil();
        } else {
            ballot(packer, vote.ballot());
            decision(packer, vote.value());
        }
    }

    static Message.Vote vote(MessageUnpacker unpacker) throws IOException {
        return unpacker.getNextFormat() == MessageFormat.NIL
                ? nil(unpacker)
                : new Message.Vote(ballot(unpacker), decision(unpacker));
    }

    private static Message.Vote nil(MessageUnpacker unpacker) throws IOException {
        unpacker.unpackNil();
        return null;
    }

    static void decision(MessageBufferPacker packer, Decision decision) throws IOException {
        packer.packLong(decision.slot()).packLong(decision.version());
        bytes(packer, decision.body());
        packer.packInt(decision.appliedVersions().size());
        for (Decision.AppliedVersion taken : decision.appliedVersions()) {
            packer.packLong(taken.version()).packString(taken.digest());
        }
        strings(packer, decision.voters());
    }

    static Decision decision(MessageUnpacker unpacker) throws IOException {
        long slot = unpacker.unpackLong();
        long version = unpacker.unpackLong();
        byte[] body = bytes(unpacker);
        int size = checkedSize(unpacker.unpackInt());
        List<Decision.AppliedVersion> taken = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            taken.add(new Decision.AppliedVersion(unpacker.unpackLong(), unpacker.unpackString()));
        }
        return new Decision(slot, version, body, taken, strings(unpacker));
    }
}
