package whinlead.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Upper bounds on service for any routing policy, from utilisation alone: in a time span the fronts' cores cannot do
 * more work than their capacity. Independent of the simulation, and used as a cross-check on it.
 */
public final class Bounds {
    private Bounds() {}

    /** Capacity in cores of speed 1 when all fronts are healthy and warm, using each model's mean speed. */
    public static double capacity(Fleet fleet) {
        double meanFrontCapacity = 0;
        for (Fleet.Model model : fleet.models()) {
            meanFrontCapacity += model.share() * model.cores() * (model.slowest() + model.fastest()) / 2;
        }
        return meanFrontCapacity * fleet.fronts();
    }

    /** Share of the capacity that the load needs outside bursts, without handshakes; 1 is full utilisation. */
    public static double utilisation(Fleet fleet, Load load) {
        return load.perSecond() / 1000 * meanWork(fleet, load) / capacity(fleet);
    }

    private static double meanWork(Fleet fleet, Load load) {
        double mean = 0;
        for (int k = 0; k < fleet.work().size(); k++) {
            mean += load.mix().get(k) * fleet.work().get(k).onCore().mean();
        }
        return mean;
    }

    /**
     * Upper bound on the share of the worth of first tries that can be served. Within each span of constant rate, the
     * classes with the highest worth per unit of work are served first until core time runs out. Work that arrives in a
     * span may continue for the longest aim of any class after the end of the span.
     */
    public static double maxWorthShare(Fleet fleet, Load load) {
        double longestAim = fleet.settings().classes().stream()
                .mapToDouble(c -> c.latencyTarget())
                .max()
                .orElse(0);
        List<Integer> classesByWorthPerWork = new ArrayList<>();
        for (int k = 0; k < fleet.work().size(); k++) {
            classesByWorthPerWork.add(k);
        }
        classesByWorthPerWork.sort((a, b) -> Double.compare(worthPerWork(fleet, b), worthPerWork(fleet, a)));
        TreeSet<Double> edges = new TreeSet<>(List.of(0.0, load.lengthMs()));
        for (Load.Burst b : load.bursts()) {
            edges.add(Math.min(load.lengthMs(), b.from()));
            edges.add(Math.min(load.lengthMs(), b.to()));
        }
        double offeredWorth = 0;
        double servedWorth = 0;
        for (double from : edges.headSet(load.lengthMs())) {
            double span = edges.higher(from) - from;
            double coreTimeLeft = capacity(fleet) * (span + longestAim);
            for (int k : classesByWorthPerWork) {
                double arrived =
                        load.ratePerSecond(from) / 1000 * span * load.mix().get(k);
                double work = fleet.work().get(k).onCore().mean();
                double served = work == 0 ? arrived : Math.min(arrived, coreTimeLeft / work);
                coreTimeLeft -= served * work;
                offeredWorth += arrived * fleet.settings().classes().get(k).worth();
                servedWorth += served * fleet.settings().classes().get(k).worth();
            }
        }
        return offeredWorth == 0 ? 1 : servedWorth / offeredWorth;
    }

    private static double worthPerWork(Fleet fleet, int requestClass) {
        return fleet.settings().classes().get(requestClass).worth()
                / Math.max(1e-9, fleet.work().get(requestClass).onCore().mean());
    }
}
