package whinlead.plan;

import whinlead.Contract;
import whinlead.engine.ResponseSink;

/** One try of a client, who may try again after a refusal or a failure. For one thread. */
final class ClientTry implements ResponseSink<SimulatedFront> {
    private final SimulationContext context;
    private final SimulatedSidecar sidecar;
    private final Arrival arrival;
    /** 1 for the client's first try, and so on. */
    private final int number;

    private final Contract.RequestClass requestClass;
    private final double askedAt;

    private ClientTry(SimulationContext context, SimulatedSidecar sidecar, Arrival arrival, int number) {
        this.context = context;
        this.sidecar = sidecar;
        this.arrival = arrival;
        this.number = number;
        this.requestClass = context.fleet().settings().classes().get(arrival.kind());
        this.askedAt = context.calendar().now();
    }

    /** A client's first try begins, at this sidecar as all its others will. */
    static void begin(SimulationContext context, SimulatedSidecar sidecar, Arrival arrival) {
        begin(context, sidecar, arrival, 1);
    }

    private static void begin(SimulationContext context, SimulatedSidecar sidecar, Arrival arrival, int number) {
        ClientTry begun = new ClientTry(context, sidecar, arrival, number);
        context.tally().asked(begun.askedAt, begun.requestClass.worth(), number == 1);
        sidecar.receive(begun);
    }

    Arrival arrival() {
        return arrival;
    }

    /** Whether the request is a repeat, as far as the client says. */
    boolean repeat() {
        return arrival.repeat() || number > 1;
    }

    /** Milliseconds until its deadline. */
    double remaining() {
        return askedAt + requestClass.deadline() - context.calendar().now();
    }

    @Override
    public void served(SimulatedFront by) {
        sidecar.release();
        boolean withinAim = context.calendar().now() - askedAt <= requestClass.aim();
        double worth = requestClass.worth() * (withinAim ? 1 : requestClass.lateWorth());
        context.tally().served(askedAt, withinAim, worth);
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
        if (number >= clients.tries()) {
            return;
        }
        boolean honoured = retryAfter > 0 && context.clients().nextDouble() < clients.honour();
        double wait = honoured ? retryAfter : backOff(clients);
        context.calendar().after(wait, () -> begin(context, sidecar, arrival, number + 1));
    }

    // Exponential, with jitter.
    private double backOff(Fleet.Clients clients) {
        return clients.backOff()
                * (1L << (number - 1))
                * (0.5 + 0.5 * context.clients().nextDouble());
    }
}
