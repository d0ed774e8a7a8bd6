package whinlead.testbed;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import whinlead.testbed.fleet.CopiesFleet;
import whinlead.testbed.replication.Bug;
import whinlead.testbed.replication.CopiesDay;

/**
 * {@code rehearse copies}: groups of sidecars under seeded schedules of faults, by a driven clock. The same seed plays
 * the same schedule, whatever the number of threads.
 */
@Command(
        name = "copies",
        description = "Groups of sidecars that keep what they hold for each other, under "
                + "seeded schedules of faults: kills with their disks, freezes, cuts, lost and late messages.")
final class CopiesRehearsal implements Callable<Integer> {
    /** One in so many schedules is played by five members, the others by three. */
    private static final int LARGE = 3;
    /** Of the library's faults one may be left that no schedule has shown yet. */
    private static final double MAX_STOPPED = 0.001;

    private static final int SMALL_GROUP = 3;
    private static final int LARGE_GROUP = 5;

    @Option(names = "--schedules", description = "Schedules to play.")
    private int schedules = 2000;

    @Option(names = "--seed", description = "Seed of the first; the next ones follow it.")
    private long seed = 1;

    @Option(names = "--bug", description = "A fault to plant, which is to be found: ${COMPLETION-CANDIDATES}.")
    private Bug bug = Bug.NONE;

    @Option(names = "--fleet", description = "Schedules over two groups, with processes that replace members.")
    private boolean fleet;

    @Option(names = "--groups", description = "So many groups of real processes in place of simulated ones.")
    private int groups;

    @Option(names = "--members", description = "Members of each of these groups.")
    private int members = SMALL_GROUP;

    @Option(names = "--faults", description = "Faults over all of these groups.")
    private int faults = 200;

    @Option(names = "--rate", description = "Requests a second to each of these groups.")
    private double rate = 25;

    @Option(names = "--disks", description = "Their members have disks that last.")
    private boolean disks;

    @Option(
            names = "--site",
            description = "All groups are one site's: any process is asked, and lost members " + "are replaced.")
    private boolean site;

    @Option(
            names = "--lose",
            description =
                    "Of a site, one process in so many is ended at once and for good, and " + "nothing else happens.")
    private int lose;

    @Option(names = "--without", description = "The same without copies, as the program was before.")
    private boolean without;

    private record Sum(Map<String, Integer> broken, Map<String, Integer> seen, Map<Long, Map<String, Integer>> seeds) {
        private static Sum none() {
            return new Sum(new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
        }

        private Sum and(Sum other) {
            other.broken.forEach((k, v) -> broken.merge(k, v, Integer::sum));
            other.seen.forEach((k, v) -> seen.merge(k, v, Integer::sum));
            seeds.putAll(other.seeds);
            return this;
        }
    }

    private Sum play(long number) {
        CopiesDay.Result r = fleet
                ? CopiesDay.playFleet(number, bug)
                : CopiesDay.play(number, number % LARGE == 0 ? LARGE_GROUP : SMALL_GROUP, bug);
        Sum sum = Sum.none().and(new Sum(r.broken(), r.seen(), Map.of()));
        Map<String, Integer> told = new TreeMap<>(r.broken());
        r.seen().entrySet().stream()
                .filter(e -> e.getKey().equals(CopiesDay.STOPPED) || e.getKey().equals(CopiesDay.SHORT))
                .forEach(e -> told.put(e.getKey(), e.getValue()));
        if (!told.isEmpty()) {
            sum.seeds.put(number, told);
        }
        return sum;
    }

    private void processes(Promises promises, boolean copies) throws IOException {
        String of = copies ? "" : "without copies, ";
        try (CopiesFleet fleet = new CopiesFleet(
                new CopiesFleet.Plan(groups, members, copies, copies && site, copies && disks, faults, rate, seed))) {
            CopiesFleet.Result r = fleet.play();
            promises.figure(of + "processes", groups * members);
            r.ledger().seen().forEach((what, times) -> promises.figure(of + what, times));
            promises.figure(of + "served, share of all", r.served());
            promises.figure(of + "served, share in the 5 s after a kill", r.around());
            List<Double> gaps = r.gaps().stream().sorted().toList();
            promises.figure(of + "after a fault until one was let out, median, ms", part(gaps, 0.5));
            promises.figure(of + "after a fault until one was let out, 99th percentile, ms", part(gaps, 0.99));
            promises.figure(of + "after a fault until one was let out, most, ms", part(gaps, 1));
            if (copies) {
                promises.rules("broken promises", r.ledger().broken());
            } else {
                r.ledger().broken().forEach((rule, times) -> promises.figure(of + rule, times));
            }
        }
    }

    private void loss(Promises promises) throws IOException {
        try (CopiesFleet fleet =
                new CopiesFleet(new CopiesFleet.Plan(groups, members, true, true, disks, 0, rate, seed))) {
            CopiesFleet.Loss l = fleet.lose(lose);
            promises.figure("processes", groups * members);
            promises.figure("lost at once", l.lost());
            promises.figure("seats taken by others", l.moved());
            promises.figure("bytes said by those that live until all were whole", l.saidBytes());
            promises.figure("of that snapshots", l.snapshotBytes());
            promises.figure("until all groups were whole, ms", l.wholeMs());
            fleet.ledger().seen().forEach(promises::figure);
            promises.rules("broken promises", fleet.ledger().broken());
        }
    }

    private static double part(List<Double> sorted, double share) {
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, share * sorted.size()));
    }

    @Override
    public Integer call() throws IOException {
        Promises promises = new Promises(System.out);
        if (groups > 0 && lose > 0) {
            loss(promises);
            return promises.kept() ? 0 : 1;
        }
        if (groups > 0) {
            processes(promises, true);
            if (without) {
                processes(promises, false);
            }
            return promises.kept() ? 0 : 1;
        }
        Sum all = LongStream.range(seed, seed + schedules)
                .parallel()
                .mapToObj(this::play)
                .reduce(Sum.none(), (a, b) -> Sum.none().and(a).and(b));
        promises.figure("schedules", schedules);
        all.seen().forEach(promises::figure);
        all.seeds().entrySet().stream()
                .limit(20)
                .forEach(e -> System.out.println("seed " + e.getKey() + ": " + e.getValue()));
        if (bug != Bug.NONE) {
            promises.over(
                    "planted: " + bug + ", found",
                    all.broken().values().stream().mapToInt(Integer::intValue).sum(),
                    0);
        } else {
            promises.rules("broken promises", all.broken());
            promises.under(
                    "share of groups that did not come back",
                    all.seen().getOrDefault(CopiesDay.STOPPED, 0) / (double) schedules,
                    MAX_STOPPED);
        }
        return promises.kept() ? 0 : 1;
    }
}
