package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import whinlead.replication.Trace;

/** The trace of one request across the files of two processes. */
class TraceFileTest {
    @Test
    void followPrintsStepsOfAllProcessesInOrder(@TempDir Path dir) throws IOException {
        TraceFile one = new TraceFile(dir.resolve("one"), "p1");
        TraceFile other = new TraceFile(dir.resolve("other"), "p2");
        one.step("r1", Trace.Step.ASKED, "e1");
        one.step("r12", Trace.Step.ASKED, "e2");
        other.step("r1", Trace.Step.PASSED_HERE, "p1");
        one.step("r1", Trace.Step.GRANTED, "0");
        PrintStream console = System.out;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        int exit;
        try {
            exit = Tools.execute(
                    "copies",
                    "follow",
                    "r1",
                    dir.resolve("other.0").toString(),
                    dir.resolve("one.0").toString());
        } finally {
            System.setOut(console);
        }
        assertEquals(0, exit);
        List<String> steps = output.toString(StandardCharsets.UTF_8)
                .lines()
                .map(l -> l.substring(l.indexOf("  ") + 2))
                .toList();
        assertEquals(List.of("p1  asked  e1", "p2  passed_here  p1", "p1  granted  0"), steps);
        assertTrue(output.toString(StandardCharsets.UTF_8).startsWith("20"));
    }
}
