package whinlead.testbed.replication;

import java.util.List;
import java.util.Random;
import whinlead.Contract;
import whinlead.consult.Directive;
import whinlead.engine.Request;
import whinlead.plan.Calendar;

/** One client's request at a simulated proxy that resends to another machine on its own. */
final class SimRequest {
    private static final int MIN_TIMEOUT_MS = 300;
    private static final int TIMEOUT_SPREAD_MS = 2700;
    private static final int MAX_CALLS = 4;
    private static final int MIN_PATIENCE_MS = 100;
    private static final int PATIENCE_SPREAD_MS = 900;
    private static final double ALREADY_OUT_RETRY_MS = 150;
    /** An answer is due at the request's time; messages and turns come on top. */
    private static final double SLACK_MS = 60;

    private static final int MAX_ATTEMPT_MS = 120;
    /** Of so many attempts two find the endpoint full, one fails to connect, and two are reset. */
    private static final int OUTCOME_DRAWS = 20;

    private static final int FULL_BELOW = 2;
    private static final int CONNECT_FAILED_BELOW = 3;
    private static final int RESET_BELOW = 5;
    /** One in so many outcomes is reported to another machine than the one that allowed the attempt. */
    private static final int REPORT_ELSEWHERE_IN = 8;
    /** One in so many outcomes is never reported. */
    private static final int REPORT_LOST_IN = 25;
    /** After one in so many resets the proxy resends on its own. */
    private static final int SILENT_RETRY_IN = 3;

    private final SimCluster cluster;
    private final Calendar calendar;
    private final Random random;
    private final Truth truth;
    private final String id;
    private final SimProxy proxy;
    private final SimRequestKind kind;
    private final double timeoutMs;
    private double deadline;
    private int calls;
    /** Counts what the proxy waits for; what answers an earlier count is ignored. */
    private int epoch;

    private boolean over;

    /** One that is yet to begin, of a random kind, at one of these proxies. */
    SimRequest(SimCluster cluster, List<SimProxy> proxies, String id) {
        this.cluster = cluster;
        this.calendar = cluster.calendar();
        this.random = cluster.random();
        this.truth = cluster.truth();
        this.id = id;
        this.proxy = proxies.get(random.nextInt(proxies.size()));
        this.kind = SimRequestKind.random(random);
        this.timeoutMs = MIN_TIMEOUT_MS + random.nextInt(TIMEOUT_SPREAD_MS);
    }

    /** The client sends it. */
    void begin() {
        deadline = calendar.nowMs() + timeoutMs;
        truth.asked(id, deadline);
        ask(cluster.randomMachine());
    }

    private void ask(SimMachine machine) {
        double remaining = deadline - calendar.nowMs();
        if (over || calls >= MAX_CALLS || remaining < 1) {
            return;
        }
        calls++;
        int asked = ++epoch;
        int patience = MIN_PATIENCE_MS + random.nextInt(PATIENCE_SPREAD_MS);
        calendar.schedule(Math.min(remaining, patience), () -> resend(asked));
        if (!machine.alive()) {
            calendar.schedule(1, () -> resend(asked));
            return;
        }
        SimProcess process = machine.process();
        cluster.network()
                .send(
                        proxy.name(),
                        machine.name(),
                        () -> process.run(() -> consult(machine, process, remaining, asked)));
    }

    // On the machine that is asked.
    private void consult(SimMachine machine, SimProcess process, double remaining, int asked) {
        double askedAt = calendar.nowMs();
        boolean[] answered = new boolean[1];
        machine.consultations()
                .ask(proxy.peer(), id, new Request(kind.classIndex(), -1, remaining, false), directive -> {
                    if (answered[0]) {
                        truth.broken("answered twice");
                    }
                    answered[0] = true;
                    truth.seen(directive.wireName());
                    cluster.network().send(machine.name(), proxy.name(), () -> heard(asked, machine, directive));
                });
        double due = askedAt + remaining + SLACK_MS;
        calendar.scheduleAt(due, () -> {
            if (!answered[0] && process.alive() && !process.stoodStill(due - remaining - SLACK_MS)) {
                truth.broken("unanswered");
            }
        });
    }

    // Does nothing if an answer has come since.
    private void resend(int expectedEpoch) {
        if (expectedEpoch == epoch) {
            ask(cluster.randomMachine());
        }
    }

    private void heard(int expectedEpoch, SimMachine machine, Directive directive) {
        if (expectedEpoch != epoch || over || calendar.nowMs() > deadline) {
            // The call it answers is closed, or its client has gone: nobody hears it.
            return;
        }
        epoch++;
        if (directive instanceof Directive.Send send) {
            send(machine, send);
        } else if (directive instanceof Directive.AlreadyOut) {
            int waiting = epoch;
            calendar.schedule(ALREADY_OUT_RETRY_MS, () -> resend(waiting));
        } else {
            over = true;
            if (directive instanceof Directive.Refused && kind.guarded()) {
                truth.refused(id, kind.keyWindowMs(), calendar.nowMs());
            }
        }
    }

    private void send(SimMachine machine, Directive.Send send) {
        Contract.Outcome outcome = randomOutcome();
        if (!outcome.neverRan) {
            truth.ran(id, kind.guarded(), kind.keyWindowMs(), calendar.nowMs());
        }
        int sent = epoch;
        calendar.schedule(1 + random.nextInt(MAX_ATTEMPT_MS), () -> {
            if (outcome == Contract.Outcome.SERVED) {
                over = true;
            }
            report(machine, send, outcome, sent);
        });
    }

    private Contract.Outcome randomOutcome() {
        int draw = random.nextInt(OUTCOME_DRAWS);
        if (draw < FULL_BELOW) {
            return Contract.Outcome.FULL;
        }
        if (draw < CONNECT_FAILED_BELOW) {
            return Contract.Outcome.CONNECT_FAILED;
        }
        return draw < RESET_BELOW ? Contract.Outcome.RESET : Contract.Outcome.SERVED;
    }

    private void report(SimMachine machine, Directive.Send send, Contract.Outcome outcome, int expectedEpoch) {
        SimMachine receiver =
                machine.alive() && random.nextInt(REPORT_ELSEWHERE_IN) > 0 ? machine : cluster.randomMachine();
        if (!receiver.alive() || random.nextInt(REPORT_LOST_IN) == 0) {
            return;
        }
        if (outcome == Contract.Outcome.RESET && random.nextInt(SILENT_RETRY_IN) == 0) {
            // A proxy's own retry, of which it tells nobody.
            resend(expectedEpoch);
            return;
        }
        SimProcess process = receiver.process();
        cluster.network()
                .send(
                        proxy.name(),
                        receiver.name(),
                        () -> process.run(() -> receiver.consultations()
                                .outcome(
                                        id,
                                        send.attempt(),
                                        send.endpoint(),
                                        outcome,
                                        null,
                                        directive -> reported(expectedEpoch, receiver, directive))));
    }

    // On the machine that was told.
    private void reported(int expectedEpoch, SimMachine machine, Directive directive) {
        truth.seen("after report " + directive.wireName());
        cluster.network().send(machine.name(), proxy.name(), () -> heard(expectedEpoch, machine, directive));
    }
}
