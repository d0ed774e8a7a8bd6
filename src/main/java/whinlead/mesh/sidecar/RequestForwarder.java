package whinlead.mesh.sidecar;

import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import whinlead.Contract;
import whinlead.engine.Clock;
import whinlead.engine.Timers;
import whinlead.engine.Transport;
import whinlead.loop.LoopTimers;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.ReconnectingConnection;

/**
 * Forwards requests to the sidecars beside the endpoints, over one connection to each sidecar that is used. Each
 * request is written at most once, on one connection, under a stream number that this process never reuses; a response
 * is matched only to the request with its number. Runs on its loop's thread.
 */
public final class RequestForwarder {
    private static final double MICROS_PER_MILLI = 1000;

    /** Accepts requests for the endpoint beside this sidecar. */
    public interface LocalEndpoint {
        /**
         * Delivers a request and reports its result once.
         *
         * @param body the body if it is passed on while it arrives; null if the request contains it
         */
        void deliver(PeerMessage.ForwardRequest request, BodyStream body, Consumer<PeerMessage> resultListener);

        /** Cancels a delivered request whose client has disconnected. */
        default void cancel(PeerMessage.Cancel cancel) {}
    }

    /** A request that was sent. */
    public interface SentRequest extends Transport.AttemptHandle {
        /**
         * Cancels the request because its client has disconnected. If it is not written yet it never will be; otherwise
         * the other sidecar is notified, and stops the request at its endpoint if it is repeatable.
         */
        void cancel();
    }

    private final Timers timers;
    private final Executor deferred;
    private final String localNode;
    private final LocalEndpoint localEndpoint;
    private final BiFunction<String, PeerPath.Listener, PeerPath> pathFactory;
    private final Runnable reachabilityListener;
    private final Map<String, PeerRoute> routesByNode = new HashMap<>();
    private long lastStream;

    /**
     * Creates the forwarder of the sidecar with this node.
     *
     * @param reachabilityListener called when a node becomes reachable or unreachable
     */
    RequestForwarder(
            EventLoop loop,
            String localNode,
            LocalEndpoint localEndpoint,
            PeerMessage hello,
            Function<String, SocketAddress> addresses,
            Runnable reachabilityListener) {
        this(
                new LoopTimers(loop, new Clock()),
                loop,
                localNode,
                localEndpoint,
                (node, pathListener) -> new ConnectionPath(loop, node, addresses.apply(node), hello, pathListener),
                reachabilityListener);
    }

    /**
     * Creates a forwarder that uses these timers.
     *
     * @param deferred runs a task on this thread, after the current one
     */
    public RequestForwarder(
            Timers timers,
            Executor deferred,
            String localNode,
            LocalEndpoint localEndpoint,
            BiFunction<String, PeerPath.Listener, PeerPath> pathFactory,
            Runnable reachabilityListener) {
        this.timers = timers;
        this.deferred = deferred;
        this.localNode = localNode;
        this.localEndpoint = localEndpoint;
        this.pathFactory = pathFactory;
        this.reachabilityListener = reachabilityListener;
    }

    /** A request that waits for its path, and the time from which its response is of no use. */
    private record WaitingRequest(PeerMessage.ForwardRequest request, double deadlineMs) {}

    private final class PeerRoute implements PeerPath.Listener {
        private final PeerPath path;
        private final Map<Long, PendingForward> pending = new LinkedHashMap<>();
        /** Requests that wait for the connection to be established. */
        private final Map<Long, WaitingRequest> waiting = new LinkedHashMap<>();
        /** Whether the other side has sent a message on this connection, so that its version is certain. */
        private boolean isVersionKnown;

        private PeerRoute(String node) {
            this.path = pathFactory.apply(node, this);
        }

        @Override
        public void stateChanged(ReconnectingConnection.State newState, ReconnectingConnection.State previousState) {
            if (newState == ReconnectingConnection.State.UP) {
                writeWaiting();
            } else if (newState == ReconnectingConnection.State.SUSPECT) {
                // Responses may still arrive, but a repeatable request is better served by another endpoint.
                fail(PeerMessage.FailureReason.BROKEN, true);
            } else if (newState == ReconnectingConnection.State.DOWN
                    || newState == ReconnectingConnection.State.CLOSED) {
                isVersionKnown = false;
                fail(PeerMessage.FailureReason.BROKEN, false);
            }
            if (newState != ReconnectingConnection.State.DIALLING && newState != ReconnectingConnection.State.CLOSED) {
                reachabilityListener.run();
            }
        }

