package whinlead.plan;

import whinlead.Contract;
import whinlead.engine.Transport;

/** One attempt on its way from a sidecar to a front and back, on a connection. For one thread. */
final class SimulatedAttempt implements Transport.Sending {
    private final SimulationContext context;
    private final ConnectionPool connections;
    private final SimulatedFront front;
    private final Transport.Outcomes<SimulatedFront> listener;
    /** Of the front, when this attempt set out. */
    private final int incarnation;

    private FrontModel.Visit visit;
    private boolean connected;
    private boolean written;
    private boolean over;

    /** One that is yet to be sent. */
    SimulatedAttempt(
            SimulationContext context,
            ConnectionPool connections,
            SimulatedFront front,
            Transport.Outcomes<SimulatedFront> listener) {
        this.context = context;
        this.connections = connections;
        this.front = front;
        this.listener = listener;
        this.incarnation = front.incarnation();
    }

    /** Sends it on a connection, which is an idle one or is opened for it. */
    void send(int requestClass, boolean reused) {
        connected = true;
        written = reused;
        Fleet.Work work = context.fleet().work().get(requestClass);
        double handshake = reused ? 0 : context.fleet().front().handshake();
        double coreWork = work.core().draw(context.work()) + handshake;
        double awayTime = work.away().draw(context.work());
        context.tally().frontWork(coreWork);
        double latency = front.latency();
        // A new connection is a way there and back before the request.
        after(reused ? 0 : 2 * latency, () -> {
            written = true;
            after(latency, () -> arrive(coreWork, awayTime));
        });
    }

    /** It fails to connect, which is known after so many milliseconds. */
    void failToConnect(double millis) {
        after(millis, () -> end(Contract.Outcome.CONNECT_FAILED));
    }

    private void arrive(double coreWork, double awayTime) {
        if (over || frontGone()) {
            return;
        }
        FrontModel.Visit arrived = front.cores().arrives(coreWork, end -> leave(end, awayTime));
        visit = front.cores().holds(arrived) ? arrived : null;
    }

    private void leave(FrontModel.End end, double awayTime) {
        switch (end) {
            case DONE -> {
                front.answered();
                after(awayTime, () -> answer(Contract.Outcome.SERVED));
            }
            case FULL -> {
                context.tally().frontFull();
                answer(Contract.Outcome.FULL);
            }
            case LOST -> frontGone();
            default -> throw new IllegalStateException("no such end: " + end);
        }
    }

    // Whether its front is not the one that it set out for; one that says so resets the connection.
    private boolean frontGone() {
        boolean gone = front.incarnation() != incarnation || front.lost();
        if (gone && !front.silent()) {
            after(front.latency(), () -> end(Contract.Outcome.RESET));
        }
        return gone;
    }

    private void answer(Contract.Outcome outcome) {
        visit = null;
        if (!frontGone()) {
            after(front.latency(), () -> end(outcome));
        }
    }

    private void end(Contract.Outcome outcome) {
        if (!over) {
            boolean served = outcome == Contract.Outcome.SERVED;
            close(served || outcome == Contract.Outcome.FULL);
            listener.ended(outcome, served ? front : null, front.report());
        }
    }

    // A connection is used again after an answer that came whole.
    private void close(boolean reusable) {
        over = true;
        if (connected) {
            connections.release(front, incarnation, reusable);
        }
    }

    @Override
    public boolean giveUp() {
        if (!over) {
            close(false);
            if (visit != null && context.fleet().front().cancelStops()) {
                front.cores().leaves(visit);
            }
        }
        return written;
    }

    private void after(double millis, Runnable task) {
        context.calendar().after(millis, task);
    }
}
