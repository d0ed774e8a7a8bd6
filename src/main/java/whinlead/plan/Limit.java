package whinlead.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;

/** What a deployment can run out of: how it is read off a run, from where on it binds, and a fleet without it. */
public enum Limit {
    /** The fronts' cores: at 0.9 a queue is ten times the work (M/M/1), and drops begin. */
    CORES(
            o -> o.use().cores(),
            0.9,
            f -> f.with(f.models().stream()
                    .map(m -> new Fleet.Model(m.name(), m.cores() * Limit.PLENTY, m.slowest(), m.fastest(), m.share()))
                    .toList())),
    /** The room at the fronts: one attempt in a hundred is turned away. */
    ROOM(o -> o.use().room(), 0.01, f -> f.with(f.front().room(f.front().roomPerCore() * Limit.PLENTY))),
    /** Connections that fronts take and sidecars may hold: one attempt in a hundred has none. */
    CONNECTIONS(
            o -> o.use().connections(),
            0.01,
            f -> f.with(f.front().connections(Integer.MAX_VALUE))
                    .with(f.sidecar().connections(Integer.MAX_VALUE))),
    /** Work on handshakes: a quarter of all work. */
    HANDSHAKES(o -> o.use().handshakes(), 0.25, f -> f.with(f.front().handshake(0))),
    /** The processor of the busiest sidecar. */
    SIDECAR(o -> o.use().sidecar(), 0.95, f -> f.with(f.sidecar().work(0))),
    /** Places for clients at the sidecars: one try in a hundred finds none. */
    PLACES(o -> o.use().places(), 0.01, f -> f.with(f.sidecar().places(Integer.MAX_VALUE))),
    /** Tries that come back as load: a quarter more. */
    RETRIES(
            o -> o.use().repeats(),
            0.25,
            f -> f.with(new Fleet.Clients(1, f.clients().backOff(), f.clients().honour())));

    /** Times as much is never used up within a ramp. */
    private static final int PLENTY = 20;

    private final ToDoubleFunction<Outcome> reading;
    private final double binds;
    private final UnaryOperator<Fleet> lifted;

    Limit(ToDoubleFunction<Outcome> reading, double binds, UnaryOperator<Fleet> lifted) {
        this.reading = reading;
        this.binds = binds;
        this.lifted = lifted;
    }

    /** What a run shows of it; it binds from {@link #binds} on. */
    public double reading(Outcome o) {
        return reading.applyAsDouble(o);
    }

    /** The reading from which it binds. */
    public double binds() {
        return binds;
    }

    /** The fleet with so much of it that it does not bind. */
    public Fleet lift(Fleet f) {
        return lifted.apply(f);
    }

    /** Runs a fleet at so many times its load. */
    @FunctionalInterface
    public interface Trial {
        /** What comes of it, one for each seed; the same for the same arguments. */
        List<Outcome> play(Fleet fleet, double times);
    }

    /**
     * A limit that binds.
     *
     * @param times of the load at which it does, between the last that was tried before and this one
     * @param behind by how much that is over the one before it, as a part of that; 0 for the first
     */
    public record Bound(Limit limit, double times, double behind) {}

    /**
     * Which limits bind, in their order: the load is raised until one does, that one is lifted, and so on.
     *
     * @param step factor between the loads that are tried, over 1
     * @param most the highest load that is tried; what does not bind up to it is not named
     */
    public static List<Bound> ramp(Fleet fleet, Trial trial, double from, double step, double most) {
        List<Bound> found = new ArrayList<>();
        EnumSet<Limit> left = EnumSet.allOf(Limit.class);
        Fleet f = fleet;
        double times = from;
        while (times <= most && !left.isEmpty()) {
            List<Outcome> played = trial.play(f, times);
            Limit worst = null;
            double by = 1;
            for (Limit l : left) {
                double reading =
                        played.stream().mapToDouble(l::reading).average().orElse(0) / l.binds;
                if (reading >= by) {
                    by = reading;
                    worst = l;
                }
            }
            if (worst == null) {
                times *= step;
                continue;
            }
            double before =
                    found.isEmpty() ? times : found.get(found.size() - 1).times();
            found.add(new Bound(worst, times, times / before - 1));
            left.remove(worst);
            f = worst.lift(f);
        }
        return Collections.unmodifiableList(found);
    }
}
