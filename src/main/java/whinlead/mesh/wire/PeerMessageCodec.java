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
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
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

    private PeerMessageCodec() {}

    /** Writes a message. */
    public static byte[] write(PeerMessage peerMessage) {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            if (peerMessage instanceof PeerMessage.ForwardRequest l) {
                p.packByte(PeerMessageKind.FORWARD_REQUEST.tag())
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
                p.packByte(PeerMessageKind.FORWARD_RESPONSE.tag())
                        .packLong(l.stream())
                        .packInt(l.status());
                strings(p, l.headers());
                bytes(p, l.body());
                p.packDouble(l.util()).packDouble(l.perSecond());
            } else if (peerMessage instanceof PeerMessage.ForwardFailure l) {
                p.packByte(PeerMessageKind.FORWARD_FAILURE.tag())
                        .packLong(l.stream())
                        .packInt(l.why().ordinal());
                p.packDouble(l.util()).packDouble(l.perSecond());
            } else if (KeyMessageCodec.isAboutKeys(peerMessage)) {
                KeyMessageCodec.write(p, peerMessage);
            } else {
                writeControl(p, peerMessage);
            }
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    // What processes say to each other besides requests.
    private static void writeControl(MessageBufferPacker p, PeerMessage peerMessage) throws IOException {
        if (QuotaMessageCodec.isQuota(peerMessage)) {
            QuotaMessageCodec.write(p, peerMessage);
        } else if (peerMessage instanceof PeerMessage.Hello l) {
            p.packByte(PeerMessageKind.HELLO.tag()).packString(l.id()).packBoolean(l.controlNode());
            p.packInt(l.versions().newest()).packInt(l.versions().oldest());
        } else if (peerMessage instanceof PeerMessage.EndpointUpdate l) {
            p.packByte(PeerMessageKind.ENDPOINT_UPDATE.tag())
                    .packInt(l.records().size());
            for (EndpointRecord x : l.records()) {
                record(p, x);
            }
        } else if (peerMessage instanceof PeerMessage.Subscribe l) {
            p.packByte(PeerMessageKind.SUBSCRIBE.tag()).packLong(l.slot());
        } else if (peerMessage instanceof PeerMessage.ConfigAvailable l) {
            p.packByte(PeerMessageKind.CONFIG_AVAILABLE.tag()).packLong(l.slot());
        } else if (peerMessage instanceof PeerMessage.FetchConfig) {
            p.packByte(PeerMessageKind.FETCH_CONFIG.tag());
        } else if (peerMessage instanceof PeerMessage.ConfigUpdate l) {
            p.packByte(PeerMessageKind.CONFIG_UPDATE.tag());
            ConsensusMessageCodec.decision(p, l.decision());
            p.packBoolean(l.confirmed());
        } else if (peerMessage instanceof PeerMessage.Ping l) {
            p.packByte(PeerMessageKind.PING.tag()).packLong(l.number());
            stamp(p, l.sentAt());
        } else if (peerMessage instanceof PeerMessage.Pong l) {
            p.packByte(PeerMessageKind.PONG.tag())
                    .packLong(l.number())
                    .packString(l.id())
                    .packLong(l.slot());
        } else if (peerMessage instanceof PeerMessage.Consensus l) {
            p.packByte(PeerMessageKind.CONSENSUS.tag());
            ConsensusMessageCodec.write(p, l.message());
        } else if (peerMessage instanceof PeerMessage.DemandReport l) {
            p.packByte(PeerMessageKind.DEMAND_REPORT.tag());
            uses(p, l.uses());
            p.packBoolean(l.wanted());
        } else if (peerMessage instanceof PeerMessage.DemandSums l) {
            p.packByte(PeerMessageKind.DEMAND_SUMS.tag()).packInt(l.nodes());
            uses(p, l.totals());
        } else if (peerMessage instanceof PeerMessage.FindControlNodes) {
            p.packByte(PeerMessageKind.FIND_CONTROL_NODES.tag());
        } else if (peerMessage instanceof PeerMessage.ControlNodes l) {
            p.packByte(PeerMessageKind.CONTROL_NODES.tag());
            strings(p, l.addresses());
        } else if (peerMessage instanceof PeerMessage.Cancel l) {
            p.packByte(PeerMessageKind.CANCEL.tag()).packLong(l.stream()).packBoolean(l.whileRunning());
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
        if (QuotaMessageCodec.isQuota(peerMessage)) {
            return ProtocolVersion.LEASES;
        }
        if (KeyMessageCodec.isAboutKeys(peerMessage)) {
            return ProtocolVersion.KEYS;
        }
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
            if (kind == null) {
                return new PeerMessage.Unknown("message " + tag);
            }
            PeerMessage peerMessage = read(kind, u);
            if (u.hasNext()) {
                VersionEvents.PROCESS.passedOver("a field of " + kind);
            }
            return peerMessage;
        } catch (ConsensusMessageCodec.UnknownKindException e) {
            return new PeerMessage.Unknown(e.getMessage());
        } catch (IOException | RuntimeException e) {
            // The library's own errors, and numbers that name nothing.
            throw new MalformedMessageException(kind, e);
        }
    }

    private static PeerMessage read(PeerMessageKind kind, MessageUnpacker u) throws IOException {
        return switch (kind) {
            case HELLO -> new PeerMessage.Hello(u.unpackString(), u.unpackBoolean(), versions(u));
            case ENDPOINT_UPDATE -> {
                int n = size(u.unpackInt());
                List<EndpointRecord> list = new ArrayList<>();
                for (int i = 0; i < n; i++) {
                    record(u).ifPresent(list::add);
                }
                yield new PeerMessage.EndpointUpdate(list);
            }
            case SUBSCRIBE -> new PeerMessage.Subscribe(u.unpackLong());
            case CONFIG_AVAILABLE -> new PeerMessage.ConfigAvailable(u.unpackLong());
            case FETCH_CONFIG -> new PeerMessage.FetchConfig();
            case CONFIG_UPDATE -> new PeerMessage.ConfigUpdate(ConsensusMessageCodec.decision(u), u.unpackBoolean());
            case PING -> new PeerMessage.Ping(u.unpackLong(), stamp(u));
            case PONG -> new PeerMessage.Pong(u.unpackLong(), u.unpackString(), u.unpackLong());
            case CONSENSUS -> new PeerMessage.Consensus(ConsensusMessageCodec.read(u));
            case FORWARD_REQUEST ->
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
            case FORWARD_RESPONSE ->
                new PeerMessage.ForwardResponse(
                        u.unpackLong(), u.unpackInt(), strings(u), bytes(u), u.unpackDouble(), u.unpackDouble());
            case FORWARD_FAILURE ->
                new PeerMessage.ForwardFailure(u.unpackLong(), why(u.unpackInt()), u.unpackDouble(), u.unpackDouble());
            case DEMAND_REPORT -> new PeerMessage.DemandReport(uses(u), u.unpackBoolean());
            case DEMAND_SUMS -> new PeerMessage.DemandSums(u.unpackInt(), uses(u));
            case FIND_CONTROL_NODES -> new PeerMessage.FindControlNodes();
            case CONTROL_NODES -> new PeerMessage.ControlNodes(strings(u));
            case CANCEL -> new PeerMessage.Cancel(u.unpackLong(), u.unpackBoolean());
            case QUOTA_LEASE_REPORT, QUOTA_LEASE_GRANT, QUOTA_TOKEN_REQUEST, QUOTA_TOKEN_RESPONSE ->
                QuotaMessageCodec.read(kind, u);
            case DUTY_REQUEST, DUTY_VOTE, KEY_GRANTOR_CHANGED, KEY_REPORT, KEY_LEASE, KEY_ROUTES ->
                KeyMessageCodec.read(kind, u);
        };
    }

    // A greeting of a program without versions ends before them.
    private static ProtocolVersion versions(MessageUnpacker u) throws IOException {
        return u.hasNext() ? new ProtocolVersion(u.unpackInt(), u.unpackInt()) : ProtocolVersion.NONE_NAMED;
    }

    // A reason that this version does not know promises nothing: the request may have run.
    private static PeerMessage.FailureReason why(int number) {
        if (number < 0 || number >= REASONS.length) {
            VersionEvents.PROCESS.passedOver("reason " + number + " of FORWARD_FAILURE");
            return PeerMessage.FailureReason.BROKEN;
        }
        return REASONS[number];
    }
}
