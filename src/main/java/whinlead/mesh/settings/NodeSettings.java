package whinlead.mesh.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A process's settings, from the settings file that the platform provides. Records check themselves when created, so a
 * sidecar need not load Bean Validation at its start. Times are in seconds, as in the file.
 *
 * @param self the identity of this process
 * @param network the addresses to listen at, and up to three machines to contact
 * @param substrate how often endpoints send heartbeats
 * @param clauses the bounds of the contract with the platform
 */
public record NodeSettings(
        @JsonProperty("Self") Self self,
        @JsonProperty("Network") Network network,
        @JsonProperty("Substrate") Substrate substrate,
        @JsonProperty("Clauses") Clauses clauses) {

    /** Checks that every table exists. */
    public NodeSettings {
        require(self, "Self");
        require(network, "Network");
        require(substrate, "Substrate");
        require(clauses, "Clauses");
    }

    /**
     * The identity of this process. Fields of the other role are null.
     *
     * @param bootstrap whether the whole system starts for the first time, on empty disks
     */
    public record Self(
            @JsonProperty("Node") String node,
            @JsonProperty("Ip") String ip,
            @JsonProperty("Zone") String zone,
            @JsonProperty("Bootstrap") boolean bootstrap,
            @JsonProperty("DataDir") String dataDir,
            @JsonProperty("AppAddr") String appAddr,
            @JsonProperty("Target") String target,
            @JsonProperty("Limits") Limits limits) {
        /** Checks the fields that both roles need. */
        public Self {
            require(node, "Self.Node");
            require(ip, "Self.Ip");
            require(zone, "Self.Zone");
        }
    }

    /** The machine's limits: memory in MB, and the number of file descriptors. */
    public record Limits(
            @JsonProperty("MemoryMb") double memoryMb,
            @JsonProperty("FdLimit") int fdLimit) {}

    /**
     * The addresses to listen at, and the machines to contact first.
     *
     * @param portRange the first and the last port reserved for the system's own connections
     * @param seeds control addresses of up to three machines
     */
    public record Network(
            @JsonProperty("Bind") Bind bind,
            @JsonProperty("PortRange") List<Integer> portRange,
            @JsonProperty("Seeds") List<String> seeds) {
        private static final int MAX_PORT = 65535;

        /** Checks the ports, and that the seeds exist. */
        public Network {
            require(bind, "Network.Bind");
            require(seeds, "Network.Seeds");
            if (portRange == null
                    || portRange.size() != 2
                    || portRange.get(0) < 1
                    || portRange.get(1) < portRange.get(0)
                    || portRange.get(1) > MAX_PORT) {
                throw new NodeSettingsException("Network.PortRange is not FIRST,LAST within 1 to " + MAX_PORT);
            }
        }

        /** The port for connections between processes of the system, the same on all machines. */
        public int peerPort() {
            return portRange.get(0);
        }
    }

    /** Addresses to listen at; null if the role does not serve them. */
    public record Bind(
            @JsonProperty("Ingress") String ingress,
            @JsonProperty("Egress") String egress,
            @JsonProperty("Readiness") String readiness,
            @JsonProperty("Control") String control) {}

    /** How often an endpoint sends a heartbeat. */
    public record Substrate(@JsonProperty("HeartbeatS") double heartbeatS) {
        /** Checks the time. */
        public Substrate {
            requirePositive(heartbeatS, "Substrate.HeartbeatS");
        }
    }

    /** The bounds in force. */
    public record Clauses(@JsonProperty("Bounds") Bounds bounds) {
        /** Checks that the bounds exist. */
        public Clauses {
            require(bounds, "Clauses.Bounds");
        }
    }

    /** The bounds that this program must satisfy, in seconds, or as ratios and numbers of requests. */
    public record Bounds(
            @JsonProperty("DrainS") double drainS,
            @JsonProperty("GraceS") double graceS,
            @JsonProperty("ContactS") double contactS,
            @JsonProperty("ConvergeS") double convergeS,
            @JsonProperty("RetryRatio") double retryRatio,
            @JsonProperty("RetryWindowS") double retryWindowS,
            @JsonProperty("RetrySlack") double retrySlack,
            @JsonProperty("QuotaWindowS") double quotaWindowS,
            @JsonProperty("QuotaExcess") double quotaExcess,
            @JsonProperty("QuotaSlack") double quotaSlack,
            @JsonProperty("HoldCapS") Double holdCapS) {
        /** Bounds of a deployment whose endpoints own no keys. */
        public Bounds(
                double drainS,
                double graceS,
                double contactS,
                double convergeS,
                double retryRatio,
                double retryWindowS,
                double retrySlack,
                double quotaWindowS,
                double quotaExcess,
                double quotaSlack) {
            this(
                    drainS,
                    graceS,
                    contactS,
                    convergeS,
                    retryRatio,
                    retryWindowS,
                    retrySlack,
                    quotaWindowS,
                    quotaExcess,
                    quotaSlack,
                    null);
        }

        /** Checks that the figures are numbers in their ranges. */
        public Bounds {
            requirePositive(drainS, "Clauses.Bounds.DrainS");
            requirePositive(graceS, "Clauses.Bounds.GraceS");
            requireNotNegative(retryRatio, "Clauses.Bounds.RetryRatio");
            requireNotNegative(retrySlack, "Clauses.Bounds.RetrySlack");
            requireNotNegative(quotaExcess, "Clauses.Bounds.QuotaExcess");
            requireNotNegative(quotaSlack, "Clauses.Bounds.QuotaSlack");
            if (holdCapS != null) {
                requirePositive(holdCapS, "Clauses.Bounds.HoldCapS");
            }
        }
    }

    /**
     * Returns a field that this role needs.
     *
     * @throws NodeSettingsException if it is null
     */
    public static <T> T require(T value, String field) {
        if (value == null) {
            throw new NodeSettingsException(field + " is missing");
        }
        return value;
    }

    private static void requirePositive(double value, String field) {
        if (!(value > 0 && value < Double.POSITIVE_INFINITY)) {
            throw new NodeSettingsException(field + " is missing or not a number over 0");
        }
    }

    private static void requireNotNegative(double value, String field) {
        if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
            throw new NodeSettingsException(field + " is not a number of 0 or more");
        }
    }
}
