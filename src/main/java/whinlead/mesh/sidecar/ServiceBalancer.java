package whinlead.mesh.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import whinlead.Contract;
import whinlead.decide.Decide;
import whinlead.engine.Engine;
import whinlead.engine.Request;
import whinlead.engine.ResponseSink;
import whinlead.engine.Timers;
import whinlead.engine.Transport;
import whinlead.membership.EndpointList;
import whinlead.mesh.log.Event;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.wire.PeerMessage;

/**
 * The balancer of one service: an engine with its own decision module, which gets the listed and reachable endpoints.
 * Runs on its loop's thread.
 */
public final class ServiceBalancer {
    /** Number of endpoints that the module may try; actual arrivals are limited by the route and the retry budget. */
    private static final int MAX_ATTEMPTS = 4;

    private static final double MAX_RETRY_AFTER_MS = 2000;
    /** Capacity of a cold endpoint relative to a warm one, assumed for {@link #COLD_MS}. */
    private static final double COLD_CAPACITY_FRACTION = 0.5;

    private static final double COLD_MS = 3000;
    private static final double FALL_MULTIPLE = 3;
    /** Size given to endpoints in other zones if one zone is preferred. */
    private static final double OTHER_ZONE_SIZE = 0.05;

    private final Engine engine;
    private final RequestForwarder forwarder;
    private final RetryBudget retryBudget;
    private final String preferredZone;
    private final Timers timers;
    private final Map<String, String> nodesByEndpoint = new HashMap<>();
    private final Map<String, Double> startTimesMs = new HashMap<>();
    private long listSequence;
    /** The last argument of {@link #updateOwner}. */
    private EndpointRecord lastOwner;

    private boolean ownerReachable;

    /**
     * Creates the balancer of a service.
     *
     * @param preferredZone the zone whose endpoints are tried first, or null if all zones are alike
     * @param retryBudget the service's retry budget
     */
    ServiceBalancer(
            Timers timers,
            RequestClasses classes,
            NodeSettings nodeSettings,
            int sidecarCount,
            long seed,
            RequestForwarder forwarder,
            String preferredZone,
            RetryBudget retryBudget) {
        this.timers = timers;
        this.forwarder = forwarder;
        this.preferredZone = preferredZone;
        this.retryBudget = retryBudget;
        Contract.Settings settings =
                settings(classes, nodeSettings.clauses().bounds().drainS(), sidecarCount);
        this.engine = new Engine(
                timers,
                settings,
                actions -> new TicklessModule(actions, watched -> new Decide(settings, seed, watched)),
                list -> {},
                Event.DECISION_MODULE::log);
        engine.start(() -> {}, null);
    }

    /** The settings of a service's decision module, at one of {@code sidecarCount} sidecars. */
    public static Contract.Settings settings(RequestClasses classes, double drainS, int sidecarCount) {
        return new Contract.Settings(
                classes.all(),
                List.of(),
                1,
                new Contract.Limits(MAX_ATTEMPTS, false, false, false, false, true, MAX_RETRY_AFTER_MS, 1),
                new Contract.Obligations(
                        drainS * 1000, FALL_MULTIPLE, COLD_MS, COLD_CAPACITY_FRACTION, COLD_MS, COLD_MS),
                Contract.Reporting.WITH_ANSWERS,
                false,
                Math.max(1, sidecarCount),
                0);
    }

    /**
     * Sets the one endpoint that owns the keys, or null. It gets their requests as long as it owns them, also while it
     * drains.
     */
    void updateOwner(EndpointRecord owner) {
        boolean reachable = owner != null && forwarder.isReachable(owner.node());
        // Only a few of many owners change at a time; unchanged ones are skipped.
        if (listSequence == 0 || reachable != ownerReachable || !Objects.equals(owner, lastOwner)) {
            lastOwner = owner;
            ownerReachable = reachable;
            applyList(owner == null ? List.of() : List.of(owner), true);
        }
    }

    /** Sets the listed endpoints. */
    void update(List<EndpointRecord> records) {
        applyList(records, false);
    }

    private void applyList(List<EndpointRecord> records, boolean ownsKeys) {
        nodesByEndpoint.clear();
        List<EndpointList.Entry> entries = new ArrayList<>();
        Map<String, Double> listedStartTimesMs = new HashMap<>();
        for (EndpointRecord endpointRecord : records) {
            boolean available =
                    (ownsKeys || endpointRecord.acceptsRequests()) && forwarder.isReachable(endpointRecord.node());
            double nowMs = timers.nowMs();
            double startMs = startTimesMs.getOrDefault(
                    endpointRecord.endpoint(),
                    endpointRecord.warmMs() > 0 ? nowMs - (COLD_MS - endpointRecord.warmMs()) : 0);
            listedStartTimesMs.put(endpointRecord.endpoint(), startMs);
            nodesByEndpoint.put(endpointRecord.endpoint(), endpointRecord.node());
            entries.add(new EndpointList.Entry(
                    new Contract.Server(
                            endpointRecord.endpoint(),
                            available ? Contract.ServerState.UP : Contract.ServerState.DRAINING,
                            preferredZone == null || preferredZone.equals(endpointRecord.zone()) ? 1 : OTHER_ZONE_SIZE,
                            endpointRecord.zone(),
                            -1,
                            startMs),
                    null));
        }
        startTimesMs.clear();
        startTimesMs.putAll(listedStartTimesMs);
        engine.listReceived(Contract.ListKind.FULL, new EndpointList(++listSequence, true, entries));
    }

