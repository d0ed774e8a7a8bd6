package whinlead.front.extproc;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;

/**
 * What Envoy's attributes tell of a response ({@code response_attributes} of the filter), where it is asked for them:
 * whether it is the endpoint's, what went wrong if not, and where the request was sent.
 *
 * @param code {@code response.code_details}; empty if not told
 * @param address {@code upstream.address}; empty if not told
 * @param tries {@code upstream.request_attempt_count}; 0 if not told
 */
record ResponseDetails(String code, String address, int tries) {
    private static final String OF_ENDPOINT = "via_upstream";

    static ResponseDetails of(ProcessingRequest message) {
        for (Struct attributes : message.getAttributesMap().values()) {
            return new ResponseDetails(
                    text(attributes, "response.code_details"), text(attributes, "upstream.address"), (int)
                            value(attributes, "upstream.request_attempt_count").getNumberValue());
        }
        return new ResponseDetails("", "", 0);
    }

    private static Value value(Struct attributes, String name) {
        return attributes.getFieldsOrDefault(name, Value.getDefaultInstance());
    }

    private static String text(Struct attributes, String name) {
        return value(attributes, name).getStringValue();
    }

    /** Whether the response came from the endpoint, or nothing else is known. */
    boolean ofEndpoint() {
        return code.isEmpty() || code.equals(OF_ENDPOINT);
    }

    /** Whether it was sent there, for all that is known. */
    boolean sentTo(String told) {
        return address.isEmpty() || address.equals(told);
    }

    /**
     * The consult API's word for how the attempt ended, by Envoy's response code details; null if the status tells.
     * What a router that tries again on its own tells of its last try proves nothing of those before.
     */
    String outcome() {
        if (ofEndpoint()) {
            return null;
        } else if (code.contains("timeout") && !code.contains("connection")) {
            return "timed_out";
        } else if (tries > 1) {
            return "reset";
        } else if (code.contains("connection_failure") || code.contains("connection_timeout")) {
            return "connect_failed";
        } else if (code.contains("overflow") || code.equals("no_healthy_upstream")) {
            return "not_sent";
        }
        return "reset";
    }
}
