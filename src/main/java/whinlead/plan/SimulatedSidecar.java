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
 * A sidecar under simulated time: the real engine and decision module with modelled connections, processor and client
 * places. Not thread-safe.
 */
final class SimulatedSidecar implements Timers {
    private final SimulationContext context;
    private final Calendar calendar;
    private final Fleet.Sidecar limits;
    private final Map<String, SimulatedFront> fronts;
    private final ConnectionPool connections;
    private final Engine engine;
    /** Number of open tries at this sidecar. */
    private int openTries;

    private double busyUntilMs;
    private double processorTimeMs;

    /**
     * Creates a sidecar that has not received an endpoint list yet.
     *
     * @param fronts all fronts, by id
     * @param ordinal index of this sidecar
     * @param seed seed of the decision module
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

    /** Starts the engine with the full endpoint list. */
    void start() {
        // Later updates of the list arrive through receiveChanges.
        engine.start(() -> {}, null);
        engine.listReceived(Contract.ListKind.FULL, list(fronts.values(), true));
    }

    /** Passes changed endpoint list entries to the engine. */
    void receiveChanges(Collection<SimulatedFront> changed) {
        engine.listReceived(Contract.ListKind.CHANGES, list(changed, false));
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
    public double nowMs() {
        return calendar.nowMs();
    }

    // Timers are delayed until the processor has finished its queued work.
    @Override
    public TimerHandle schedule(double millis, Runnable task) {
        return calendar.scheduleAt(Math.max(calendar.nowMs() + millis, busyUntilMs), task);
    }

    /** Receives a client's try. */
    void receive(ClientTry clientTry) {
        openTries++;
        if (openTries > limits.places()) {
            context.tally().sidecarFull();
            clientTry.failed();
            return;
        }
        // Its processor takes requests in turn.
        double work = limits.work();
        busyUntilMs = Math.max(busyUntilMs, calendar.nowMs()) + work;
        processorTimeMs += work;
        calendar.scheduleAt(busyUntilMs, () -> decide(clientTry));
    }

    private void decide(ClientTry received) {
        double remaining = received.remainingMs();
        if (remaining <= 0) {
            received.failed();
            return;
        }
        double freeShare = 1 - (double) openTries / limits.places();
        Arrival arrival = received.arrival();
        engine.accept(
                new Request(arrival.kind(), arrival.tenant(), remaining, received.repeat(), freeShare, 0),
                new AttemptTransport(arrival.kind()),
                received);
    }

    /** Frees the place of a try that has ended. */
    void release() {
        openTries--;
    }

    /** Drops the connections to a lost front. */
    void frontLost(SimulatedFront front) {
        connections.drop(front);
    }

    /** Processor time in milliseconds, including work that is queued. */
    double processorTimeMs() {
        return processorTimeMs;
    }

    /** Sends the attempts of one try. */
    private final class AttemptTransport implements Transport<SimulatedFront> {
        private final int requestClass;

        private AttemptTransport(int requestClass) {
            this.requestClass = requestClass;
        }

        @Override
        public AttemptHandle send(
                String endpoint, int attempt, double within, OutcomeListener<SimulatedFront> listener) {
            return SimulatedSidecar.this.send(requestClass, fronts.get(endpoint), listener);
        }

        @Override
        public boolean connected(String endpoint) {
            return connections.hasIdle(fronts.get(endpoint));
        }
    }

    private SimulatedAttempt send(
            int requestClass, SimulatedFront front, Transport.OutcomeListener<SimulatedFront> listener) {
        SimulatedAttempt attempt = new SimulatedAttempt(context, connections, front, listener);
        context.tally().attemptSent();
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
