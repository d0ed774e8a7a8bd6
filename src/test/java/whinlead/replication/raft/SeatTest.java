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

/** Processes that find their place in a group, on a simulated clock and an in-memory network. */
class SeatTest {
    private static final RaftConfig CONFIG = RaftConfig.newBuilder()
            .setLeaderElectionTimeoutMillis(300)
            .setLeaderHeartbeatPeriodSecs(1)
            .setLeaderHeartbeatTimeoutSecs(2)
            .build();
    private static final SortedSet<String> FOUNDER_NAMES = new TreeSet<>(Set.of("a", "b", "c"));

    /** Strongly referenced: a garbage-collected logger loses its level. */
    private static final Logger CONSENSUS = Logger.getLogger("io.microraft");

    private final Calendar clock = new Calendar();
    /** Processes by address: two processes may have the same name, but an address leads to only one of them. */
    private final Map<String, Process> addresses = new HashMap<>();

    private final Random random = new Random(5);

    private final class Process implements Seat.Environment, Timers {
        private final Seat seat;
        private final List<String> notes = new ArrayList<>();
        private boolean nameTaken;
        private boolean dead;
        private double suspendedUntilMs;

        private Process(String name, LogMirror log) {
            seat = new Seat(
                    new SeatSetup(name, FOUNDER_NAMES, CONFIG, new ReplicatedState.Limits(100, 100, 10, 1000)),
                    this,
                    new GroupClock(nowMs()),
                    log,
                    new Random(random.nextLong()),
                    this);
        }

        @Override
        public double nowMs() {
            return clock.nowMs();
        }

        @Override
        public TimerHandle schedule(double millis, Runnable task) {
            Calendar.Event due = clock.schedule(Math.max(0, millis), () -> run(task));
            return due::cancel;
        }

        private void run(Runnable task) {
            if (dead) {
                return;
            }
            if (clock.nowMs() < suspendedUntilMs) {
                clock.scheduleAt(suspendedUntilMs, () -> run(task));
            } else {
                task.run();
            }
        }

        @Override
        public void send(String receiver, GroupMessage message) {
            deliver(addresses.get(receiver), message);
        }

        private void deliver(Process receiver, GroupMessage message) {
            if (receiver != null && !dead) {
                clock.schedule(
                        1,
                        () -> receiver.run(
                                () -> receiver.seat.receive(message, reply -> receiver.deliver(this, reply))));
            }
        }

        @Override
        public LogMirror wipeLog() {
            return new LogMirror();
        }

        @Override
        public void report(String line) {
            notes.add(line);
        }

        @Override
        public void seatRetired() {
            throw new IllegalStateException("no guest");
        }

        @Override
        public void nameTaken() {
            nameTaken = true;
            dead = true;
        }
    }

    private Process start(String name) {
        Process process = new Process(name, new LogMirror());
        addresses.put(name, process);
        process.seat.start();
        return process;
    }

    private void advance(double millis) {
        clock.runUntil(clock.nowMs() + millis);
    }

    private Map<String, Process> startGroup() {
        Map<String, Process> all = new HashMap<>();
        FOUNDER_NAMES.forEach(n -> all.put(n, start(n)));
        advance(3000);
        all.values().forEach(p -> assertTrue(p.seat.status().votes()));
        return all;
    }

    @BeforeAll
    static void silenceLogger() {
        CONSENSUS.setLevel(Level.OFF);
    }

    @Test
    void allProcessesFoundOneGroupWithOneLeader() {
        Map<String, Process> all = startGroup();
        Set<Set<MemberId>> known = new HashSet<>();
        all.values().forEach(p -> known.add(p.seat.status().members()));
        assertEquals(1, known.size());
        assertEquals(
                1, all.values().stream().filter(p -> p.seat.status().leads()).count());
    }

    @Test
    void noGroupIsFoundedUntilAllFoundersAreUp() {
        Process a = start("a");
        Process b = start("b");
        advance(10_000);
        assertNull(a.seat.status().id());
        assertNull(b.seat.status().id());
        start("c");
        advance(3000);
        assertTrue(a.seat.status().votes());
    }

