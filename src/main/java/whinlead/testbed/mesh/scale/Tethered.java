package whinlead.testbed.mesh.scale;

import java.io.IOException;
import whinlead.mesh.run.MeshCommand;

/**
 * A role of the mesh in a process that ends with its standard input, so that none outlives the run that started it,
 * however that ended. For each byte of its input it collects its heap and tells what is in use.
 */
public final class Tethered {
    /** How the line begins that tells the heap in use after a collection, in bytes. */
    static final String HEAP = "heap ";

    private Tethered() {}

    /** Runs a role; arguments as on the command line. */
    public static void main(String... args) {
        hold();
        MeshCommand.main(args);
    }

    /** Ends this process once its input has. */
    private static void hold() {
        Thread thread = new Thread(
                () -> {
                    try {
                        while (System.in.read() >= 0) {
                            System.gc();
                            Runtime heap = Runtime.getRuntime();
                            System.out.println(HEAP + (heap.totalMemory() - heap.freeMemory()));
                        }
                    } catch (IOException e) {
                        Runtime.getRuntime().halt(1);
                    }
                    Runtime.getRuntime().halt(0);
                },
                "tether");
        thread.setDaemon(true);
        thread.start();
    }
}
