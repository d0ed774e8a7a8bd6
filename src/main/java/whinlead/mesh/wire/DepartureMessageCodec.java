package whinlead.mesh.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import whinlead.mesh.departure.Departure;
import whinlead.mesh.rpc.RpcCall;

/** MessagePack encoding of messages about departures of endpoints. For any thread. */
final class DepartureMessageCodec {
    private DepartureMessageCodec() {}

    static boolean isAboutDepartures(PeerMessage message) {
        return message instanceof PeerMessage.DepartureReport
                || message instanceof PeerMessage.DeparturesStored
                || message instanceof PeerMessage.DepartureUpdate;
    }

    static void write(MessageBufferPacker packer, PeerMessage peerMessage) throws IOException {
        if (peerMessage instanceof PeerMessage.DepartureReport message) {
            packer.packByte(PeerMessageKind.DEPARTURE_REPORT.tag());
            FieldCodec.strings(packer, message.endpoints());
        } else if (peerMessage instanceof PeerMessage.DeparturesStored message) {
            packer.packByte(PeerMessageKind.DEPARTURES_STORED.tag()).packString(message.controlNode());
            FieldCodec.strings(packer, message.endpoints());
        } else if (peerMessage instanceof PeerMessage.DepartureUpdate message) {
            packer.packByte(PeerMessageKind.DEPARTURE_UPDATE.tag())
                    .packInt(message.departures().size());
            for (Departure departure : message.departures()) {
                packer.packString(departure.node()).packString(departure.endpoint());
            }
        }
    }

    static PeerMessage read(PeerMessageKind kind, MessageUnpacker unpacker) throws IOException {
        return switch (kind) {
            case DEPARTURE_REPORT -> new PeerMessage.DepartureReport(endpoints(unpacker));
            case DEPARTURES_STORED -> new PeerMessage.DeparturesStored(unpacker.unpackString(), endpoints(unpacker));
            case DEPARTURE_UPDATE -> new PeerMessage.DepartureUpdate(departures(unpacker));
            default -> throw new IOException(kind + " is not a message about departures");
        };
    }

    private static List<Departure> departures(MessageUnpacker unpacker) throws IOException {
        List<Departure> departures = new ArrayList<>();
        for (int remaining = FieldCodec.checkedSize(unpacker.unpackInt()); remaining > 0; remaining--) {
            departures.add(new Departure(unpacker.unpackString(), checkedId(unpacker.unpackString())));
        }
        return departures;
    }

    private static List<String> endpoints(MessageUnpacker unpacker) throws IOException {
        List<String> endpoints = FieldCodec.strings(unpacker);
        for (String endpoint : endpoints) {
            checkedId(endpoint);
        }
        return endpoints;
    }

    private static String checkedId(String endpoint) throws IOException {
        if (endpoint.isEmpty() || endpoint.length() > RpcCall.MAX_ENDPOINT_ID_LENGTH) {
            throw new IOException("invalid endpoint id of " + endpoint.length() + " characters");
        }
        return endpoint;
    }
}
