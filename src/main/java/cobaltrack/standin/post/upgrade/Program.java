package cobaltrack.standin.post.upgrade;

import java.nio.file.Path;
import java.util.List;

/**
 * A version of the program.
 *
 * @param name what it is called in the figures
 * @param classPath where its classes are
 */
public record Program(String name, String classPath) {
    /** The version that runs now. */
    public static Program running() {
        return new Program("new", System.getProperty("java.class.path"));
    }

    /** The version in this file. */
    public static Program of(Path jar) {
        return new Program("old", jar.toAbsolutePath().toString());
    }

    /** The command that runs one of its roles, with little memory and compiled in a hurry. */
    List<String> command(String role) {
        return List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx96m", "-cp", classPath,
                "cobaltrack.run.Main", role);
    }
}
