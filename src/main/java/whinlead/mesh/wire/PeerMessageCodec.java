package whinlead.mesh.wire;

import static whinlead.mesh.wire.FieldCodec.bytes;
import static whinlead.mesh.wire.FieldCodec.record;
import static whinlead.mesh.wire.FieldCodec.size;
import static whinlead.mesh.wire.FieldCodec.strings;
import static whinlead.mesh.wire.FieldCodec.uses;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;
import whinlead.mesh.registry.EndpointRecord;

/**
 * PeerMessageCodec as MessagePack: a tag, then the fields in their order. For any thread.
 *
 * <p>Versions: a message grows by fields at its end only, each with a default that stands where an older program has
 * not sent it; an older reader passes over what it does not know. A field may be left out only while it is the last
 * one. What stands inside a list or another value can't grow: new fields of an endpoint record go into a list of their
 * own at the message's end. A new kind is sent only where {@link #since} allows it.
 */
public final class PeerMessageCodec {
    private static final PeerMessage.FailureReason[] REASONS = PeerMessage.FailureReason.values();

    /** Names a kind of message or ballot message that this version does not know. */
    private static final class UnknownKindException extends IOException {
        private static final long serialVersionUID = 1L;

        private UnknownKindException(String kind) {
            super(kind);
        }
    }

    private PeerMessageCodec() {}

    /** Writes a message. */
    public static byte[] write(PeerMessage peerMessage) {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            if (peerMessage instanceof PeerMessage.ForwardRequest l) {
                p.packByte((byte) 10)
                        .packLong(l.stream())
                        .packString(l.method())
                        .packString(l.uri());
                strings(p, l.headers());
                bytes(p, l.body());
                p.packInt(l.leftMs())
                        .packString(l.target())
                        .packString(l.endpoint())
                        .packInt(l.rank());
                stamp(p, l.sentAt());
            } else if (peerMessage instanceof PeerMessage.ForwardResponse l) {
                p.packByte((byte) 11).packLong(l.stream()).packInt(l.status());
                strings(p, l.headers());
                bytes(p, l.body());
                p.packDouble(l.util()).packDouble(l.perSecond());
            } else if (peerMessage instanceof PeerMessage.ForwardFailure l) {
                p.packByte((byte) 12).packLong(l.stream()).packInt(l.why().ordinal());
                p.packDouble(l.util()).packDouble(l.perSecond());
            } else {
                rest(p, peerMessage);
            }
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    private static void rest(MessageBufferPacker p, PeerMessage peerMessage) throws IOException {
        if (peerMessage instanceof PeerMessage.Hello l) {
            p.packByte((byte) 1).packString(l.id()).packBoolean(l.controlNode());
            p.packInt(l.versions().newest()).packInt(l.versions().oldest());
        } else if (peerMessage instanceof PeerMessage.EndpointUpdate l) {
            p.packByte((byte) 2).packInt(l.records().size());
            for (EndpointRecord x : l.records()) {
                record(p, x);
            }
        } else if (peerMessage instanceof PeerMessage.Subscribe l) {
            p.packByte((byte) 3).packLong(l.slot());
        } else if (peerMessage instanceof PeerMessage.ConfigAvailable l) {
            p.packByte((byte) 4).packLong(l.slot());
        } else if (peerMessage instanceof PeerMessage.FetchConfig) {
            p.packByte((byte) 5);
        } else if (peerMessage instanceof PeerMessage.ConfigUpdate l) {
            p.packByte((byte) 6);
            decision(p, l.decision());
            p.packBoolean(l.confirmed());
        } else if (peerMessage instanceof PeerMessage.Ping l) {
            p.packByte((byte) 7).packLong(l.number());
            stamp(p, l.sentAt());
        } else if (peerMessage instanceof PeerMessage.Pong l) {
            p.packByte((byte) 8).packLong(l.number()).packString(l.id()).packLong(l.slot());
        } else if (peerMessage instanceof PeerMessage.Consensus l) {
            p.packByte((byte) 9);
            message(p, l.message());
        } else if (peerMessage instanceof PeerMessage.DemandReport l) {
            p.packByte((byte) 13);
            uses(p, l.uses());
            p.packBoolean(l.wanted());
        } else if (peerMessage instanceof PeerMessage.DemandSums l) {
            p.packByte((byte) 14).packInt(l.nodes());
            uses(p, l.totals());
        } else if (peerMessage instanceof PeerMessage.FindControlNodes) {
            p.packByte((byte) 15);
        } else if (peerMessage instanceof PeerMessage.ControlNodes l) {
            p.packByte((byte) 16);
            strings(p, l.addresses());
        } else if (peerMessage instanceof PeerMessage.Cancel l) {
            p.packByte((byte) 17).packLong(l.stream()).packBoolean(l.whileRunning());
        }
    }

    // A last field that older versions neither write nor read.
    private static void stamp(MessageBufferPacker p, long sentAt) throws IOException {
        if (sentAt != PeerMessage.UNSTAMPED) {
            p.packLong(sentAt);
        }
    }

    private static long stamp(MessageUnpacker u) throws IOException {
        return u.hasNext() ? u.unpackLong() : PeerMessage.UNSTAMPED;
    }

    /** The first protocol version whose readers know this message's kind. */
    static int since(PeerMessage peerMessage) {
        return peerMessage instanceof PeerMessage.Cancel ? ProtocolVersion.TOLERANT : ProtocolVersion.UNVERSIONED;
    }

    /**
     * Reads a message. One of a kind that this version does not know is {@link PeerMessage.Unknown}; fields that it
     * does not know are passed over.
     *
     * @throws MalformedMessageException if these bytes are none
     */
    public static PeerMessage read(byte[] bytes) throws MalformedMessageException {
        PeerMessageKind kind = null;
        try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
            byte tag = u.unpackByte();
            kind = PeerMessageKind.of(tag);
            PeerMessage peerMessage = read(tag, u);
            if (!(peerMessage instanceof PeerMessage.Unknown) && u.hasNext()) {
                VersionEvents.PROCESS.passedOver("a field of " + kind);
            }
            return peerMessage;
        } catch (UnknownKindException e) {
            return new PeerMessage.Unknown(e.getMessage());
        } catch (IOException | RuntimeException e) {
            // The library's own errors, and numbers that name nothing.
            throw new MalformedMessageException(kind, e);
        }
    }

