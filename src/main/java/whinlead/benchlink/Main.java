package whinlead.benchlink;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line: {@code benchlink} speaks the simulator's line protocol on standard input and output. */
public final class Main {
    private Main() {}

    /** Runs the adapter; exits with 2 on bad usage and 1 on input that violates the protocol or an I/O error. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar whinlead.jar benchlink");
            System.exit(2);
        }
        try {
            new Link(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireException | IOException e) {
            System.err.println("benchlink: " + e.getMessage());
            System.exit(1);
        }
    }
}
