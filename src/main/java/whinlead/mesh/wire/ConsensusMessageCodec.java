package whinlead.mesh.wire;

import static whinlead.mesh.wire.FieldCodec.bytes;
import static whinlead.mesh.wire.FieldCodec.size;
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
 * The consensus' messages, and the values in them, as MessagePack: a tag, then the fields in their order. They grow as
 * {@link PeerMessageCodec} says. For any thread.
 */
final class ConsensusMessageCodec {
    /** The kinds of messages, by the tag that stands first in the bytes of each. */
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

    /** Names a kind of message that this version does not know. */
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
        throw new UnknownKindException("ballot message " + tag);
    }

    /** Writes a message. */
    static void write(MessageBufferPacker p, Message message) throws IOException {
        if (message instanceof Message.Prepare s) {
            p.packByte(Kind.PREPARE.tag).packLong(s.slot());
            ballot(p, s.ballot());
        } else if (message instanceof Message.Promise s) {
            p.packByte(Kind.PROMISE.tag).packLong(s.slot());
            ballot(p, s.ballot());
            vote(p, s.vote());
        } else if (message instanceof Message.Accept s) {
            p.packByte(Kind.ACCEPT.tag);
            ballot(p, s.ballot());
            decision(p, s.value());
        } else if (message instanceof Message.Accepted s) {
            p.packByte(Kind.ACCEPTED.tag).packLong(s.slot());
            ballot(p, s.ballot());
        } else if (message instanceof Message.Nack s) {
            p.packByte(Kind.NACK.tag).packLong(s.slot());
            ballot(p, s.ballot());
            ballot(p, s.promised());
        } else if (message instanceof Message.Lagging s) {
            p.packByte(Kind.LAGGING.tag).packLong(s.slot()).packLong(s.have());
        } else if (message instanceof Message.Decided s) {
            p.packByte(Kind.DECIDED.tag);
            decision(p, s.decision());
        } else if (message instanceof Message.Query s) {
            p.packByte(Kind.QUERY.tag).packLong(s.nonce()).packLong(s.slot());
            suspects(p, s.suspects());
        } else if (message instanceof Message.State s) {
            p.packByte(Kind.STATE.tag).packLong(s.nonce()).packLong(s.slot()).packBoolean(s.voted());
            opinions(p, s.opinions());
        } else if (message instanceof Message.Join s) {
            p.packByte(Kind.JOIN.tag).packLong(s.slot());
        }
    }

    /**
     * Reads a message.
     *
     * @throws UnknownKindException if this version does not know its kind
     */
    static Message read(MessageUnpacker u) throws IOException {
        byte tag = u.unpackByte();
        return switch (kind(tag)) {
            case PREPARE -> new Message.Prepare(u.unpackLong(), ballot(u));
            case PROMISE -> new Message.Promise(u.unpackLong(), ballot(u), vote(u));
            case ACCEPT -> new Message.Accept(ballot(u), decision(u));
            case ACCEPTED -> new Message.Accepted(u.unpackLong(), ballot(u));
            case NACK -> new Message.Nack(u.unpackLong(), ballot(u), ballot(u));
            case LAGGING -> new Message.Lagging(u.unpackLong(), u.unpackLong());
            case DECIDED -> new Message.Decided(decision(u));
            case QUERY -> new Message.Query(u.unpackLong(), u.unpackLong(), suspects(u));
            case STATE -> new Message.State(u.unpackLong(), u.unpackLong(), u.unpackBoolean(), opinions(u));
            case JOIN -> new Message.Join(u.unpackLong());
        };
    }

    // Suspects and opinions follow the older fields and are left out where there are none: a program from
    // before them reads the fields that it knows and passes over the rest.
    private static void suspects(MessageBufferPacker p, List<String> suspects) throws IOException {
        if (!suspects.isEmpty()) {
            strings(p, suspects);
        }
    }

    private static List<String> suspects(MessageUnpacker u) throws IOException {
        return u.hasNext() ? strings(u) : List.of();
    }

    private static void opinions(MessageBufferPacker p, List<Message.Opinion> opinions) throws IOException {
        if (!opinions.isEmpty()) {
            p.packInt(opinions.size());
            for (Message.Opinion opinion : opinions) {
                p.packString(opinion.voter()).packInt(opinion.reachability().ordinal());
            }
        }
    }

    private static List<Message.Opinion> opinions(MessageUnpacker u) throws IOException {
        int n = u.hasNext() ? size(u.unpackInt()) : 0;
        List<Message.Opinion> opinions = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            opinions.add(new Message.Opinion(u.unpackString(), reachability(u.unpackInt())));
        }
        return opinions;
    }

    // A word that only a newer program knows says nothing here.
    private static Message.Reachability reachability(int number) {
        Message.Reachability[] known = Message.Reachability.values();
        return number >= 0 && number < known.length ? known[number] : Message.Reachability.UNSURE;
    }

    static void ballot(MessageBufferPacker p, Ballot b) throws IOException {
        p.packLong(b.round()).packString(b.by());
    }

    static Ballot ballot(MessageUnpacker u) throws IOException {
        return new Ballot(u.unpackLong(), u.unpackString());
    }

    static void vote(MessageBufferPacker p, Message.Vote vote) throws IOException {
        if (vote == null) {
            p.packNil();
        } else {
            ballot(p, vote.ballot());
            decision(p, vote.value());
        }
    }

    static Message.Vote vote(MessageUnpacker u) throws IOException {
        return u.getNextFormat() == MessageFormat.NIL ? nil(u) : new Message.Vote(ballot(u), decision(u));
    }

    private static Message.Vote nil(MessageUnpacker u) throws IOException {
        u.unpackNil();
        return null;
    }

    static void decision(MessageBufferPacker p, Decision d) throws IOException {
        p.packLong(d.slot()).packLong(d.version());
        bytes(p, d.body());
        p.packInt(d.taken().size());
        for (Decision.Taken t : d.taken()) {
            p.packLong(t.version()).packString(t.digest());
        }
        strings(p, d.voters());
    }

    static Decision decision(MessageUnpacker u) throws IOException {
        long slot = u.unpackLong();
        long version = u.unpackLong();
        byte[] body = bytes(u);
        int n = size(u.unpackInt());
        List<Decision.Taken> taken = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            taken.add(new Decision.Taken(u.unpackLong(), u.unpackString()));
        }
        return new Decision(slot, version, body, taken, strings(u));
    }
}
