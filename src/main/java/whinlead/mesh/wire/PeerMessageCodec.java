package whinlead.mesh.wire;

import static whinlead.mesh.wire.FieldCodec.checkedSize;
import static whinlead.mesh.wire.FieldCodec.demands;
import static whinlead.mesh.wire.FieldCodec.record;
import static whinlead.mesh.wire.FieldCodec.sendingTime;
import static whinlead.mesh.wire.FieldCodec.strings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import whinlead.mesh.registry.EndpointRecord;

/**
 * MessagePack encoding of {@link PeerMessage}: a tag, then the fields in order. For any thread.
 *
 * <p>Compatibility: a message may be extended only by fields at its end, each with a default that is used if an older
 * program has not sent it; an older reader ignores fields that it does not know. A field may be omitted only while it
 * is the last one. Values inside a list or another value can't be extended: new fields of an endpoint record go into a
 * separate list at the end of the message. A message of a new kind is sent only to readers of a version that knows it.
 */
public final class PeerMessageCodec {
    private PeerMessageCodec() {}

    /** Encodes a message. */
    public static byte[] write(PeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (ForwardingMessageCodec.isAboutForwarding(message)) {
                ForwardingMessageCodec.write(packer, message);
            } else if (KeyMessageCodec.isAboutKeys(message)) {
                KeyMessageCodec.write(packer, message);
            } else if (DepartureMessageCodec.isAboutDepartures(message)) {
                DepartureMessageCodec.write(packer, message);
            } else {
                writeControl(packer, message);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    // Encodes messages other than forwarded requests and their results.
    private static void writeControl(MessageBufferPacker packer, PeerMessage message) throws IOException {
        if (QuotaMessageCodec.isAboutQuota(message)) {
            QuotaMessageCodec.write(packer, message);
        } else if (message instanceof PeerMessage.Hello msg) {
            packer.packByte(PeerMessageKind.HELLO.tag()).packString(msg.id()).packBoolean(msg.controlNode());
            packer.packInt(msg.versions().newest()).packInt(msg.versions().oldest());
        } else if (message instanceof PeerMessage.EndpointUpdate msg) {
            packer.packByte(PeerMessageKind.ENDPOINT_UPDATE.tag())
                    .packInt(msg.records().size());
            for (EndpointRecord endpointRecord : msg.records()) {
                record(packer, endpointRecord);
            }
        } else if (message instanceof PeerMessage.Subscribe msg) {
            packer.packByte(PeerMessageKind.SUBSCRIBE.tag()).packLong(msg.slot());
        } else if (message instanceof PeerMessage.ConfigAvailable msg) {
            packer.packByte(PeerMessageKind.CONFIG_AVAILABLE.tag()).packLong(msg.slot());
        } else if (message instanceof PeerMessage.FetchConfig) {
            packer.packByte(PeerMessageKind.FETCH_CONFIG.tag());
        } else if (message instanceof PeerMessage.ConfigUpdate msg) {
            packer.packByte(PeerMessageKind.CONFIG_UPDATE.tag());
            ConsensusMessageCodec.decision(packer, msg.decision());
            packer.packBoolean(msg.confirmed());
        } else if (message instanceof PeerMessage.Ping msg) {
            packer.packByte(PeerMessageKind.PING.tag()).packLong(msg.number());
            sendingTime(packer, msg.sentAt());
        } else if (message instanceof PeerMessage.Pong msg) {
            packer.packByte(PeerMessageKind.PONG.tag())
                    .packLong(msg.number())
                    .packString(msg.id())
                    .packLong(msg.slot());
        } else if (message instanceof PeerMessage.Consensus msg) {
            packer.packByte(PeerMessageKind.CONSENSUS.tag());
            ConsensusMessageCodec.write(packer, msg.message());
        } else if (message instanceof PeerMessage.DemandReport msg) {
            packer.packByte(PeerMessageKind.DEMAND_REPORT.tag());
            demands(packer, msg.demands());
            packer.packBoolean(msg.wantsTotals());
        } else if (message instanceof PeerMessage.DemandSums msg) {
            packer.packByte(PeerMessageKind.DEMAND_SUMS.tag()).packInt(msg.sidecars());
            demands(packer, msg.totals());
        } else if (message instanceof PeerMessage.FindControlNodes) {
            packer.packByte(PeerMessageKind.FIND_CONTROL_NODES.tag());
        } else if (message instanceof PeerMessage.ControlNodes msg) {
            packer.packByte(PeerMessageKind.CONTROL_NODES.tag());
            strings(packer, msg.addresses());
        }
    }

    /** The first protocol version whose readers know this message's kind. */
    static int minVersion(PeerMessage message) {
        if (QuotaMessageCodec.isAboutQuota(message)) {
            return ProtocolVersion.LEASES;
        }
        if (KeyMessageCodec.isAboutKeys(message)) {
            return ProtocolVersion.KEYS;
        }
        if (DepartureMessageCodec.isAboutDepartures(message)) {
            return ProtocolVersion.DEPARTURES;
        }
        return ForwardingMessageCodec.minVersion(message);
    }

    /**
     * Decodes a message. A message of a kind that this version does not know becomes {@link PeerMessage.Unknown};
     * fields that it does not know are ignored.
     *
     * @throws MalformedMessageException if the bytes are not a valid message
     */
    public static PeerMessage read(byte[] bytes) throws MalformedMessageException {
        PeerMessageKind kind = null;
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            byte tag = in.unpackByte();
            kind = PeerMessageKind.forTag(tag);
            if (kind == null) {
                return new PeerMessage.Unknown("message " + tag);
            }
            PeerMessage message = read(kind, in);
            if (in.hasNext()) {
                VersionEvents.PROCESS.logIgnored("unknown field of " + kind);
            }
            return message;
        } catch (ConsensusMessageCodec.UnknownKindException e) {
            return new PeerMessage.Unknown(e.getMessage());
        } catch (IOException | RuntimeException e) {
            // Errors of the library, and numbers without a meaning.
            throw new MalformedMessageException(kind, e);
        }
    }

    private static PeerMessage read(PeerMessageKind kind, MessageUnpacker in) throws IOException {
        return switch (kind) {
            case HELLO -> new PeerMessage.Hello(in.unpackString(), in.unpackBoolean(), versions(in));
            case ENDPOINT_UPDATE -> {
                int size = checkedSize(in.unpackInt());
                List<EndpointRecord> records = new ArrayList<>();
                for (int i = 0; i < size; i++) {
                    record(in).ifPresent(records::add);
                }
                yield new PeerMessage.EndpointUpdate(records);
            }
            case SUBSCRIBE -> new PeerMessage.Subscribe(in.unpackLong());
            case CONFIG_AVAILABLE -> new PeerMessage.ConfigAvailable(in.unpackLong());
            case FETCH_CONFIG -> new PeerMessage.FetchConfig();
            case CONFIG_UPDATE -> new PeerMessage.ConfigUpdate(ConsensusMessageCodec.decision(in), in.unpackBoolean());
            case PING -> new PeerMessage.Ping(in.unpackLong(), sendingTime(in));
            case PONG -> new PeerMessage.Pong(in.unpackLong(), in.unpackString(), in.unpackLong());
            case CONSENSUS -> new PeerMessage.Consensus(ConsensusMessageCodec.read(in));
            case FORWARD_REQUEST,
                    FORWARD_REQUEST_HEAD,
                    BODY_PART,
                    BODY_CREDIT,
                    FORWARD_RESPONSE,
                    FORWARD_FAILURE,
                    CANCEL -> ForwardingMessageCodec.read(kind, in);
            case DEMAND_REPORT -> new PeerMessage.DemandReport(demands(in), in.unpackBoolean());
            case DEMAND_SUMS -> new PeerMessage.DemandSums(in.unpackInt(), demands(in));
            case FIND_CONTROL_NODES -> new PeerMessage.FindControlNodes();
            case CONTROL_NODES -> new PeerMessage.ControlNodes(strings(in));
            case QUOTA_LEASE_REPORT, QUOTA_LEASE_GRANT, QUOTA_TOKEN_REQUEST, QUOTA_TOKEN_RESPONSE ->
                QuotaMessageCodec.read(kind, in);
            case DUTY_REQUEST, DUTY_VOTE, KEY_GRANTOR_CHANGED, KEY_REPORT, KEY_LEASE, KEY_ROUTES ->
                KeyMessageCodec.read(kind, in);
            case DEPARTURE_REPORT, DEPARTURES_STORED, DEPARTURE_UPDATE -> DepartureMessageCodec.read(kind, in);
        };
    }

    // The greeting of a program without versions ends before them.
    private static ProtocolVersion versions(MessageUnpacker in) throws IOException {
        return in.hasNext() ? new ProtocolVersion(in.unpackInt(), in.unpackInt()) : ProtocolVersion.UNNAMED;
    }
}
