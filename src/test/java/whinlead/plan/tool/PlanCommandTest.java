package whinlead.plan.tool;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import whinlead.plan.Bounds;

/** Tests the planner's command line: the shipped description, invalid ones, captures and reproducible reports. */
class PlanCommandTest {
    private static final Path SHIPPED = Path.of("deploy/fleet.json");

    @TempDir
    Path dir;

    private Path writeDescription(String from, String to) throws Exception {
        String text = Files.readString(SHIPPED);
        assertTrue(text.contains(from), from);
        return Files.writeString(dir.resolve("fleet.json"), text.replace(from, to));
    }

    @Test
    void askGivesSameReportOnAnyNumberOfThreads() throws Exception {
        Path quick = writeDescription("\"seconds\": 20", "\"seconds\": 3");
        for (String threads : List.of("1", "8")) {
            assertEquals(
                    0,
                    PlanCommand.run(
                            "ask",
                            quick.toString(),
                            "--seeds",
                            "2",
                            "--ramp-most",
                            "0.5",
                            "--threads",
                            threads,
                            "--json",
                            dir.resolve("a" + threads + ".json").toString(),
                            "--html",
                            dir.resolve("a" + threads + ".html").toString()));
        }
        for (String kind : List.of(".json", ".html")) {
            assertArrayEquals(
                    Files.readAllBytes(dir.resolve("a1" + kind)), Files.readAllBytes(dir.resolve("a8" + kind)));
        }
        JsonNode answer = new ObjectMapper().readTree(dir.resolve("a1.json").toFile());
        assertTrue(answer.at("/figures/worth served/mean").doubleValue() > 0.9, answer.toString());
        String page = Files.readString(dir.resolve("a1.html"));
        assertTrue(
                page.contains("new uPlot(") && page.contains("var uPlot="),
                "page contains the plots and their library");
        assertFalse(page.matches("(?s).*(src|href)=\"http.*"), "page loads nothing from other hosts");
    }

    @Test
    void solveFindsFrontCountOrReportsGoalOutOfReach() throws Exception {
        Path quick = writeDescription("\"seconds\": 20", "\"seconds\": 3");
        Path json = dir.resolve("a.json");
        assertEquals(
                0,
                PlanCommand.run(
                        "solve",
                        quick.toString(),
                        "--goal",
                        "0.9",
                        "--seeds",
                        "2",
                        "--most",
                        "16",
                        "--json",
                        json.toString()));
        assertTrue(Files.readString(json).contains("fronts meet it"));
        assertEquals(
                1,
                PlanCommand.run(
                        "solve",
                        quick.toString(),
                        "--goal",
                        "0.9",
                        "--seeds",
                        "2",
                        "--most",
                        "2",
                        "--json",
                        json.toString()));
        assertTrue(
                Files.readString(json).contains("No number up to 2 meets it; in the way: cores"),
                Files.readString(json));
    }

