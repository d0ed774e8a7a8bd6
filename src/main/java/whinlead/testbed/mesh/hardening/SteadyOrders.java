package whinlead.testbed.mesh.hardening;

/**
 * A client that sends successive orders and occasional reads until it is stopped, and the check after the last fault
 * that every control node answers a read and an order is taken. Single-threaded.
 */
final class SteadyOrders {
    private static final double ORDER_TIMEOUT_MS = 8000;
    private static final double LOST_SHARE = 0.02;
    private static final double MAX_STORM_PAUSE_MS = 20;

    private final Core core;
    private final Operators operators;
    /** The number of concurrent orders without a pause; 1 for a client that pauses. */
    private final int underWay;

    private long baseVersion;
    private boolean stopped;

    SteadyOrders(Core core, int underWay) {
        this.core = core;
        this.operators = new Operators(core, LOST_SHARE, new byte[0]);
        this.underWay = underWay;
    }

    /** Starts to send orders and reads. */
    void start() {
        for (int i = 0; i < underWay; i++) {
            core.scheduler().schedule(core.randomBetween(0, 500), this::order);
        }
        core.scheduler().schedule(core.randomBetween(400, 1500), this::read);
    }

    /** Stops, waits for outstanding orders, and checks that every node answers a read and one more order is taken. */
    void stopAndCheck() {
        stopped = true;
        runFor(ORDER_TIMEOUT_MS);
        int[] reads = {0};
        core.machines()
                .forEach(m -> operators.read(m.address(), d -> {
                    reads[0] += d == null ? 0 : 1;
                    baseVersion = d == null ? baseVersion : Math.max(baseVersion, d.version());
                }));
        runFor(Core.ACK_MS);
        if (core.checker().hasViolations()) {
            return;
        }
        int[] taken = {0};
        operators.order(operators.change(baseVersion), Core.ACK_MS, o -> taken[0] += o.taken() ? 1 : 0);
        runFor(Core.ACK_MS);
        if (!core.checker().hasViolations() && (reads[0] < core.machines().size() || taken[0] == 0)) {
            core.checker()
                    .recordViolation("stands still after the calm: " + reads[0] + " of "
                            + core.machines().size() + " control nodes read, an order was "
                            + (taken[0] == 0 ? "not taken" : "taken"));
        }
    }

    private void runFor(double millis) {
        core.scheduler().runUntil(core.nowMs() + millis, core.checker()::hasViolations);
    }

    private void order() {
        if (stopped) {
            return;
        }
        double begunAtMs = core.nowMs();
        operators.order(operators.change(baseVersion), ORDER_TIMEOUT_MS, o -> {
            if (o.taken()) {
                core.checker().count("orders acknowledged");
                core.checker().sample("an order, ms to its operator's acknowledgement", core.nowMs() - begunAtMs);
                baseVersion = Math.max(baseVersion, o.change().version());
            }
            core.scheduler()
                    .schedule(
                            underWay > 1 ? core.randomBetween(0, MAX_STORM_PAUSE_MS) : core.randomBetween(100, 900),
                            this::order);
        });
    }

    private void read() {
        if (!stopped) {
            operators.read(
                    core.randomMachine().address(),
                    d -> baseVersion = d == null ? baseVersion : Math.max(baseVersion, d.version()));
            core.scheduler().schedule(core.randomBetween(400, 1500), this::read);
        }
    }
}
