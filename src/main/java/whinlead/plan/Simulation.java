package whinlead.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import whinlead.Contract;

/**
 * Sidecars that run the real engine and decisions, before models of the fronts, under a calendar: a load goes in, and
 * what became of it comes out. The same fleet, load and seed give the same outcome to the bit. Each purpose has a
 * random generator of its own, so that two fleets that differ in one thing meet the same load (common random numbers).
 * For one thread.
 */
public final class Simulation {
    /** After the last deadline, for what is under way. */
    private static final double TAIL_MS = 1000;

    private static final double SECOND_MS = 1000;
    /** Keeps the seeds of different purposes apart: odd, from the golden ratio. */
    private static final long PURPOSE = 0x9E3779B97F4A7C15L;

    private final Fleet fleet;
    private final Calendar calendar = new Calendar();
    private final OutcomeTally tally = new OutcomeTally();
    private final SimulationContext context;
    private final Random sidecarChoice;
    private final List<SimulatedFront> fronts = new ArrayList<>();
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();
    /** Of each sidecar, the share of requests that go to it or to one before it. */
    private final double[] cumulativeShares;

    private double lastArrival;

    /** A fleet that has seen no load; {@code fleet} has passed its check. */
    public Simulation(Fleet fleet, long seed) {
        this.fleet = fleet;
        this.sidecarChoice = random(seed, 1);
        this.context = new SimulationContext(fleet, calendar, tally, random(seed, 2), random(seed, 3));
        this.cumulativeShares = cumulative(fleet.shares());
        Machines machines = Machines.of(fleet, seed);
        Map<String, SimulatedFront> frontsById = new LinkedHashMap<>();
        for (Machines.Machine machine : machines.all()) {
            frontsById.put(machine.id(), new SimulatedFront(context, machine));
        }
        fronts.addAll(frontsById.values());
        for (int i = 0; i < cumulativeShares.length; i++) {
            long decisionSeed = seed * cumulativeShares.length + i;
            sidecars.add(new SimulatedSidecar(context, frontsById, i, decisionSeed));
        }
        for (int i = 0; i < fleet.changes().size(); i++) {
            schedule(
                    fleet.changes().get(i),
                    machines.met().get(i).stream().map(fronts::get).toList());
        }
        sidecars.forEach(SimulatedSidecar::start);
    }

    private static Random random(long seed, int purpose) {
        return new Random(seed * PURPOSE + purpose);
    }

    private static double[] cumulative(List<Double> shares) {
        double[] sums = new double[shares.size()];
        double sum = 0;
        for (int i = 0; i < sums.length; i++) {
            sum += shares.get(i);
            sums[i] = sum;
        }
        return sums;
    }

    private void schedule(Fleet.Change change, List<SimulatedFront> met) {
        switch (change.kind()) {
            case SLOWED -> {
                calendar.at(change.from(), () -> met.forEach(front -> front.scaleSpeed(change.speed())));
                calendar.at(change.to(), () -> met.forEach(front -> front.scaleSpeed(1 / change.speed())));
            }
            case ZONE_LOST, ZONE_DIED -> {
                boolean silently = change.kind() == Fleet.Kind.ZONE_LOST;
                calendar.at(change.from(), () -> met.forEach(front -> lose(front, silently)));
                calendar.at(change.from() + change.notice(), () -> tellChanges(met));
                calendar.at(change.to(), () -> met.forEach(SimulatedFront::restart));
                calendar.at(change.to() + change.notice(), () -> tellChanges(met));
            }
            default -> throw new IllegalStateException("no such change: " + change.kind());
        }
    }

    private void lose(SimulatedFront front, boolean silently) {
        front.lose(silently);
        sidecars.forEach(sidecar -> sidecar.frontLost(front));
    }

    private void tellChanges(List<SimulatedFront> changed) {
        sidecars.forEach(sidecar -> sidecar.tellChanges(changed));
    }

    /**
     * Plays a load to its end, and what is still under way then to its own. Once only.
     *
     * @param load by time, not before 0
     */
    public Outcome play(Iterator<Arrival> load) {
        scheduleNext(load);
        // Each arrival schedules the next: the calendar is never longer than what is under way.
        while (load.hasNext()) {
            calendar.runTo(calendar.now() + SECOND_MS);
        }
        calendar.runTo(Math.max(calendar.now(), lastArrival));
        double end = calendar.now();
        Outcome.Use use = use(end);
        double longestDeadline = fleet.settings().classes().stream()
                .mapToDouble(Contract.RequestClass::deadline)
                .max()
                .orElse(0);
        calendar.runTo(end + fleet.clients().tries() * (longestDeadline + TAIL_MS));
        return tally.outcome(use);
    }

    private void scheduleNext(Iterator<Arrival> load) {
        if (load.hasNext()) {
            Arrival arrival = load.next();
            lastArrival = Math.max(lastArrival, arrival.at());
            calendar.at(arrival.at(), () -> {
                ClientTry.begin(context, randomSidecar(), arrival);
                scheduleNext(load);
            });
        }
    }

    private SimulatedSidecar randomSidecar() {
        int found = Arrays.binarySearch(cumulativeShares, sidecarChoice.nextDouble());
        int index = found < 0 ? -found - 1 : found;
        return sidecars.get(Math.min(sidecars.size() - 1, index));
    }

    private Outcome.Use use(double span) {
        double busy = 0;
        double available = 0;
        for (SimulatedFront front : fronts) {
            busy += front.cores().coreTime();
            available += front.coreCount() * span;
        }
        double processorTime = sidecars.stream()
                .mapToDouble(SimulatedSidecar::processorTime)
                .max()
                .orElse(0);
        return tally.use(span == 0 ? 0 : busy / available, span == 0 ? 0 : processorTime / span);
    }
}
