package whinlead.plan;

import java.util.Collection;
import java.util.Map;
import whinlead.Contract;
import whinlead.decide.Decide;
import whinlead.engine.Engine;
import whinlead.engine.Request;
import whinlead.engine.Timers;
import whinlead.engine.Transport;
import whinlead.membership.EndpointList;

/**
 * A sidecar under simulated time: the real engine with the real decisions, its connections, its processor and its
 * places. For one thread.
 */
final class SimulatedSidecar implements Timers {
    private final SimulationContext context;
    private final Calendar calendar;
    private final Fleet.Sidecar limits;
    private final Map<String, SimulatedFront> fronts;
    private final ConnectionPool connections;
    private final Engine engine;
    /** Tries that are at this sidecar. */
    private int held;

    private double busyUntil;
    private double processorTime;

    /**
     * One that is yet to be told of any front.
     *
     * @param fronts by id, all that it may be told of
     * @param ordinal among the sidecars
     * @param seed of its decisions
     */
    SimulatedSidecar(SimulationContext context, Map<String, SimulatedFront> fronts, int ordinal, long seed) {
        this.context = context;
        this.calendar = context.calendar();
        this.limits = context.fleet().sidecar();
        this.fronts = fronts;
        this.connections = new ConnectionPool(limits, calendar);
        Contract.Settings shared = context.fleet().settings();
        Contract.Settings settings = new Contract.Settings(
                shared.classes(),
                shared.tenants(),
                shared.overShareWorth(),
                shared.limits(),
                shared.obligations(),
                shared.reporting(),
                false,
                shared.sidecars(),
                ordinal);
        engine = new Engine(this, settings, out -> new Decide(settings, seed, out), list -> {}, line -> {});
    }

    /** It starts, and is told of all fronts. */
    void start() {
        // What the list tells later is told by the changes.
        engine.start(() -> {}, null);
        engine.list(Contract.ListKind.FULL, list(fronts.values(), true));
    }

    /** It is told which fronts have changed. */
    void tellChanges(Collection<SimulatedFront> changed) {
        engine.list(Contract.ListKind.CHANGES, list(changed, false));
    }

    private static EndpointList list(Collection<SimulatedFront> fronts, boolean complete) {
        return new EndpointList(
                0,
                complete,
                fronts.stream()
                        .map(front -> new EndpointList.Entry(front.entry(), null))
                        .toList());
    }

    @Override
    public double now() {
        return calendar.now();
    }

    // Its own lateness is what its processor still has to do.
    @Override
    public Timer after(double millis, Runnable task) {
        return calendar.at(Math.max(calendar.now() + millis, busyUntil), task);
    }

    /** A client's try comes in. */
    void receive(ClientTry received) {
        held++;
        if (held > limits.places()) {
            context.tally().sidecarFull();
            received.failed();
            return;
        }
        // Its processor takes requests in turn.
        double work = limits.work();
        busyUntil = Math.max(busyUntil, calendar.now()) + work;
        processorTime += work;
        calendar.at(busyUntil, () -> decide(received));
    }

    private void decide(ClientTry received) {
        double remaining = received.remaining();
        if (remaining <= 0) {
            received.failed();
            return;
        }
        double freeShare = 1 - (double) held / limits.places();
        Arrival arrival = received.arrival();
        engine.take(
                new Request(arrival.kind(), arrival.tenant(), remaining, received.repeat(), freeShare, 0),
                new AttemptTransport(arrival.kind()),
                received);
    }

    /** A try has ended, and its place is free. */
    void release() {
        held--;
    }

    /** A front is lost, and with it the connections to it. */
    void frontLost(SimulatedFront front) {
        connections.drop(front);
    }

    /** For how many milliseconds its processor was busy, or is to be. */
    double processorTime() {
        return processorTime;
    }

    /** Sends the attempts of one try. */
    private final class AttemptTransport implements Transport<SimulatedFront> {
        private final int requestClass;

        private AttemptTransport(int requestClass) {
            this.requestClass = requestClass;
        }

        @Override
        public Sending send(String endpoint, int attempt, double within, Outcomes<SimulatedFront> listener) {
            return SimulatedSidecar.this.send(requestClass, fronts.get(endpoint), listener);
        }

        @Override
        public boolean connected(String endpoint) {
            return connections.hasIdle(fronts.get(endpoint));
        }
    }

    private SimulatedAttempt send(int requestClass, SimulatedFront front, Transport.Outcomes<SimulatedFront> listener) {
        SimulatedAttempt attempt = new SimulatedAttempt(context, connections, front, listener);
        context.tally().attempt();
        if (front.lost()) {
            attempt.failToConnect(front.silent() ? limits.connectTimeout() : 2 * front.latency());
        } else if (connections.hasIdle(front)) {
            connections.takeIdle(front);
            attempt.send(requestClass, true);
        } else if (connections.open(front)) {
            context.tally().handshake(context.fleet().front().handshake());
            attempt.send(requestClass, false);
        } else {
            context.tally().connectFailed();
            attempt.failToConnect(2 * front.latency());
        }
        return attempt;
    }
}