    /** Guards against successive coordinator processes that each found a group. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 50, 90, 99, 100, 101, 102, 103, 104, 110, 150, 203, 400})
    void aRestartOfTheCoordinatorAtAnyMomentLeavesOneGroup(int restartAfterMs) {
        start("b");
        start("c");
        Process first = start("a");
        advance(restartAfterMs);
        first.dead = true;
        start("a");
        advance(15_000);
        Set<Set<MemberId>> founded = new HashSet<>();
        for (Process process : addresses.values()) {
            assertTrue(process.seat.status().votes(), () -> process.notes.toString());
            founded.add(process.seat.member().founders());
        }
        assertEquals(1, founded.size());
    }

    @Test
    void aProcessRestartedWithoutStateIsANewIncarnation() {
        Map<String, Process> all = startGroup();
        MemberId before = all.get("b").seat.status().id();
        all.get("b").dead = true;
        Process restarted = start("b");
        advance(8000);
        assertTrue(restarted.seat.status().votes());
        assertNotEquals(before, restarted.seat.status().id());
        assertFalse(all.get("a").seat.status().members().contains(before));
        assertFalse(restarted.nameTaken);
    }

    /**
     * Guards against a newcomer that finds no leader: all incarnations that the last process was told of have been
     * replaced.
     */
    @Test
    void allMembersMayBeReplacedOneAfterAnother() {
        startGroup();
        for (String name : List.of("a", "b", "c", "a", "c", "b")) {
            addresses.get(name).dead = true;
            Process restarted = start(name);
            advance(9000);
            assertTrue(restarted.seat.status().votes(), () -> name + " " + restarted.notes);
        }
    }

    @Test
    void aProcessRestartedWithItsDiskIsTheSameIncarnation() {
        LogMirror disk = new LogMirror();
        Process a = new Process("a", disk);
        addresses.put("a", a);
        a.seat.start();
        start("b");
        start("c");
        advance(3000);
        MemberId before = a.seat.status().id();
        a.dead = true;
        Process restarted = new Process("a", new LogMirror(disk, null));
        addresses.put("a", restarted);
        restarted.seat.start();
        advance(3000);
        assertEquals(before, restarted.seat.status().id());
        assertTrue(restarted.seat.status().votes());
    }

    @Test
    void aSecondProcessOfTheSameNameStopsAndTheFirstContinues() {
        Map<String, Process> all = startGroup();
        MemberId before = all.get("b").seat.status().id();
        Process second = new Process("b", new LogMirror());
        second.seat.start();
        advance(5000);
        assertTrue(second.nameTaken);
        assertNull(second.seat.status().id());
        assertEquals(before, all.get("b").seat.status().id());
        assertTrue(all.get("a").seat.status().members().contains(before));
    }

    @Test
    void aSecondProcessStopsEvenIfTheFirstHasJustStarted() {
        start("a");
        start("c");
        Process first = start("b");
        Process second = new Process("b", new LogMirror());
        second.seat.start();
        advance(8000);
        assertTrue(first.seat.status().votes());
        assertTrue(second.nameTaken);
    }

    /** A process that was suspended while it was replaced must not continue or vote under its old incarnation. */
    @Test
    void aSuspendedMemberThatWasReplacedFindsItsNameTaken() {
        Map<String, Process> all = startGroup();
        Process suspended = all.get("b");
        MemberId before = suspended.seat.status().id();
        suspended.suspendedUntilMs = clock.nowMs() + 8000;
        Process other = start("b");
        advance(7000);
        assertTrue(other.seat.status().votes());
        advance(10_000);
        assertTrue(suspended.nameTaken);
        assertTrue(other.seat.status().votes());
        assertFalse(all.get("a").seat.status().members().contains(before));
    }

    @Test
    void lateMessagesOfADeadIncarnationDoNotProveThatItLives() {
        Map<String, Process> all = startGroup();
        Process old = all.get("b");
        MemberId before = old.seat.status().id();
        old.dead = true;
        Process restarted = start("b");
        for (int i = 0; i < 20; i++) {
            GroupMessage late = new GroupMessage(
                    "b",
                    before.incarnation(),
                    all.get("a").seat.status().id().incarnation(),
                    new Envelope.GroupInfo(i, i, Set.of(), Set.of(), 0));
            clock.schedule(i * 100, () -> all.get("a").seat.receive(late, p -> {}));
        }
        advance(8000);
        assertFalse(restarted.nameTaken);
        assertTrue(restarted.seat.status().votes());
    }

    @Test
    void aMemberWithAFailedDiskStepsAside() {
        Map<String, Process> all = startGroup();
        all.get("c").seat.diskFailed("no space left");
        advance(5000);
        assertEquals(
                1,
                all.values().stream()
                        .filter(p -> p != all.get("c") && p.seat.status().leads())
                        .count());
        assertTrue(all.get("c").notes.toString().contains("steps aside"));
    }
}
