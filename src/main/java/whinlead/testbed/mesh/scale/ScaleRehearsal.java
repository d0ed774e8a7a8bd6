package whinlead.testbed.mesh.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * {@code rehearse scale}: what control costs a sidecar and a control node, at several sizes of the mesh, and how it
 * grows. Control nodes and one sidecar are processes of their own, the other sidecars share one. Of the sizes one may
 * have several values; each figure is then fitted on it. Exits with 1 where the run used more than it may.
 */
@Command(
        name = "scale",
        description = "What control costs sidecars and control nodes, and how it grows with "
                + "sidecars, services, routes, tenants or changes a minute.")
public final class ScaleRehearsal implements Callable<Integer> {
    /** What all processes of a run may use together. */
    private static final double MAX_CORES = 4;

    private static final double MAX_MB = 10_240;
    private static final int MAX_SIDECARS = 600;

    @Option(
            names = "--sidecars",
            split = ",",
            description = "How many, the real one too; 25,50,100,200, or 25 where another size varies.")
    private List<Integer> sidecars;

    @Option(names = "--services", split = ",", description = "In the configuration; ${DEFAULT-VALUE}.")
    private List<Integer> services = List.of(2);

    @Option(names = "--routes", split = ",", description = "In the configuration; ${DEFAULT-VALUE}.")
    private List<Integer> routes = List.of(8);

    @Option(names = "--tenants", split = ",", description = "In the configuration; ${DEFAULT-VALUE}.")
    private List<Integer> tenants = List.of(20);

    @Option(
            names = "--asked",
            split = ",",
            description = "Tenants that requests come for at every sidecar; ${DEFAULT-VALUE}.")
    private List<Integer> asked = List.of(0);

    @Option(names = "--listed", split = ",", description = "Sidecars that are listed and not there; ${DEFAULT-VALUE}.")
    private List<Integer> listed = List.of(0);

    @Option(names = "--changes-per-min", split = ",", description = "Of the configuration; ${DEFAULT-VALUE}.")
    private List<Double> changes = List.of(60.0);

    @Option(names = "--listings-per-min", split = ",", description = "Endpoints replaced; ${DEFAULT-VALUE}.")
    private List<Double> records = List.of(600.0);

    @Option(names = "--bytes", description = "Only what messages weigh at these sizes; nothing is started.")
    private boolean bytes;

    @Option(names = "--control-nodes", description = "${DEFAULT-VALUE}.")
    private int controlNodes = 3;

    @Option(names = "--seconds", description = "Length of each span; ${DEFAULT-VALUE}.")
    private double seconds = 15;

    @Option(names = "--warm", description = "Seconds before the first span; ${DEFAULT-VALUE}.")
    private double warm = 20;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (sidecars == null) {
            sidecars = Stream.of(services, routes, tenants, asked, listed, changes, records)
                            .anyMatch(size -> size.size() > 1)
                    ? List.of(25)
                    : List.of(25, 50, 100, 200);
        }
        List<double[]> points = points();
        String size = varied();
        Map<String, List<double[]>> fits = new LinkedHashMap<>();
        int kept = 0;
        for (double[] p : points) {
            Sizes sizes = new Sizes((int) p[0], (int) p[1], (int) p[2], (int) p[3], (int) p[4], (int) p[5], p[6], p[7]);
            Map<String, Double> figures = bytes ? Weights.of(sizes) : measured(sizes);
            double at = at(size, sizes);
            boolean left = Point.disturbed(figures);
            figures.forEach((name, value) -> {
                System.out.printf(Locale.ROOT, "%s=%.0f, %s: %.4f%n", size, at, name, value);
                if (!left) {
                    fits.computeIfAbsent(name, n -> new ArrayList<>()).add(new double[] {at, value});
                }
            });
            if (left) {
                System.out.printf(Locale.ROOT, "%s=%.0f: disturbed, left out of the fits%n", size, at);
            } else {
                kept++;
            }
            if (broken(figures)) {
                return 1;
            }
        }
        int all = kept;
        fits.forEach((name, values) -> fit(size, name, values, all));
        return 0;
    }

    private Map<String, Double> measured(Sizes sizes) throws IOException, InterruptedException {
        double load = load();
        Map<String, Double> figures = new Point(sizes, controlNodes, seconds, warm).measure();
        figures.put("the machine's load before", load);
        figures.put("the machine's load after", load());
        return figures;
    }

    private static double load() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    private List<double[]> points() {
        List<double[]> all = new ArrayList<>();
        for (int n : sidecars) {
            for (int s : services) {
                for (int r : routes) {
                    for (int t : tenants) {
                        for (int a : asked) {
                            for (int d : listed) {
                                for (double c : changes) {
                                    for (double l : records) {
                                        all.add(new double[] {n, s, r, t, a, d, c, l});
                                    }
                                }
                            }
                        }
                    }
                }
            }
        }
        for (double[] p : all) {
            if (p[0] < 2 || p[0] > MAX_SIDECARS || p[1] < 1 || p[2] < p[1] || p[4] > p[3]) {
                throw new ParameterException(
                        spec.commandLine(),
                        "2 to " + MAX_SIDECARS
                                + " sidecars, as many routes as services at least, no more asked for than tenants");
            }
        }
        return all;
    }

    // By the message that stands for it in formulas.
    private String varied() {
        Map<String, List<?>> sizes = new LinkedHashMap<>();
        sizes.put("N", sidecars);
        sizes.put("S", services);
        sizes.put("R", routes);
        sizes.put("T", tenants);
        sizes.put("A", asked);
        sizes.put("D", listed);
        sizes.put("C", changes);
        sizes.put("L", records);
        List<String> several = sizes.entrySet().stream()
                .filter(e -> e.getValue().size() > 1)
                .map(Map.Entry::getKey)
                .toList();
        if (several.size() > 1) {
            throw new ParameterException(spec.commandLine(), "only one size may have several values");
        }
        return several.isEmpty() ? "N" : several.get(0);
    }

    private static double at(String size, Sizes s) {
        return switch (size) {
            case "S" -> s.services();
            case "R" -> s.routes();
            case "T" -> s.tenants();
            case "A" -> s.asked();
            case "D" -> s.listed();
            case "C" -> s.changesPerMin();
            case "L" -> s.endpointRecordsPerMin();
            default -> s.sidecars();
        };
    }

    private static boolean broken(Map<String, Double> figures) {
        boolean over = figures.entrySet().stream()
                .anyMatch(e -> e.getKey().endsWith("all processes, cores") && e.getValue() > MAX_CORES
                        || e.getKey().endsWith("all processes, MB") && e.getValue() > MAX_MB);
        if (over) {
            System.out.printf(
                    Locale.ROOT, "stopped: over %.0f cores or %.0f MB (promised) BROKEN%n", MAX_CORES, MAX_MB);
        }
        return over;
    }

    private static void fit(String size, String name, List<double[]> values, int all) {
        for (int degree = 1; degree <= 2; degree++) {
            if (values.size() == all && all > degree + 1) {
                double[] x = values.stream().mapToDouble(v -> v[0]).toArray();
                double[] y = values.stream().mapToDouble(v -> v[1]).toArray();
                System.out.printf(
                        "fit of degree %d, %s: %s%n",
                        degree, name, Fit.of(x, y, degree).formula(size));
            }
        }
    }
}
