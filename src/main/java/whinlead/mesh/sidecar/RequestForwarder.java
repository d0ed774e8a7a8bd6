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
import whinlead.mesh.wire.ReconnectingConnection;

/**
 * The ways to the sidecars beside the endpoints: a connection to each that was used, and the requests out on it. Each
 * request is written once at most, on one connection, under a number that this process gives once; what comes back
 * counts for the request of that number and no other. On its loop's thread.
 */
public final class RequestForwarder {
    private static final double MICROS = 1000;

    /** Takes requests for the endpoint beside this sidecar. */
    public interface LocalEndpoint {
        /** Delivers it, and tells what became of it once. */
        void deliver(PeerMessage.ForwardRequest request, Consumer<PeerMessage> done);

        /** The client of a request that was delivered has left. */
        default void cancel(PeerMessage.Cancel cancel) {}
    }

    /** A request that was sent. */
    public interface Sent extends Transport.Sending {
        /**
         * Gives it up because its client has left: what has not been written never is, and the other sidecar is told of
         * what was. One that may be repeated is then ended at its endpoint.
         */
        void cancel();
    }

    private final Timers timers;
    private final Executor soon;
    private final String self;
    private final LocalEndpoint local;
    private final BiFunction<String, PeerPath.Listener, PeerPath> paths;
    private final Runnable changed;
    private final Map<String, PeerRoute> routes = new HashMap<>();
    private long streams;

    /**
     * Ways of the sidecar whose node this is.
     *
     * @param changed told when a node has come into reach or gone out of it
     */
    RequestForwarder(
            EventLoop loop,
            String self,
            LocalEndpoint local,
            PeerMessage hello,
            Function<String, SocketAddress> addresses,
            Runnable changed) {
        this(
                new LoopTimers(loop, new Clock()),
                loop,
                self,
                local,
                (node, ear) -> new ConnectionPath(loop, node, addresses.apply(node), hello, ear),
                changed);
    }

    /**
     * Ways by these timers.
     *
     * @param soon runs a task on this thread, after the one that runs
     */
    public RequestForwarder(
            Timers timers,
            Executor soon,
            String self,
            LocalEndpoint local,
            BiFunction<String, PeerPath.Listener, PeerPath> paths,
            Runnable changed) {
        this.timers = timers;
        this.soon = soon;
        this.self = self;
        this.local = local;
        this.paths = paths;
        this.changed = changed;
    }

    /** One request's route out. */
    static final class PendingForward implements Sent {
        private final Consumer<PeerMessage> done;
        private final boolean repeatable;
        private final BooleanSupplier elsewhere;
        private Runnable forget = () -> {};
        /** Tells the other sidecar that its client has left. */
        private Runnable tellCancelled = () -> {};

        private boolean written;
        private boolean over;

        private PendingForward(Consumer<PeerMessage> done, boolean repeatable, BooleanSupplier elsewhere) {
            this.done = done;
            this.repeatable = repeatable;
            this.elsewhere = elsewhere;
        }

        private void end(PeerMessage message) {
            if (!over) {
                over = true;
                done.accept(message);
            }
        }

        // Whether it needn't wait for a silent path: silence ends nothing that runs nowhere else.
        private boolean leavesSilence() {
            return repeatable && (!written || elsewhere.getAsBoolean());
        }

        @Override
        public boolean giveUp() {
            over = true;
            if (!written) {
                forget.run();
            }
            return written;
        }

        @Override
        public void cancel() {
            if (!over && giveUp()) {
                forget.run();
                tellCancelled.run();
            }
        }
    }

    /** A request that waits for its path, and until when its answer is of use. */
    private record Waiting(PeerMessage.ForwardRequest request, double until) {}

    private final class PeerRoute implements PeerPath.Listener {
        private final PeerPath path;
        private final Map<Long, PendingForward> out = new LinkedHashMap<>();
        /** What waits for the connection's first moments. */
        private final Map<Long, Waiting> waiting = new LinkedHashMap<>();

        private PeerRoute(String node) {
            this.path = paths.apply(node, this);
        }

        @Override
        public void changed(ReconnectingConnection.State now, ReconnectingConnection.State before) {
            if (now == ReconnectingConnection.State.UP) {
                List<Waiting> requests = new ArrayList<>(waiting.values());
                waiting.clear();
                requests.forEach(this::write);
            } else if (now == ReconnectingConnection.State.SUSPECT) {
                // The answers may still come; but what may run again had better be served elsewhere.
                fail(PeerMessage.FailureReason.BROKEN, true);
            } else if (now == ReconnectingConnection.State.DOWN || now == ReconnectingConnection.State.CLOSED) {
                fail(PeerMessage.FailureReason.BROKEN, false);
            }
            if (now != ReconnectingConnection.State.DIALLING && now != ReconnectingConnection.State.CLOSED) {
                changed.run();
            }
        }

        private void fail(PeerMessage.FailureReason why, boolean silent) {
            for (Map.Entry<Long, PendingForward> e : new ArrayList<>(out.entrySet())) {
                PendingForward o = e.getValue();
                if (!silent || o.leavesSilence()) {
                    out.remove(e.getKey());
                    waiting.remove(e.getKey());
                    o.end(new PeerMessage.ForwardFailure(
                            e.getKey(), o.written ? why : PeerMessage.FailureReason.UNREACHED, 0, 0));
                }
            }
        }

