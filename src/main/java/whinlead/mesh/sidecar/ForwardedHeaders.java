package whinlead.mesh.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Which headers go on. For any thread. */
final class ForwardedHeaders {
    static final String ATTEMPT = "Attempt-Id";
    static final String DEADLINE = "Deadline-Ms";
    static final String KEY = "Api-Key";
    static final String TENANT = "Tenant";
    static final String CALLER = "Caller-Service";
    static final String INSTANCE = "Target-Instance";
    static final String SEAL = "Server-Seal";
    static final String NOT_EXECUTED = "Not-Executed";

    /** Of one connection only, or made anew behind. */
    private static final Set<String> OWN = Set.of(
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
    /** What the system alone tells endpoints. */
    private static final Set<String> SYSTEM =
            Set.of("tenant", "api-key", "caller-service", "target-instance", "deadline-ms");

    /** End to end, whatever a connection says of them: what an answer is known by and proved by. */
    private static final Set<String> END_TO_END = Set.of("attempt-id", "server-seal");

    private ForwardedHeaders() {}

    /** Names and values in turn, without those of one connection and, of requests, the system's. */
    static List<String> onward(HttpHeaders headers, boolean request) {
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll("Connection")) {
            for (String token : value.split(",")) {
                named.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        named.removeAll(END_TO_END);
        List<String> out = new ArrayList<>(headers.size() * 2);
        for (Map.Entry<String, String> e : headers) {
            String name = e.getKey().toLowerCase(Locale.ROOT);
            if (!OWN.contains(name) && !named.contains(name) && !(request && SYSTEM.contains(name))) {
                out.add(e.getKey());
                out.add(e.getValue());
            }
        }
        return out;
    }
}
