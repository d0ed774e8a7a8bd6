package whinlead.testbed.mesh;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Settings files as the platform writes them, for machines on loopback: 127.0.0.1 and on are offices, those
 * after them auxiliary machines. Ports are alike on all, and were free when this was made.
 */
public final class TestbedSettings {
    private final int offices;
    private final int talk;
    private final int control;
    private final int egress;
    private final int ingress;
    private final int readiness;
    private final int app;

    /** Settings of machines with so many offices. */
    public TestbedSettings(int offices) throws IOException {
        this.offices = offices;
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

    /** The address of an office's machine, from 0. */
    public String officeIp(int i) {
        return "127.0.0." + (1 + i);
    }

    /** The address of an auxiliary machine, from 0. */
    public String carrierIp(int i) {
        return "127.0.0." + (101 + i);
    }

    /** Where an office takes operators' calls. */
    public String control(int office) {
        return officeIp(office) + ":" + control;
    }

    /** Where a carrier takes its endpoint's beats. */
    public String beats(int carrier) {
        return carrierIp(carrier) + ":" + control;
    }

    /** Where a carrier takes clients' requests. */
    public String egress(int carrier) {
        return carrierIp(carrier) + ":" + egress;
    }

    /** Where a carrier tells whether it is ready. */
    public String readiness(int carrier) {
        return carrierIp(carrier) + ":" + readiness;
    }

    /** Where the endpoint beside a carrier listens. */
    public String app(int carrier) {
        return carrierIp(carrier) + ":" + app;
    }

    /** Where an office talks to other processes. */
    public String talk(int office) {
        return officeIp(office) + ":" + talk;
    }

    /** Where a carrier takes requests for the endpoint beside it. */
    public String ingress(int carrier) {
        return carrierIp(carrier) + ":" + ingress;
    }

    /** An office's settings. */
    public List<String> office(int i, String dataDir, boolean bootstrap) {
        List<String> lines = common("core-" + i, officeIp(i), bootstrap);
        lines.add("Self.DataDir=" + dataDir);
        lines.add("Network.Bind.Control=" + control(i));
        return lines;
    }

    /** A carrier's settings, beside an endpoint of this service. */
    public List<String> carrier(int i, String target) {
        List<String> lines = common("auxiliary-" + i, carrierIp(i), true);
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
        for (int i = 0; i < Math.min(3, offices); i++) {
            seeds.add(control(i));
        }
        return new ArrayList<>(List.of("Self.Node=" + node, "Self.Ip=" + ip, "Self.Zone=hall-a",
                "Self.Bootstrap=" + bootstrap, "Self.Limits.MemoryMb=430", "Self.Limits.FdLimit=4100",
                "Network.PortRange=" + talk + "," + talk, "Network.Seeds=" + String.join(",", seeds),
                "Substrate.HeartbeatS=0.5", "Clauses.Bounds.ContactS=3", "Clauses.Bounds.DrainS=2.5",
                "Clauses.Bounds.GraceS=6", "Clauses.Bounds.ConvergeS=2.5", "Clauses.Bounds.RetryRatio=0.2",
                "Clauses.Bounds.RetryWindowS=10", "Clauses.Bounds.RetrySlack=60",
                "Clauses.Bounds.QuotaWindowS=5", "Clauses.Bounds.QuotaExcess=0.1",
                "Clauses.Bounds.QuotaSlack=20"));
    }
}
