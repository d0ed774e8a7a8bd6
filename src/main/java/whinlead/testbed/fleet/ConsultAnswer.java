package whinlead.testbed.fleet;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a sidecar tells a proxy that consulted it.
 *
 * @param action what to do: {@link #SEND}, {@link #ALREADY_OUT}, {@link #REFUSE}, or how the request ended
 * @param attempt the attempt to send, where the action is to send
 * @param endpoint where to send it
 */
record ConsultAnswer(String action, int attempt, String endpoint) {
    /** Send the attempt to the endpoint. */
    static final String SEND = "send";
    /** Another proxy has an attempt of this request under way. */
    static final String ALREADY_OUT = "already_out";
    /** Turn the client away. */
    static final String REFUSE = "refuse";
    /** The request was served. */
    static final String SERVED = "served";

    /** Reads the body of an answer; fields that are missing are empty or 0. */
    static ConsultAnswer of(JsonNode body) {
        return new ConsultAnswer(
                body.path("do").asText(),
                body.path("attempt").asInt(),
                body.path("endpoint").asText());
    }
}
