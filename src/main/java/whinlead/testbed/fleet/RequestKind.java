package whinlead.testbed.fleet;

import java.util.Random;

/** The classes of requests that simulated clients send, as the processes' configuration names them. */
enum RequestKind {
    /** Safe: it may run any number of times. */
    STATUS("job-status", -1),
    /** Unsafe: it may run once at most. */
    SUBMIT("job-submit", 0),
    /** Carries an idempotency key that endpoints remember for a while. */
    KEYED("job-keyed", 4000);

    /** Of six draws three are safe, two unsafe and one is keyed. */
    private static final int DRAWS = 6;

    private final String className;
    private final double keyWindowMs;

    RequestKind(String className, double keyWindowMs) {
        this.className = className;
        this.keyWindowMs = keyWindowMs;
    }

    /** A kind at random, by one draw. */
    static RequestKind random(Random random) {
        return values()[Math.min(KEYED.ordinal(), random.nextInt(DRAWS) * 3 / 5)];
    }

    /** The name of its class in the configuration. */
    String className() {
        return className;
    }

    /** For how many milliseconds endpoints recognise a repeat; less than 0 where repeats do no harm. */
    double keyWindowMs() {
        return keyWindowMs;
    }

    /** Whether a repeat does no harm. */
    boolean safe() {
        return this == STATUS;
    }
}
