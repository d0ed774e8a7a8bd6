package whinlead.testbed.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.function.Consumer;

/** A proxy's calls to one sidecar over HTTP. Callbacks run on the fleet's event loop. */
final class ConsultClient {
    private final FleetContext context;
    private final String baseUrl;

    /** Calls the sidecar at this host. */
    ConsultClient(FleetContext context, String host) {
        this.context = context;
        this.baseUrl = "http://" + host + ":" + FleetFiles.CONSULT + "/v1/";
    }

    /**
     * Asks what to do with a request.
     *
     * @param remainingMs until the client gives up
     * @param timeoutMs of this call
     * @param onAnswer called with the answer
     * @param onFailure called with the cause if there is none
     */
    void ask(
            String requestId,
            RequestKind kind,
            long remainingMs,
            double timeoutMs,
            Consumer<ConsultAnswer> onAnswer,
            Consumer<String> onFailure) {
        ObjectNode body = context.mapper()
                .createObjectNode()
                .put("id", requestId)
                .put("class", kind.className())
                .put("timeout_ms", remainingMs);
        post("ask", body, timeoutMs, onAnswer, onFailure);
    }

    /**
     * Reports how an attempt ended, and hears what to do next.
     *
     * @param sent the answer that had the attempt sent
     * @param timeoutMs of this call
     * @param onAnswer called with the answer
     * @param onFailure called with the cause if there is none
     */
    void report(
            String requestId,
            ConsultAnswer sent,
            String outcome,
            double timeoutMs,
            Consumer<ConsultAnswer> onAnswer,
            Consumer<String> onFailure) {
        ObjectNode body = context.mapper()
                .createObjectNode()
                .put("id", requestId)
                .put("attempt", sent.attempt())
                .put("endpoint", sent.endpoint())
                .put("outcome", outcome);
        post("outcome", body, timeoutMs, onAnswer, onFailure);
    }

    private void post(
            String operation,
            ObjectNode body,
            double timeoutMs,
            Consumer<ConsultAnswer> onAnswer,
            Consumer<String> onFailure) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(baseUrl + operation))
                .timeout(Duration.ofMillis((long) timeoutMs))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                .build();
        context.http()
                .sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .whenCompleteAsync(
                        (response, error) -> {
                            if (error == null) {
                                parse(response.body(), onAnswer, onFailure);
                            } else {
                                onFailure.accept(error.toString());
                            }
                        },
                        context.loop());
    }

    private void parse(String body, Consumer<ConsultAnswer> onAnswer, Consumer<String> onFailure) {
        ConsultAnswer answer;
        try {
            answer = ConsultAnswer.of(context.mapper().readTree(body));
        } catch (IOException e) {
            context.ledger().broken("an answer that is none", body);
            onFailure.accept(e.toString());
            return;
        }
        onAnswer.accept(answer);
    }
}
