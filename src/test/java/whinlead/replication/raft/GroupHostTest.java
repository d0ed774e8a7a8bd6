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

/** Processes of a site with two groups and one process more, by a driven clock and a network in memory. */
class GroupHostTest {
    private static final RaftConfig CONFIG = RaftConfig.newBuilder()
            .setLeaderElectionTimeoutMillis(300)
            .setLeaderHeartbeatPeriodSecs(1)
            .setLeaderHeartbeatTimeoutSecs(2)
            .build();
    private static final SortedMap<String, SortedSet<String>> GROUPS =
            new TreeMap<>(Map.of("g", new TreeSet<>(Set.of("a", "b", "c")), "h", new TreeSet<>(Set.of("d", "e", "f"))));
    private static final SortedSet<String> ALL = new TreeSet<>(Set.of("a", "b", "c", "d", "e", "f", "x"));
    private static final double REPLACE_AFTER = 3000;

    /** Kept, or its level goes with it. */
    private static final Logger CONSENSUS = Logger.getLogger("io.microraft");

    private final Calendar world = new Calendar();
    private final Map<String, Process> all = new HashMap<>();
    private final Random dice = new Random(5);
    private long attempts;

    private final class Process implements GroupHost.Outside, Timers {
        private final String name;
        private final GroupHost host;
        private final Map<String, LogMirror> disks;
        private final int speaks;
        private boolean dead;

        private Process(String name, Map<String, LogMirror> disks, int speaks) {
            this.name = name;
            this.disks = disks;
            this.speaks = speaks;
            host = new GroupHost(
                    new GroupHost.Setup(
                            name,
                            ALL,
                            GROUPS,
                            speaks < GroupMessage.GUESTS ? 0 : REPLACE_AFTER,
                            CONFIG,
                            new ReplicatedState.Limits(1000, 1000, 10, 60_000)),
                    this,
                    new Random(dice.nextLong()),
                    this,
                    (id, step, detail) -> {});
        }

        @Override
        public double now() {
            return world.now();
        }

        @Override
        public Timer after(double millis, Runnable task) {
            Calendar.Due due = world.after(Math.max(0, millis), () -> {
                if (!dead) {
                    task.run();
                }
            });
            return due::cancel;
        }

        @Override
        public void send(String group, String to, GroupMessage p) {
            deliver(group, all.get(to), p);
        }

        private void deliver(String group, Process to, GroupMessage p) {
            // As it goes between processes.
            Wire.Frame frame = Frames.of(group, new GroupMessage(p.from(), p.fromLife(), p.toLife(), speaks, p.what()));
            if (to != null && !dead) {
                world.after(1, () -> {
                    if (!to.dead) {
                        to.host.received(group, Frames.message(frame), back -> to.deliver(group, this, back));
                    }
                });
            }
        }

        @Override
        public LogMirror found(String group) {
            return disks.computeIfAbsent(group, g -> new LogMirror());
        }

        @Override
        public LogMirror wiped(String group) {
            disks.put(group, new LogMirror());
            return disks.get(group);
        }

        @Override
        public void retired(String group) {
            disks.remove(group);
        }

        @Override
        public void note(String line) {
            // Nobody reads it.
        }

        @Override
        public void taken() {
            throw new IllegalStateException(name + " is another");
        }

        private boolean votes(String group) {
            return host.seat(group) != null && host.seat(group).status().votes();
        }
    }

    private Process start(String name, int speaks) {
        Process p = new Process(name, new HashMap<>(), speaks);
        all.put(name, p);
        p.host.start();
        return p;
    }

    private void kill(String name) {
        all.get(name).dead = true;
    }

    private void pass(double millis) {
        world.runTo(world.now() + millis);
    }

    private void site() {
        ALL.forEach(name -> start(name, GroupMessage.SPEAKS));
        pass(3000);
    }

