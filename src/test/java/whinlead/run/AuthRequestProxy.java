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
 * Simulates nginx with {@code deploy/examples/nginx.conf}, according to nginx's public documentation of
 * {@code ngx_http_auth_request_module}, {@code ngx_http_proxy_module} and {@code error_page}. The paths, headers and
 * variables that it sends to the consult API and the variables that it sets from the answers are read from that file.
 */
final class AuthRequestProxy extends ExampleProxy {
    private static final Pattern PROXY_PASS = Pattern.compile("proxy_pass http://whinlead(\\S+);");
    private static final Pattern PROXY_SET_HEADER = Pattern.compile("proxy_set_header (\\S+) (\\S+);");
    private static final Pattern AUTH_REQUEST_SET =
            Pattern.compile("auth_request_set \\$(\\S+) \\$upstream_http_(\\S+);");
    private static final int FORBIDDEN = 403;

    private final HttpClient client = HttpClient.newHttpClient();
    private final String config;
    private final int port;

    /** Uses the consult API at this loopback port. */
    AuthRequestProxy(int port) throws IOException {
        this.port = port;
        this.config = Files.readString(Path.of("deploy/examples/nginx.conf"));
    }

    @Override
    Answer handle(String id, String type) throws Exception {
        Map<String, String> request = new LinkedHashMap<>();
        request.put("Request-Id", id);
        request.put("Request-Class", type);
        request.put("Request-Timeout", "2.000");
        Map<String, String> variables = new HashMap<>();
        variables.put("attempt", "");
        String askingLocation = "location / {";
        String subrequestLocation = "/_ask";
        Hop hop = null;
        while (true) {
            int subrequestStatus = subrequest(subrequestLocation, "GET", request, variables, askingLocation);
            if (subrequestStatus != 200) {
                // auth_request denies on 401 and 403, allows on 2xx and treats all other statuses as errors.
                return report(
                        request,
                        variables,
                        hop,
                        subrequestStatus == FORBIDDEN ? deniedAnswer(variables) : new Answer(500, Map.of()));
            }
            String[] address = variables.get("address").split(":");
            hop = sendOnce(address[0], Integer.parseInt(address[1]), id, 502);
            variables.put("last_status", Integer.toString(hop.status()));
            variables.put("last_connect_time", hop.timeHeader(hop.connected(), "-"));
            variables.put("last_header_time", hop.timeHeader(hop.answered(), "-"));
            variables.put("upstream_http_not_started", hop.headers().getOrDefault("Not-Started", ""));
            variables.put("upstream_http_server_load", hop.headers().getOrDefault("Server-Load", ""));
            if (hop.answered()) {
                return report(request, variables, hop, new Answer(hop.status(), hop.headers()));
            }
            askingLocation = "location @again {";
            subrequestLocation = "/_ask_again";
            Matcher set = Pattern.compile("set \\$(\\S+) \\$(\\S+);").matcher(block(config, askingLocation));
            while (set.find()) {
                variables.put(set.group(1), variables.get(set.group(2)));
            }
        }
    }

    // Calls the API as a proxying location does and sets the variables that the calling location takes from the answer.
    private int subrequest(
            String location,
            String method,
            Map<String, String> request,
            Map<String, String> variables,
            String askingLocation)
            throws Exception {
        String text = block(config, "location = " + location + " {");
        Matcher proxyPass = PROXY_PASS.matcher(text);
        assertTrue(proxyPass.find(), "no proxy_pass in " + location);
        HttpRequest.Builder b = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + proxyPass.group(1)))
                .method(method, HttpRequest.BodyPublishers.noBody());
        request.forEach(b::header);
        Matcher header = PROXY_SET_HEADER.matcher(text);
        while (header.find()) {
            String value = header.group(2).equals("\"\"")
                    ? ""
                    : variables.get(header.group(2).substring(1));
            // nginx does not send empty headers; the client library sets these two itself.
            if (!value.isEmpty() && !header.group(1).matches("Connection|Content-Length")) {
                b.header(header.group(1), value);
            }
        }
        HttpResponse<String> answer = client.send(b.build(), HttpResponse.BodyHandlers.ofString());
        Matcher authRequestSet = AUTH_REQUEST_SET.matcher(block(config, askingLocation));
        while (authRequestSet.find()) {
            variables.put(
                    authRequestSet.group(1),
                    answer.headers()
                            .firstValue(authRequestSet.group(2).replace('_', '-'))
                            .orElse(""));
        }
        return answer.statusCode();
    }

    private static Answer deniedAnswer(Map<String, String> variables) {
        int status =
                switch (variables.get("do")) {
                    case "refuse" -> 503;
                    case "too_many" -> 429;
                    default -> 502;
                };
        return new Answer(status, Map.of("Retry-After", variables.get("retry_after")));
    }

    // nginx runs post_action after the client has its answer; here it runs before, which the API can't distinguish.
    private Answer report(Map<String, String> request, Map<String, String> variables, Hop hop, Answer answer)
            throws Exception {
        if (hop != null && !variables.get("attempt").isEmpty()) {
            subrequest("/_report", "POST", request, variables, "location = /_report {");
        }
        return answer;
    }

    @Override
    public void close() {
        // The HTTP client holds no resources that outlive the test.
    }
}
