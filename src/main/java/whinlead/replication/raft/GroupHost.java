package whinlead.replication.raft;

import io.microraft.RaftConfig;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import whinlead.engine.Timers;
import whinlead.replication.Command;
import whinlead.replication.GroupClock;
import whinlead.replication.GroupRoute;
import whinlead.replication.Placement;
import whinlead.replication.ReplicatedState;
import whinlead.replication.ReplicationClient;
import whinlead.replication.Reply;
import whinlead.replication.Trace;

/**
 * One process's part in all groups of a site: its seats in some of them, and its routes to the others. Requests are
 * assigned to groups by their ids ({@link Placement}); any process forwards commands to the group that is responsible
 * for the request. Its inputs are messages and time, its outputs messages; no I/O. On the engine's thread.
 */
public final class GroupHost implements ReplicationClient.Group {
    /** What the host needs of its process. */
    public interface Environment {
        /** Sends once, without a guarantee of delivery; never calls back before it returns. */
        void send(String group, String to, GroupMessage message);

        /** The stored log of a seat in this group; empty if there is no seat or no disk. */
        LogMirror loadLog(String group);

        /** Erases the stored log; from now on the returned log is used. */
        LogMirror wipeLog(String group);

        /** The process no longer has a seat in this group. */
        void seatRetired(String group);

        /** Reports a line to the operator. */
        void report(String line);

        /** Another process is running under this name: this one has to exit. */
        void nameTaken();
    }

    /**
     * The operator's settings.
     *
     * @param name of this process
     * @param processes of the site, this one included
     * @param groups by name, each with its founding members; at least one
     * @param replaceAfterMs of silence after which a member is replaced by a guest; 0 for never
     */
    public record Setup(
            String name,
            SortedSet<String> processes,
            SortedMap<String, SortedSet<String>> groups,
            double replaceAfterMs,
            RaftConfig consensus,
            ReplicatedState.Limits limits) {
        /** Copies the collections, and checks that all founding members are processes. */
        public Setup {
            processes = Collections.unmodifiableSortedSet(new TreeSet<>(processes));
            SortedMap<String, SortedSet<String>> copy = new TreeMap<>();
            groups.forEach((group, names) -> copy.put(group, Collections.unmodifiableSortedSet(new TreeSet<>(names))));
            groups = Collections.unmodifiableSortedMap(copy);
            for (SortedSet<String> names : groups.values()) {
                if (!processes.containsAll(names)) {
                    throw new IllegalArgumentException(
                            "a group has a founding member that is not a process of the site: " + names);
                }
            }
        }

        private boolean isFounder(String group) {
            return groups.get(group).contains(name);
        }

        private SeatSetup seatSetup(String group) {
            return new SeatSetup(name, group, groups.get(group), processes, replaceAfterMs, consensus, limits);
        }
    }

    private final Setup setup;
    private final Timers timers;
    private final Random random;
    private final Environment environment;
    private final Placement placement;
    private final Trace trace;
    private final SortedMap<String, Seat> seats = new TreeMap<>();
    private final Map<String, GroupRoute> routes = new HashMap<>();

    /**
     * A host that is not started yet.
     *
     * @param random for the numbers that identify this process; needs a good seed, or two processes could get the same
     *     identity
     */
    public GroupHost(Setup setup, Timers timers, Random random, Environment environment, Trace trace) {
        this.trace = trace;
        this.setup = setup;
        this.timers = timers;
        this.random = random;
        this.environment = environment;
        placement = new Placement(setup.groups().keySet());
        for (String group : setup.groups().keySet()) {
            LogMirror log = setup.isFounder(group) || setup.replaceAfterMs() > 0 ? environment.loadLog(group) : null;
            if (setup.isFounder(group) || log != null && log.restored() != null) {
                seats.put(group, seat(group, log));
            }
        }
    }

    private Seat seat(String group, LogMirror log) {
        return new Seat(
                setup.seatSetup(group), timers, new GroupClock(timers.nowMs()), log, random, new Seat.Environment() {
                    @Override
                    public void send(String to, GroupMessage message) {
                        environment.send(group, to, message);
                    }

                    @Override
                    public LogMirror wipeLog() {
                        return environment.wipeLog(group);
                    }

                    @Override
                    public void report(String line) {
                        environment.report(line);
                    }

                    @Override
                    public void nameTaken() {
                        environment.nameTaken();
                    }

                    @Override
                    public void seatRetired() {
                        seats.remove(group);
                        environment.seatRetired(group);
                    }
                });
    }

