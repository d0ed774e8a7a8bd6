package whinlead.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * The fronts that a description comes to with a seed: which model and zone each is of, how fast, and which ones a
 * change meets. One more front changes none of the others.
 *
 * @param all in the order of their names
 * @param met for each change of the fleet, in its order, the positions that it meets
 */
public record Machines(List<Machine> all, List<List<Integer>> met) {
    /** Its multiples are spread evenly over a turn, however many there are. */
    private static final double GOLDEN = (Math.sqrt(5) - 1) / 2;

    private static final double TIE = 1e-9;

    /** A front; its speed is that of each of its cores when well and warm. */
    public record Machine(String id, Fleet.Model model, Fleet.Zone zone, double speed) {}

    /** Those of a fleet. */
    public static Machines of(Fleet fleet, long seed) {
        Random dice = new Random(seed);
        List<Machine> all = new ArrayList<>();
        int[] given = new int[fleet.models().size()];
        for (int i = 0; i < fleet.fronts(); i++) {
            int k = owed(fleet.models(), given, i);
            given[k]++;
            Fleet.Model m = fleet.models().get(k);
            all.add(new Machine(
                    "f" + i, m, zone(fleet.zones(), i), m.slowest() + (m.fastest() - m.slowest()) * dice.nextDouble()));
        }
        List<List<Integer>> met = new ArrayList<>();
        for (int c = 0; c < fleet.changes().size(); c++) {
            Fleet.Change change = fleet.changes().get(c);
            List<Integer> there = new ArrayList<>();
            for (int i = 0; i < all.size(); i++) {
                if (change.zone() == null || all.get(i).zone().name().equals(change.zone())) {
                    there.add(i);
                }
            }
            Collections.shuffle(there, new Random(seed + c + 1));
            met.add(List.copyOf(there.subList(0, (int) Math.round(there.size() * change.share()))));
        }
        return new Machines(List.copyOf(all), List.copyOf(met));
    }

    // By largest remainder.
    private static int owed(List<Fleet.Model> models, int[] given, int count) {
        int best = 0;
        double most = Double.NEGATIVE_INFINITY;
        for (int k = 0; k < given.length; k++) {
            double owed = models.get(k).share() * (count + 1) - given[k];
            if (owed > most + TIE) {
                most = owed;
                best = k;
            }
        }
        return best;
    }

    // By a sequence of low discrepancy, lest a zone gets all fronts of a model.
    private static Fleet.Zone zone(List<Fleet.Zone> zones, int i) {
        double at = (i + 1) * GOLDEN % 1;
        for (Fleet.Zone z : zones) {
            at -= z.share();
            if (at < 0) {
                return z;
            }
        }
        return zones.get(zones.size() - 1);
    }
}