        // Its time runs while it waits; once that is up nobody waits for it any more, and it must not run.
        private void write(Waiting w) {
            long stream = w.request.stream();
            PendingForward o = out.get(stream);
            if (o == null || o.over) {
                out.remove(stream);
                return;
            }
            double left = w.until - timers.now();
            o.written = left >= 1;
            if (!o.written || !path.send(numbered(stream, w.request, (int) Math.round(left), stamp()))) {
                o.written = false;
                out.remove(stream);
                o.end(new PeerMessage.ForwardFailure(stream, PeerMessage.FailureReason.UNREACHED, 0, 0));
            }
        }

        @Override
        public boolean hasPendingRequests() {
            return !out.isEmpty();
        }

        @Override
        public long stamp() {
            return (long) (timers.now() * MICROS);
        }

        @Override
        public void message(PeerMessage message) {
            long stream = message instanceof PeerMessage.ForwardResponse d
                    ? d.stream()
                    : message instanceof PeerMessage.ForwardFailure r ? r.stream() : -1;
            PendingForward o = out.remove(stream);
            if (o != null) {
                o.end(message);
            }
        }
    }

    /** Whether a request for this node can be sent now, or at least is worth a try. */
    boolean isReachable(String node) {
        PeerRoute route = routes.get(node);
        return node.equals(self)
                || route == null
                || route.path.state() == ReconnectingConnection.State.UP
                || route.path.state() == ReconnectingConnection.State.DIALLING && !route.waiting.isEmpty();
    }

    /** Whether it would go out without waiting for a connection. */
    boolean isConnected(String node) {
        PeerRoute route = routes.get(node);
        return node.equals(self) || route != null && route.path.state() == ReconnectingConnection.State.UP;
    }

    private PeerRoute route(String node) {
        return routes.computeIfAbsent(node, n -> {
            PeerRoute route = new PeerRoute(n);
            // Not at once: what it tells must not reach the map while it changes.
            soon.execute(route.path::dial);
            return route;
        });
    }

    /** Ends the ways to nodes that have gone. */
    void retain(EndpointRegistry endpointRegistry) {
        for (String node : List.copyOf(routes.keySet())) {
            EndpointRecord l = endpointRegistry.find(node);
            if ((l == null || l.phase() == EndpointRecord.Phase.GONE)
                    && routes.get(node).out.isEmpty()) {
                routes.remove(node).path.close();
            }
        }
    }

    /** Sends a request that may go elsewhere whenever it may run again. */
    public Sent send(String node, PeerMessage.ForwardRequest draft, boolean repeatable, Consumer<PeerMessage> done) {
        return send(node, draft, repeatable, () -> true, done);
    }

    /**
     * Sends a request, at most once; {@code done} gets what became of it, once, unless it is given up before.
     *
     * @param draft with any number
     * @param repeatable whether it may run again
     * @param elsewhere whether another endpoint may be asked, so that it needn't wait for a path that is silent; asked
     *     once the path is
     */
    public Sent send(
            String node,
            PeerMessage.ForwardRequest draft,
            boolean repeatable,
            BooleanSupplier elsewhere,
            Consumer<PeerMessage> done) {
        PendingForward o = new PendingForward(done, repeatable, elsewhere);
        long stream = ++streams;
        PeerMessage.Cancel cancel = new PeerMessage.Cancel(stream, repeatable);
        if (node.equals(self)) {
            o.written = true;
            o.tellCancelled = () -> local.cancel(cancel);
            local.deliver(numbered(stream, draft, draft.leftMs(), PeerMessage.UNSTAMPED), o::end);
            return o;
        }
        PeerRoute route = route(node);
        route.out.put(stream, o);
        o.forget = () -> {
            route.out.remove(stream);
            route.waiting.remove(stream);
        };
        o.tellCancelled = () -> route.path.send(cancel);
        Waiting w = new Waiting(
                numbered(stream, draft, draft.leftMs(), PeerMessage.UNSTAMPED), timers.now() + draft.leftMs());
        if (route.path.state() == ReconnectingConnection.State.UP) {
            route.write(w);
        } else if (route.path.state() == ReconnectingConnection.State.SUSPECT) {
            route.out.remove(stream);
            soon.execute(
                    () -> o.end(new PeerMessage.ForwardFailure(stream, PeerMessage.FailureReason.UNREACHED, 0, 0)));
        } else {
            route.waiting.put(stream, w);
        }
        return o;
    }

    private static PeerMessage.ForwardRequest numbered(
            long stream, PeerMessage.ForwardRequest p, int leftMs, long sentAt) {
        return new PeerMessage.ForwardRequest(
                stream, p.method(), p.uri(), p.headers(), p.body(), leftMs, p.target(), p.endpoint(), p.rank(), sentAt);
    }

    /** What the module is told of a message. */
    public static Contract.Outcome outcome(PeerMessage message) {
        if (message instanceof PeerMessage.ForwardResponse d) {
            return d.status() >= 500 ? Contract.Outcome.ERROR : Contract.Outcome.SERVED;
        }
        return switch (((PeerMessage.ForwardFailure) message).why()) {
            case FULL, TURNED_AWAY -> Contract.Outcome.FULL;
            case MOVED, UNREACHED -> Contract.Outcome.CONNECT_FAILED;
            // Tells nothing of the endpoint but whose keys it has.
            case NOT_OWNER -> Contract.Outcome.NEVER_SENT;
            case BROKEN -> Contract.Outcome.RESET;
            case LATE -> Contract.Outcome.TIMED_OUT;
        };
    }
}