    private Set<String> voters(String group) {
        return all.values().stream()
                .filter(p -> !p.dead && p.votes(group))
                .map(p -> p.name)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static String kept(String group) {
        for (int i = 0; ; i++) {
            if (new Placement(GROUPS.keySet()).of("r" + i).equals(group)) {
                return "r" + i;
            }
        }
    }

    // As a desk does: again and again until it is answered.
    private Reply ask(String at, String id) {
        List<Reply> replies = new ArrayList<>();
        Process p = all.get(at);
        Command.Allow command = null;
        for (int i = 0; i < 40 && replies.isEmpty(); i++) {
            long time = p.host.time(id);
            if (time >= 0) {
                command = command != null
                        ? command
                        : new Command.Allow(
                                id,
                                "p",
                                Command.Guard.UNSAFE,
                                new Command.Attempt(at, ++attempts),
                                List.of(),
                                "e",
                                100_000,
                                time + 4000,
                                false);
                p.host.submit(command, replies::add);
            }
            pass(80);
        }
        return replies.isEmpty() ? null : replies.get(0);
    }

    @BeforeAll
    static void quiet() {
        CONSENSUS.setLevel(Level.OFF);
    }

    @Test
    void whicheverProcessIsAskedTheGroupThatKeepsItDecides() {
        site();
        for (String group : GROUPS.keySet()) {
            String id = kept(group);
            assertEquals(new Reply.Granted(0), ask("x", id));
            for (String other : List.of("a", "d", "f")) {
                assertEquals(new Reply.Out(), ask(other, id), other);
            }
            GROUPS.get(group)
                    .forEach(m ->
                            assertEquals(1, all.get(m).host.seat(group).status().requests(), m));
        }
    }

    @Test
    void anotherIsAskedWhereTheOneThatLeadsIsLost() {
        site();
        String id = kept("h");
        assertEquals(new Reply.Granted(0), ask("x", id));
        kill(all.values().stream()
                .filter(p -> p.votes("h") && p.host.seat("h").status().leads())
                .findFirst()
                .orElseThrow()
                .name);
        assertEquals(new Reply.Out(), ask("x", id));
    }

    @Test
    void aLostMembersSeatIsTakenAndGivenBack() {
        site();
        String id = kept("g");
        assertEquals(new Reply.Granted(0), ask("d", id));
        kill("b");
        pass(12_000);
        Set<String> voters = voters("g");
        assertEquals(3, voters.size());
        String guest = voters.stream()
                .filter(n -> !GROUPS.get("g").contains(n))
                .findFirst()
                .orElseThrow();
        assertEquals(1, all.get(guest).host.seat("g").status().requests());
        // Another loss is borne: the guest knows what was promised.
        kill("c");
        assertEquals(new Reply.Out(), ask("f", id));
        start("c", GroupMessage.SPEAKS);
        start("b", GroupMessage.SPEAKS);
        pass(20_000);
        assertEquals(GROUPS.get("g"), voters("g"));
        assertNull(all.get(guest).host.seat("g"));
        assertEquals(new Reply.Out(), ask("x", id));
    }

    /** An operator does not wait for the silence. */
    @Test
    void aMemberThatIsGivenUpIsReplacedAtOnce() {
        site();
        Seat leads = all.values().stream()
                .filter(p -> p.votes("g") && p.host.seat("g").status().leads())
                .findFirst()
                .orElseThrow()
                .host
                .seat("g");
        String gone = GROUPS.get("g").stream()
                .filter(n -> !n.equals(leads.status().id().name()))
                .findFirst()
                .orElseThrow();
        String other = GROUPS.get("g").stream()
                .filter(n -> !n.equals(gone) && !n.equals(leads.status().id().name()))
                .findFirst()
                .orElseThrow();
        assertTrue(all.get(other).host.seat("g").replace(gone).contains("does not lead"));
        assertTrue(leads.replace("x").contains("no other member"));
        kill(gone);
        assertEquals("", leads.replace(gone));
        pass(REPLACE_AFTER - 1000);
        assertEquals(3, voters("g").size());
        assertFalse(voters("g").contains(gone));
    }

    /** The first members that are left are too few to found it anew without the one that knows. */
    @Test
    void firstMembersThatComeBackWithNothingFoundNoSecondGroup() {
        site();
        String id = kept("g");
        assertEquals(new Reply.Granted(0), ask("x", id));
        kill("a");
        pass(12_000);
        kill("b");
        start("a", GroupMessage.SPEAKS);
        start("b", GroupMessage.SPEAKS);
        pass(20_000);
        assertEquals(
                GROUPS.get("g"),
                voters("g"),
                () -> all.values().stream()
                        .filter(p -> p.host.seat("g") != null)
                        .map(p -> p.name + " " + p.host.seat("g").status())
                        .toList()
                        .toString());
        assertEquals(new Reply.Out(), ask("x", id));
    }

    /** An earlier version hears nobody that is no first member: it would be lost to the group. */
    @Test
    void nobodyIsAskedInWhileAMemberOfAnEarlierVersionVotes() {
        ALL.forEach(name -> start(name, name.equals("a") ? GroupMessage.GUESTS - 1 : GroupMessage.SPEAKS));
        pass(3000);
        kill("b");
        pass(15_000);
        assertEquals(Set.of("a", "c"), voters("g"));
        Map<String, LogMirror> disks = all.get("a").disks;
        kill("a");
        Process upgraded = new Process("a", disks, GroupMessage.SPEAKS);
        all.put("a", upgraded);
        upgraded.host.start();
        pass(15_000);
        assertEquals(3, voters("g").size());
        assertTrue(voters("g").containsAll(Set.of("a", "c")));
    }

    @Test
    void aProcessThatIsNoMemberPassesNothingOnToItself() {
        site();
        assertFalse(all.get("x").host.groups().contains("g"));
        List<GroupMessage> said = new ArrayList<>();
        all.get("x").host.received("g", new GroupMessage("a", 0, 0, new Envelope.Pass(7, null)), said::add);
        assertEquals(
                List.of(new Envelope.Passed(7, null, -1, "")),
                said.stream().map(GroupMessage::what).toList());
    }
}
