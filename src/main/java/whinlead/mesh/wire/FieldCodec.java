package whinlead.mesh.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import whinlead.mesh.quota.TenantDemand;
import whinlead.mesh.registry.EndpointRecord;

/** MessagePack encoding of values that messages of several kinds contain. For any thread. */
final class FieldCodec {
    /** Longer lists are rejected: no valid message contains one. */
    private static final int MAX_LIST_SIZE = 1 << 16;

    private static final EndpointRecord.Phase[] PHASES = EndpointRecord.Phase.values();

    private FieldCodec() {}

    static void demands(MessageBufferPacker packer, List<TenantDemand> demands) throws IOException {
        packer.packInt(demands.size());
        for (TenantDemand demand : demands) {
            packer.packString(demand.tenant()).packFloat((float) demand.perSecond());
        }
    }

    static List<TenantDemand> demands(MessageUnpacker unpacker) throws IOException {
        int size = checkedSize(unpacker.unpackInt());
        List<TenantDemand> demands = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            demands.add(new TenantDemand(unpacker.unpackString(), unpacker.unpackFloat()));
        }
        return demands;
    }

    static void record(MessageBufferPacker packer, EndpointRecord endpointRecord) throws IOException {
        packer.packString(endpointRecord.node())
                .packLong(endpointRecord.life())
                .packLong(endpointRecord.seq())
                .packString(endpointRecord.zone());
        packer.packString(endpointRecord.endpoint())
                .packString(endpointRecord.target())
                .packInt(endpointRecord.phase().ordinal());
        packer.packInt(endpointRecord.capacity()).packInt(endpointRecord.warmMs());
    }

    // A record in a phase that this version does not know is ignored, so the previous record of its node stays in
    // force.
    static Optional<EndpointRecord> record(MessageUnpacker unpacker) throws IOException {
        String node = unpacker.unpackString();
        long life = unpacker.unpackLong();
        long seq = unpacker.unpackLong();
        String zone = unpacker.unpackString();
        String endpoint = unpacker.unpackString();
        String target = unpacker.unpackString();
        int phase = unpacker.unpackInt();
        int capacity = unpacker.unpackInt();
        int warmMs = unpacker.unpackInt();
        if (phase < 0 || phase >= PHASES.length) {
            VersionEvents.PROCESS.logIgnored("endpoint record in unknown phase " + phase);
            return Optional.empty();
        }
        return Optional.of(
                new EndpointRecord(node, life, seq, zone, endpoint, target, PHASES[phase], capacity, warmMs));
    }

    static void strings(MessageBufferPacker packer, List<String> list) throws IOException {
        packer.packInt(list.size());
        for (String string : list) {
            packer.packString(string);
        }
    }

    static List<String> strings(MessageUnpacker unpacker) throws IOException {
        int size = checkedSize(unpacker.unpackInt());
        List<String> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            list.add(unpacker.unpackString());
        }
        return list;
    }

    // The last field of a message, which older versions neither write nor read.
    static void sendingTime(MessageBufferPacker packer, long sentAtMicros) throws IOException {
        if (sentAtMicros != PeerMessage.UNSTAMPED) {
            packer.packLong(sentAtMicros);
        }
    }

    static long sendingTime(MessageUnpacker unpacker) throws IOException {
        return unpacker.hasNext() ? unpacker.unpackLong() : PeerMessage.UNSTAMPED;
    }

    static void bytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    static byte[] bytes(MessageUnpacker unpacker) throws IOException {
        return unpacker.readPayload(unpacker.unpackBinaryHeader());
    }

    static int checkedSize(int size) throws IOException {
        if (size < 0 || size > MAX_LIST_SIZE) {
            throw new IOException("invalid list size " + size);
        }
        return size;
    }
}