        private void writeWaiting() {
            List<WaitingRequest> requests = new ArrayList<>(waiting.values());
            waiting.clear();
            requests.forEach(this::write);
        }

        private void fail(PeerMessage.FailureReason reason, boolean onSilence) {
            for (Map.Entry<Long, PendingForward> entry : new ArrayList<>(pending.entrySet())) {
                PendingForward pendingForward = entry.getValue();
                if (!onSilence || pendingForward.failsOnSilence()) {
                    pending.remove(entry.getKey());
                    waiting.remove(entry.getKey());
                    pendingForward.end(new PeerMessage.ForwardFailure(
                            entry.getKey(),
                            pendingForward.isWritten() ? reason : PeerMessage.FailureReason.UNREACHED,
                            0,
                            0));
                }
            }
        }

        // A request's time runs while it waits; after its deadline the caller has given up, and it must not run.
        private void write(WaitingRequest waitingRequest) {
            long stream = waitingRequest.request.stream();
            PendingForward pendingForward = pending.get(stream);
            if (pendingForward == null || pendingForward.hasEnded()) {
                pending.remove(stream);
                return;
            }
            BodyStream body = pendingForward.body();
            if (body != null && !isVersionKnown) {
                waiting.put(stream, waitingRequest);
                return;
            }
            if (body != null && path.version() < ProtocolVersion.BODY_PARTS) {
                endUnwritten(stream, pendingForward, PeerMessage.FailureReason.UNSUPPORTED);
                return;
            }
            double remainingMs = waitingRequest.deadlineMs - timers.nowMs();
            pendingForward.setWritten(remainingMs >= 1);
            PeerMessage.ForwardRequest request =
                    withStream(stream, waitingRequest.request, (int) Math.round(remainingMs), timestampMicros());
            PeerMessage message = body == null ? request : new PeerMessage.ForwardRequestHead(request, body.length());
            if (!pendingForward.isWritten() || !path.send(message)) {
                endUnwritten(stream, pendingForward, PeerMessage.FailureReason.UNREACHED);
            }
        }

        private void endUnwritten(long stream, PendingForward pendingForward, PeerMessage.FailureReason reason) {
            pendingForward.setWritten(false);
            pending.remove(stream);
            pendingForward.end(new PeerMessage.ForwardFailure(stream, reason, 0, 0));
        }

        private void creditReceived(PeerMessage.BodyCredit credit) {
            PendingForward pendingForward = pending.get(credit.stream());
            if (pendingForward != null) {
                pendingForward.creditGranted(
                        credit.bytes(),
                        part -> path.send(new PeerMessage.BodyPart(credit.stream(), part.bytes(), part.last())));
            }
        }

        @Override
        public boolean hasPendingRequests() {
            return !pending.isEmpty();
        }

        @Override
        public long timestampMicros() {
            return (long) (timers.nowMs() * MICROS_PER_MILLI);
        }

        @Override
        public void messageReceived(PeerMessage message) {
            if (!isVersionKnown) {
                isVersionKnown = true;
                writeWaiting();
            }
            if (message instanceof PeerMessage.BodyCredit credit) {
                creditReceived(credit);
                return;
            }
            long stream = message instanceof PeerMessage.ForwardResponse response
                    ? response.stream()
                    : message instanceof PeerMessage.ForwardFailure failure ? failure.stream() : -1;
            PendingForward pendingForward = pending.remove(stream);
            if (pendingForward != null) {
                pendingForward.end(PeerResponseValidator.validated(message));
            }
        }
    }

    /** Whether a request for this node can be sent now, or is at least worth an attempt. */
    boolean isReachable(String node) {
        PeerRoute route = routesByNode.get(node);
        return node.equals(localNode)
                || route == null
                || route.path.state() == ReconnectingConnection.State.UP
                || route.path.state() == ReconnectingConnection.State.DIALLING && !route.waiting.isEmpty();
    }

    /** Whether a request would be sent without waiting for a connection. */
    boolean isConnected(String node) {
        PeerRoute route = routesByNode.get(node);
        return node.equals(localNode) || route != null && route.path.state() == ReconnectingConnection.State.UP;
    }

    private PeerRoute route(String node) {
        return routesByNode.computeIfAbsent(node, n -> {
            PeerRoute route = new PeerRoute(n);
            // Not at once: the events of the dial must not modify the map during computeIfAbsent.
            deferred.execute(route.path::dial);
            return route;
        });
    }

    /** Closes the paths to nodes that have gone. */
    void closeRemovedRoutes(EndpointRegistry registry) {
        for (String node : List.copyOf(routesByNode.keySet())) {
            EndpointRecord endpointRecord = registry.find(node);
            if ((endpointRecord == null || endpointRecord.phase() == EndpointRecord.Phase.GONE)
                    && routesByNode.get(node).pending.isEmpty()) {
                routesByNode.remove(node).path.close();
            }
        }
    }

