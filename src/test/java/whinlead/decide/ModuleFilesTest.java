package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Users audit the module by the deploy file, which must name all of its source files. */
class ModuleFilesTest {
    private static final Path MODULE = Path.of("src/main/java/whinlead/decide");

    @Test
    void deployFileNamesEveryFileOfTheModule() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        for (Path file : files()) {
            assertTrue(
                    policy.contains("\"" + file + "\""),
                    () -> file + " is missing in the policy of deploy/balancer.toml");
        }
    }

    private static List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(MODULE)) {
            return files.toList();
        }
    }
}
