package whinlead.testbed.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import whinlead.replication.wire.Wire;

/** One process of a fleet, with the links by which it reaches the other members of its group. */
final class FleetNode implements AutoCloseable {
    private static final double NOT_HEALTHY = Double.MAX_VALUE;

    private final FleetContext context;
    private final int group;
    private final int member;
    private final String host;
    private final Path folder;
    private final FleetProcess process;
    private final ConsultClient consult;
    /** By the number of the member that each leads to. Made on the playing thread, used on the loop. */
    private final Map<Integer, Relay> links = new LinkedHashMap<>();

    private StatusClient status;
    private boolean retired;
    /** Since when it has run undisturbed, in milliseconds; {@link #NOT_HEALTHY} while killed or stopped. */
    private volatile double healthySince;

    /**
     * A process that is yet to start.
     *
     * @param group number of the group that it is a member of at first
     * @param member its number in that group
     * @throws IOException if its files can't be written
     */
    FleetNode(FleetContext context, int group, int member) throws IOException {
        this.context = context;
        this.group = group;
        this.member = member;
        host = context.files().address(group, member);
        folder = Files.createDirectories(context.root().resolve(name()));
        String seed = Long.toHexString(context.random().nextLong());
        process = new FleetProcess(folder, context.files().write(group, member, folder, seed));
        consult = new ConsultClient(context, host);
    }

    String name() {
        return FleetFiles.name(group, member);
    }

    /** Its number in its first group. */
    int member() {
        return member;
    }

    FleetProcess process() {
        return process;
    }

    ConsultClient consult() {
        return consult;
    }

    /** Its link to another member; null to itself, or where processes know nothing of each other. */
    Relay link(int to) {
        return links.get(to);
    }

    /** Has its links listen. Blocks until they do. */
    void openLinks() {
        CopiesFleet.Plan plan = context.plan();
        for (int i = 0; plan.copies() && i < plan.members(); i++) {
            if (i != member) {
                InetSocketAddress target = new InetSocketAddress(context.files().address(group, i), FleetFiles.GROUP);
                Relay relay = new Relay(context.loop(), target);
                relay.listen(context.files().link(group, member, i));
                links.put(i, relay);
            }
        }
        status = new StatusClient(host);
    }

    /** All of its links work again. For the event loop. */
    void healLinks() {
        links.values().forEach(Relay::heal);
    }

    /** What it says of its membership in a group; empty if it does not run or answer. */
    Optional<Wire.StatusReply> liveStatus(String inGroup) {
        return process.alive() ? status.status(inGroup) : Optional.empty();
    }

    /** What it says of its membership in a group; empty if it does not answer. */
    Optional<Wire.StatusReply> status(String inGroup) {
        return status.status(inGroup);
    }

    /** What it holds of a request. */
    String knownReply(String inGroup, String requestId) throws IOException {
        return status.knownReply(inGroup, requestId);
    }

    /** Whether it takes clients. */
    boolean ready() {
        return FleetFiles.ready(context.http(), host, StatusClient.TIMEOUT_MS);
    }

    /** SIGKILL. */
    void kill() {
        healthySince = NOT_HEALTHY;
        process.kill();
    }

    /** Deletes what it has on disk. */
    void deleteDisk() throws IOException {
        FleetProcess.delete(FleetFiles.disk(folder));
    }

    /** SIGSTOP. */
    void freeze() throws IOException {
        healthySince = NOT_HEALTHY;
        process.freeze();
    }

    /** It runs again, if it did not. */
    void markHealthy() {
        if (healthySince == NOT_HEALTHY) {
            healthySince = context.now();
        }
    }

    /** Whether it has run undisturbed since a time before this one, in milliseconds of the run. */
    boolean healthyBefore(double time) {
        return healthySince < time && process.alive() && !process.frozen();
    }

    /** The line of its log with which it left its group, or an empty one. */
    String stepDownLine() throws IOException {
        try (Stream<String> lines = Files.lines(process.log())) {
            return lines.filter(line -> line.contains("steps aside"))
                    .findFirst()
                    .orElse("");
        }
    }

    /** It has left its group for good. */
    void retire() {
        retired = true;
    }

    boolean retired() {
        return retired;
    }

    /** Ends the process and closes its links. */
    @Override
    public void close() {
        process.close();
        if (status != null) {
            status.close();
        }
        links.values().forEach(relay -> context.loop().execute(relay::close));
    }
}
