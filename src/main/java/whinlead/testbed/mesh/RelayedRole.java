package whinlead.testbed.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import whinlead.mesh.run.MeshCommand;

/**
 * A role of the mesh as a process whose ways to others lead through relays: the same program, but that it dials another
 * address where the file that {@link #RELAYS} names has a line {@code REAL RELAY}, each of them ADDRESS:PORT. What is
 * not listed there it dials as ever.
 */
public final class RelayedRole {
    /** The system property that names the file. */
    public static final String RELAYS = "whinlead.relays";

    private RelayedRole() {}

    /** Runs the role until the process ends. */
    public static void main(String... args) throws IOException {
        Map<InetSocketAddress, InetSocketAddress> relays =
                read(Files.readAllLines(Path.of(System.getProperty(RELAYS))));
        MeshCommand.run(address -> relays.getOrDefault(address, address), args);
    }

    private static Map<InetSocketAddress, InetSocketAddress> read(List<String> lines) {
        Map<InetSocketAddress, InetSocketAddress> relays = new HashMap<>();
        for (String line : lines) {
            int blank = line.indexOf(' ');
            relays.put(address(line.substring(0, blank)), address(line.substring(blank + 1)));
        }
        return relays;
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
