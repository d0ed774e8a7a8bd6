package whinlead.replication.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.RaftConfig;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import whinlead.engine.Timers;
import whinlead.plan.Calendar;
import whinlead.replication.Command;
import whinlead.replication.Placement;
import whinlead.replication.ReplicatedState;
import whinlead.replication.Reply;
import whinlead.replication.net.Frames;
import whinlead.replication.wire.Wire;

/** Processes of a site with two groups and one more process, on a simulated clock and an in-memory network. */
class GroupHostTest {
    private static final RaftConfig CONFIG = RaftConfig.newBuilder()
            .setLeaderElectionTimeoutMillis(300)
            .setLeaderHeartbeatPeriodSecs(1)
            .setLeaderHeartbeatTimeoutSecs(2)
            .build();
    private static final SortedMap<String, SortedSet<String>> GROUPS =
            new TreeMap<>(Map.of("g", new TreeSet<>(Set.of("a", "b", "c")), "h", new TreeSet<>(Set.of("d", "e", "f"))));
    private static final SortedSet<String> PROCESSES = new TreeSet<>(Set.of("a", "b", "c", "d", "e", "f", "x"));
    private static final double REPLACE_AFTER_MS = 3000;

    /** Strongly referenced: a garbage-collected logger loses its level. */
    private static final Logger CONSENSUS = Logger.getLogger("io.microraft");

    private final Calendar clock = new Calendar();
    private final Map<String, Process> processes = new HashMap<>();
    private final Random random = new Random(5);
    private long attempts;

    private final class Process implements GroupHost.Environment, Timers {
        private final String name;
        private final GroupHost host;
        private final Map<String, LogMirror> disks;
        private final int protocolVersion;
        private boolean dead;

        private Process(String name, Map<String, LogMirror> disks, int protocolVersion) {
            this.name = name;
            this.disks = disks;
            this.protocolVersion = protocolVersion;
            host = new GroupHost(
                    new GroupHost.Setup(
                            name,
                            PROCESSES,
                            GROUPS,
                            protocolVersion < GroupMessage.GUESTS_VERSION ? 0 : REPLACE_AFTER_MS,
                            CONFIG,
                            new ReplicatedState.Limits(1000, 1000, 10, 60_000)),
                    this,
                    new Random(random.nextLong()),
                    this,
                    (id, step, detail) -> {});
        }

        @Override
        public double nowMs() {
            return clock.nowMs();
        }

        @Override
        public TimerHandle schedule(double millis, Runnable task) {
            Calendar.Event due = clock.schedule(Math.max(0, millis), () -> {
                if (!dead) {
                    task.run();
                }
            });
            return due::cancel;
        }

        @Override
        public void send(String group, String receiver, GroupMessage message) {
            deliver(group, processes.get(receiver), message);
        }

        private void deliver(String group, Process receiver, GroupMessage message) {
            // Encoded and decoded, as between processes.
            Wire.Frame frame = Frames.encode(
                    group,
                    new GroupMessage(
                            message.sender(),
                            message.senderIncarnation(),
                            message.receiverIncarnation(),
                            protocolVersion,
                            message.envelope()));
            if (receiver != null && !dead) {
                clock.schedule(1, () -> {
                    if (!receiver.dead) {
                        receiver.host.receive(
                                group, Frames.decode(frame), reply -> receiver.deliver(group, this, reply));
                    }
                });
            }
        }

        @Override
        public LogMirror loadLog(String group) {
            return disks.computeIfAbsent(group, g -> new LogMirror());
        }

        @Override
        public LogMirror wipeLog(String group) {
            disks.put(group, new LogMirror());
            return disks.get(group);
        }

        @Override
        public void seatRetired(String group) {
            disks.remove(group);
        }

        @Override
        public void report(String line) {
            // Not checked here.
        }

        @Override
        public void nameTaken() {
            throw new IllegalStateException(name + " is another");
        }

        private boolean votes(String group) {
            return host.seat(group) != null && host.seat(group).status().votes();
        }
    }

    private Process start(String name, int protocolVersion) {
        Process process = new Process(name, new HashMap<>(), protocolVersion);
        processes.put(name, process);
        process.host.start();
        return process;
    }

    private void kill(String name) {
        processes.get(name).dead = true;
    }

    private void advance(double millis) {
        clock.runUntil(clock.nowMs() + millis);
    }

    private void startAll() {
        PROCESSES.forEach(name -> start(name, GroupMessage.PROTOCOL_VERSION));
        advance(3000);
    }

