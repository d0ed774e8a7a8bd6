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
 * Discrete-event simulation of sidecars, which run the real engine and decision module, and modelled fronts: takes a
 * load and returns its outcome. The same fleet, load and seed give a bit-identical outcome. Each purpose has its own
 * random generator, so that fleets with one difference receive the same load (common random numbers). Not thread-safe.
 */
public final class Simulation {
    /** Additional time after the last deadline for requests in progress. */
    private static final double TAIL_MS = 1000;

    private static final double SECOND_MS = 1000;
    /** Separates the seeds of different purposes: an odd multiplier derived from the golden ratio. */
    private static final long PURPOSE_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final Fleet fleet;
    private final Calendar calendar = new Calendar();
    private final OutcomeTally tally = new OutcomeTally();
    private final SimulationContext context;
    private final Random sidecarChoice;
    private final List<SimulatedFront> fronts = new ArrayList<>();
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();
    /** Cumulative shares of requests, by sidecar. */
    private final double[] cumulativeShares;

    private double lastArrivalMs;

    /** Creates a simulation; {@code fleet} must have passed {@link Fleet#check}. */
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
                    machines.affected().get(i).stream().map(fronts::get).toList());
        }
        sidecars.forEach(SimulatedSidecar::start);
    }

    private static Random random(long seed, int purpose) {
        return new Random(seed * PURPOSE_MULTIPLIER + purpose);
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

    private void schedule(Fleet.Change change, List<SimulatedFront> affected) {
        switch (change.kind()) {
            case SLOWED -> {
                calendar.scheduleAt(change.from(), () -> affected.forEach(front -> front.scaleSpeed(change.speed())));
                calendar.scheduleAt(change.to(), () -> affected.forEach(front -> front.scaleSpeed(1 / change.speed())));
            }
            case ZONE_LOST, ZONE_DIED -> {
                boolean silently = change.kind() == Fleet.ChangeKind.ZONE_LOST;
                calendar.scheduleAt(change.from(), () -> affected.forEach(front -> lose(front, silently)));
                calendar.scheduleAt(change.from() + change.noticeDelay(), () -> notifySidecars(affected));
                calendar.scheduleAt(change.to(), () -> affected.forEach(SimulatedFront::restart));
                calendar.scheduleAt(change.to() + change.noticeDelay(), () -> notifySidecars(affected));
            }
            default -> throw new IllegalStateException("no such change: " + change.kind());
        }
    }

    private void lose(SimulatedFront front, boolean silently) {
        front.lose(silently);
        sidecars.forEach(sidecar -> sidecar.frontLost(front));
    }

    private void notifySidecars(List<SimulatedFront> changed) {
        sidecars.forEach(sidecar -> sidecar.receiveChanges(changed));
    }

    /**
     * Runs a load to its end and then completes the requests in progress. May be called once only.
     *
     * @param load arrivals in order of time, from 0
     */
    public Outcome run(Iterator<Arrival> load) {
        scheduleNext(load);
        // Each arrival schedules the next, so the calendar holds only work in progress.
        while (load.hasNext()) {
            calendar.runUntil(calendar.nowMs() + SECOND_MS);
        }
        calendar.runUntil(Math.max(calendar.nowMs(), lastArrivalMs));
        double endMs = calendar.nowMs();
        Outcome.Usage usage = usage(endMs);
        double longestDeadline = fleet.settings().classes().stream()
                .mapToDouble(Contract.RequestClass::deadline)
                .max()
                .orElse(0);
        calendar.runUntil(endMs + fleet.clients().tries() * (longestDeadline + TAIL_MS));
        return tally.outcome(usage);
    }

    private void scheduleNext(Iterator<Arrival> load) {
        if (load.hasNext()) {
            Arrival arrival = load.next();
            lastArrivalMs = Math.max(lastArrivalMs, arrival.atMs());
            calendar.scheduleAt(arrival.atMs(), () -> {
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

    private Outcome.Usage usage(double spanMs) {
        double busy = 0;
        double available = 0;
        for (SimulatedFront front : fronts) {
            busy += front.cores().coreTime();
            available += front.coreCount() * spanMs;
        }
        double processorTime = sidecars.stream()
                .mapToDouble(SimulatedSidecar::processorTimeMs)
                .max()
                .orElse(0);
        return tally.usage(spanMs == 0 ? 0 : busy / available, spanMs == 0 ? 0 : processorTime / spanMs);
    }
}
