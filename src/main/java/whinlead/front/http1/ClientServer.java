package whinlead.front.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import whinlead.Contract;
import whinlead.admit.Admission;
import whinlead.admit.Budget;
import whinlead.admit.Gate;
import whinlead.engine.Clock;
import whinlead.engine.Engine;
import whinlead.engine.Request;
import whinlead.engine.ResponseSink;
import whinlead.engine.Transport;
import whinlead.http.EndpointResponse;
import whinlead.http.HttpCall;

/** Listens for the application: how many connections it may have and for how long, readiness and the drain. */
public final class ClientServer {
    /** A request comes whole within this time, or is answered 408: bad clients are owed a word within 3 s. */
    private static final double MAX_RECEIVE_MS = 2500;
    /** A client that does not read its answer for so long is gone. */
    private static final double MAX_WRITE_MS = 2500;
    /** A connection without an open request is closed from then on, when there are many. */
    private static final double IDLE_LONG_MS = 2000;
    /** A request that crosses the closing of its connection is lost; a client asks again sooner or later. */
    private static final double MIN_IDLE_MS = 20;
    /** Of the connections allowed, those that may be new and silent while known ones are closed for them. */
    private static final double UNKNOWN_PART = 0.25;
    /** A good request has come whole long before; one that has not makes room for a new connection. */
    private static final double MIN_SLOW_MS = 1000;
    /** An idle connection is closed after a minute in any case. */
    private static final double MAX_IDLE_MS = 60_000;
    /** The share of the connections allowed from which idle ones are many. */
    private static final int MANY_SHARE = 4;

    private static final long SWEEP_MS = 200;

    private final EventLoop loop;
    private final Clock clock;
    private final Engine engine;
    private final Function<HttpCall, Transport<EndpointResponse>> transport;
    private final RequestCheck check;
    private final double longestDeadline;
    private final int most;
    private final Budget budget;
    private final int places;
    private final Gate<ClientConnection> gate;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final Set<String> openIds = new HashSet<>();
    private Channel listener;
    private boolean ready;
    private Runnable drained;
    private boolean draining;
    private boolean failing;
    private boolean accepting = true;

    /**
     * A server for one application, whose clients are limited by nothing but their connections in all.
     *
     * @param transport carries requests to endpoints
     * @param most connections from the application at once; beyond that, room is made
     */
    public ClientServer(
            EventLoop loop,
            Clock clock,
            Engine engine,
            Function<HttpCall, Transport<EndpointResponse>> transport,
            Contract.Settings settings,
            int most) {
        this(
                loop,
                clock,
                engine,
                transport,
                settings,
                Gate.Limits.none(),
                Budget.fixed(Budget.Purpose.CLIENTS, most),
                0);
    }

