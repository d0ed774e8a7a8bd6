package whinlead.testbed.fleet;

import java.util.Random;

/**
 * One client's request at a proxy that consults sidecars, sends the attempts that they allow, reports how those ended,
 * and resends to another sidecar on its own when none answers. For the event loop.
 */
final class ProxyRequest {
    private static final int MAX_CALLS = 4;
    /** A proxy waits for a sidecar at least this long before it asks another, in milliseconds. */
    private static final int MIN_PATIENCE_MS = 150;

    private static final int PATIENCE_SPREAD_MS = 900;
    private static final int MAX_ATTEMPT_MS = 60;
    /** Of so many attempts two find the endpoint full, one fails to connect, and two are reset. */
    private static final int OUTCOME_DRAWS = 40;

    private static final int FULL_BELOW = 2;
    private static final int CONNECT_FAILED_BELOW = 3;
    private static final int RESET_BELOW = 5;
    /** One in so many outcomes is reported to another sidecar than the one that allowed the attempt. */
    private static final int REPORT_ELSEWHERE_IN = 8;
    /** One in so many outcomes is never reported. */
    private static final int REPORT_LOST_IN = 40;
    /** After one in so many resets the proxy resends on its own. */
    private static final int SILENT_RETRY_IN = 3;

    private enum AttemptOutcome {
        FULL("full"),
        CONNECT_FAILED("connect_failed"),
        RESET("reset"),
        SERVED("served");

        private final String word;

        AttemptOutcome(String word) {
            this.word = word;
        }

        private boolean ran() {
            return this == RESET || this == SERVED;
        }
    }

    private final FleetContext context;
    private final String id;
    private final RequestKind kind;
    private final FleetGroup group;
    private final OutageTimer outageTimer;
    private final ServedCounter counter;
    private final double deadline;
    private int calls;
    /** Counts what this proxy waits for; what answers an earlier count is ignored. */
    private int epoch;

    private boolean over;

    /**
     * A request that is yet to be sent.
     *
     * @param group that it belongs to
     * @param outageTimer of that group
     * @param counter where it is counted
     */
    ProxyRequest(
            FleetContext context,
            String id,
            RequestKind kind,
            FleetGroup group,
            OutageTimer outageTimer,
            ServedCounter counter) {
        this.context = context;
        this.id = id;
        this.kind = kind;
        this.group = group;
        this.outageTimer = outageTimer;
        this.counter = counter;
        deadline = context.now() + FleetContext.CLIENT_TIMEOUT_MS;
    }

    /** The client sends it. */
    void start() {
        counter.requestSent();
        ask(group.randomCandidate());
    }

    private void end(boolean served) {
        if (!over) {
            over = true;
            if (served) {
                counter.requestServed();
            }
        }
    }

    private void ask(FleetNode node) {
        double startedAt = context.now();
        double remaining = deadline - startedAt;
        if (over || calls >= MAX_CALLS || remaining < 1) {
            return;
        }
        calls++;
        int asked = ++epoch;
        int patience = MIN_PATIENCE_MS + random().nextInt(PATIENCE_SPREAD_MS);
        context.schedule(() -> resend(asked), (long) Math.min(remaining, patience));
        node.consult()
                .ask(
                        id,
                        kind,
                        (long) remaining,
                        remaining + FleetContext.SLACK_MS,
                        answer -> answered(asked, node, answer),
                        cause -> {
                            if (node.healthyBefore(startedAt)) {
                                context.ledger()
                                        .broken(
                                                "unanswered",
                                                id + " by " + node.name() + " at " + startedAt + " of " + remaining
                                                        + ", until " + context.now() + ": " + cause);
                            }
                            resend(asked);
                        });
    }

    // Does nothing if an answer has come since.
    private void resend(int expectedEpoch) {
        if (expectedEpoch == epoch) {
            ask(group.randomCandidate());
        }
    }

    private void answered(int expectedEpoch, FleetNode node, ConsultAnswer answer) {
        context.ledger().seen(answer.action());
        if (expectedEpoch != epoch || over || context.now() > deadline) {
            // This proxy has closed the call that it answers, or its client has gone.
            return;
        }
        epoch++;
        switch (answer.action()) {
            case ConsultAnswer.SEND -> send(node, answer);
            case ConsultAnswer.ALREADY_OUT -> {
                int waiting = epoch;
                context.schedule(() -> resend(waiting), MIN_PATIENCE_MS);
            }
            case ConsultAnswer.REFUSE -> {
                if (!kind.safe()) {
                    context.ledger().refused(id, node.name(), kind.keyWindowMs(), context.now());
                }
                end(false);
            }
            default -> end(answer.action().equals(ConsultAnswer.SERVED));
        }
    }

    private void send(FleetNode node, ConsultAnswer answer) {
        if (!kind.safe()) {
            outageTimer.requestSent(context.now());
        }
        AttemptOutcome outcome = randomOutcome();
        if (outcome.ran()) {
            context.ledger().ran(id, node.name(), kind.keyWindowMs(), context.now());
        }
        int sent = epoch;
        context.schedule(
                () -> {
                    if (outcome == AttemptOutcome.SERVED) {
                        end(true);
                    }
                    report(node, answer, outcome, sent);
                },
                1 + random().nextInt(MAX_ATTEMPT_MS));
    }

    private AttemptOutcome randomOutcome() {
        int draw = random().nextInt(OUTCOME_DRAWS);
        if (draw < FULL_BELOW) {
            return AttemptOutcome.FULL;
        }
        if (draw < CONNECT_FAILED_BELOW) {
            return AttemptOutcome.CONNECT_FAILED;
        }
        return draw < RESET_BELOW ? AttemptOutcome.RESET : AttemptOutcome.SERVED;
    }

    private void report(FleetNode node, ConsultAnswer sent, AttemptOutcome outcome, int expectedEpoch) {
        FleetNode receiver = random().nextInt(REPORT_ELSEWHERE_IN) > 0 ? node : group.randomCandidate();
        if (random().nextInt(REPORT_LOST_IN) == 0) {
            return;
        }
        if (outcome == AttemptOutcome.RESET && random().nextInt(SILENT_RETRY_IN) == 0) {
            // A proxy's own retry, of which it tells nobody: another sidecar is asked as if for the first
            // time.
            resend(expectedEpoch);
            return;
        }
        receiver.consult()
                .report(
                        id,
                        sent,
                        outcome.word,
                        FleetContext.CLIENT_TIMEOUT_MS + FleetContext.SLACK_MS,
                        next -> answered(expectedEpoch, receiver, next),
                        cause -> {
                            if (outcome != AttemptOutcome.SERVED) {
                                resend(expectedEpoch);
                            }
                        });
    }

    private Random random() {
        return context.random();
    }
}
