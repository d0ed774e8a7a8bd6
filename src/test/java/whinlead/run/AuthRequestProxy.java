package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for nginx under {@code deploy/examples/nginx.conf}, by nginx's public documentation of
 * {@code ngx_http_auth_request_module}, {@code ngx_http_proxy_module} and {@code error_page}. What it sends to the
 * consult API (paths, headers and the variables in them) it reads from that file, and what it takes from the answers
 * too.
 */
final class AuthRequestProxy extends ExampleProxy {
    private static final Pattern PASS = Pattern.compile("proxy_pass http://whinlead(\\S+);");
    private static final Pattern HEADER = Pattern.compile("proxy_set_header (\\S+) (\\S+);");
    private static final Pattern TAKEN = Pattern.compile("auth_request_set \\$(\\S+) \\$upstream_http_(\\S+);");
    private static final int FORBIDDEN = 403;

    private final HttpClient client = HttpClient.newHttpClient();
    private final String config;
    private final int port;

    /** One whose consult API listens at this port of loopback. */
    AuthRequestProxy(int port) throws IOException {
        this.port = port;
        this.config = Files.readString(Path.of("deploy/examples/nginx.conf"));
    }

    @Override
    Answer ask(String id, String type) throws Exception {
        Map<String, String> request = new LinkedHashMap<>();
        request.put("Request-Id", id);
        request.put("Request-Class", type);
        request.put("Request-Timeout", "2.000");
        Map<String, String> variables = new HashMap<>();
        variables.put("attempt", "");
        String place = "location / {";
        String asks = "/_ask";
        Hop hop = null;
        while (true) {
            int said = subrequest(asks, "GET", request, variables, place);
            if (said != 200) {
                // auth_request takes 401 and 403 for no, 2xx for yes and all else for an error.
                return report(
                        request, variables, hop, said == FORBIDDEN ? ended(variables) : new Answer(500, Map.of()));
            }
            String[] address = variables.get("address").split(":");
            hop = hop(address[0], Integer.parseInt(address[1]), id, 502);
            variables.put("last_status", Integer.toString(hop.status()));
            variables.put("last_connect_time", hop.time(hop.connected(), "-"));
            variables.put("last_header_time", hop.time(hop.answered(), "-"));
            variables.put("upstream_http_not_started", hop.headers().getOrDefault("Not-Started", ""));
            variables.put("upstream_http_server_load", hop.headers().getOrDefault("Server-Load", ""));
            if (hop.answered()) {
                return report(request, variables, hop, new Answer(hop.status(), hop.headers()));
            }
            place = "location @again {";
            asks = "/_ask_again";
            Matcher set = Pattern.compile("set \\$(\\S+) \\$(\\S+);").matcher(block(config, place));
            while (set.find()) {
                variables.put(set.group(1), variables.get(set.group(2)));
            }
        }
    }

    // A location that proxies to the API; the variables that the asking location takes from the answer.
    private int subrequest(
            String location, String method, Map<String, String> request, Map<String, String> variables, String place)
            throws Exception {
        String text = block(config, "location = " + location + " {");
        Matcher pass = PASS.matcher(text);
        assertTrue(pass.find(), "no proxy_pass in " + location);
        HttpRequest.Builder b = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + pass.group(1)))
                .method(method, HttpRequest.BodyPublishers.noBody());
        request.forEach(b::header);
        Matcher header = HEADER.matcher(text);
        while (header.find()) {
            String value = header.group(2).equals("\"\"")
                    ? ""
                    : variables.get(header.group(2).substring(1));
            // An empty one is not sent; these two are the client library's own.
            if (!value.isEmpty() && !header.group(1).matches("Connection|Content-Length")) {
                b.header(header.group(1), value);
            }
        }
        HttpResponse<String> answer = client.send(b.build(), HttpResponse.BodyHandlers.ofString());
        Matcher taken = TAKEN.matcher(block(config, place));
        while (taken.find()) {
            variables.put(
                    taken.group(1),
                    answer.headers()
                            .firstValue(taken.group(2).replace('_', '-'))
                            .orElse(""));
        }
        return answer.statusCode();
    }

    private static Answer ended(Map<String, String> variables) {
        int status =
                switch (variables.get("do")) {
                    case "refuse" -> 503;
                    case "too_many" -> 429;
                    default -> 502;
                };
        return new Answer(status, Map.of("Retry-After", variables.get("retry_after")));
    }

    // post_action, once the client has its answer; here just before it, which is no other to the API.
    private Answer report(Map<String, String> request, Map<String, String> variables, Hop hop, Answer answer)
            throws Exception {
        if (hop != null && !variables.get("attempt").isEmpty()) {
            subrequest("/_report", "POST", request, variables, "location = /_report {");
        }
        return answer;
    }

    @Override
    public void close() {
        // The client has nothing that outlives the test.
    }
}
