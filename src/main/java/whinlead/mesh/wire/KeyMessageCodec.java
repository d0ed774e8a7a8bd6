package whinlead.mesh.wire;

import static whinlead.mesh.wire.FieldCodec.checkedSize;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import whinlead.mesh.duty.DutyRequest;
import whinlead.mesh.duty.DutyVote;
import whinlead.mesh.keys.HeldKeys;
import whinlead.mesh.keys.KeyLease;
import whinlead.mesh.keys.KeyLoad;
import whinlead.mesh.keys.KeyRange;
import whinlead.mesh.keys.KeyReport;
import whinlead.mesh.keys.KeyRoute;
import whinlead.mesh.keys.LeasedKeys;
import whinlead.mesh.keys.ReleasedKeys;

/** MessagePack encoding of messages about keys and about the duty of granting them. For any thread. */
final class KeyMessageCodec {
    private KeyMessageCodec() {}

    static boolean isAboutKeys(PeerMessage message) {
        return message instanceof PeerMessage.DutyVoteRequest
                || message instanceof PeerMessage.DutyVoteResponse
                || message instanceof PeerMessage.KeyGrantorChanged
                || message instanceof PeerMessage.KeyLeaseReport
                || message instanceof PeerMessage.KeyLeaseGrant
                || message instanceof PeerMessage.KeyRoutesUpdate;
    }

    static void write(MessageBufferPacker packer, PeerMessage peerMessage) throws IOException {
        if (peerMessage instanceof PeerMessage.DutyVoteRequest message) {
            packer.packByte(PeerMessageKind.DUTY_REQUEST.tag());
            packer.packLong(message.request().number())
                    .packLong(message.request().epoch());
        } else if (peerMessage instanceof PeerMessage.DutyVoteResponse message) {
            packer.packByte(PeerMessageKind.DUTY_VOTE.tag());
            packer.packLong(message.vote().number()).packBoolean(message.vote().granted());
            packer.packLong(message.vote().epoch()).packBoolean(message.vote().first());
        } else if (peerMessage instanceof PeerMessage.KeyGrantorChanged message) {
            packer.packByte(PeerMessageKind.KEY_GRANTOR_CHANGED.tag()).packLong(message.epoch());
        } else if (peerMessage instanceof PeerMessage.KeyLeaseReport message) {
            packer.packByte(PeerMessageKind.KEY_REPORT.tag());
            report(packer, message.report());
        } else if (peerMessage instanceof PeerMessage.KeyLeaseGrant message) {
            packer.packByte(PeerMessageKind.KEY_LEASE.tag());
            lease(packer, message.lease());
        } else if (peerMessage instanceof PeerMessage.KeyRoutesUpdate message) {
            packer.packByte(PeerMessageKind.KEY_ROUTES.tag());
            routes(packer, message);
        }
    }

    static PeerMessage read(PeerMessageKind kind, MessageUnpacker unpacker) throws IOException {
        return switch (kind) {
            case DUTY_REQUEST ->
                new PeerMessage.DutyVoteRequest(new DutyRequest(unpacker.unpackLong(), epoch(unpacker)));
            case DUTY_VOTE ->
                new PeerMessage.DutyVoteResponse(new DutyVote(
                        unpacker.unpackLong(), unpacker.unpackBoolean(), epoch(unpacker), unpacker.unpackBoolean()));
            case KEY_GRANTOR_CHANGED -> new PeerMessage.KeyGrantorChanged(epoch(unpacker));
            case KEY_REPORT -> new PeerMessage.KeyLeaseReport(report(unpacker));
            case KEY_LEASE -> new PeerMessage.KeyLeaseGrant(lease(unpacker));
            case KEY_ROUTES -> routes(unpacker);
            default -> throw new IOException(kind + " is not a message about keys");
        };
    }

    private static long epoch(MessageUnpacker unpacker) throws IOException {
        long epoch = unpacker.unpackLong();
        if (epoch < 0) {
            throw new IOException("invalid epoch " + epoch);
        }
        return epoch;
    }

