package whinlead.testbed.mesh;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Settings files as the platform writes them, for machines on loopback: 127.0.0.1 and on are control nodes, those after
 * them auxiliary machines. Ports are alike on all, and were free when this was made.
 */
public final class TestbedSettings {
    private final int controlNodes;
    private final int talk;
    private final int control;
    private final int egress;
    private final int ingress;
    private final int readiness;
    private final int app;

    /** Settings of machines with so many control nodes. */
    public TestbedSettings(int controlNodes) throws IOException {
        this.controlNodes = controlNodes;
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[6];
        try {
            for (int i = 0; i < ports.length; i++) {
                ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                held.add(s);
                ports[i] = s.getLocalPort();
            }
        } finally {
            for (ServerSocket s : held) {
                s.close();
            }
        }
        talk = ports[0];
        control = ports[1];
        egress = ports[2];
        ingress = ports[3];
        readiness = ports[4];
        app = ports[5];
    }

    /** The address of a control node's machine, from 0. */
    public String controlNodeIp(int i) {
        return "127.0.0." + (1 + i);
    }

    /** The address of an auxiliary machine, from 0. */
    public String sidecarIp(int i) {
        return "127.0.0." + (101 + i);
    }

    /** Where a control node takes operators' calls. */
    public String control(int controlNode) {
        return controlNodeIp(controlNode) + ":" + control;
    }

    /** Where a sidecar takes its endpoint's beats. */
    public String beats(int sidecar) {
        return sidecarIp(sidecar) + ":" + control;
    }

    /** Where a sidecar takes clients' requests. */
    public String egress(int sidecar) {
        return sidecarIp(sidecar) + ":" + egress;
    }

    /** Where a sidecar tells whether it is ready. */
    public String readiness(int sidecar) {
        return sidecarIp(sidecar) + ":" + readiness;
    }

    /** Where the endpoint beside a sidecar listens. */
    public String app(int sidecar) {
        return sidecarIp(sidecar) + ":" + app;
    }

    /** Where a control node talks to other processes. */
    public String talk(int controlNode) {
        return controlNodeIp(controlNode) + ":" + talk;
    }

    /** Where a sidecar takes requests for the endpoint beside it. */
    public String ingress(int sidecar) {
        return sidecarIp(sidecar) + ":" + ingress;
    }

    /** A control node's settings. */
    public List<String> controlNode(int i, String dataDir, boolean bootstrap) {
        List<String> lines = common("core-" + i, controlNodeIp(i), bootstrap);
        lines.add("Self.DataDir=" + dataDir);
        lines.add("Network.Bind.Control=" + control(i));
        return lines;
    }

    /** A sidecar's settings, beside an endpoint of this service. */
    public List<String> sidecar(int i, String target) {
        List<String> lines = common("auxiliary-" + i, sidecarIp(i), true);
        lines.add("Self.AppAddr=" + app(i));
        lines.add("Self.Target=" + target);
        lines.add("Network.Bind.Ingress=" + ingress(i));
        lines.add("Network.Bind.Egress=" + egress(i));
        lines.add("Network.Bind.Readiness=" + readiness(i));
        lines.add("Network.Bind.Control=" + beats(i));
        return lines;
    }

    private List<String> common(String node, String ip, boolean bootstrap) {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, controlNodes); i++) {
            seeds.add(control(i));
        }
        return new ArrayList<>(List.of(
                "Self.Node=" + node,
                "Self.Ip=" + ip,
                "Self.Zone=hall-a",
                "Self.Bootstrap=" + bootstrap,
                "Self.Limits.MemoryMb=430",
                "Self.Limits.FdLimit=4100",
                "Network.PortRange=" + talk + "," + talk,
                "Network.Seeds=" + String.join(",", seeds),
                "Substrate.HeartbeatS=0.5",
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
