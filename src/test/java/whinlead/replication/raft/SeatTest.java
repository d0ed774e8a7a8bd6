package whinlead.replication.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.RaftConfig;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.engine.Timers;
import whinlead.plan.Calendar;
import whinlead.replication.GroupClock;
import whinlead.replication.ReplicatedState;

/** Processes that find their place in a group, by a driven clock and a network in memory. */
class SeatTest {
    private static final RaftConfig CONFIG = RaftConfig.newBuilder()
            .setLeaderElectionTimeoutMillis(300)
            .setLeaderHeartbeatPeriodSecs(1)
            .setLeaderHeartbeatTimeoutSecs(2)
            .build();
    private static final SortedSet<String> NAMES = new TreeSet<>(Set.of("a", "b", "c"));

    /** Kept, or its level goes with it. */
    private static final Logger CONSENSUS = Logger.getLogger("io.microraft");

    private final Calendar world = new Calendar();
    /** By address: two processes may have one name, and one address leads to one of them. */
    private final Map<String, Process> addresses = new HashMap<>();

    private final Random dice = new Random(5);

    private final class Process implements Seat.Outside, Timers {
        private final Seat seat;
        private final List<String> notes = new ArrayList<>();
        private boolean taken;
        private boolean dead;
        private double frozenUntil;

        private Process(String name, LogMirror log) {
            seat = new Seat(
                    new SeatSetup(name, NAMES, CONFIG, new ReplicatedState.Limits(100, 100, 10, 1000)),
                    this,
                    new GroupClock(now()),
                    log,
                    new Random(dice.nextLong()),
                    this);
        }

        @Override
        public double now() {
            return world.now();
        }

        @Override
        public Timer after(double millis, Runnable task) {
            Calendar.Due due = world.after(Math.max(0, millis), () -> run(task));
            return due::cancel;
        }

        private void run(Runnable task) {
            if (dead) {
                return;
            }
            if (world.now() < frozenUntil) {
                world.at(frozenUntil, () -> run(task));
            } else {
                task.run();
            }
        }

        @Override
        public void send(String to, GroupMessage message) {
            deliver(addresses.get(to), message);
        }

        private void deliver(Process to, GroupMessage message) {
            if (to != null && !dead) {
                world.after(1, () -> to.run(() -> to.seat.received(message, back -> to.deliver(this, back))));
            }
        }

        @Override
        public LogMirror wiped() {
            return new LogMirror();
        }

        @Override
        public void note(String line) {
            notes.add(line);
        }

        @Override
        public void retired() {
            throw new IllegalStateException("no guest");
        }

        @Override
        public void taken() {
            taken = true;
            dead = true;
        }
    }

    private Process start(String name) {
        Process p = new Process(name, new LogMirror());
        addresses.put(name, p);
        p.seat.start();
        return p;
    }

    private void pass(double millis) {
        world.runTo(world.now() + millis);
    }

    private Map<String, Process> group() {
        Map<String, Process> all = new HashMap<>();
        NAMES.forEach(n -> all.put(n, start(n)));
        pass(3000);
        all.values().forEach(p -> assertTrue(p.seat.status().votes()));
        return all;
    }

    @BeforeAll
    static void quiet() {
        CONSENSUS.setLevel(Level.OFF);
    }

    @Test
    void allFoundOneGroupAndOneLeads() {
        Map<String, Process> all = group();
        Set<Set<MemberId>> known = new HashSet<>();
        all.values().forEach(p -> known.add(p.seat.status().members()));
        assertEquals(1, known.size());
        assertEquals(
                1, all.values().stream().filter(p -> p.seat.status().leads()).count());
    }

    @Test
    void noGroupIsFoundedWhileOneIsAway() {
        Process a = start("a");
        Process b = start("b");
        pass(10_000);
        assertNull(a.seat.status().id());
        assertNull(b.seat.status().id());
        start("c");
        pass(3000);
        assertTrue(a.seat.status().votes());
    }