    private static PeerMessage read(byte tag, MessageUnpacker u) throws IOException {
        return switch (tag) {
            case 1 -> new PeerMessage.Hello(u.unpackString(), u.unpackBoolean(), versions(u));
            case 2 -> {
                int n = size(u.unpackInt());
                List<EndpointRecord> list = new ArrayList<>();
                for (int i = 0; i < n; i++) {
                    record(u).ifPresent(list::add);
                }
                yield new PeerMessage.EndpointUpdate(list);
            }
            case 3 -> new PeerMessage.Subscribe(u.unpackLong());
            case 4 -> new PeerMessage.ConfigAvailable(u.unpackLong());
            case 5 -> new PeerMessage.FetchConfig();
            case 6 -> new PeerMessage.ConfigUpdate(decision(u), u.unpackBoolean());
            case 7 -> new PeerMessage.Ping(u.unpackLong(), stamp(u));
            case 8 -> new PeerMessage.Pong(u.unpackLong(), u.unpackString(), u.unpackLong());
            case 9 -> new PeerMessage.Consensus(message(u));
            case 10 ->
                new PeerMessage.ForwardRequest(
                        u.unpackLong(),
                        u.unpackString(),
                        u.unpackString(),
                        strings(u),
                        bytes(u),
                        u.unpackInt(),
                        u.unpackString(),
                        u.unpackString(),
                        u.unpackInt(),
                        stamp(u));
            case 11 ->
                new PeerMessage.ForwardResponse(
                        u.unpackLong(), u.unpackInt(), strings(u), bytes(u), u.unpackDouble(), u.unpackDouble());
            case 12 ->
                new PeerMessage.ForwardFailure(u.unpackLong(), why(u.unpackInt()), u.unpackDouble(), u.unpackDouble());
            case 13 -> new PeerMessage.DemandReport(uses(u), u.unpackBoolean());
            case 14 -> new PeerMessage.DemandSums(u.unpackInt(), uses(u));
            case 15 -> new PeerMessage.FindControlNodes();
            case 16 -> new PeerMessage.ControlNodes(strings(u));
            case 17 -> new PeerMessage.Cancel(u.unpackLong(), u.unpackBoolean());
            default -> throw new UnknownKindException("message " + tag);
        };
    }