    private Set<String> voters(String group) {
        return processes.values().stream()
                .filter(process -> !process.dead && process.votes(group))
                .map(process -> process.name)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static String requestIdPlacedIn(String group) {
        for (int i = 0; ; i++) {
            if (new Placement(GROUPS.keySet()).groupOf("r" + i).equals(group)) {
                return "r" + i;
            }
        }
    }

    // Repeats the command until a reply arrives, as ReplicationClient does.
    private Reply allow(String processName, String id) {
        List<Reply> replies = new ArrayList<>();
        Process process = processes.get(processName);
        Command.Allow command = null;
        for (int i = 0; i < 40 && replies.isEmpty(); i++) {
            long groupTimeMs = process.host.time(id);
            if (groupTimeMs >= 0) {
                command = command != null
                        ? command
                        : new Command.Allow(
                                id,
                                "p",
                                Command.Guard.UNSAFE,
                                new Command.Attempt(processName, ++attempts),
                                List.of(),
                                "e",
                                100_000,
                                groupTimeMs + 4000,
                                false);
                process.host.submit(command, replies::add);
            }
            advance(80);
        }
        return replies.isEmpty() ? null : replies.get(0);
    }

    @BeforeAll
    static void silenceLogger() {
        CONSENSUS.setLevel(Level.OFF);
    }

    @Test
    void anyProcessRoutesARequestToItsGroup() {
        startAll();
        for (String group : GROUPS.keySet()) {
            String id = requestIdPlacedIn(group);
            assertEquals(new Reply.Granted(0), allow("x", id));
            for (String other : List.of("a", "d", "f")) {
                assertEquals(new Reply.Out(), allow(other, id), other);
            }
            GROUPS.get(group)
                    .forEach(m -> assertEquals(
                            1, processes.get(m).host.seat(group).status().requests(), m));
        }
    }

    @Test
    void requestsAreRoutedToAnotherMemberAfterTheLeaderIsLost() {
        startAll();
        String id = requestIdPlacedIn("h");
        assertEquals(new Reply.Granted(0), allow("x", id));
        kill(processes.values().stream()
                .filter(p -> p.votes("h") && p.host.seat("h").status().leads())
                .findFirst()
                .orElseThrow()
                .name);
        assertEquals(new Reply.Out(), allow("x", id));
    }

    @Test
    void aGuestTakesALostMembersSeatAndReturnsIt() {
        startAll();
        String id = requestIdPlacedIn("g");
        assertEquals(new Reply.Granted(0), allow("d", id));
        kill("b");
        advance(12_000);
        Set<String> voters = voters("g");
        assertEquals(3, voters.size());
        String guest = voters.stream()
                .filter(n -> !GROUPS.get("g").contains(n))
                .findFirst()
                .orElseThrow();
        assertEquals(1, processes.get(guest).host.seat("g").status().requests());
        // Another loss is tolerated: the guest knows what was granted.
        kill("c");
        assertEquals(new Reply.Out(), allow("f", id));
        start("c", GroupMessage.PROTOCOL_VERSION);
        start("b", GroupMessage.PROTOCOL_VERSION);
        advance(20_000);
        assertEquals(GROUPS.get("g"), voters("g"));
        assertNull(processes.get(guest).host.seat("g"));
        assertEquals(new Reply.Out(), allow("x", id));
    }

    /** The replacement must not wait for the period of silence. */
    @Test
    void aMemberGivenUpByAnOperatorIsReplacedAtOnce() {
        startAll();
        Seat leader = processes.values().stream()
                .filter(p -> p.votes("g") && p.host.seat("g").status().leads())
                .findFirst()
                .orElseThrow()
                .host
                .seat("g");
        String lost = GROUPS.get("g").stream()
                .filter(n -> !n.equals(leader.status().id().name()))
                .findFirst()
                .orElseThrow();
        String other = GROUPS.get("g").stream()
                .filter(n -> !n.equals(lost) && !n.equals(leader.status().id().name()))
                .findFirst()
                .orElseThrow();
        assertTrue(processes.get(other).host.seat("g").replace(lost).contains("does not lead"));
        assertTrue(leader.replace("x").contains("no other member"));
        kill(lost);
        assertEquals("", leader.replace(lost));
        advance(REPLACE_AFTER_MS - 1000);
        assertEquals(3, voters("g").size());
        assertFalse(voters("g").contains(lost));
    }

    /** Founders that restart without state must not found a second group without the one that still knows the first. */
    @Test
    void foundersRestartedWithoutStateFoundNoSecondGroup() {
        startAll();
        String id = requestIdPlacedIn("g");
        assertEquals(new Reply.Granted(0), allow("x", id));
        kill("a");
        advance(12_000);
        kill("b");
        start("a", GroupMessage.PROTOCOL_VERSION);
        start("b", GroupMessage.PROTOCOL_VERSION);
        advance(20_000);
        assertEquals(
                GROUPS.get("g"),
                voters("g"),
                () -> processes.values().stream()
                        .filter(p -> p.host.seat("g") != null)
                        .map(p -> p.name + " " + p.host.seat("g").status())
                        .toList()
                        .toString());
        assertEquals(new Reply.Out(), allow("x", id));
    }

    /** A member of an earlier version ignores guests' messages and would be lost to the group. */
    @Test
    void noGuestIsInvitedWhileAMemberOfAnEarlierVersionVotes() {
        PROCESSES.forEach(name ->
                start(name, name.equals("a") ? GroupMessage.GUESTS_VERSION - 1 : GroupMessage.PROTOCOL_VERSION));
        advance(3000);
        kill("b");
        advance(15_000);
        assertEquals(Set.of("a", "c"), voters("g"));
        Map<String, LogMirror> disks = processes.get("a").disks;
        kill("a");
        Process upgraded = new Process("a", disks, GroupMessage.PROTOCOL_VERSION);
        processes.put("a", upgraded);
        upgraded.host.start();
        advance(15_000);
        assertEquals(3, voters("g").size());
        assertTrue(voters("g").containsAll(Set.of("a", "c")));
    }

    @Test
    void aProcessWithoutASeatAnswersRoutedCommandsWithoutAReply() {
        startAll();
        assertFalse(processes.get("x").host.groups().contains("g"));
        List<GroupMessage> replies = new ArrayList<>();
        processes
                .get("x")
                .host
                .receive("g", new GroupMessage("a", 0, 0, new Envelope.RoutedCommand(7, null)), replies::add);
        assertEquals(
                List.of(new Envelope.RoutedReply(7, null, -1, "")),
                replies.stream().map(GroupMessage::envelope).toList());
    }
}
