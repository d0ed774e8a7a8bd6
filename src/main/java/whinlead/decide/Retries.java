package whinlead.decide;

import whinlead.Contract;

/** Further attempts: earned by requests and bounded, and only where a second run does no harm. */
final class Retries {
    // Further attempts earned by each request, and how many may be saved up: they must not multiply a jam.
    private static final double EARN = 0.15;
    private static final double SAVE = 10;

    private final int attemptsMost;
    private double tokens = SAVE / 2;

    Retries(Contract.Limits limits) {
        this.attemptsMost = limits.attempts();
    }

    void arrived() {
        tokens = Math.min(SAVE, tokens + EARN);
    }

    // Whether it may go out again, which is paid for, but after a failed connect: that put load on nobody.
    boolean take(double now, Call c, Contract.Outcome last) {
        double price = last == Contract.Outcome.CONNECT_FAILED ? 0 : 1;
        if (last == Contract.Outcome.NEVER_SENT || tokens < price || c.attempts.size() >= attemptsMost) {
            return false;
        }
        boolean useful = now < (c.type.lateWorth() > 0 ? c.endAt : Math.min(c.aimAt, c.endAt));
        boolean may = useful && (c.mayHaveRun == null || c.type.effect() != Contract.Effect.UNSAFE);
        tokens -= may ? price : 0;
        return may;
    }
}