    /** Ends the balancer once no request is pending; no request may be accepted afterwards. */
    void close() {
        engine.stop();
    }

    /** A client's request that is to be forwarded. */
    interface ForwardedRequest {
        /** The message to send, with the remaining time. */
        PeerMessage.ForwardRequest request(String endpoint);

        /** The body if it is passed on while it arrives; null if the message contains it. */
        BodyStream bodyStream();

        /** The request's attempts so far. */
        EndpointAttempts attempts();

        /** Whether the request may run more than once. */
        boolean isIdempotent();

        /** Called with each response of an endpoint, whatever its status. */
        void responseReceived(PeerMessage.ForwardResponse answer);
    }

    /** A request that the balancer has accepted. */
    interface AcceptedRequest {
        /** Handles that the client has disconnected: no further attempt is sent, and the running one is cancelled. */
        void abandon();
    }

    /** Accepts a request; the sink is notified of its end once, unless the request is abandoned. */
    AcceptedRequest accept(
            Request request,
            int sidecarCount,
            ForwardedRequest forwarded,
            ResponseSink<PeerMessage.ForwardResponse> responseSink) {
        retryBudget.requestReceived(sidecarCount);
        AttemptTransport transport = new AttemptTransport(forwarded);
        Engine.PendingRequest<PeerMessage.ForwardResponse> engineRequest =
                engine.accept(request, transport, responseSink);
        return () -> {
            engineRequest.abandon();
            transport.cancel();
        };
    }

    private final class AttemptTransport implements Transport<PeerMessage.ForwardResponse> {
        private final ForwardedRequest forwarded;
        private final EndpointAttempts attempts;
        /** The running attempt, of which there is at most one; its listener follows. */
        private RequestForwarder.SentRequest outstanding;

        private OutcomeListener<PeerMessage.ForwardResponse> outcomeListener;

        private AttemptTransport(ForwardedRequest forwarded) {
            this.forwarded = forwarded;
            this.attempts = forwarded.attempts();
        }

        @Override
        public AttemptHandle send(
                String endpoint, int attempt, double withinMs, OutcomeListener<PeerMessage.ForwardResponse> listener) {
            String node = nodesByEndpoint.get(endpoint);
            if (node == null
                    || isBodyTaken()
                    || attempts.mayHaveArrived() && !(attempts.mayArriveAgain() && retryBudget.trySpend())) {
                listener.ended(Contract.Outcome.NEVER_SENT, null, null);
                return () -> false;
            }
            attempts.attemptSent();
            outcomeListener = listener;
            RequestForwarder.SentRequest sentRequest = forwarder.send(
                    node,
                    forwarded.request(endpoint),
                    forwarded.bodyStream(),
                    forwarded.isIdempotent(),
                    () -> !isBodyTaken() && attempts.mayArriveAgain() && retryBudget.canSpend(),
                    message -> received(message, listener));
            outstanding = sentRequest;
            return () -> {
                outstanding = null;
                boolean written = sentRequest.abort();
                if (!written) {
                    attempts.attemptNotWritten();
                }
                return written;
            };
        }

        // What an earlier attempt took of a streamed body is gone.
        private boolean isBodyTaken() {
            return forwarded.bodyStream() != null && forwarded.bodyStream().isTaken();
        }

        private void cancel() {
            if (outstanding != null) {
                outstanding.cancel();
                outstanding = null;
                outcomeListener.ended(Contract.Outcome.CANCELLED, null, null);
            }
        }

        private void received(PeerMessage message, OutcomeListener<PeerMessage.ForwardResponse> listener) {
            outstanding = null;
            Contract.Report report = null;
            if (message instanceof PeerMessage.ForwardResponse response) {
                forwarded.responseReceived(response);
                report = report(response.util(), response.perSecond());
            } else if (message instanceof PeerMessage.ForwardFailure failure) {
                attempts.attemptFailed(failure.reason());
                report = report(failure.util(), failure.perSecond());
            }
            listener.ended(
                    RequestForwarder.outcome(message),
                    message instanceof PeerMessage.ForwardResponse response ? response : null,
                    report);
        }

        private Contract.Report report(double utilization, double perSecond) {
            // With a preferred zone, sizes express the zone and not the capacity of the endpoints.
            return perSecond > 0 && preferredZone == null
                    ? new Contract.Report(Double.NaN, Double.NaN, utilization, Double.NaN, perSecond, 0)
                    : null;
        }

        @Override
        public boolean connected(String endpoint) {
            String node = nodesByEndpoint.get(endpoint);
            return node == null || forwarder.isConnected(node);
        }
    }
}