    /** Starts all seats. */
    public void start() {
        List.copyOf(seats.values()).forEach(Seat::start);
    }

    /** The groups in which the process has a seat or tries to get one. */
    public Set<String> groups() {
        return Set.copyOf(seats.keySet());
    }

    /** The process's seat in this group; null if it has none. */
    public Seat seat(String group) {
        return seats.get(group);
    }

    /** The connection to a process is down. */
    public void down(String name) {
        seats.values().forEach(seat -> seat.down(name));
    }

    /** Writing this group's log to disk has failed. */
    public void diskFailed(String group, String reason) {
        Seat seat = seats.get(group);
        if (seat != null) {
            seat.diskFailed(reason);
        }
    }

    @Override
    public void submit(Command command, Consumer<Reply> listener) {
        String id = command.id();
        if (id == null) {
            seats.values().forEach(seat -> seat.submit(command, listener));
            return;
        }
        String group = placement.groupOf(id);
        Seat seat = seats.get(group);
        if (seat != null && (seat.canServe() || otherFounders(group).isEmpty())) {
            seat.submit(command, listener);
        } else {
            GroupRoute route = route(group);
            route.query(command, listener, timers.nowMs());
            trace.step(id, Trace.Step.PASSED_ON, route.target());
        }
    }

    @Override
    public long time(String id) {
        String group = placement.groupOf(id);
        Seat seat = seats.get(group);
        return seat != null && (seat.canServe() || otherFounders(group).isEmpty())
                ? seat.time()
                : route(group).time(timers.nowMs());
    }

    // The other founders that may be queried. The order depends on this process's name, to spread the load.
    private List<String> otherFounders(String group) {
        List<String> others = new ArrayList<>(setup.groups().get(group));
        others.remove(setup.name());
        return Placement.ranked(setup.name(), others);
    }

    private GroupRoute route(String group) {
        return routes.computeIfAbsent(
                group,
                g -> new GroupRoute(
                        otherFounders(g),
                        random.nextLong(),
                        (to, token, command) -> environment.send(
                                g,
                                to,
                                new GroupMessage(setup.name(), 0, 0, new Envelope.RoutedCommand(token, command)))));
    }

    /**
     * Handles a message.
     *
     * @param replySender replies to the process that sent the message, even if its name's address leads to another
     */
    public void receive(String group, GroupMessage message, Consumer<GroupMessage> replySender) {
        if (!setup.groups().containsKey(group) || !setup.processes().contains(message.sender())) {
            return;
        }
        Seat seat = seats.get(group);
        if (message.envelope() instanceof Envelope.RoutedCommand command) {
            receiveRouted(seat, message.sender(), command, replySender);
        } else if (message.envelope() instanceof Envelope.RoutedReply reply) {
            GroupRoute route = routes.get(group);
            if (route != null) {
                String leader = setup.processes().contains(reply.leader()) ? reply.leader() : "";
                route.receiveReply(reply.token(), reply.reply(), reply.groupTimeMs(), leader, timers.nowMs());
            }
        } else if (message.envelope() instanceof Envelope.Invite invite) {
            if (seat == null && !setup.isFounder(group)) {
                Seat guest = seat(group, environment.wipeLog(group));
                seats.put(group, guest);
                guest.acceptInvitation(invite.founders());
            }
        } else if (seat != null) {
            seat.receive(message, replySender);
        }
    }

    private void receiveRouted(
            Seat seat, String sender, Envelope.RoutedCommand routed, Consumer<GroupMessage> replySender) {
        if (seat == null || !seat.canServe()) {
            replySender.accept(
                    new GroupMessage(setup.name(), 0, 0, new Envelope.RoutedReply(routed.token(), null, -1, "")));
        } else if (routed.command() == null) {
            replySender.accept(routedReply(seat, routed, null));
        } else {
            trace.step(routed.command().id(), Trace.Step.PASSED_HERE, sender);
            seat.submit(routed.command(), reply -> replySender.accept(routedReply(seat, routed, reply)));
        }
    }

    private GroupMessage routedReply(Seat seat, Envelope.RoutedCommand routed, Reply reply) {
        return new GroupMessage(
                setup.name(),
                0,
                0,
                new Envelope.RoutedReply(
                        routed.token(),
                        reply,
                        seat.time(),
                        seat.member() == null ? "" : seat.member().leader()));
    }
}