    @Test
    void compareOfIdenticalDescriptionsShowsNoDifference() throws Exception {
        Path quick = writeDescription("\"seconds\": 20", "\"seconds\": 2");
        Path json = dir.resolve("a.json");
        assertEquals(
                0,
                PlanCommand.run(
                        "compare", quick.toString(), quick.toString(), "--seeds", "2", "--json", json.toString()));
        JsonNode apart =
                new ObjectMapper().readTree(json.toFile()).at("/figures/worth served, second less first, by pairs");
        assertEquals(0, apart.get("mean").doubleValue());
        assertEquals(0, apart.get("half").doubleValue());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"share\": 0.4 | \"share\": -0.4 | zones",
                "\"share\": 0.4 | \"share\": 0.5 | zones: shares add up to 1.1",
                "\"share\": 0.4 | \"share\": NaN | not JSON",
                "\"changes\": [] | \"changes\": [{\"kind\":\"zone_lost\",\"zone\":\"x\",\"from\":0,\"to\":1}] "
                        + "| no zone x",
                "\"submit\": 0.2 | \"other\": 0.2 | load.mix: no class other",
                "\"attempts\": 4 | \"attempts\": 0 | attempts",
                "\"reports\": true | \"reports\": 1 | reports",
                "\"load\": { | \"more\": 1, \"load\": { | more",
                "\"speed\": [0.8, 1.0] | \"speed\": [2, 1.0] | small has its fastest below its slowest",
                "[0.5, 0.25, 0.25] | [0.5, 0.25] | sidecars.shares"
            })
    void invalidDescriptionIsReportedInOneLineWithField(String from, String to, String named) throws Exception {
        Path bad = writeDescription(from, to);
        String message = assertThrows(IllegalArgumentException.class, () -> Description.read(bad))
                .getMessage();
        assertTrue(message.contains(named), message);
        assertEquals(1, message.lines().count());
        Path json = dir.resolve("a.json");
        assertEquals(1, PlanCommand.run("ask", bad.toString(), "--json", json.toString()));
        assertFalse(Files.exists(json), "no partial report");
    }

    @Test
    void captureCanBeMadeInspectedAndAsked() throws Exception {
        Path quick = writeDescription("\"seconds\": 20", "\"seconds\": 3");
        Path capture = dir.resolve("load.capture");
        Path json = dir.resolve("a.json");
        assertEquals(0, CaptureCommand.run("make", quick.toString(), capture.toString()));
        assertEquals(0, CaptureCommand.run("inspect", capture.toString()));
        assertEquals(
                0,
                PlanCommand.run(
                        "ask",
                        quick.toString(),
                        "--load",
                        capture.toString(),
                        "--seeds",
                        "2",
                        "--ramp-most",
                        "0.5",
                        "--json",
                        json.toString()));
        JsonNode answer = new ObjectMapper().readTree(json.toFile());
        assertEquals(2700, answer.at("/figures/requests in the capture/mean").doubleValue(), 300);
        assertTrue(answer.at("/figures/worth served/mean").doubleValue() > 0.9, answer.toString());
        assertEquals(
                0,
                PlanCommand.run(
                        "ask",
                        quick.toString(),
                        "--load",
                        capture.toString(),
                        "--seeds",
                        "2",
                        "--times",
                        "4",
                        "--ramp-most",
                        "0.3",
                        "--json",
                        json.toString()));
        assertTrue(
                Files.readString(json).contains("this is extrapolated"),
                "load far beyond the capture is marked as extrapolated");

        byte[] whole = Files.readAllBytes(capture);
        Files.write(capture, Arrays.copyOf(whole, whole.length - 5));
        assertEquals(
                0,
                PlanCommand.run(
                        "ask",
                        quick.toString(),
                        "--load",
                        capture.toString(),
                        "--seeds",
                        "2",
                        "--ramp-most",
                        "0.3",
                        "--json",
                        json.toString()));
        assertTrue(Files.readString(json).contains("torn and is left out"));
        Files.writeString(capture, "{}");
        assertEquals(1, PlanCommand.run("ask", quick.toString(), "--load", capture.toString(), "--seeds", "2"));
        assertEquals(1, CaptureCommand.run("inspect", capture.toString()));
        assertEquals(1, CaptureCommand.run("inspect", dir.resolve("absent").toString()));
    }

    @Test
    void badUsageAndBadInputHaveDifferentExitCodes() {
        assertEquals(2, PlanCommand.run("solve", SHIPPED.toString()));
        assertEquals(1, PlanCommand.run("ask", "absent.json"));
        assertEquals(1, PlanCommand.run("ask", SHIPPED.toString(), "--seeds", "1"));
    }

    @Test
    void closedFormBoundsAgreeWithManualCalculation() {
        Description d = Description.read(SHIPPED);
        // Twelve fronts, half with two cores at 0.9 and half with four at 1.0; 22 ms of work per request.
        assertEquals(12 * (0.5 * 2 * 0.9 + 0.5 * 4 * 1.0), Bounds.capacity(d.fleet()), 1e-9);
        assertEquals(0.9 * 22 / 34.8, Bounds.utilisation(d.fleet(), d.load()), 1e-9);
        assertEquals(1, Bounds.maxWorthShare(d.fleet(), d.load()), 1e-9);
        // At three times the load only classes with the highest worth per unit of work fit.
        double share = Bounds.maxWorthShare(d.fleet(), d.load().scaled(3));
        assertTrue(share > 0.7 && share < 0.9, "at most " + share);
    }
}