    /**
     * A server whose connections are limited by client, too.
     *
     * @param budget says how many connections there may be at once
     * @param places requests that clients may have open at once, beyond which none of theirs gets here; 0 if nothing is
     *     known of it
     */
    public ClientServer(
            EventLoop loop,
            Clock clock,
            Engine engine,
            Function<HttpCall, Transport<EndpointResponse>> transport,
            Contract.Settings settings,
            Gate.Limits clients,
            Budget budget,
            int places) {
        this.loop = loop;
        this.clock = clock;
        this.engine = engine;
        this.transport = transport;
        this.check = new RequestCheck(settings);
        this.longestDeadline = settings.classes().stream()
                .mapToDouble(Contract.RequestClass::deadline)
                .max()
                .orElse(0);
        this.budget = budget;
        this.places = places;
        this.most = budget.limit(Budget.Purpose.CLIENTS);
        this.gate =
                new Gate<>(clients, new Admission.Limits(UNKNOWN_PART, IDLE_LONG_MS, MIN_IDLE_MS, MIN_SLOW_MS), most);
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Listens on this address only. Until it is ready, whoever connects waits: no list is known yet. */
    public ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // On the loop and before the first connection, which needs it.
                        listener = channel;
                        channel.config().setAutoRead(ready);
                        channel.pipeline().addLast(new NoDescriptor<>(gate, clock, ClientConnection::close));
                    }
                })
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new ClientConnection(ClientServer.this, clock).addTo(channel.pipeline());
                    }
                })
                .bind(address);
    }

    /** From now on it accepts, and {@code /health/ready} answers 200. On the loop. */
    public void ready() {
        ready = true;
        if (listener != null) {
            listener.config().setAutoRead(true);
        }
    }

    boolean serving() {
        return ready && drained == null;
    }

    boolean draining() {
        return draining;
    }

    /** True once whatever comes is failed at once, since a kill may come before its answer. */
    boolean failing() {
        return failing;
    }

    RequestCheck check() {
        return check;
    }

    /** Has the engine take a request. */
    Engine.PendingRequest<EndpointResponse> take(Request ask, HttpCall http, ResponseSink<EndpointResponse> caller) {
        double room = places == 0 ? 1 : Math.max(0, 1 - (double) openIds.size() / places);
        return engine.accept(ask.withFreeShareAndBody(room, http.body().length), transport.apply(http), caller);
    }

    /** Notes a request; false if one with this id is open already. */
    boolean begun(String id) {
        return openIds.add(id);
    }

    void ended(String id) {
        openIds.remove(id);
    }

    /** A connection has come, or come into a phase. */
    void entered(ClientConnection connection, ClientConnection.Phase phase, double since) {
        gate.phaseChanged(
                connection,
                switch (phase) {
                    case SILENT -> Admission.Phase.SILENT;
                    case IDLE -> Admission.Phase.IDLE;
                    case RECEIVING -> Admission.Phase.RECEIVING;
                    case OPEN, ANSWERING, ENDING -> Admission.Phase.BUSY;
                },
                since);
    }

    /**
     * One has come: beyond those allowed it makes one close. Guards against running out of descriptors, and against
     * silent connections that starve good clients, as they would if accepting stopped.
     */
    void opened(ClientConnection connection, SocketAddress from) {
        connections.add(connection);
        gate.places(budget.limit(Budget.Purpose.CLIENTS));
        long before = gate.closed(Gate.CloseReason.FULL);
        byte[] address = ((InetSocketAddress) from).getAddress().getAddress();
        ClientConnection close = gate.connectionOpened(connection, address, clock.nowMs());
        if (gate.closed(Gate.CloseReason.FULL) > before) {
            budget.recordRefusal(Budget.Purpose.CLIENTS);
        }
        budget.setUsed(Budget.Purpose.CLIENTS, gate.open());
        if (close != null) {
            close.close();
        }
    }

    /** A request has come that is taken, or had to be turned away. */
    void asked(ClientConnection connection, boolean well) {
        gate.requestReceived(connection, well, clock.nowMs());
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        gate.connectionClosed(connection, clock.nowMs());
        budget.setUsed(Budget.Purpose.CLIENTS, gate.open());
        finishDrain();
    }

    private void sweep() {
        double now = clock.nowMs();
        for (ClientConnection c : List.copyOf(connections)) {
            double age = now - c.since();
            switch (c.phase()) {
                case SILENT -> closeIf(c, age > MAX_RECEIVE_MS);
                case IDLE -> closeIf(c, age > MAX_IDLE_MS);
                case RECEIVING -> {
                    if (age > MAX_RECEIVE_MS) {
                        c.tooSlow();
                    }
                }
                case ANSWERING, ENDING -> closeIf(c, age > MAX_WRITE_MS);
                case OPEN -> {}
                default -> throw new IllegalStateException("no phase of a connection: " + c.phase());
            }
        }
        // Guards against clients that ask once and stay: the room they take is wanted by those that ask
        // again.
        ClientConnection idle = gate.longestIdle(now, IDLE_LONG_MS);
        while (connections.size() > most / MANY_SHARE && idle != null) {
            idle.close();
            idle = gate.longestIdle(now, IDLE_LONG_MS);
        }
    }

    private static void closeIf(ClientConnection connection, boolean due) {
        if (due) {
            connection.close();
        }
    }

    /**
     * Stops in the order that loses nothing: new connections are taken for as long as they may still come, and those
     * that clients have are served on, for to them a closed one is an outage until the next start. Then idle ones close
     * and every answer closes its own; what is still held is failed while it can be.
     */
    public void drain(Runnable whenDrained) {
        if (listener == null) {
            // It has begun nothing: nobody could come yet.
            whenDrained.run();
            return;
        }
        drained = whenDrained;
        DrainTimes times = DrainTimes.of(longestDeadline);
        loop.schedule(
                () -> {
                    accepting = false;
                    listener.close();
                    finishDrain();
                },
                (long) times.acceptUntil(),
                TimeUnit.MILLISECONDS);
        loop.schedule(
                () -> {
                    draining = true;
                    closeAll(ClientConnection.Phase.IDLE);
                    closeAll(ClientConnection.Phase.SILENT);
                    finishDrain();
                },
                (long) times.closeIdle(),
                TimeUnit.MILLISECONDS);
        loop.schedule(
                () -> {
                    failing = true;
                    engine.failAll();
                },
                (long) times.failAll(),
                TimeUnit.MILLISECONDS);
    }

    private void closeAll(ClientConnection.Phase phase) {
        for (ClientConnection c : List.copyOf(connections)) {
            closeIf(c, c.phase() == phase);
        }
    }

    private void finishDrain() {
        boolean done = draining ? connections.stream().noneMatch(ClientConnection::busy) : connections.isEmpty();
        if (drained != null && !accepting && done) {
            Runnable r = drained;
            drained = null;
            r.run();
        }
    }
}
