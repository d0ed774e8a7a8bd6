package whinlead.mesh.wire;

import static whinlead.mesh.wire.FieldCodec.size;

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

/** How the messages about keys, and about the duty of granting them, are written and read. For any thread. */
final class KeyMessageCodec {
    private KeyMessageCodec() {}

    static boolean isAboutKeys(PeerMessage message) {
        return message instanceof PeerMessage.DutyQuestion
                || message instanceof PeerMessage.DutyAnswer
                || message instanceof PeerMessage.KeyGrantorChanged
                || message instanceof PeerMessage.KeyLeaseReport
                || message instanceof PeerMessage.KeyLeaseGrant
                || message instanceof PeerMessage.KeyRoutesUpdate;
    }

    static void write(MessageBufferPacker p, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.DutyQuestion m) {
            p.packByte(PeerMessageKind.DUTY_REQUEST.tag());
            p.packLong(m.request().number()).packLong(m.request().epoch());
        } else if (message instanceof PeerMessage.DutyAnswer m) {
            p.packByte(PeerMessageKind.DUTY_VOTE.tag());
            p.packLong(m.vote().number()).packBoolean(m.vote().granted());
            p.packLong(m.vote().epoch()).packBoolean(m.vote().first());
        } else if (message instanceof PeerMessage.KeyGrantorChanged m) {
            p.packByte(PeerMessageKind.KEY_GRANTOR_CHANGED.tag()).packLong(m.epoch());
        } else if (message instanceof PeerMessage.KeyLeaseReport m) {
            p.packByte(PeerMessageKind.KEY_REPORT.tag());
            report(p, m.report());
        } else if (message instanceof PeerMessage.KeyLeaseGrant m) {
            p.packByte(PeerMessageKind.KEY_LEASE.tag());
            lease(p, m.lease());
        } else if (message instanceof PeerMessage.KeyRoutesUpdate m) {
            p.packByte(PeerMessageKind.KEY_ROUTES.tag());
            routes(p, m);
        }
    }

    static PeerMessage read(PeerMessageKind kind, MessageUnpacker u) throws IOException {
        return switch (kind) {
            case DUTY_REQUEST -> new PeerMessage.DutyQuestion(new DutyRequest(u.unpackLong(), epoch(u)));
            case DUTY_VOTE ->
                new PeerMessage.DutyAnswer(
                        new DutyVote(u.unpackLong(), u.unpackBoolean(), epoch(u), u.unpackBoolean()));
            case KEY_GRANTOR_CHANGED -> new PeerMessage.KeyGrantorChanged(epoch(u));
            case KEY_REPORT -> new PeerMessage.KeyLeaseReport(report(u));
            case KEY_LEASE -> new PeerMessage.KeyLeaseGrant(lease(u));
            case KEY_ROUTES -> routes(u);
            default -> throw new IOException(kind + " is not about keys");
        };
    }

    private static long epoch(MessageUnpacker u) throws IOException {
        long epoch = u.unpackLong();
        if (epoch < 0) {
            throw new IOException("an epoch of " + epoch);
        }
        return epoch;
    }

    private static void report(MessageBufferPacker p, KeyReport report) throws IOException {
        p.packLong(report.sidecarLife()).packLong(report.number());
        p.packString(report.service()).packString(report.endpoint());
        p.packInt(report.capacity()).packBoolean(report.leaving()).packFloat((float) report.busyPlaces());
        p.packInt(report.held().size());
        for (HeldKeys keys : report.held()) {
            range(p, keys.range());
            p.packLong(keys.fence()).packBoolean(keys.serving());
        }
        p.packInt(report.released().size());
        for (ReleasedKeys keys : report.released()) {
            range(p, keys.range());
            p.packLong(keys.fence()).packString(keys.handoff());
        }
        p.packInt(report.loads().size());
        for (KeyLoad load : report.loads()) {
            range(p, load.range());
            p.packFloat((float) load.perSecond());
        }
    }

    private static KeyReport report(MessageUnpacker u) throws IOException {
        long sidecarLife = u.unpackLong();
        long number = u.unpackLong();
        String service = u.unpackString();
        String endpoint = u.unpackString();
        int capacity = u.unpackInt();
        boolean leaving = u.unpackBoolean();
        double busyPlaces = number(u.unpackFloat());
        List<HeldKeys> held = new ArrayList<>();
        for (int n = size(u.unpackInt()); n > 0; n--) {
            held.add(new HeldKeys(range(u), u.unpackLong(), u.unpackBoolean()));
        }
        List<ReleasedKeys> released = new ArrayList<>();
        for (int n = size(u.unpackInt()); n > 0; n--) {
            released.add(new ReleasedKeys(range(u), u.unpackLong(), u.unpackString()));
        }
        List<KeyLoad> loads = new ArrayList<>();
        for (int n = size(u.unpackInt()); n > 0; n--) {
            loads.add(new KeyLoad(range(u), number(u.unpackFloat())));
        }
        return new KeyReport(
                sidecarLife, number, service, endpoint, capacity, leaving, busyPlaces, held, released, loads);
    }

    private static void lease(MessageBufferPacker p, KeyLease lease) throws IOException {
        p.packLong(lease.epoch()).packLong(lease.number());
        p.packLong(lease.sidecarLife()).packLong(lease.reportNumber());
        leased(p, lease.leased());
        leased(p, lease.recalled());
    }

    private static KeyLease lease(MessageUnpacker u) throws IOException {
        return new KeyLease(epoch(u), u.unpackLong(), u.unpackLong(), u.unpackLong(), leased(u), leased(u));
    }

    private static void leased(MessageBufferPacker p, List<LeasedKeys> list) throws IOException {
        p.packInt(list.size());
        for (LeasedKeys keys : list) {
            range(p, keys.range());
            p.packLong(keys.fence()).packString(keys.handoff());
        }
    }

    private static List<LeasedKeys> leased(MessageUnpacker u) throws IOException {
        List<LeasedKeys> list = new ArrayList<>();
        for (int n = size(u.unpackInt()); n > 0; n--) {
            list.add(new LeasedKeys(range(u), u.unpackLong(), u.unpackString()));
        }
        return list;
    }

    private static void routes(MessageBufferPacker p, PeerMessage.KeyRoutesUpdate update) throws IOException {
        p.packString(update.service()).packInt(update.routes().size());
        for (KeyRoute route : update.routes()) {
            range(p, route.range());
            p.packLong(route.fence()).packString(route.node());
        }
    }

    private static PeerMessage routes(MessageUnpacker u) throws IOException {
        String service = u.unpackString();
        List<KeyRoute> routes = new ArrayList<>();
        for (int n = size(u.unpackInt()); n > 0; n--) {
            routes.add(new KeyRoute(range(u), u.unpackLong(), u.unpackString()));
        }
        return new PeerMessage.KeyRoutesUpdate(service, routes);
    }

    private static void range(MessageBufferPacker p, KeyRange range) throws IOException {
        p.packInt(range.from()).packInt(range.to());
    }

    private static KeyRange range(MessageUnpacker u) throws IOException {
        return new KeyRange(u.unpackInt(), u.unpackInt());
    }

    private static double number(double value) throws IOException {
        if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
            throw new IOException("a load of " + value);
        }
        return value;
    }
}
