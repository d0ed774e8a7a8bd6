package whinlead.mesh.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selects the headers that are forwarded. Thread-safe. */
final class ForwardedHeaders {
    static final String ATTEMPT_ID = "Attempt-Id";
    static final String DEADLINE_MS = "Deadline-Ms";
    static final String API_KEY = "Api-Key";
    static final String TENANT = "Tenant";
    static final String CALLER_SERVICE = "Caller-Service";
    static final String TARGET_INSTANCE = "Target-Instance";
    static final String SERVER_SEAL = "Server-Seal";
    static final String NOT_EXECUTED = "Not-Executed";

    /** Hop-by-hop headers, and headers that are set anew for the next hop. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "proxy-authenticate",
            "proxy-authorization",
            "content-length",
            "expect");
    /** Headers that only this system may set on requests to endpoints. */
    private static final Set<String> SYSTEM_HEADERS =
            Set.of("tenant", "api-key", "caller-service", "target-instance", "deadline-ms");

    /**
     * Headers that are always forwarded, even if a {@code Connection} header names them: responses are matched and
     * verified by them.
     */
    private static final Set<String> END_TO_END_HEADERS = Set.of("attempt-id", "server-seal");

    private ForwardedHeaders() {}

    /**
     * Copies the headers as alternating names and values, without hop-by-hop headers and, for requests, without the
     * system's own headers.
     */
    static List<String> copyForwardable(HttpHeaders headers, boolean request) {
        Set<String> connectionOptions = new HashSet<>();
        for (String value : headers.getAll("Connection")) {
            for (String token : value.split(",")) {
                connectionOptions.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        connectionOptions.removeAll(END_TO_END_HEADERS);
        List<String> forwardable = new ArrayList<>(headers.size() * 2);
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name)
                    && !connectionOptions.contains(name)
                    && !(request && SYSTEM_HEADERS.contains(name))) {
                forwardable.add(header.getKey());
                forwardable.add(header.getValue());
            }
        }
        return forwardable;
    }
}
