package whinlead.testbed.mesh.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Where the processes of a scale run stand on loopback, and their settings as the platform writes them. Ports are alike
 * on all machines and were free when this was made. Sidecar 0 dials the control nodes at a port of its own, where a
 * relay counts. Immutable.
 */
final class Places {
    /** Addresses of one block of sidecars. */
    private static final int BLOCK = 200;

    private final int controlNodes;
    private final int[] ports = new int[7];

    Places(int controlNodes) throws IOException {
        this.controlNodes = controlNodes;
        List<ServerSocket> held = new ArrayList<>();
        try {
            for (int i = 0; i < ports.length; i++) {
                ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(controlNodeIp(0)));
                held.add(s);
                ports[i] = s.getLocalPort();
            }
        } finally {
            for (ServerSocket s : held) {
                s.close();
            }
        }
    }

    private Places(int controlNodes, int[] ports) {
        this.controlNodes = controlNodes;
        System.arraycopy(ports, 0, this.ports, 0, ports.length);
    }

    /** What {@link #toString} wrote, read in another process. */
    static Places parse(String text) {
        int[] all = Arrays.stream(text.split(",")).mapToInt(Integer::parseInt).toArray();
        return new Places(all[0], Arrays.copyOfRange(all, 1, all.length));
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder().append(controlNodes);
        IntStream.of(ports).forEach(p -> text.append(',').append(p));
        return text.toString();
    }

    int controlNodes() {
        return controlNodes;
    }

    String controlNodeIp(int i) {
        return "127.43.0." + (1 + i);
    }

    String sidecarIp(int i) {
        return "127.44." + i / BLOCK + "." + (1 + i % BLOCK);
    }

    int talk() {
        return ports[0];
    }

    /** Where the relay of sidecar 0 listens, at each control node's address. */
    int relay() {
        return ports[6];
    }

    /** Where a control node takes operators' calls. */
    String control(int controlNode) {
        return controlNodeIp(controlNode) + ":" + ports[1];
    }

    /** Where a sidecar takes its endpoint's beats. */
    String beats(int sidecar) {
        return sidecarIp(sidecar) + ":" + ports[1];
    }

    /** Where a sidecar takes clients' requests. */
    String egress(int sidecar) {
        return sidecarIp(sidecar) + ":" + ports[2];
    }

    List<String> controlNode(int i, String dataDir) {
        List<String> lines = common("core-" + i, controlNodeIp(i), ports[0]);
        lines.add("Self.DataDir=" + dataDir);
        lines.add("Network.Bind.Control=" + control(i));
        return lines;
    }

    List<String> sidecar(int i, String target) {
        List<String> lines = common("auxiliary-" + i, sidecarIp(i), i == 0 ? relay() : ports[0]);
        lines.add("Self.AppAddr=" + sidecarIp(i) + ":" + ports[5]);
        lines.add("Self.Target=" + target);
        lines.add("Network.Bind.Ingress=" + sidecarIp(i) + ":" + ports[3]);
        lines.add("Network.Bind.Egress=" + egress(i));
        lines.add("Network.Bind.Readiness=" + sidecarIp(i) + ":" + ports[4]);
        lines.add("Network.Bind.Control=" + beats(i));
        return lines;
    }

    private List<String> common(String node, String ip, int talkPort) {
        String seeds = String.join(
                ",",
                IntStream.range(0, Math.min(3, controlNodes))
                        .mapToObj(this::control)
                        .toList());
        return new ArrayList<>(List.of(
                "Self.Node=" + node,
                "Self.Ip=" + ip,
                "Self.Zone=hall-a",
                "Self.Bootstrap=true",
                "Self.Limits.MemoryMb=430",
                "Self.Limits.FdLimit=4100",
                "Network.PortRange=" + talkPort + "," + talkPort,
                "Network.Seeds=" + seeds,
                "Substrate.HeartbeatS=1.5",
                "Clauses.Bounds.ContactS=3",
                "Clauses.Bounds.DrainS=2.5",
                "Clauses.Bounds.GraceS=6",
                "Clauses.Bounds.ConvergeS=2.5",
                "Clauses.Bounds.RetryRatio=0.2",
                "Clauses.Bounds.RetryWindowS=10",
                "Clauses.Bounds.RetrySlack=60",
                "Clauses.Bounds.QuotaWindowS=5",
                "Clauses.Bounds.QuotaExcess=0.1",
                "Clauses.Bounds.QuotaSlack=20"));
    }
}
