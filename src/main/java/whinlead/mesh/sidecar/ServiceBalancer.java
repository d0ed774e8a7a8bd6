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
 * One service as this sidecar sees it: an engine with a module of its own, fed with the endpoints that are listed and
 * in reach. On its loop's thread.
 */
public final class ServiceBalancer {
    /** The module may try so many endpoints; what truly arrives is bounded by the route and the budget. */
    private static final int ATTEMPTS = 4;

    private static final double MAX_RETRY_AFTER = 2000;
    /** A cold endpoint is taken to do this part of what a warm one does, for so long. */
    private static final double COLD_SHARE = 0.5;

    private static final double COLD_MS = 3000;
    private static final double FALL_MULTIPLE = 3;
    /** The size of an endpoint in another zone, where those of one zone come first. */
    private static final double FAR = 0.05;

    private final Engine engine;
    private final RequestForwarder forwarder;
    private final RetryBudget retryBudget;
    private final String near;
    private final Timers timers;
    private final Map<String, String> nodes = new HashMap<>();
    private final Map<String, Double> started = new HashMap<>();
    private long seq;
    /** What {@link #updateOwner} was told last. */
    private EndpointRecord lastOwner;

    private boolean ownerReachable;

    /**
     * A service.
     *
     * @param near the zone whose endpoints come first in the walk, or null where all are alike
     * @param retryBudgets the service's budget of further tries
     */
    ServiceBalancer(
            Timers timers,
            RequestClasses classes,
            NodeSettings nodeSettings,
            int sidecars,
            long seed,
            RequestForwarder forwarder,
            String near,
            RetryBudget retryBudget) {
        this.timers = timers;
        this.forwarder = forwarder;
        this.near = near;
        this.retryBudget = retryBudget;
        Contract.Settings settings =
                settings(classes, nodeSettings.clauses().bounds().drainS(), sidecars);
        this.engine = new Engine(
                timers,
                settings,
                out -> new TicklessModule(out, watched -> new Decide(settings, seed, watched)),
                list -> {},
                Event.MODULE::log);
        engine.start(() -> {}, null);
    }

    /** What the module of a service starts from, at one of so many sidecars. */
    public static Contract.Settings settings(RequestClasses classes, double drainS, int sidecars) {
        return new Contract.Settings(
                classes.all(),
                List.of(),
                1,
                new Contract.Limits(ATTEMPTS, false, false, false, false, true, MAX_RETRY_AFTER, 1),
                new Contract.Obligations(drainS * 1000, FALL_MULTIPLE, COLD_MS, COLD_SHARE, COLD_MS, COLD_MS),
                Contract.Reporting.WITH_ANSWERS,
                false,
                Math.max(1, sidecars),
                0);
    }

    /**
     * The one endpoint that owns the keys, or null: it gets their requests as long as it has them, also if it drains.
     */
    void updateOwner(EndpointRecord owner) {
        boolean reachable = owner != null && forwarder.isReachable(owner.node());
        // Of many owners few change at a time.
        if (seq == 0 || reachable != ownerReachable || !Objects.equals(owner, lastOwner)) {
            lastOwner = owner;
            ownerReachable = reachable;
            list(owner == null ? List.of() : List.of(owner), true);
        }
    }

    /** The endpoints as listed now. */
    void update(List<EndpointRecord> records) {
        list(records, false);
    }

    private void list(List<EndpointRecord> records, boolean ownsKeys) {
        nodes.clear();
        List<EndpointList.Entry> entries = new ArrayList<>();
        Map<String, Double> times = new HashMap<>();
        for (EndpointRecord l : records) {
            boolean up = (ownsKeys || l.acceptsRequests()) && forwarder.isReachable(l.node());
            double now = timers.now();
            double start = started.getOrDefault(l.endpoint(), l.warmMs() > 0 ? now - (COLD_MS - l.warmMs()) : 0);
            times.put(l.endpoint(), start);
            nodes.put(l.endpoint(), l.node());
            entries.add(new EndpointList.Entry(
                    new Contract.Server(
                            l.endpoint(),
                            up ? Contract.Standing.UP : Contract.Standing.DRAINING,
                            near == null || near.equals(l.zone()) ? 1 : FAR,
                            l.zone(),
                            -1,
                            start),
                    null));
        }
        started.clear();
        started.putAll(times);
        engine.list(Contract.ListKind.FULL, new EndpointList(++seq, true, entries));
    }

