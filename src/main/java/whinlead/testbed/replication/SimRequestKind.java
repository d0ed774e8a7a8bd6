package whinlead.testbed.replication;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import whinlead.Contract;

/** The classes of simulated requests; the ordinal of each is its index in {@link #SETTINGS}. */
enum SimRequestKind {
    /** May run any number of times. */
    SAFE("job-status", Contract.Effect.SAFE, 0),
    /** May run once at most. */
    UNSAFE("job-submit", Contract.Effect.UNSAFE, 0),
    /** Carries a key by which endpoints recognise a repeat for a while. */
    KEYED("job-keyed", Contract.Effect.KEYED, 4000);

    /** The settings that all simulated processes run with. */
    static final Contract.Settings SETTINGS = new Contract.Settings(
            Arrays.stream(values()).map(SimRequestKind::requestClass).toList(),
            List.of(),
            1,
            new Contract.Limits(3, true, true, false, false, true, 1000, 0),
            new Contract.Obligations(1000, 3, 2000, 0.2, 20_000, 10_000),
            Contract.Reporting.NONE,
            true,
            1,
            0);

    /** Of six draws three are safe, two unsafe and one is keyed. */
    private static final int DRAWS = 6;

    private final String className;
    private final Contract.Effect effect;
    private final double keyWindowMs;

    SimRequestKind(String className, Contract.Effect effect, double keyWindowMs) {
        this.className = className;
        this.effect = effect;
        this.keyWindowMs = keyWindowMs;
    }

    private Contract.RequestClass requestClass() {
        return new Contract.RequestClass(className, 1, 0, 500, 2000, effect, Contract.Group.ALL, keyWindowMs, false);
    }

    /** A kind at random, by one draw. */
    static SimRequestKind random(Random random) {
        return values()[Math.min(KEYED.ordinal(), random.nextInt(DRAWS) * 3 / 5)];
    }

    /** The kind with this index in the settings. */
    static SimRequestKind at(int classIndex) {
        return values()[classIndex];
    }

    /** Its index in the settings. */
    int classIndex() {
        return ordinal();
    }

    /** Whether a repeat does harm. */
    boolean guarded() {
        return this != SAFE;
    }

    /** For how many milliseconds endpoints recognise a repeat; 0 for not at all. */
    double keyWindowMs() {
        return keyWindowMs;
    }
}
