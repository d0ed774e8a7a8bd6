package whinlead.mesh.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import whinlead.mesh.quota.TenantDemand;
import whinlead.mesh.registry.EndpointRecord;

/** How the values are written and read that messages of several kinds hold. For any thread. */
final class FieldCodec {
    /** Lists longer than this are no message of ours. */
    private static final int MAX_LIST = 1 << 16;

    private static final EndpointRecord.Phase[] PHASES = EndpointRecord.Phase.values();

    private FieldCodec() {}

    static void uses(MessageBufferPacker p, List<TenantDemand> uses) throws IOException {
        p.packInt(uses.size());
        for (TenantDemand u : uses) {
            p.packString(u.tenant()).packFloat((float) u.perSecond());
        }
    }

    static List<TenantDemand> uses(MessageUnpacker u) throws IOException {
        int n = size(u.unpackInt());
        List<TenantDemand> uses = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            uses.add(new TenantDemand(u.unpackString(), u.unpackFloat()));
        }
        return uses;
    }

    static void record(MessageBufferPacker p, EndpointRecord x) throws IOException {
        p.packString(x.node()).packLong(x.life()).packLong(x.seq()).packString(x.zone());
        p.packString(x.endpoint()).packString(x.target()).packInt(x.phase().ordinal());
        p.packInt(x.capacity()).packInt(x.warmMs());
    }

    // One in a phase that this version does not know is passed over: what was known of its node stands.
    static Optional<EndpointRecord> record(MessageUnpacker u) throws IOException {
        String node = u.unpackString();
        long life = u.unpackLong();
        long seq = u.unpackLong();
        String zone = u.unpackString();
        String endpoint = u.unpackString();
        String target = u.unpackString();
        int phase = u.unpackInt();
        int capacity = u.unpackInt();
        int warmMs = u.unpackInt();
        if (phase < 0 || phase >= PHASES.length) {
            VersionEvents.PROCESS.passedOver("an endpoint record in phase " + phase);
            return Optional.empty();
        }
        return Optional.of(
                new EndpointRecord(node, life, seq, zone, endpoint, target, PHASES[phase], capacity, warmMs));
    }

    static void strings(MessageBufferPacker p, List<String> list) throws IOException {
        p.packInt(list.size());
        for (String s : list) {
            p.packString(s);
        }
    }

    static List<String> strings(MessageUnpacker u) throws IOException {
        int n = size(u.unpackInt());
        List<String> list = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            list.add(u.unpackString());
        }
        return list;
    }

    static void bytes(MessageBufferPacker p, byte[] b) throws IOException {
        p.packBinaryHeader(b.length).writePayload(b);
    }

    static byte[] bytes(MessageUnpacker u) throws IOException {
        return u.readPayload(u.unpackBinaryHeader());
    }

    static int size(int n) throws IOException {
        if (n < 0 || n > MAX_LIST) {
            throw new IOException("a list of " + n);
        }
        return n;
    }
}
