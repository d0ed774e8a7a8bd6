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
 * What one process has to do with all groups of a site: its seats in some of them, and its ways to the others. Requests
 * are placed by their ids ({@link Placement}); whichever process is asked passes what is to be agreed on to the group
 * that keeps the request. Messages and time in, messages out; no I/O. On the engine's thread.
 */
public final class GroupHost implements ReplicationClient.Group {
    /** What it needs of the process. */
    public interface Outside {
        /** Sends once, or loses it; never calls back before it returns. */
        void send(String group, String to, GroupMessage message);

        /** What the disk holds of a seat in this group; empty if there is none, or no disk. */
        LogMirror found(String group);

        /** Forgets that; what is held from now on goes to the log given back. */
        LogMirror wiped(String group);

        /** There is no seat in this group any more. */
        void retired(String group);

        /** Tells the operator, in one line. */
        void note(String line);

        /** Another process lives under this name: this one is to end. */
        void taken();
    }

    /**
     * What an operator sets.
     *
     * @param name of this process
     * @param processes of the site, this one among them
     * @param groups by their names, each with its first members; at least one
     * @param replaceAfterMs of silence, until a member is replaced by a guest; 0 for never
     */
    public record Setup(
            String name,
            SortedSet<String> processes,
            SortedMap<String, SortedSet<String>> groups,
            double replaceAfterMs,
            RaftConfig consensus,
            ReplicatedState.Limits limits) {
        /** Keeps copies, and checks that its members are processes. */
        public Setup {
            processes = Collections.unmodifiableSortedSet(new TreeSet<>(processes));
            SortedMap<String, SortedSet<String>> copy = new TreeMap<>();
            groups.forEach((group, names) -> copy.put(group, Collections.unmodifiableSortedSet(new TreeSet<>(names))));
            groups = Collections.unmodifiableSortedMap(copy);
            for (SortedSet<String> names : groups.values()) {
                if (!processes.containsAll(names)) {
                    throw new IllegalArgumentException("a group has a member that is no process: " + names);
                }
            }
        }

        private boolean first(String group) {
            return groups.get(group).contains(name);
        }

        private SeatSetup seat(String group) {
            return new SeatSetup(name, group, groups.get(group), processes, replaceAfterMs, consensus, limits);
        }
    }

    private final Setup setup;
    private final Timers timers;
    private final Random random;
    private final Outside outside;
    private final Placement placement;
    private final Trace trace;
    private final SortedMap<String, Seat> seats = new TreeMap<>();
    private final Map<String, GroupRoute> ways = new HashMap<>();

    /**
     * A host that is yet to start.
     *
     * @param random for what tells this process apart from all others: well seeded, or two could be one
     */
    public GroupHost(Setup setup, Timers timers, Random random, Outside outside, Trace trace) {
        this.trace = trace;
        this.setup = setup;
        this.timers = timers;
        this.random = random;
        this.outside = outside;
        placement = new Placement(setup.groups().keySet());
        for (String group : setup.groups().keySet()) {
            LogMirror found = setup.first(group) || setup.replaceAfterMs() > 0 ? outside.found(group) : null;
            if (setup.first(group) || found != null && found.restored() != null) {
                seats.put(group, seat(group, found));
            }
        }
    }

    private Seat seat(String group, LogMirror log) {
        return new Seat(setup.seat(group), timers, new GroupClock(timers.now()), log, random, new Seat.Outside() {
            @Override
            public void send(String to, GroupMessage message) {
                outside.send(group, to, message);
            }

            @Override
            public LogMirror wiped() {
                return outside.wiped(group);
            }

            @Override
            public void note(String line) {
                outside.note(line);
            }

            @Override
            public void taken() {
                outside.taken();
            }

            @Override
            public void retired() {
                seats.remove(group);
                outside.retired(group);
            }
        });
    }

    /** Finds its places from now on. */
    public void start() {
        List.copyOf(seats.values()).forEach(Seat::start);
    }