    /** Sends a request that may go to another endpoint whenever it is repeatable. */
    public SentRequest send(
            String node, PeerMessage.ForwardRequest draft, boolean repeatable, Consumer<PeerMessage> resultListener) {
        return send(node, draft, repeatable, () -> true, resultListener);
    }

    /**
     * Sends a request at most once.
     *
     * @param draft the request, with any stream number
     * @param repeatable whether the request may run again
     * @param otherEndpointAllowed whether another endpoint may be tried, so that the request need not wait for a silent
     *     path; evaluated when the path becomes silent
     * @param resultListener gets the result once, unless the request is given up before
     */
    public SentRequest send(
            String node,
            PeerMessage.ForwardRequest draft,
            boolean repeatable,
            BooleanSupplier otherEndpointAllowed,
            Consumer<PeerMessage> resultListener) {
        return send(node, draft, null, repeatable, otherEndpointAllowed, resultListener);
    }

    /**
     * Sends a request at most once.
     *
     * @param draft the request, with any stream number
     * @param body the body if it is passed on while it arrives, of which nothing was taken; null if the draft contains
     *     it
     * @param repeatable whether the request may run again
     * @param otherEndpointAllowed whether another endpoint may be tried, so that the request need not wait for a silent
     *     path; evaluated when the path becomes silent
     * @param resultListener gets the result once, unless the request is given up before
     */
    SentRequest send(
            String node,
            PeerMessage.ForwardRequest draft,
            BodyStream body,
            boolean repeatable,
            BooleanSupplier otherEndpointAllowed,
            Consumer<PeerMessage> resultListener) {
        PendingForward pendingForward = new PendingForward(resultListener, repeatable, otherEndpointAllowed, body);
        long stream = ++lastStream;
        PeerMessage.Cancel cancel = new PeerMessage.Cancel(stream, repeatable);
        if (node.equals(localNode)) {
            pendingForward.setWritten(true);
            pendingForward.onCancel(() -> localEndpoint.cancel(cancel));
            localEndpoint.deliver(
                    withStream(stream, draft, draft.leftMs(), PeerMessage.UNSTAMPED), body, pendingForward::end);
            return pendingForward;
        }
        PeerRoute route = route(node);
        route.pending.put(stream, pendingForward);
        pendingForward.onRemoval(() -> {
            route.pending.remove(stream);
            route.waiting.remove(stream);
        });
        pendingForward.onCancel(() -> route.path.send(cancel));
        WaitingRequest waitingRequest = new WaitingRequest(
                withStream(stream, draft, draft.leftMs(), PeerMessage.UNSTAMPED), timers.nowMs() + draft.leftMs());
        if (route.path.state() == ReconnectingConnection.State.UP) {
            route.write(waitingRequest);
        } else if (route.path.state() == ReconnectingConnection.State.SUSPECT) {
            route.pending.remove(stream);
            deferred.execute(() -> pendingForward.end(
                    new PeerMessage.ForwardFailure(stream, PeerMessage.FailureReason.UNREACHED, 0, 0)));
        } else {
            route.waiting.put(stream, waitingRequest);
        }
        return pendingForward;
    }

    private static PeerMessage.ForwardRequest withStream(
            long stream, PeerMessage.ForwardRequest draft, int leftMs, long sentAtMicros) {
        return new PeerMessage.ForwardRequest(
                stream,
                draft.method(),
                draft.uri(),
                draft.headers(),
                draft.body(),
                leftMs,
                draft.target(),
                draft.endpoint(),
                draft.rank(),
                sentAtMicros);
    }

    /** The outcome that the decision module gets for a message. */
    public static Contract.Outcome outcome(PeerMessage message) {
        if (message instanceof PeerMessage.ForwardResponse response) {
            return response.status() >= 500 ? Contract.Outcome.ERROR : Contract.Outcome.SERVED;
        }
        return switch (((PeerMessage.ForwardFailure) message).reason()) {
            case FULL, TURNED_AWAY -> Contract.Outcome.FULL;
            case MOVED, UNREACHED -> Contract.Outcome.CONNECT_FAILED;
            // Says nothing about how well the endpoint serves.
            case NOT_OWNER, UNSUPPORTED -> Contract.Outcome.NEVER_SENT;
            case BROKEN -> Contract.Outcome.RESET;
            case LATE -> Contract.Outcome.TIMED_OUT;
        };
    }
}
