package whinlead.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * The fronts drawn from a description with a seed: the model, zone and speed of each, and the fronts that each change
 * affects. Adding a front leaves the others unchanged.
 *
 * @param all the fronts, ordered by number
 * @param affected for each change of the fleet, in order, the indexes of the affected fronts
 */
public record Machines(List<Machine> all, List<List<Integer>> affected) {
    /** Multiples of this, modulo 1, are spread evenly for any count. */
    private static final double GOLDEN_RATIO_CONJUGATE = (Math.sqrt(5) - 1) / 2;

    private static final double TIE_TOLERANCE = 1e-9;

    /** A front; the speed applies to each core when the front is healthy and warm. */
    public record Machine(String id, Fleet.Model model, Fleet.Zone zone, double speed) {}

    /** Draws the fronts of a fleet. */
    public static Machines of(Fleet fleet, long seed) {
        Random random = new Random(seed);
        List<Machine> all = new ArrayList<>();
        int[] assigned = new int[fleet.models().size()];
        for (int i = 0; i < fleet.fronts(); i++) {
            int modelIndex = nextModel(fleet.models(), assigned, i);
            assigned[modelIndex]++;
            Fleet.Model model = fleet.models().get(modelIndex);
            all.add(new Machine(
                    "f" + i,
                    model,
                    zone(fleet.zones(), i),
                    model.slowest() + (model.fastest() - model.slowest()) * random.nextDouble()));
        }
        List<List<Integer>> affected = new ArrayList<>();
        for (int c = 0; c < fleet.changes().size(); c++) {
            Fleet.Change change = fleet.changes().get(c);
            List<Integer> candidates = new ArrayList<>();
            for (int i = 0; i < all.size(); i++) {
                if (change.zone() == null || all.get(i).zone().name().equals(change.zone())) {
                    candidates.add(i);
                }
            }
            Collections.shuffle(candidates, new Random(seed + c + 1));
            affected.add(List.copyOf(candidates.subList(0, (int) Math.round(candidates.size() * change.share()))));
        }
        return new Machines(List.copyOf(all), List.copyOf(affected));
    }

    // The largest-remainder method.
    private static int nextModel(List<Fleet.Model> models, int[] assigned, int count) {
        int best = 0;
        double largestRemainder = Double.NEGATIVE_INFINITY;
        for (int k = 0; k < assigned.length; k++) {
            double remainder = models.get(k).share() * (count + 1) - assigned[k];
            if (remainder > largestRemainder + TIE_TOLERANCE) {
                largestRemainder = remainder;
                best = k;
            }
        }
        return best;
    }

    // A low-discrepancy sequence, so that no zone gets all fronts of one model.
    private static Fleet.Zone zone(List<Fleet.Zone> zones, int frontIndex) {
        double position = (frontIndex + 1) * GOLDEN_RATIO_CONJUGATE % 1;
        for (Fleet.Zone z : zones) {
            position -= z.share();
            if (position < 0) {
                return z;
            }
        }
        return zones.get(zones.size() - 1);
    }
}
