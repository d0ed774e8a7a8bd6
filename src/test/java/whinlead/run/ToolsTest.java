package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The exit codes of the command line and its one-line error messages. */
class ToolsTest {
    private static String captureErrorOutput(Runnable task) {
        PrintStream console = System.err;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        System.setErr(new PrintStream(output, true, StandardCharsets.UTF_8));
        try {
            task.run();
        } finally {
            System.setErr(console);
        }
        return output.toString(StandardCharsets.UTF_8);
    }

    @Test
    void validFileExitsWith0() {
        assertEquals(0, Tools.execute("copies", "check", "deploy/copies.json"));
        assertEquals(0, Tools.execute("rehearse"));
    }

    @ParameterizedTest
    @CsvSource({
        "copies check absent.json, 1",
        "copies replace deploy/copies.json no-such a, 1",
        "copies follow r pom.xml, 1",
        "plan ask absent.json, 1",
        "no-such, 2",
        "copies check, 2",
        "rehearse no-such, 2"
    })
    void exitCodeTellsKindOfFailure(String line, int code) {
        int[] exit = new int[1];
        String output = captureErrorOutput(() -> exit[0] = Tools.execute(line.split(" ")));
        assertEquals(code, exit[0], output);
        if (code == 1 && !line.contains("follow")) {
            assertEquals(1, output.lines().count(), output);
        }
    }

    @Test
    void usageListsAllCommands() {
        String output = captureErrorOutput(() -> assertEquals(2, Tools.execute()));
        for (String name : new String[] {"demo", "rehearse", "plan", "capture", "replay", "copies"}) {
            assertTrue(output.contains(name), output);
        }
    }
}
