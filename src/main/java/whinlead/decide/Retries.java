package whinlead.decide;

import whinlead.Contract;

/** Retry budget: further attempts are earned by requests and bounded, and made only where a second run does no harm. */
final class Retries {
    // Retries earned by each request, and the most that may be saved up, so that retries do not multiply an overload.
    private static final double TOKENS_PER_REQUEST = 0.15;
    private static final double MAX_TOKENS = 10;

    private final int maxAttempts;
    private double tokens = MAX_TOKENS / 2;

    Retries(Contract.Limits limits) {
        this.maxAttempts = limits.attempts();
    }

    void recordRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    // Whether a further attempt may be made, which is paid for with a token. After a failed connect it is free, since
    // that put load on no server.
    boolean tryAcquire(double nowMs, Call call, Contract.Outcome last) {
        double price = last == Contract.Outcome.CONNECT_FAILED ? 0 : 1;
        if (last == Contract.Outcome.NEVER_SENT || tokens < price || call.attempts.size() >= maxAttempts) {
            return false;
        }
        boolean useful = nowMs
                < (call.requestClass.lateWorth() > 0 ? call.deadlineMs : Math.min(call.targetAtMs, call.deadlineMs));
        boolean allowed = useful && (call.mayHaveRun == null || call.requestClass.effect() != Contract.Effect.UNSAFE);
        tokens -= allowed ? price : 0;
        return allowed;
    }
}
