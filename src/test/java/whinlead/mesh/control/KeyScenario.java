package whinlead.mesh.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The events in a mesh whose service is divided by key.
 *
 * @param initialSidecars the number of sidecars that exist from the start; the others join later
 * @param cuts the network cuts
 * @param faultsEndMs no event or cut begins after this time
 */
record KeyScenario(
        long seed,
        int sidecars,
        int initialSidecars,
        int controls,
        int maxDelayMs,
        List<Event> events,
        List<Cut> cuts,
        double startMs,
        double faultsEndMs,
        double lengthMs) {

    /** The kinds of events. */
    enum Kind {
        FREEZE_CONTROL,
        FREEZE_SIDECAR,
        RESTART_CONTROL,
        RESTART_SIDECAR,
        CRASH_ENDPOINT,
        DRAIN_ENDPOINT,
        START_SIDECAR
    }

    /** An event at one process. */
    record Event(Kind kind, double atMs, int index, double durationMs) {}

    /**
     * A network cut.
     *
     * @param sidecar the sidecar that reaches no control node; -1 for none
     * @param control the control node that reaches no other one, and no sidecar if {@code includesSidecars}; -1 for
     *     none
     */
    record Cut(double fromMs, double toMs, int sidecar, int control, boolean includesSidecars) {
        private boolean isActive(double ms) {
            return ms >= fromMs && ms < toMs;
        }
    }

    private static final double START_MS = 12_000;
    private static final double FAULTS_END_MS = 40_000;
    private static final double LENGTH_MS = 66_000;

    /** Whether a message between the sidecar and the control node passes at this time. */
    boolean isReachable(int sidecar, int control, double ms) {
        return cuts.stream()
                .noneMatch(cut ->
                        cut.isActive(ms) && (cut.sidecar == sidecar || cut.control == control && cut.includesSidecars));
    }

    /** Whether a message between the control nodes passes at this time. */
    boolean isCoreReachable(int one, int other, double ms) {
        return one == other
                || cuts.stream().noneMatch(cut -> cut.isActive(ms) && (cut.control == one || cut.control == other));
    }

    /** A random scenario with this seed: overlapping cuts, suspensions, restarts, crashes, drains and joins. */
    static KeyScenario random(long seed) {
        Random random = new Random(seed * 7919 + 17);
        int sidecars = 4 + random.nextInt(4);
        int joining = random.nextInt(3);
        int controls = random.nextBoolean() ? 3 : 5;
        List<Event> events = new ArrayList<>();
        for (int i = sidecars - joining; i < sidecars; i++) {
            events.add(new Event(Kind.START_SIDECAR, randomTimeMs(random), i, 0));
        }
        Kind[] kinds = Kind.values();
        for (int remaining = 4 + random.nextInt(14); remaining > 0; remaining--) {
            Kind kind = kinds[random.nextInt(kinds.length - 1)];
            boolean ofCore = kind == Kind.FREEZE_CONTROL || kind == Kind.RESTART_CONTROL;
            int index = random.nextInt(ofCore ? controls : sidecars - joining);
            double durationMs =
                    switch (kind) {
                        case RESTART_CONTROL, RESTART_SIDECAR -> 300 + random.nextInt(3000);
                        case CRASH_ENDPOINT -> 500 + random.nextInt(9000);
                        case DRAIN_ENDPOINT -> 3000 + random.nextInt(3000);
                        default -> 200 + random.nextInt(9000);
                    };
            events.add(new Event(kind, randomTimeMs(random), index, durationMs));
        }
        if (random.nextInt(3) == 0) {
            double restartMs = randomTimeMs(random);
            for (int control = 0; control < controls; control++) {
                events.add(new Event(Kind.RESTART_CONTROL, restartMs, control, 500 + random.nextInt(2500)));
            }
        }
        List<Cut> cuts = cuts(random, sidecars - joining, controls);
        return new KeyScenario(
                seed,
                sidecars,
                sidecars - joining,
                controls,
                2 + random.nextInt(40),
                events,
                cuts,
                START_MS,
                FAULTS_END_MS,
                LENGTH_MS);
    }

    private static List<Cut> cuts(Random random, int sidecars, int controls) {
        List<Cut> cuts = new ArrayList<>();
        for (int remaining = random.nextInt(5); remaining > 0; remaining--) {
            double fromMs = randomTimeMs(random);
            boolean ofCore = random.nextBoolean();
            cuts.add(new Cut(
                    fromMs,
                    Math.min(FAULTS_END_MS, fromMs + 300 + random.nextInt(9000)),
                    ofCore ? -1 : random.nextInt(sidecars),
                    ofCore ? random.nextInt(controls) : -1,
                    random.nextBoolean()));
        }
        return cuts;
    }

    private static double randomTimeMs(Random random) {
        return START_MS + random.nextDouble() * (FAULTS_END_MS - START_MS - 10_000);
    }
}