    /** A request of a client's, as it is to be sent on. */
    interface ForwardedRequest {
        /** What is sent, with what is left of its time. */
        PeerMessage.ForwardRequest request(String endpoint);

        /** Its attempts so far. */
        EndpointAttempts attempts();

        /** Whether it may run more than once. */
        boolean isIdempotent();

        /** An endpoint answered, whatever the answer. */
        void answered(PeerMessage.ForwardResponse answer);
    }

    /** A request that was taken. */
    interface AcceptedRequest {
        /** Its client has left: it is sent nowhere any more, and what is under way of it is cancelled. */
        void abandon();
    }

    /** Takes a request; the caller is told its end once, unless it is abandoned. */
    AcceptedRequest accept(
            Request request,
            int sidecars,
            ForwardedRequest forwarded,
            ResponseSink<PeerMessage.ForwardResponse> caller) {
        retryBudget.requestReceived(sidecars);
        AttemptTransport transport = new AttemptTransport(forwarded);
        Engine.Held<PeerMessage.ForwardResponse> held = engine.take(request, transport, caller);
        return () -> {
            held.abandon();
            transport.cancel();
        };
    }

    private final class AttemptTransport implements Transport<PeerMessage.ForwardResponse> {
        private final ForwardedRequest forwarded;
        private final EndpointAttempts attempts;
        /** The attempt that is out, of which there is one at most; and who hears of its end. */
        private RequestForwarder.Sent outstanding;

        private Outcomes<PeerMessage.ForwardResponse> outcomes;

        private AttemptTransport(ForwardedRequest forwarded) {
            this.forwarded = forwarded;
            this.attempts = forwarded.attempts();
        }

        @Override
        public Sending send(
                String endpoint, int attempt, double within, Outcomes<PeerMessage.ForwardResponse> listener) {
            String node = nodes.get(endpoint);
            if (node == null || attempts.mayHaveArrived() && !(attempts.mayBeSent() && retryBudget.trySpend())) {
                listener.ended(Contract.Outcome.NEVER_SENT, null, null);
                return () -> false;
            }
            attempts.sent();
            outcomes = listener;
            RequestForwarder.Sent sent = forwarder.send(
                    node,
                    forwarded.request(endpoint),
                    forwarded.isIdempotent(),
                    () -> attempts.mayBeSent() && retryBudget.canSpend(),
                    message -> received(message, listener));
            outstanding = sent;
            return () -> {
                outstanding = null;
                boolean written = sent.giveUp();
                if (!written) {
                    attempts.neverWritten();
                }
                return written;
            };
        }

        private void cancel() {
            if (outstanding != null) {
                outstanding.cancel();
                outstanding = null;
                outcomes.ended(Contract.Outcome.CANCELLED, null, null);
            }
        }

        private void received(PeerMessage message, Outcomes<PeerMessage.ForwardResponse> listener) {
            outstanding = null;
            Contract.Report report = null;
            if (message instanceof PeerMessage.ForwardResponse d) {
                forwarded.answered(d);
                report = report(d.util(), d.perSecond());
            } else if (message instanceof PeerMessage.ForwardFailure r) {
                attempts.returned(r.why());
                report = report(r.util(), r.perSecond());
            }
            listener.ended(
                    RequestForwarder.outcome(message),
                    message instanceof PeerMessage.ForwardResponse d ? d : null,
                    report);
        }

        private Contract.Report report(double util, double perSecond) {
            // Where one zone comes first, sizes are by zone and not by what endpoints can do.
            return perSecond > 0 && near == null
                    ? new Contract.Report(Double.NaN, Double.NaN, util, Double.NaN, perSecond, 0)
                    : null;
        }

        @Override
        public boolean connected(String endpoint) {
            String node = nodes.get(endpoint);
            return node == null || forwarder.isConnected(node);
        }
    }
}
