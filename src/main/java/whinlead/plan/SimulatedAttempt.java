package whinlead.plan;

import whinlead.Contract;
import whinlead.engine.Transport;

/** One attempt from a sidecar to a front and back on a connection. Not thread-safe. */
final class SimulatedAttempt implements Transport.AttemptHandle {
    private final SimulationContext context;
    private final ConnectionPool connections;
    private final SimulatedFront front;
    private final Transport.OutcomeListener<SimulatedFront> listener;
    /** Incarnation of the front when this attempt started. */
    private final int incarnation;

    private FrontModel.Visit visit;
    private boolean connected;
    private boolean written;
    private boolean ended;

    /** Creates an attempt that is not sent yet. */
    SimulatedAttempt(
            SimulationContext context,
            ConnectionPool connections,
            SimulatedFront front,
            Transport.OutcomeListener<SimulatedFront> listener) {
        this.context = context;
        this.connections = connections;
        this.front = front;
        this.listener = listener;
        this.incarnation = front.incarnation();
    }

    /** Sends the attempt on a reused or newly opened connection. */
    void send(int requestClass, boolean reused) {
        connected = true;
        written = reused;
        Fleet.Work work = context.fleet().work().get(requestClass);
        double handshake = reused ? 0 : context.fleet().front().handshake();
        double coreWork = work.onCore().draw(context.workRandom()) + handshake;
        double offCoreTime = work.offCore().draw(context.workRandom());
        context.tally().frontWork(coreWork);
        double latency = front.latency();
        // A new connection takes one round trip before the request is sent.
        after(reused ? 0 : 2 * latency, () -> {
            written = true;
            after(latency, () -> arrive(coreWork, offCoreTime));
        });
    }

    /** Fails to connect after this many milliseconds. */
    void failToConnect(double millis) {
        after(millis, () -> end(Contract.Outcome.CONNECT_FAILED));
    }

    private void arrive(double coreWork, double offCoreTime) {
        if (ended || checkFrontGone()) {
            return;
        }
        FrontModel.Visit arrived = front.cores().arrive(coreWork, end -> visitEnded(end, offCoreTime));
        visit = front.cores().isPresent(arrived) ? arrived : null;
    }

    private void visitEnded(FrontModel.End end, double offCoreTime) {
        switch (end) {
            case DONE -> {
                front.requestCompleted();
                after(offCoreTime, () -> answer(Contract.Outcome.SERVED));
            }
            case FULL -> {
                context.tally().frontFull();
                answer(Contract.Outcome.FULL);
            }
            case LOST -> checkFrontGone();
            default -> throw new IllegalStateException("no such end: " + end);
        }
    }

    // Whether the front was lost or restarted since the attempt started; unless it was lost silently, its reset ends
    // the attempt.
    private boolean checkFrontGone() {
        boolean gone = front.incarnation() != incarnation || front.lost();
        if (gone && !front.silent()) {
            after(front.latency(), () -> end(Contract.Outcome.RESET));
        }
        return gone;
    }

    private void answer(Contract.Outcome outcome) {
        visit = null;
        if (!checkFrontGone()) {
            after(front.latency(), () -> end(outcome));
        }
    }

    private void end(Contract.Outcome outcome) {
        if (!ended) {
            boolean served = outcome == Contract.Outcome.SERVED;
            close(served || outcome == Contract.Outcome.FULL);
            listener.ended(outcome, served ? front : null, front.report());
        }
    }

    // A connection is reusable only after a complete answer.
    private void close(boolean reusable) {
        ended = true;
        if (connected) {
            connections.release(front, incarnation, reusable);
        }
    }

    @Override
    public boolean abort() {
        if (!ended) {
            close(false);
            if (visit != null && context.fleet().front().cancelStops()) {
                front.cores().withdraw(visit);
            }
        }
        return written;
    }

    private void after(double millis, Runnable task) {
        context.calendar().schedule(millis, task);
    }
}
