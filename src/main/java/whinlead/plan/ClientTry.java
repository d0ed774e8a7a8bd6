package whinlead.plan;

import whinlead.Contract;
import whinlead.engine.ResponseSink;

/** One try of a client, which may retry after a refusal or a failure. Not thread-safe. */
final class ClientTry implements ResponseSink<SimulatedFront> {
    private final SimulationContext context;
    private final SimulatedSidecar sidecar;
    private final Arrival arrival;
    /** Number of this try, from 1. */
    private final int tryNumber;

    private final Contract.RequestClass requestClass;
    private final double sentAtMs;

    private ClientTry(SimulationContext context, SimulatedSidecar sidecar, Arrival arrival, int tryNumber) {
        this.context = context;
        this.sidecar = sidecar;
        this.arrival = arrival;
        this.tryNumber = tryNumber;
        this.requestClass = context.fleet().settings().classes().get(arrival.kind());
        this.sentAtMs = context.calendar().nowMs();
    }

    /** Starts a client's first try at this sidecar; its retries go to the same sidecar. */
    static void begin(SimulationContext context, SimulatedSidecar sidecar, Arrival arrival) {
        begin(context, sidecar, arrival, 1);
    }

    private static void begin(SimulationContext context, SimulatedSidecar sidecar, Arrival arrival, int tryNumber) {
        ClientTry clientTry = new ClientTry(context, sidecar, arrival, tryNumber);
        context.tally().offered(clientTry.sentAtMs, clientTry.requestClass.worth(), tryNumber == 1);
        sidecar.receive(clientTry);
    }

    Arrival arrival() {
        return arrival;
    }

    /** Whether the client marks the request as a retry. */
    boolean repeat() {
        return arrival.repeat() || tryNumber > 1;
    }

    /** Milliseconds left until the deadline. */
    double remainingMs() {
        return sentAtMs + requestClass.deadline() - context.calendar().nowMs();
    }

    @Override
    public void served(SimulatedFront front) {
        sidecar.release();
        boolean withinAim = context.calendar().nowMs() - sentAtMs <= requestClass.latencyTarget();
        double worth = requestClass.worth() * (withinAim ? 1 : requestClass.lateWorth());
        context.tally().served(sentAtMs, withinAim, worth);
    }

    @Override
    public void refused(double retryAfter) {
        sidecar.release();
        context.tally().refused();
        retry(retryAfter);
    }

    @Override
    public void failed() {
        sidecar.release();
        context.tally().failed();
        retry(0);
    }

    private void retry(double retryAfter) {
        Fleet.Clients clients = context.fleet().clients();
        if (tryNumber >= clients.tries()) {
            return;
        }
        boolean retryAfterHonoured = retryAfter > 0 && context.clientRandom().nextDouble() < clients.honourShare();
        double waitMs = retryAfterHonoured ? retryAfter : backOffMs(clients);
        context.calendar().schedule(waitMs, () -> begin(context, sidecar, arrival, tryNumber + 1));
    }

    // Exponential back-off with jitter.
    private double backOffMs(Fleet.Clients clients) {
        return clients.backOff()
                * (1L << (tryNumber - 1))
                * (0.5 + 0.5 * context.clientRandom().nextDouble());
    }
}
