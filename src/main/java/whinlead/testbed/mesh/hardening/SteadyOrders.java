package whinlead.testbed.mesh.hardening;

/**
 * A client that sends one order on top of the other, and reads now and then, until it is stopped; and the check after
 * the last trouble that every control node reads and an order is taken. One thread.
 */
final class SteadyOrders {
    private static final double PATIENCE = 8000;
    private static final double LOSS = 0.02;
    private static final double NO_PAUSE = 20;

    private final Core core;
    private final Operators operators;
    /** Orders under way at a time without a pause; 1 for a client that pauses. */
    private final int underWay;

    private long base;
    private boolean stopped;

    SteadyOrders(Core core, int underWay) {
        this.core = core;
        this.operators = new Operators(core, LOSS, new byte[0]);
        this.underWay = underWay;
    }

    /** Begins to order and to read. */
    void start() {
        for (int i = 0; i < underWay; i++) {
            core.agenda().in(core.between(0, 500), this::order);
        }
        core.agenda().in(core.between(400, 1500), this::read);
    }

    /** Stops, waits for what is under way, and checks that every control node reads and one more order is taken. */
    void stopAndCheck() {
        stopped = true;
        run(PATIENCE);
        int[] reads = {0};
        core.machines()
                .forEach(m -> operators.read(m.address(), d -> {
                    reads[0] += d == null ? 0 : 1;
                    base = d == null ? base : Math.max(base, d.version());
                }));
        run(Core.ACK);
        if (core.checker().anyBroken()) {
            return;
        }
        int[] taken = {0};
        operators.order(operators.change(base), Core.ACK, o -> taken[0] += o.taken() ? 1 : 0);
        run(Core.ACK);
        if (!core.checker().anyBroken() && (reads[0] < core.machines().size() || taken[0] == 0)) {
            core.checker()
                    .broke("stands still after the calm: " + reads[0] + " of "
                            + core.machines().size() + " control nodes read, an order was "
                            + (taken[0] == 0 ? "not taken" : "taken"));
        }
    }

    private void run(double millis) {
        core.agenda().run(core.now() + millis, core.checker()::anyBroken);
    }

    private void order() {
        if (stopped) {
            return;
        }
        double begunAt = core.now();
        operators.order(operators.change(base), PATIENCE, o -> {
            if (o.taken()) {
                core.checker().count("orders acknowledged");
                core.checker().sample("an order, ms to its operator's acknowledgement", core.now() - begunAt);
                base = Math.max(base, o.change().version());
            }
            core.agenda().in(underWay > 1 ? core.between(0, NO_PAUSE) : core.between(100, 900), this::order);
        });
    }

    private void read() {
        if (!stopped) {
            operators.read(core.any().address(), d -> base = d == null ? base : Math.max(base, d.version()));
            core.agenda().in(core.between(400, 1500), this::read);
        }
    }
}
