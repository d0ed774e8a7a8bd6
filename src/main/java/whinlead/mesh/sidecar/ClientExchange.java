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
import whinlead.mesh.wire.PeerMessage;

/** One request of a client's, from its acceptance by a service's balancer to its one response. On the loop's thread. */
final class ClientExchange implements ServiceBalancer.ForwardedRequest, ResponseSink<PeerMessage.ForwardResponse> {
    /** When to come back after a request's time was up and it had not gone out, in milliseconds. */
    private static final double NOT_RUN_RETRY_MS = 300;
    /** So shortly before its end a request's time counts as up, in milliseconds. */
    private static final double DEADLINE_SLACK_MS = 50;

    private static final double MILLIS_IN_SECOND = 1000;

    private final Timers timers;
    private final Consumer<ClientExchange> onEnd;
    private final String method;
    private final String uri;
    private final List<String> headers;
    private final byte[] body;
    private final ClientConnection.PendingResponse response;
    private final RoutingTable.NamedRoute route;
    private final String target;
    private final int rank;
    private final double timeoutMs;
    private final double endAt;
    private final EndpointAttempts attempts;
    private ServiceBalancer.AcceptedRequest accepted = () -> {};
    private BooleanSupplier beginElsewhere = () -> false;
    private PeerMessage.ForwardResponse last;

    /**
     * An exchange that has not begun.
     *
     * @param onEnd told once it has ended
     * @param tenant whose request it is, or null
     * @param caller the service of the endpoint beside this sidecar; empty where none is known
     * @param target the service that it is for
     * @param timeoutMs how long an answer is of use from now on
     * @param rank 0 is the highest
     */
    ClientExchange(
            Timers timers,
            Consumer<ClientExchange> onEnd,
            HttpRequest head,
            byte[] body,
            ClientConnection.PendingResponse response,
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
        this.headers = ForwardedHeaders.onward(head.headers(), true);
        this.body = body;
        this.response = response;
        this.route = route;
        this.target = target;
        this.rank = rank;
        this.timeoutMs = timeoutMs;
        this.endAt = timers.now() + timeoutMs;
        this.attempts = new EndpointAttempts(route.route().tries());
        if (tenant != null) {
            headers.add(ForwardedHeaders.TENANT);
            headers.add(tenant.name());
        }
        if (!caller.isEmpty()) {
            headers.add(ForwardedHeaders.CALLER);
            headers.add(caller);
        }
    }

    /**
     * Hands it to the balancer that is its own now, at one of so many sidecars. Where another one is by the time that
     * this one can't serve it, as the owner of a request's key may change, that one has it then.
     */
    void begin(Supplier<ServiceBalancer> balancers, RequestClasses classes, int sidecars) {
        Request request = new Request(
                classes.of(route.isIdempotent(), rank, route.route().targetS() * MILLIS_IN_SECOND),
                -1,
                timeoutMs,
                false,
                1,
                body.length);
        ServiceBalancer balancer = balancers.get();
        accepted = balancer.accept(request, sidecars, this, this);
        beginElsewhere = () -> {
            ServiceBalancer other = balancers.get();
            if (other == null || other == balancer) {
                return false;
            }
            double leftMs = Math.max(1, endAt - timers.now());
            accepted = other.accept(request.within(leftMs), sidecars, this, this);
            return true;
        };
        response.onGone(() -> {
            onEnd.accept(this);
            accepted.abandon();
        });
    }

    /** Ends it with what can be said of it now: the process is about to end. */
    void breakOff() {
        beginElsewhere = () -> false;
        accepted.abandon();
        end(NOT_RUN_RETRY_MS);
    }

    @Override
    public PeerMessage.ForwardRequest request(String endpoint) {
        int leftMs = (int) Math.max(1, endAt - timers.now());
        return new PeerMessage.ForwardRequest(0, method, uri, headers, body, leftMs, target, endpoint, rank);
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
    public void answered(PeerMessage.ForwardResponse answer) {
        last = answer;
    }

    @Override
    public void served(PeerMessage.ForwardResponse answer) {
        onEnd.accept(this);
        response.send(HttpResponseStatus.valueOf(answer.status()), answer.headers(), answer.body());
    }

    @Override
    public void refused(double retryAfter) {
        if (!goesElsewhere()) {
            end(retryAfter);
        }
    }

    @Override
    public void failed() {
        if (!goesElsewhere()) {
            end(NOT_RUN_RETRY_MS);
        }
    }

    // Once, and only if it has arrived nowhere yet.
    private boolean goesElsewhere() {
        BooleanSupplier elsewhere = beginElsewhere;
        beginElsewhere = () -> false;
        return !attempts.mayHaveArrived() && last == null && elsewhere.getAsBoolean();
    }

    // A 503 says that it has not run, whatever it is; of what may have run nothing is promised.
    private void end(double retryAfterMs) {
        if (last != null) {
            served(last);
            return;
        }
        onEnd.accept(this);
        if (!attempts.mayHaveRun()) {
            refuse(response, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMs);
        } else if (timers.now() >= endAt - DEADLINE_SLACK_MS) {
            refuse(response, HttpResponseStatus.GATEWAY_TIMEOUT);
        } else {
            refuse(response, HttpResponseStatus.BAD_GATEWAY);
        }
    }

    /** Answers a request with a status alone. */
    static void refuse(ClientConnection.PendingResponse response, HttpResponseStatus status) {
        response.send(status, List.of(), new byte[0]);
    }

    /** Answers a request that has not run, and tells when to come back. */
    static void refuse(ClientConnection.PendingResponse response, HttpResponseStatus status, double retryAfterMs) {
        String seconds = String.format(Locale.ROOT, "%.3f", Math.max(1, retryAfterMs) / MILLIS_IN_SECOND);
        response.send(status, List.of("Retry-After", seconds), new byte[0]);
    }
}
