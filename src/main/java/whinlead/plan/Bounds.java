package whinlead.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * What no policy can pass, by utilisation alone: the fronts' cores can't do more work in a span than there is of them,
 * whatever is sent where. A cross-check on the simulation, free of its rules.
 */
public final class Bounds {
    private Bounds() {}

    /** Cores of speed 1 that the fleet amounts to when well and warm, by the mean of each model's speeds. */
    public static double capacity(Fleet f) {
        double each = 0;
        for (Fleet.Model m : f.models()) {
            each += m.share() * m.cores() * (m.slowest() + m.fastest()) / 2;
        }
        return each * f.fronts();
    }

    /** Share of the capacity that the load asks for outside bursts, without handshakes; 1 is all. */
    public static double utilisation(Fleet f, Load load) {
        return load.perSecond() / 1000 * meanWork(f, load) / capacity(f);
    }

    private static double meanWork(Fleet f, Load load) {
        double mean = 0;
        for (int k = 0; k < f.work().size(); k++) {
            mean += load.mix().get(k) * f.work().get(k).core().mean();
        }
        return mean;
    }

    /**
     * The most of the worth of first tries that could be served: in each span of one rate the classes with the most
     * worth for their work first, as far as cores go, and what came in it may be worked on for the longest aim after
     * its end.
     */
    public static double worthMost(Fleet f, Load load) {
        double aim =
                f.settings().classes().stream().mapToDouble(c -> c.aim()).max().orElse(0);
        List<Integer> best = new ArrayList<>();
        for (int k = 0; k < f.work().size(); k++) {
            best.add(k);
        }
        best.sort((a, b) -> Double.compare(value(f, b), value(f, a)));
        TreeSet<Double> edges = new TreeSet<>(List.of(0.0, load.length()));
        for (Load.Burst b : load.bursts()) {
            edges.add(Math.min(load.length(), b.from()));
            edges.add(Math.min(load.length(), b.to()));
        }
        double asked = 0;
        double got = 0;
        for (double from : edges.headSet(load.length())) {
            double span = edges.higher(from) - from;
            double cores = capacity(f) * (span + aim);
            for (int k : best) {
                double came = load.rate(from) / 1000 * span * load.mix().get(k);
                double work = f.work().get(k).core().mean();
                double done = work == 0 ? came : Math.min(came, cores / work);
                cores -= done * work;
                asked += came * f.settings().classes().get(k).worth();
                got += done * f.settings().classes().get(k).worth();
            }
        }
        return asked == 0 ? 1 : got / asked;
    }

    private static double value(Fleet f, int k) {
        return f.settings().classes().get(k).worth()
                / Math.max(1e-9, f.work().get(k).core().mean());
    }
}
