package whinlead.mesh.sidecar;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import whinlead.engine.Request;
import whinlead.engine.ResponseSink;
import whinlead.engine.Timers;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.log.GuardedTask;
import whinlead.mesh.wire.PeerMessage;

/**
 * One request of a client, from its acceptance by a service's balancer to its only response. Runs on the loop's thread.
 */
final class ClientExchange implements ServiceBalancer.ForwardedRequest, ResponseSink<PeerMessage.ForwardResponse> {
    /** {@code Retry-After} for a request whose time ran out before it was sent, in milliseconds. */
    private static final double NOT_RUN_RETRY_MS = 300;
    /** A request counts as timed out from this long before its deadline on, in milliseconds. */
    private static final double DEADLINE_SLACK_MS = 50;

    private static final double MILLIS_PER_SECOND = 1000;

    private final Timers timers;
    private final Consumer<ClientExchange> onEnd;
    private final String method;
    private final String uri;
    private final List<String> headers;
    private final RequestBody body;
    private final PendingResponse response;
    private final RoutingTable.NamedRoute route;
    private final String target;
    private final int rank;
    private final double timeoutMs;
    private final double deadlineMs;
    private final EndpointAttempts attempts;
    private ServiceBalancer.AcceptedRequest acceptedRequest = () -> {};
    private BooleanSupplier otherBalancerAttempt = () -> false;
    private PeerMessage.ForwardResponse lastResponse;

    /**
     * Creates an exchange that is not yet started.
     *
     * @param onEnd called once when the exchange has ended
     * @param tenant the tenant whose request it is, or null
     * @param caller the service of the endpoint beside this sidecar; empty if none is known
     * @param target the service that the request is for
     * @param timeoutMs how long a response is of use from now on
     * @param rank 0 is the highest
     */
    ClientExchange(
            Timers timers,
            Consumer<ClientExchange> onEnd,
            HttpRequest head,
            RequestBody body,
            PendingResponse response,
            RoutingTable.NamedRoute route,
            RoutingTable.NamedTenant tenant,
            String caller,
            String target,
            double timeoutMs,
            int rank) {
        this.timers = timers;
        this.onEnd = onEnd;
        this.method = head.method().name();
        this.uri = head.uri();
        this.headers = ForwardedHeaders.copyForwardable(head.headers(), true);
        this.body = body;
        this.response = response;
        this.route = route;
        this.target = target;
        this.rank = rank;
        this.timeoutMs = timeoutMs;
        this.deadlineMs = timers.nowMs() + timeoutMs;
        this.attempts = new EndpointAttempts(route.route().tries());
        if (tenant != null) {
            headers.add(ForwardedHeaders.TENANT);
            headers.add(tenant.name());
        }
        if (!caller.isEmpty()) {
            headers.add(ForwardedHeaders.CALLER_SERVICE);
            headers.add(caller);
        }
    }

    /**
     * Passes the request to its current balancer. The owner of a request's key may change; so if this balancer can't
     * serve the request and another one is responsible by then, that one gets it.
     *
     * @param sidecarCount how many sidecars there are
     */
    void start(Supplier<ServiceBalancer> balancerSupplier, RequestClasses classes, int sidecarCount) {
        Request request = new Request(
                classes.indexOf(route.isIdempotent(), rank, route.route().targetS() * MILLIS_PER_SECOND),
                -1,
                timeoutMs,
                false,
                1,
                bodyBytes());
        ServiceBalancer balancer = balancerSupplier.get();
        acceptedRequest = balancer.accept(request, sidecarCount, this, this);
        otherBalancerAttempt = () -> {
            ServiceBalancer current = balancerSupplier.get();
            if (current == null || current == balancer) {
                return false;
            }
            double remainingMs = Math.max(1, deadlineMs - timers.nowMs());
            acceptedRequest = current.accept(request.withTimeout(remainingMs), sidecarCount, this, this);
            return true;
        };
        response.onClientDisconnect(() -> {
            onEnd.accept(this);
            acceptedRequest.abandon();
        });
    }

    // Of a body whose end is not known, what has arrived.
    private int bodyBytes() {
        BodyStream stream = body.streamOrNull();
        return stream == null
                ? body.wholeBytes().length
                : (int) Math.min(Integer.MAX_VALUE, Math.max(stream.length(), stream.availableBytes()));
    }

    /** Ends the exchange with the response that is possible now, because the process is about to end. */
    void abort() {
        otherBalancerAttempt = () -> false;
        acceptedRequest.abandon();
        finish(NOT_RUN_RETRY_MS);
    }

    @Override
    public PeerMessage.ForwardRequest request(String endpoint) {
        int remainingMs = (int) Math.max(1, deadlineMs - timers.nowMs());
        return new PeerMessage.ForwardRequest(
                0, method, uri, headers, body.wholeBytes(), remainingMs, target, endpoint, rank);
    }

    @Override
    public BodyStream bodyStream() {
        return body.streamOrNull();
    }

    @Override
    public EndpointAttempts attempts() {
        return attempts;
    }

    @Override
    public boolean isIdempotent() {
        return route.isIdempotent();
    }

    @Override
    public void responseReceived(PeerMessage.ForwardResponse attemptResponse) {
        lastResponse = attemptResponse;
    }

    @Override
    public void served(PeerMessage.ForwardResponse finalResponse) {
        onEnd.accept(this);
        try {
            response.send(
                    HttpResponseStatus.valueOf(finalResponse.status()), finalResponse.headers(), finalResponse.body());
        } catch (IllegalArgumentException e) {
            // Not valid HTTP, though the other sidecar has passed it on.
            GuardedTask.log(e);
            reject(response, HttpResponseStatus.BAD_GATEWAY);
        }
    }

    @Override
    public void refused(double retryAfterMs) {
        if (!movesToOtherBalancer()) {
            finish(retryAfterMs);
        }
    }

    @Override
    public void failed() {
        if (!movesToOtherBalancer()) {
            finish(NOT_RUN_RETRY_MS);
        }
    }

    // At most once, and only if the request has not arrived at any endpoint yet.
    private boolean movesToOtherBalancer() {
        BooleanSupplier attempt = otherBalancerAttempt;
        otherBalancerAttempt = () -> false;
        return !attempts.mayHaveArrived() && lastResponse == null && attempt.getAsBoolean();
    }

    // A 503 promises that the request has not run, whatever its kind; nothing is promised of one that may have run.
    private void finish(double retryAfterMs) {
        if (lastResponse != null) {
            served(lastResponse);
            return;
        }
        onEnd.accept(this);
        if (!attempts.mayHaveRun()) {
            reject(response, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMs);
        } else if (timers.nowMs() >= deadlineMs - DEADLINE_SLACK_MS) {
            reject(response, HttpResponseStatus.GATEWAY_TIMEOUT);
        } else {
            reject(response, HttpResponseStatus.BAD_GATEWAY);
        }
    }

    /** Answers a request with a status only. */
    static void reject(PendingResponse response, HttpResponseStatus status) {
        response.send(status, List.of(), new byte[0]);
    }

    /** Answers a request that has not run, with a {@code Retry-After} header. */
    static void reject(PendingResponse response, HttpResponseStatus status, double retryAfterMs) {
        String seconds = String.format(Locale.ROOT, "%.3f", Math.max(1, retryAfterMs) / MILLIS_PER_SECOND);
        response.send(status, List.of("Retry-After", seconds), new byte[0]);
    }
}
