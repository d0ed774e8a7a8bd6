package whinlead.testbed.mesh.upgrade;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A version of the program.
 *
 * @param name what it is called in the figures
 * @param launch the arguments by which Java finds its classes and its main class
 */
public record Program(String name, List<String> launch) {
    /** The version that runs now. */
    public static Program running() {
        return new Program("new", List.of("-cp", System.getProperty("java.class.path"), "whinlead.run.Main"));
    }

    /** The version in this file, whose manifest names the main class: older versions have another package. */
    public static Program of(Path jar) {
        return new Program("old", List.of("-jar", jar.toAbsolutePath().toString()));
    }

    /** The command that runs one of its roles, with little memory and compiled in a hurry. */
    List<String> command(String role) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx96m"));
        command.addAll(launch);
        command.add(role);
        return command;
    }
}