    /** The groups in which it has a seat, or looks for one. */
    public Set<String> groups() {
        return Set.copyOf(seats.keySet());
    }

    /** Its seat in this group; null if it has none. */
    public Seat seat(String group) {
        return seats.get(group);
    }

    /** The link to a process is down. */
    public void down(String name) {
        seats.values().forEach(s -> s.down(name));
    }

    /** The disk takes nothing of this group's any more. */
    public void diskFailed(String group, String why) {
        Seat seat = seats.get(group);
        if (seat != null) {
            seat.diskFailed(why);
        }
    }

    @Override
    public void submit(Command command, Consumer<Reply> answer) {
        String id = command.id();
        if (id == null) {
            seats.values().forEach(s -> s.submit(command, answer));
            return;
        }
        String group = placement.of(id);
        Seat seat = seats.get(group);
        if (seat != null && (seat.serves() || others(group).isEmpty())) {
            seat.submit(command, answer);
        } else {
            GroupRoute way = way(group);
            way.ask(command, answer, timers.now());
            trace.step(id, Trace.Step.PASSED_ON, way.target());
        }
    }

    @Override
    public long time(String id) {
        String group = placement.of(id);
        Seat seat = seats.get(group);
        return seat != null && (seat.serves() || others(group).isEmpty())
                ? seat.time()
                : way(group).time(timers.now());
    }

    // Those that may be asked, in an order of this process's own, so that not all ask the same.
    private List<String> others(String group) {
        List<String> others = new ArrayList<>(setup.groups().get(group));
        others.remove(setup.name());
        return Placement.ranked(setup.name(), others);
    }

    private GroupRoute way(String group) {
        return ways.computeIfAbsent(
                group,
                g -> new GroupRoute(
                        others(g),
                        random.nextLong(),
                        (to, token, command) -> outside.send(
                                g, to, new GroupMessage(setup.name(), 0, 0, new Envelope.Pass(token, command)))));
    }

    /**
     * Something has come.
     *
     * @param back to the very process that said it, whoever its name's address leads to
     */
    public void received(String group, GroupMessage message, Consumer<GroupMessage> back) {
        if (!setup.groups().containsKey(group) || !setup.processes().contains(message.from())) {
            return;
        }
        Seat seat = seats.get(group);
        if (message.what() instanceof Envelope.Pass pass) {
            passed(seat, message.from(), pass, back);
        } else if (message.what() instanceof Envelope.Passed answer) {
            GroupRoute way = ways.get(group);
            if (way != null) {
                String leader = setup.processes().contains(answer.leader()) ? answer.leader() : "";
                way.answered(answer.token(), answer.reply(), answer.time(), leader, timers.now());
            }
        } else if (message.what() instanceof Envelope.Invite invite) {
            if (seat == null && !setup.first(group)) {
                Seat guest = seat(group, outside.wiped(group));
                seats.put(group, guest);
                guest.invited(invite.first());
            }
        } else if (seat != null) {
            seat.received(message, back);
        }
    }

    private void passed(Seat seat, String from, Envelope.Pass pass, Consumer<GroupMessage> back) {
        if (seat == null || !seat.serves()) {
            back.accept(new GroupMessage(setup.name(), 0, 0, new Envelope.Passed(pass.token(), null, -1, "")));
        } else if (pass.command() == null) {
            back.accept(answer(seat, pass, null));
        } else {
            trace.step(pass.command().id(), Trace.Step.PASSED_HERE, from);
            seat.submit(pass.command(), reply -> back.accept(answer(seat, pass, reply)));
        }
    }

    private GroupMessage answer(Seat seat, Envelope.Pass pass, Reply reply) {
        return new GroupMessage(
                setup.name(),
                0,
                0,
                new Envelope.Passed(
                        pass.token(),
                        reply,
                        seat.time(),
                        seat.member() == null ? "" : seat.member().leader()));
    }
}
