package whinlead.testbed.mesh.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;
import whinlead.mesh.control.ConfigCodec;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;

/** What messages weigh at a size, in bytes on a link, the message's length in front of it counted. Pure. */
final class Weights {
    private static final int LENGTH_BYTES = 4;
    private static final long MANY = 100_000;
    private static final List<String> VOTERS = List.of("10.1.0.14#0", "10.2.0.37#0", "10.3.0.16#0");

    private Weights() {}

    /** Of a size's configuration, and of what goes with it. */
    static Map<String, Double> of(Sizes sizes) {
        byte[] json = sizes.config(1).getBytes(StandardCharsets.UTF_8);
        byte[] body = ConfigCodec.deflate(json);
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("configuration, bytes", (double) json.length);
        figures.put("configuration deflated, bytes", (double) body.length);
        figures.put("news of it to a sidecar, bytes", message(new PeerMessage.ConfigUpdate(decision(body, 0), true)));
        figures.put("decision between control nodes, bytes, nothing remembered", told(body, 0));
        figures.put(
                "decision between control nodes, bytes, all that is remembered",
                told(body, Decision.MAX_APPLIED_VERSIONS));
        EndpointRecord record = new EndpointRecord(
                "10.123.45.67:8366",
                1_790_000_000_000L,
                12,
                "hall-a",
                "endpoint-1234-17",
                Sizes.service(0),
                EndpointRecord.Phase.SERVING,
                6,
                0);
        figures.put("one endpoint record, bytes", message(new PeerMessage.EndpointUpdate(List.of(record))));
        figures.put(
                "one endpoint record more, bytes",
                message(new PeerMessage.EndpointUpdate(List.of(record, record)))
                        - message(new PeerMessage.EndpointUpdate(List.of(record))));
        figures.put("ping, bytes", message(new PeerMessage.Ping(MANY)));
        figures.put("pong, bytes", message(new PeerMessage.Pong(MANY, VOTERS.get(0), MANY)));
        return figures;
    }

    private static double told(byte[] body, int remembered) {
        return message(new PeerMessage.Consensus(new Message.Decided(decision(body, remembered))));
    }

    private static Decision decision(byte[] body, int remembered) {
        List<Decision.AppliedVersion> taken = new ArrayList<>();
        for (int i = 0; i < remembered; i++) {
            taken.add(new Decision.AppliedVersion(MANY + i, ConfigCodec.digest(new byte[] {(byte) i})));
        }
        return new Decision(MANY, MANY, body, taken, VOTERS);
    }

    private static double message(PeerMessage message) {
        return LENGTH_BYTES + PeerMessageCodec.write(message).length;
    }
}
