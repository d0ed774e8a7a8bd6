package whinlead.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;

/** How stand-in proxies and the external processor speak. */
enum AgentFront {
    /** The plain consult API. */
    HTTP {
        @Override
        AgentClient.Protocol protocol() {
            ObjectMapper mapper = new ObjectMapper();
            return () -> new ConsultWire(mapper);
        }
    },
    /** HAProxy's. */
    SPOP {
        @Override
        AgentClient.Protocol protocol() {
            return SpopWire::new;
        }
    },
    /** Envoy's external processing. */
    ENVOY {
        @Override
        AgentClient.Protocol protocol() {
            return EnvoyWire.protocol();
        }
    };

    /** The proxies' side, for the connections of one of them or of several. */
    abstract AgentClient.Protocol protocol();
}
