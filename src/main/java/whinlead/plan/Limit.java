package whinlead.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;

/**
 * Resources that can limit a deployment: how usage is read from a run, when it binds, and a fleet without the limit.
 */
public enum Limit {
    /** The fronts' cores. At 0.9 the mean time in the system is ten times the work (M/M/1), and drops begin. */
    CORES(
            o -> o.usage().cores(),
            0.9,
            f -> f.with(f.models().stream()
                    .map(m -> new Fleet.Model(
                            m.name(), m.cores() * Limit.AMPLE_FACTOR, m.slowest(), m.fastest(), m.share()))
                    .toList())),
    /** The room at the fronts: binds when one attempt in a hundred is rejected. */
    ROOM(
            o -> o.usage().room(),
            0.01,
            f -> f.with(f.front().withRoomPerCore(f.front().roomPerCore() * Limit.AMPLE_FACTOR))),
    /** Connection limits of fronts and sidecars: binds when one attempt in a hundred gets no connection. */
    CONNECTIONS(
            o -> o.usage().connections(),
            0.01,
            f -> f.with(f.front().connections(Integer.MAX_VALUE))
                    .with(f.sidecar().connections(Integer.MAX_VALUE))),
    /** Work on handshakes: binds at a quarter of all work. */
    HANDSHAKES(o -> o.usage().handshakes(), 0.25, f -> f.with(f.front().handshake(0))),
    /** The processor of the busiest sidecar. */
    SIDECAR(o -> o.usage().sidecar(), 0.95, f -> f.with(f.sidecar().work(0))),
    /** Places for clients at the sidecars: binds when one try in a hundred finds none. */
    PLACES(o -> o.usage().places(), 0.01, f -> f.with(f.sidecar().places(Integer.MAX_VALUE))),
    /** Retries as additional load: binds at a quarter more tries. */
    RETRIES(
            o -> o.usage().repeats(),
            0.25,
            f -> f.with(new Fleet.Clients(1, f.clients().backOff(), f.clients().honourShare())));

    /** Multiplier for capacity that is not exhausted within a ramp. */
    private static final int AMPLE_FACTOR = 20;

    private final ToDoubleFunction<Outcome> reading;
    private final double bindingReading;
    private final UnaryOperator<Fleet> removal;

    Limit(ToDoubleFunction<Outcome> reading, double bindingReading, UnaryOperator<Fleet> removal) {
        this.reading = reading;
        this.bindingReading = bindingReading;
        this.removal = removal;
    }

    /** Usage shown by a run; the limit binds from {@link #bindingReading()} on. */
    public double reading(Outcome outcome) {
        return reading.applyAsDouble(outcome);
    }

    /** The usage from which the limit binds. */
    public double bindingReading() {
        return bindingReading;
    }

    /** Returns a copy of the fleet in which this limit does not bind. */
    public Fleet withoutLimit(Fleet fleet) {
        return removal.apply(fleet);
    }

    /** Runs a fleet at a multiple of its load. */
    @FunctionalInterface
    public interface Trial {
        /** Returns one outcome for each seed; equal arguments give equal outcomes. */
        List<Outcome> run(Fleet fleet, double times);
    }

    /**
     * A limit that binds.
     *
     * @param loadFactor multiple of the load at which it binds; the true value lies between the previous factor and
     *     this
     * @param relativeGap increase over the load factor of the previous limit, relative to it; 0 for the first
     */
    public record BindingLimit(Limit limit, double loadFactor, double relativeGap) {}

    /**
     * Finds the limits in the order in which they bind: raises the load until one binds, removes that limit, and
     * continues.
     *
     * @param step factor between successive loads, over 1
     * @param most the highest load factor tried; limits that do not bind up to it are not returned
     */
    public static List<BindingLimit> ramp(Fleet fleet, Trial trial, double from, double step, double most) {
        List<BindingLimit> found = new ArrayList<>();
        EnumSet<Limit> remaining = EnumSet.allOf(Limit.class);
        Fleet currentFleet = fleet;
        double loadFactor = from;
        while (loadFactor <= most && !remaining.isEmpty()) {
            List<Outcome> outcomes = trial.run(currentFleet, loadFactor);
            Limit worst = null;
            double worstRatio = 1;
            for (Limit limit : remaining) {
                double reading =
                        outcomes.stream().mapToDouble(limit::reading).average().orElse(0) / limit.bindingReading;
                if (reading >= worstRatio) {
                    worstRatio = reading;
                    worst = limit;
                }
            }
            if (worst == null) {
                loadFactor *= step;
                continue;
            }
            double previousFactor =
                    found.isEmpty() ? loadFactor : found.get(found.size() - 1).loadFactor();
            found.add(new BindingLimit(worst, loadFactor, loadFactor / previousFactor - 1));
            remaining.remove(worst);
            currentFleet = worst.withoutLimit(currentFleet);
        }
        return Collections.unmodifiableList(found);
    }
}