    // A greeting of a program without versions ends before them.
    private static ProtocolVersion versions(MessageUnpacker u) throws IOException {
        return u.hasNext() ? new ProtocolVersion(u.unpackInt(), u.unpackInt()) : ProtocolVersion.NONE_NAMED;
    }

    // A reason that this version does not know promises nothing: the request may have run.
    private static PeerMessage.FailureReason why(int number) {
        if (number < 0 || number >= REASONS.length) {
            VersionEvents.PROCESS.passedOver("reason " + number + " of RETURNED");
            return PeerMessage.FailureReason.BROKEN;
        }
        return REASONS[number];
    }

    private static void message(MessageBufferPacker p, Message message) throws IOException {
        if (message instanceof Message.Prepare s) {
            p.packByte((byte) 1).packLong(s.slot());
            ballot(p, s.ballot());
        } else if (message instanceof Message.Promise s) {
            p.packByte((byte) 2).packLong(s.slot());
            ballot(p, s.ballot());
            vote(p, s.vote());
        } else if (message instanceof Message.Accept s) {
            p.packByte((byte) 3);
            ballot(p, s.ballot());
            decision(p, s.value());
        } else if (message instanceof Message.Accepted s) {
            p.packByte((byte) 4).packLong(s.slot());
            ballot(p, s.ballot());
        } else if (message instanceof Message.Nack s) {
            p.packByte((byte) 5).packLong(s.slot());
            ballot(p, s.ballot());
            ballot(p, s.promised());
        } else if (message instanceof Message.Lagging s) {
            p.packByte((byte) 6).packLong(s.slot()).packLong(s.have());
        } else if (message instanceof Message.Decided s) {
            p.packByte((byte) 7);
            decision(p, s.decision());
        } else if (message instanceof Message.Query s) {
            p.packByte((byte) 8).packLong(s.nonce()).packLong(s.slot());
            suspects(p, s.suspects());
        } else if (message instanceof Message.State s) {
            p.packByte((byte) 9).packLong(s.nonce()).packLong(s.slot()).packBoolean(s.voted());
            opinions(p, s.opinions());
        } else if (message instanceof Message.Join s) {
            p.packByte((byte) 10).packLong(s.slot());
        }
    }

    private static Message message(MessageUnpacker u) throws IOException {
        byte tag = u.unpackByte();
        return switch (tag) {
            case 1 -> new Message.Prepare(u.unpackLong(), ballot(u));
            case 2 -> new Message.Promise(u.unpackLong(), ballot(u), vote(u));
            case 3 -> new Message.Accept(ballot(u), decision(u));
            case 4 -> new Message.Accepted(u.unpackLong(), ballot(u));
            case 5 -> new Message.Nack(u.unpackLong(), ballot(u), ballot(u));
            case 6 -> new Message.Lagging(u.unpackLong(), u.unpackLong());
            case 7 -> new Message.Decided(decision(u));
            case 8 -> new Message.Query(u.unpackLong(), u.unpackLong(), suspects(u));
            case 9 -> new Message.State(u.unpackLong(), u.unpackLong(), u.unpackBoolean(), opinions(u));
            case 10 -> new Message.Join(u.unpackLong());
            default -> throw new UnknownKindException("ballot message " + tag);
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
