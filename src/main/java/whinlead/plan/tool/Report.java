package whinlead.plan.tool;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import whinlead.plan.Interval;

/** A report of the planner: figures with confidence intervals, notes and plots. Equal inputs give equal reports. */
final class Report {
    private static final String PLOT_LIBRARY = "/META-INF/resources/webjars/uplot/1.6.30/dist/";

    private record Plot(String name, double[] seconds) {}

    private final String title;
    private final Path file;
    private final long[] seeds;
    private final Map<String, Interval> figures = new LinkedHashMap<>();
    private final List<String> notes = new ArrayList<>();
    private final List<Plot> plots = new ArrayList<>();

    Report(String title, Path file, long[] seeds) {
        this.title = title;
        this.file = file;
        this.seeds = seeds;
    }

    /** Adds a figure with its interval. */
    void figure(String name, Interval value) {
        figures.put(name, value);
    }

    /** Adds an exact figure. */
    void figure(String name, double value) {
        figures.put(name, new Interval(value, 0, 1));
    }

    void note(String line) {
        notes.add(line);
    }

    /** Adds a plot of one value per second, from the first second on; NaN for a missing value. */
    void plot(String name, double[] seconds) {
        plots.add(new Plot(name, seconds));
    }

    void print(PrintStream out) {
        out.println(title + " (" + file.getFileName() + ", seeds " + Arrays.toString(seeds) + ")");
        figures.forEach((name, i) -> out.println(name + ": " + formatted(i)));
        notes.forEach(out::println);
    }

    private static String formatted(Interval i) {
        if (Double.isInfinite(i.half())) {
            return String.format(Locale.ROOT, "%.4f (one run)", i.mean());
        }
        return i.half() == 0
                ? String.format(Locale.ROOT, "%.4f", i.mean())
                : String.format(Locale.ROOT, "%.4f +- %.4f", i.mean(), i.half());
    }

    /** Writes the report as JSON. */
    void json(Path target) throws IOException {
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        ObjectNode root = mapper.createObjectNode()
                .put("title", title)
                .put("description", file.getFileName().toString());
        ArrayNode list = root.putArray("seeds");
        Arrays.stream(seeds).forEach(list::add);
        ObjectNode all = root.putObject("figures");
        // The half width is infinite for a single run, which JSON cannot represent.
        figures.forEach((name, i) -> all.putObject(name)
                .put("mean", i.mean())
                .put("half", Double.isInfinite(i.half()) ? null : (Double) i.half())
                .put("runs", i.runs()));
        ArrayNode lines = root.putArray("notes");
        notes.forEach(lines::add);
        write(target, mapper.writeValueAsString(root) + "\n");
    }

    /** Writes the report as a self-contained HTML page. */
    void html(Path target) throws IOException {
        StringBuilder page = new StringBuilder(
                        "<!doctype html>\n<html lang=\"en\"><head>" + "<meta charset=\"utf-8\"><title>")
                .append(escaped(title))
                .append("</title>\n<style>")
                .append(resource("uPlot.min.css"))
                .append("\nbody{font-family:sans-serif;max-width:60em;margin:2em auto}td{padding:0 1em 0 0}")
                .append("</style>\n<script>")
                .append(resource("uPlot.iife.min.js"))
                .append("</script></head><body>\n<h1>")
                .append(escaped(title))
                .append("</h1>\n<p>")
                .append(escaped(file.getFileName().toString()))
                .append(", seeds ")
                .append(Arrays.toString(seeds))
                .append(". Intervals are Student's, 95%; a figure without one is exact.</p>\n<ul>\n");
        notes.forEach(n -> page.append("<li>").append(escaped(n)).append("</li>\n"));
        page.append("</ul>\n<table>\n");
        figures.forEach((name, i) -> page.append("<tr><td>")
                .append(escaped(name))
                .append("</td><td>")
                .append(formatted(i))
                .append("</td></tr>\n"));
        page.append("</table>\n");
        for (int plotIndex = 0; plotIndex < plots.size(); plotIndex++) {
            Plot plot = plots.get(plotIndex);
            page.append("<h2>")
                    .append(escaped(plot.name()))
                    .append("</h2>\n<div id=\"p")
                    .append(plotIndex)
                    .append("\"></div>\n<script>new uPlot({width:800,height:300,scales:{x:{time:false}},")
                    .append("series:[{label:\"s\"},{label:\"share\",stroke:\"#1565c0\"}]},[")
                    .append(numbers(plot.seconds(), true))
                    .append(',')
                    .append(numbers(plot.seconds(), false))
                    .append("],document.getElementById(\"p")
                    .append(plotIndex)
                    .append("\"));</script>\n");
        }
        write(target, page.append("</body></html>\n").toString());
    }

    private static String numbers(double[] values, boolean indexes) {
        StringBuilder text = new StringBuilder("[");
        for (int i = 0; i < values.length; i++) {
            text.append(i == 0 ? "" : ",")
                    .append(
                            indexes
                                    ? Integer.toString(i)
                                    : Double.isNaN(values[i]) ? "null" : String.format(Locale.ROOT, "%.4f", values[i]));
        }
        return text.append(']').toString();
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Report.class.getResourceAsStream(PLOT_LIBRARY + name)) {
            if (in == null) {
                throw new IOException("plot library is not in the jar: " + PLOT_LIBRARY + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(l -> !l.startsWith("//#"))
                    .collect(Collectors.joining("\n"));
        }
    }

    // Written to a temporary file and moved: an interrupted run leaves no partial report.
    private static void write(Path target, String text) throws IOException {
        Path folder = target.toAbsolutePath().getParent();
        Path temporary = Files.createTempFile(folder, "plan", ".tmp");
        try {
            Files.writeString(temporary, text);
            Files.move(temporary, target, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }
}
