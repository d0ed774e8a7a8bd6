package whinlead.mesh.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * What happens to a mesh whose service is divided by key.
 *
 * @param sidecarsAtFirst how many of them are there from the start on; others join
 * @param cuts when whom a part of the core does not reach
 * @param calmFromMs nothing happens from then on
 */
record KeyScenario(
        long seed,
        int sidecars,
        int sidecarsAtFirst,
        int controls,
        int maxDelayMs,
        List<Event> events,
        List<Cut> cuts,
        double startMs,
        double calmFromMs,
        double lengthMs) {

    /** What may happen to one process. */
    enum Kind {
        FREEZE_CONTROL,
        FREEZE_SIDECAR,
        RESTART_CONTROL,
        RESTART_SIDECAR,
        CRASH_ENDPOINT,
        DRAIN_ENDPOINT,
        START_SIDECAR
    }

    /** It happens. */
    record Event(Kind kind, double atMs, int index, double forMs) {}

    /**
     * A cut.
     *
     * @param sidecar that reaches no control node; -1 for none
     * @param control that reaches no other control node, and no sidecar if {@code whole}; -1 for none
     */
    record Cut(double fromMs, double toMs, int sidecar, int control, boolean whole) {
        private boolean holds(double ms) {
            return ms >= fromMs && ms < toMs;
        }
    }

    private static final double START_MS = 12_000;
    private static final double CALM_FROM_MS = 40_000;
    private static final double LENGTH_MS = 66_000;

    /** Whether a message between them passes now. */
    boolean reaches(int sidecar, int control, double ms) {
        return cuts.stream()
                .noneMatch(cut -> cut.holds(ms) && (cut.sidecar == sidecar || cut.control == control && cut.whole));
    }

    /** Whether a message between these control nodes passes now. */
    boolean coreReaches(int one, int other, double ms) {
        return one == other
                || cuts.stream().noneMatch(cut -> cut.holds(ms) && (cut.control == one || cut.control == other));
    }

    /** A day drawn by this seed: cuts, freezes, restarts, crashes, drains and joins that overlap. */
    static KeyScenario draw(long seed) {
        Random random = new Random(seed * 7919 + 17);
        int sidecars = 4 + random.nextInt(4);
        int joining = random.nextInt(3);
        int controls = random.nextBoolean() ? 3 : 5;
        List<Event> events = new ArrayList<>();
        for (int i = sidecars - joining; i < sidecars; i++) {
            events.add(new Event(Kind.START_SIDECAR, at(random), i, 0));
        }
        Kind[] kinds = Kind.values();
        for (int n = 4 + random.nextInt(14); n > 0; n--) {
            Kind kind = kinds[random.nextInt(kinds.length - 1)];
            boolean ofCore = kind == Kind.FREEZE_CONTROL || kind == Kind.RESTART_CONTROL;
            int index = random.nextInt(ofCore ? controls : sidecars - joining);
            double forMs =
                    switch (kind) {
                        case RESTART_CONTROL, RESTART_SIDECAR -> 300 + random.nextInt(3000);
                        case CRASH_ENDPOINT -> 500 + random.nextInt(9000);
                        case DRAIN_ENDPOINT -> 3000 + random.nextInt(3000);
                        default -> 200 + random.nextInt(9000);
                    };
            events.add(new Event(kind, at(random), index, forMs));
        }
        if (random.nextInt(3) == 0) {
            double at = at(random);
            for (int c = 0; c < controls; c++) {
                events.add(new Event(Kind.RESTART_CONTROL, at, c, 500 + random.nextInt(2500)));
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
                CALM_FROM_MS,
                LENGTH_MS);
    }

    private static List<Cut> cuts(Random random, int sidecars, int controls) {
        List<Cut> cuts = new ArrayList<>();
        for (int n = random.nextInt(5); n > 0; n--) {
            double from = at(random);
            boolean ofCore = random.nextBoolean();
            cuts.add(new Cut(
                    from,
                    Math.min(CALM_FROM_MS, from + 300 + random.nextInt(9000)),
                    ofCore ? -1 : random.nextInt(sidecars),
                    ofCore ? random.nextInt(controls) : -1,
                    random.nextBoolean()));
        }
        return cuts;
    }

    private static double at(Random random) {
        return START_MS + random.nextDouble() * (CALM_FROM_MS - START_MS - 10_000);
    }
}