    private static void report(MessageBufferPacker packer, KeyReport report) throws IOException {
        packer.packLong(report.sidecarLife()).packLong(report.number());
        packer.packString(report.service()).packString(report.endpoint());
        packer.packInt(report.capacity()).packBoolean(report.leaving()).packFloat((float) report.busyPlaces());
        packer.packInt(report.held().size());
        for (HeldKeys keys : report.held()) {
            range(packer, keys.range());
            packer.packLong(keys.fence()).packBoolean(keys.serving());
        }
        packer.packInt(report.released().size());
        for (ReleasedKeys keys : report.released()) {
            range(packer, keys.range());
            packer.packLong(keys.fence()).packString(keys.handoff());
        }
        packer.packInt(report.loads().size());
        for (KeyLoad load : report.loads()) {
            range(packer, load.range());
            packer.packFloat((float) load.perSecond());
        }
    }

    private static KeyReport report(MessageUnpacker unpacker) throws IOException {
        long sidecarLife = unpacker.unpackLong();
        long number = unpacker.unpackLong();
        String service = unpacker.unpackString();
        String endpoint = unpacker.unpackString();
        int capacity = unpacker.unpackInt();
        boolean leaving = unpacker.unpackBoolean();
        double busyPlaces = checkedLoad(unpacker.unpackFloat());
        List<HeldKeys> held = new ArrayList<>();
        for (int remaining = checkedSize(unpacker.unpackInt()); remaining > 0; remaining--) {
            held.add(new HeldKeys(range(unpacker), unpacker.unpackLong(), unpacker.unpackBoolean()));
        }
        List<ReleasedKeys> released = new ArrayList<>();
        for (int remaining = checkedSize(unpacker.unpackInt()); remaining > 0; remaining--) {
            released.add(new ReleasedKeys(range(unpacker), unpacker.unpackLong(), unpacker.unpackString()));
        }
        List<KeyLoad> loads = new ArrayList<>();
        for (int remaining = checkedSize(unpacker.unpackInt()); remaining > 0; remaining--) {
            loads.add(new KeyLoad(range(unpacker), checkedLoad(unpacker.unpackFloat())));
        }
        return new KeyReport(
                sidecarLife, number, service, endpoint, capacity, leaving, busyPlaces, held, released, loads);
    }

    private static void lease(MessageBufferPacker packer, KeyLease lease) throws IOException {
        packer.packLong(lease.epoch()).packLong(lease.number());
        packer.packLong(lease.sidecarLife()).packLong(lease.reportNumber());
        leased(packer, lease.leased());
        leased(packer, lease.recalled());
    }

    private static KeyLease lease(MessageUnpacker unpacker) throws IOException {
        return new KeyLease(
                epoch(unpacker),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                leased(unpacker),
                leased(unpacker));
    }

    private static void leased(MessageBufferPacker packer, List<LeasedKeys> list) throws IOException {
        packer.packInt(list.size());
        for (LeasedKeys keys : list) {
            range(packer, keys.range());
            packer.packLong(keys.fence()).packString(keys.handoff());
        }
    }

    private static List<LeasedKeys> leased(MessageUnpacker unpacker) throws IOException {
        List<LeasedKeys> list = new ArrayList<>();
        for (int remaining = checkedSize(unpacker.unpackInt()); remaining > 0; remaining--) {
            list.add(new LeasedKeys(range(unpacker), unpacker.unpackLong(), unpacker.unpackString()));
        }
        return list;
    }

    private static void routes(MessageBufferPacker packer, PeerMessage.KeyRoutesUpdate update) throws IOException {
        packer.packString(update.service()).packInt(update.routes().size());
        for (KeyRoute route : update.routes()) {
            range(packer, route.range());
            packer.packLong(route.fence()).packString(route.node());
        }
    }

    private static PeerMessage routes(MessageUnpacker unpacker) throws IOException {
        String service = unpacker.unpackString();
        List<KeyRoute> routes = new ArrayList<>();
        for (int remaining = checkedSize(unpacker.unpackInt()); remaining > 0; remaining--) {
            routes.add(new KeyRoute(range(unpacker), unpacker.unpackLong(), unpacker.unpackString()));
        }
        return new PeerMessage.KeyRoutesUpdate(service, routes);
    }

    private static void range(MessageBufferPacker packer, KeyRange range) throws IOException {
        packer.packInt(range.firstKey()).packInt(range.lastKey());
    }

    private static KeyRange range(MessageUnpacker unpacker) throws IOException {
        return new KeyRange(unpacker.unpackInt(), unpacker.unpackInt());
    }

    private static double checkedLoad(double value) throws IOException {
        if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
            throw new IOException("invalid load " + value);
        }
        return value;
    }
}
