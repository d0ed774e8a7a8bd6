package whinlead.testbed.replication;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import whinlead.Contract;
import whinlead.membership.EndpointList;
import whinlead.plan.Calendar;
import whinlead.replication.net.Frames;
import whinlead.replication.raft.GroupMessage;
import whinlead.replication.raft.Member;
import whinlead.replication.wire.Wire;

/** The simulated machines of one schedule, with their network, clock and random numbers. */
final class SimCluster {
    /**
     * Which machines there are.
     *
     * @param spares machines that are first members of no group
     * @param replaceAfterMs of silence until a spare replaces a member; 0 for never
     */
    record Layout(int groups, int membersPerGroup, int spares, double replaceAfterMs) {
        private int machines() {
            return groups * membersPerGroup + spares;
        }

        private SortedSet<String> machineNames() {
            SortedSet<String> names = new TreeSet<>();
            for (int i = 0; i < machines(); i++) {
                names.add("m" + i);
            }
            return names;
        }

        private SortedMap<String, SortedSet<String>> firstMembers() {
            SortedMap<String, SortedSet<String>> members = new TreeMap<>();
            for (int i = 0; i < groups * membersPerGroup; i++) {
                members.computeIfAbsent("g" + i / membersPerGroup, g -> new TreeSet<>())
                        .add("m" + i);
            }
            return members;
        }
    }

    private static final int ENDPOINTS = 5;
    private static final int FIRST_ENDPOINT_PORT = 1000;
    private static final int NO_ENDPOINT = -1;

    private final Calendar calendar = new Calendar();
    private final Truth truth = new Truth();
    private final Random random;
    private final SimNet network;
    private final boolean replacing;
    private final SortedMap<String, SortedSet<String>> groups;
    private final List<SimMachine> machines = new ArrayList<>();
    private final Map<String, SimMachine> machinesByName = new HashMap<>();
    private int drainingEndpoint = NO_ENDPOINT;

    /** Machines that are yet to start. */
    SimCluster(Layout layout, long seed, Bug bug) {
        random = new Random(seed);
        network = new SimNet(calendar, new Random(random.nextLong()));
        replacing = layout.spares > 0;
        groups = layout.firstMembers();
        SortedSet<String> names = layout.machineNames();
        boolean durableDisks = random.nextInt(3) > 0;
        for (int i = 0; i < layout.machines(); i++) {
            SimMachine machine = new SimMachine(
                    "m" + i,
                    names,
                    groups,
                    layout.replaceAfterMs,
                    SimRequestKind.SETTINGS,
                    calendar,
                    truth,
                    bug,
                    durableDisks,
                    new Random(random.nextLong()));
            machines.add(machine);
            machinesByName.put(machine.name(), machine);
        }
    }

    Calendar calendar() {
        return calendar;
    }

    Truth truth() {
        return truth;
    }

    Random random() {
        return random;
    }

    SimNet network() {
        return network;
    }

    /** Whether spares replace members that stay away. */
    boolean replacing() {
        return replacing;
    }

    /** The names of each group's first members, by the group's name. */
    SortedMap<String, SortedSet<String>> groups() {
        return groups;
    }

    List<SimMachine> machines() {
        return machines;
    }

    SimMachine machine(String name) {
        return machinesByName.get(name);
    }

    SimMachine randomMachine() {
        return machines.get(random.nextInt(machines.size()));
    }

    /** Those of a group's members that run. */
    Stream<Member> liveMembers(String group) {
        return machines.stream()
                .filter(machine -> machine.alive() && machine.member(group) != null)
                .map(machine -> machine.member(group));
    }

    /** The first machine whose member believes that it leads a group. */
    Optional<SimMachine> leader(String group) {
        return machines.stream()
                .filter(machine -> machine.alive()
                        && machine.member(group) != null
                        && machine.member(group).leads())
                .findFirst();
    }

    /** Starts all machines. */
    void start() {
        machines.forEach(this::start);
    }

    /** Starts a machine, again or for the first time. */
    void start(SimMachine machine) {
        machine.start((group, to, message) -> send(group, machine, machinesByName.get(to), message), endpoints());
    }

    // As messages go between processes: by the frames of their service.
    private void send(String group, SimMachine from, SimMachine to, GroupMessage message) {
        Wire.Frame frame = Frames.encode(group, message);
        network.send(from.name(), to.name(), () -> {
            if (to.alive()) {
                to.process()
                        .run(() ->
                                to.host().receive(group, Frames.decode(frame), reply -> send(group, to, from, reply)));
            }
        });
    }

    /** From now on one endpoint at random drains; machines hear of that one after the other. */
    void drainEndpoint(int withinMs) {
        drainingEndpoint = random.nextInt(ENDPOINTS);
        machines.stream()
                .filter(SimMachine::alive)
                .forEach(machine -> calendar.schedule(random.nextInt(withinMs), () -> machine.list(endpoints())));
    }

    private EndpointList endpoints() {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            Contract.ServerState standing =
                    i == drainingEndpoint ? Contract.ServerState.DRAINING : Contract.ServerState.UP;
            entries.add(new EndpointList.Entry(
                    new Contract.Server("e" + i, standing, 1, "a", -1, 0),
                    new InetSocketAddress("127.0.0.1", FIRST_ENDPOINT_PORT + i)));
        }
        return new EndpointList(1, true, entries);
    }
}