    /** The processes that come after each other under the first name each found a group, or none of all. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 50, 90, 99, 100, 101, 102, 103, 104, 110, 150, 203, 400})
    void theFirstMayComeAgainAtAnyMoment(int after) {
        start("b");
        start("c");
        Process first = start("a");
        pass(after);
        first.dead = true;
        start("a");
        pass(15_000);
        Set<Set<MemberId>> founded = new HashSet<>();
        for (Process p : addresses.values()) {
            assertTrue(p.seat.status().votes(), () -> p.notes.toString());
            founded.add(p.seat.member().first());
        }
        assertEquals(1, founded.size());
    }

    @Test
    void oneThatComesBackWithNothingIsAnother() {
        Map<String, Process> all = group();
        MemberId before = all.get("b").seat.status().id();
        all.get("b").dead = true;
        Process back = start("b");
        pass(8000);
        assertTrue(back.seat.status().votes());
        assertNotEquals(before, back.seat.status().id());
        assertFalse(all.get("a").seat.status().members().contains(before));
        assertFalse(back.taken);
    }

    /** The last one knows of no life that leads: all that it was told of are over. */
    @Test
    void allMayBeReplacedOneAfterAnother() {
        group();
        for (String name : List.of("a", "b", "c", "a", "c", "b")) {
            addresses.get(name).dead = true;
            Process back = start(name);
            pass(9000);
            assertTrue(back.seat.status().votes(), () -> name + " " + back.notes);
        }
    }

    @Test
    void oneThatComesBackWithItsDiskIsTheSame() {
        LogMirror disk = new LogMirror();
        Process a = new Process("a", disk);
        addresses.put("a", a);
        a.seat.start();
        start("b");
        start("c");
        pass(3000);
        MemberId before = a.seat.status().id();
        a.dead = true;
        Process back = new Process("a", new LogMirror(disk, null));
        addresses.put("a", back);
        back.seat.start();
        pass(3000);
        assertEquals(before, back.seat.status().id());
        assertTrue(back.seat.status().votes());
    }

    @Test
    void aSecondProcessOfOneNameEndsAndTheFirstGoesOn() {
        Map<String, Process> all = group();
        MemberId before = all.get("b").seat.status().id();
        Process second = new Process("b", new LogMirror());
        second.seat.start();
        pass(5000);
        assertTrue(second.taken);
        assertNull(second.seat.status().id());
        assertEquals(before, all.get("b").seat.status().id());
        assertTrue(all.get("a").seat.status().members().contains(before));
    }

    @Test
    void aSecondProcessBesideOneThatOnlyJustBeganEndsToo() {
        start("a");
        start("c");
        Process first = start("b");
        Process second = new Process("b", new LogMirror());
        second.seat.start();
        pass(8000);
        assertTrue(first.seat.status().votes());
        assertTrue(second.taken);
    }

    /** What one that stood still goes on with is no life any more, and it votes for nobody under it. */
    @Test
    void oneThatWasReplacedWhileItStoodStillBeginsAnewAndFindsTheNameTaken() {
        Map<String, Process> all = group();
        Process frozen = all.get("b");
        MemberId before = frozen.seat.status().id();
        frozen.frozenUntil = world.now() + 8000;
        Process other = start("b");
        pass(7000);
        assertTrue(other.seat.status().votes());
        pass(10_000);
        assertTrue(frozen.taken);
        assertTrue(other.seat.status().votes());
        assertFalse(all.get("a").seat.status().members().contains(before));
    }

    @Test
    void whatADeadOneSaidThatComesLateProvesNothing() {
        Map<String, Process> all = group();
        Process old = all.get("b");
        MemberId before = old.seat.status().id();
        old.dead = true;
        Process back = start("b");
        for (int i = 0; i < 20; i++) {
            GroupMessage late = new GroupMessage(
                    "b",
                    before.life(),
                    all.get("a").seat.status().id().life(),
                    new Envelope.Standing(i, i, Set.of(), Set.of(), 0));
            world.after(i * 100, () -> all.get("a").seat.received(late, p -> {}));
        }
        pass(8000);
        assertFalse(back.taken);
        assertTrue(back.seat.status().votes());
    }

    @Test
    void aDiskThatTakesNothingMakesItStepAside() {
        Map<String, Process> all = group();
        all.get("c").seat.diskFailed("no space left");
        pass(5000);
        assertEquals(
                1,
                all.values().stream()
                        .filter(p -> p != all.get("c") && p.seat.status().leads())
                        .count());
        assertTrue(all.get("c").notes.toString().contains("steps aside"));
    }
}
