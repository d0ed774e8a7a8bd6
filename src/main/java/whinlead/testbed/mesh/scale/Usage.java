package whinlead.testbed.mesh.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a process has used so far, as the kernel counts it. Bytes are those of all its reads and writes: sockets, and
 * the little that it reads and writes of files.
 *
 * @param cpuS processor time, of threads that have ended too, in seconds, to a hundredth
 * @param residentMb memory in use now, in units of 2^20 bytes
 * @param ownMb of this, what no file backs and no other process shares
 */
record Usage(double cpuS, double residentMb, double ownMb, long readBytes, long writtenBytes) {
    /** Ticks of a second in /proc, the same on every Linux. */
    private static final double TICKS = 100;
    /** Of the fields after a process's name, those of its processor time: user, then system. */
    private static final int USER = 11;

    private static final int SYSTEM = 12;
    private static final double KB_A_MB = 1024;

    /**
     * Of a process.
     *
     * @throws IOException if it has ended
     */
    static Usage of(long pid) throws IOException {
        Path proc = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(proc.resolve("stat"));
        // The name may hold spaces; it ends with the last bracket.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double cpuS = (Long.parseLong(fields[USER]) + Long.parseLong(fields[SYSTEM])) / TICKS;
        return new Usage(
                cpuS,
                field(proc.resolve("status"), "VmRSS:") / KB_A_MB,
                field(proc.resolve("status"), "RssAnon:") / KB_A_MB,
                field(proc.resolve("io"), "rchar:"),
                field(proc.resolve("io"), "wchar:"));
    }

    private static long field(Path file, String name) throws IOException {
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(name)) {
                return Long.parseLong(
                        line.substring(name.length()).replace("kB", "").trim());
            }
        }
        throw new IOException(file + " has no " + name);
    }

    /** What was used since then; memory stays what it is now. */
    Usage since(Usage then) {
        return new Usage(
                cpuS - then.cpuS, residentMb, ownMb, readBytes - then.readBytes, writtenBytes - then.writtenBytes);
    }
}
