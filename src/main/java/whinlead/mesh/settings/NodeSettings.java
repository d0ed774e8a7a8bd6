package whinlead.mesh.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A process's settings: what the platform's settings file tells it. Checked where it is made, so that a sidecar need
 * not load a validator for it at its start. Times are in seconds, as in the file.
 *
 * @param self what this process is
 * @param network where it listens, and three machines that it may ask
 * @param substrate how often endpoints send heartbeats
 * @param clauses the figures of the rules
 */
public record NodeSettings(
        @JsonProperty("Self") Self self,
        @JsonProperty("Network") Network network,
        @JsonProperty("Substrate") Substrate substrate,
        @JsonProperty("Clauses") Clauses clauses) {

    /** Checks that every table is there. */
    public NodeSettings {
        require(self, "Self");
        require(network, "Network");
        require(substrate, "Substrate");
        require(clauses, "Clauses");
    }

    /**
     * What this process is. Of the fields for one role only, those of the other are null.
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
        /** Checks what both roles need. */
        public Self {
            require(node, "Self.Node");
            require(ip, "Self.Ip");
            require(zone, "Self.Zone");
        }
    }

    /** What the machine gives: memory in MB, descriptors as a count. */
    public record Limits(
            @JsonProperty("MemoryMb") double memoryMb,
            @JsonProperty("FdLimit") int fdLimit) {}

    /**
     * Where it listens, and whom it may ask first.
     *
     * @param portRange the first and the last of the ports that are free for the system's own talk
     * @param seeds control addresses of up to three machines
     */
    public record Network(
            @JsonProperty("Bind") Bind bind,
            @JsonProperty("PortRange") List<Integer> portRange,
            @JsonProperty("Seeds") List<String> seeds) {
        private static final int MAX_PORT = 65535;

        /** Checks the ports and that there is someone to ask. */
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

        /** The port at which processes of the system talk to each other, alike on all machines. */
        public int peerPort() {
            return portRange.get(0);
        }
    }

    /** Addresses to listen at; null where the role does not serve them. */
    public record Bind(
            @JsonProperty("Ingress") String ingress,
            @JsonProperty("Egress") String egress,
            @JsonProperty("Readiness") String readiness,
            @JsonProperty("Control") String control) {}

    /** How often an endpoint beats. */
    public record Substrate(@JsonProperty("HeartbeatS") double heartbeatS) {
        /** Checks the time. */
        public Substrate {
            positive(heartbeatS, "Substrate.HeartbeatS");
        }
    }

    /** The figures of the rules in force. */
    public record Clauses(@JsonProperty("Bounds") Bounds bounds) {
        /** Checks that the figures are there. */
        public Clauses {
            require(bounds, "Clauses.Bounds");
        }
    }

    /** The bounds that this program keeps to; in seconds, or shares and counts of requests. */
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

        /** Checks that each figure is one. */
        public Bounds {
            positive(drainS, "Clauses.Bounds.DrainS");
            positive(graceS, "Clauses.Bounds.GraceS");
            notNegative(retryRatio, "Clauses.Bounds.RetryRatio");
            notNegative(retrySlack, "Clauses.Bounds.RetrySlack");
            notNegative(quotaExcess, "Clauses.Bounds.QuotaExcess");
            notNegative(quotaSlack, "Clauses.Bounds.QuotaSlack");
            if (holdCapS != null) {
                positive(holdCapS, "Clauses.Bounds.HoldCapS");
            }
        }
    }

    /**
     * A field that this role can't do without.
     *
     * @throws NodeSettingsException if it is null
     */
    public static <T> T require(T value, String field) {
        if (value == null) {
            throw new NodeSettingsException(field + " is missing");
        }
        return value;
    }

    private static void positive(double value, String field) {
        if (!(value > 0 && value < Double.POSITIVE_INFINITY)) {
            throw new NodeSettingsException(field + " is missing or not a number over 0");
        }
    }

    private static void notNegative(double value, String field) {
        if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
            throw new NodeSettingsException(field + " is not a number of 0 or more");
        }
    }
}
