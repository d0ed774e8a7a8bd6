package whinlead.testbed.mesh;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;

/**
 * The real consensus nodes under a driven clock, a seeded network and seeded disks: messages are lost, delayed and cut
 * off in one direction, syncs take time and what was not synced is lost with the power, disks are wiped, one control
 * node is replaced at another address. Operators race and repeat their calls. Checks that no slot has two values and
 * that nothing acknowledged is forgotten or taken twice on one version. The same seed plays the same. One thread.
 */
public final class ConsensusSimulation {
    /** A fault that is planted, to see that it is found. */
    public enum Bug {
        /** None. */
        NONE,
        /** Says before it has synced. */
        UNSYNCED,
        /** Votes on under the old name after its disk was lost. */
        VOTES_AFTER_WIPE
    }

    private static final double TICK = 25;
    private static final int PING_TICKS = 12;
    private static final double LENGTH = 30_000;
    private static final double CALM = 20_000;
    private static final int CALLS = 24;
    /** After a loss, until the machine is back and has caught up: then the next may come. */
    private static final double WHOLE = 6000;

    private record Due(double at, long order, Runnable task) {}

    /** A control node's machine. */
    private final class Machine implements ConsensusNode.Actions {
        private final String address;
        private String id;
        private ConsensusNode consensusNode;
        private Acceptor.State disk;
        private int life;
        private boolean up = true;
        private double freeAt;
        private int ticks;

        private Machine(String address, String id, Acceptor.State disk) {
            this.address = address;
            this.id = id;
            this.disk = disk;
            boot();
        }

        private void boot() {
            up = true;
            life++;
            consensusNode = new ConsensusNode(id, disk, random.nextLong(), this);
            int mine = life;
            ticks = -1;
            tick(mine);
        }

        private void tick(int mine) {
            if (up && life == mine) {
                consensusNode.tick(now);
                // The first at once, as a connection is made.
                if (++ticks % PING_TICKS == 0) {
                    ping();
                }
                at(TICK, () -> tick(mine));
            }
        }

        // A question, and its answer where both ways are open.
        private void ping() {
            double sentAt = now;
            int mine = life;
            machines.values().forEach(m -> {
                if (m != this && m.up && !cut.containsKey(address + m.address)) {
                    if (!cut.containsKey(m.address + address)) {
                        String answers = m.id;
                        long slot = m.consensusNode.storedSlot();
                        at(1 + random.nextDouble() * 4, () -> {
                            if (up && life == mine) {
                                consensusNode.pongReceived(sentAt, answers, slot);
                            }
                        });
                    }
                }
            });
        }

        private void power(boolean on) {
            if (on && !up) {
                boot();
            } else if (!on) {
                up = false;
                life++;
            }
        }

        private void wipe() {
            power(false);
            if (bug != Bug.VOTES_AFTER_WIPE) {
                id = address + "#" + Long.toHexString(random.nextLong() | 1);
                disk = new Acceptor.State(null, Ballot.NONE, null);
            } else {
                disk = new Acceptor.State(Decision.founding(founders), Ballot.NONE, null);
            }
        }

        @Override
        public void send(String to, Message message) {
            if (to == null) {
                machines.forEach((a, m) -> {
                    if (m != this) {
                        message(this, m, m.id, message);
                    }
                });
            } else {
                Machine m = machines.get(ConsensusNode.address(to));
                if (m != null) {
                    message(this, m, to, message);
                }
            }
        }

        @Override
        public void sync(Acceptor.State memory, String to, Message message) {
            int mine = life;
            if (bug == Bug.UNSYNCED) {
                send(to, message);
            }
            double took = 1 + (random.nextInt(50) == 0 ? 400 : random.nextDouble() * 3);
            at(written(took), () -> {
                if (life == mine && up) {
                    disk = memory;
                    if (bug != Bug.UNSYNCED) {
                        send(to, message);
                    }
                }
            });
        }

        @Override
        public void decisionLearned(Decision decision) {
            Decision other = chosen.putIfAbsent(decision.slot(), decision);
            if (other != null && !other.equals(decision)) {
                broken.add("slot " + decision.slot() + " has two values");
            }
            int mine = life;
            at(written(1), () -> {
                if (life == mine && up) {
                    disk = new Acceptor.State(decision, Ballot.NONE, null);
                    consensusNode.decisionStored(now, decision.slot());
                }
            });
        }

        // One writer a machine: what was begun later is on disk later.
        private double written(double took) {
            freeAt = Math.max(freeAt, now) + took;
            return freeAt - now;
        }

        @Override
        public void replaceCompleted(long call, ConsensusNode.CallResult verdict) {
            ended(call, verdict);
        }

        @Override
        public void readCompleted(long call, Decision newest) {
            if (newest != null && newest.version() < readFloor.getOrDefault(call, 0L)) {
                broken.add("read version " + newest.version() + " though " + readFloor.get(call)
                        + " was acknowledged before");
            }
            reads += newest == null || now < CALM ? 0 : 1;
        }
    }

    private record Sent(long version, long builtOn, String digest) {}

    private final SplittableRandom random;
    private final Bug bug;
    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final Map<String, Machine> machines = new HashMap<>();
    private final Map<String, Boolean> cut = new HashMap<>();
    private final Map<Long, Decision> chosen = new HashMap<>();
    private final Map<Long, Sent> sent = new HashMap<>();
    private final Map<Long, String> tookOn = new HashMap<>();
    private final Map<Long, Long> readFloor = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final List<String> founders = List.of("a#0", "b#0", "c#0");
    private double now;
    private double wholeAt;
    private long order;
    private long calls;
    private long acknowledged;
    private int acks;
    private int reads;
    private double loss = 0.02;

    private ConsensusSimulation(long seed, Bug bug) {
        this.random = new SplittableRandom(seed);
        this.bug = bug;
    }

    /** What a play came to: promises that were broken, and how many calls were acknowledged and read. */
    public record Outcome(List<String> broken, int acks, int reads) {}

    /** Plays one schedule. */
    public static Outcome play(long seed, Bug bug) {
        return new ConsensusSimulation(seed, bug).play();
    }

    private Outcome play() {
        for (String id : founders) {
            machines.put(
                    ConsensusNode.address(id),
                    new Machine(
                            ConsensusNode.address(id),
                            id,
                            new Acceptor.State(Decision.founding(founders), Ballot.NONE, null)));
        }
        double step = CALM / CALLS;
        for (int i = 0; i < CALLS; i++) {
            at(i * step + random.nextDouble() * step, this::operate);
        }
        // One loss at a time, and time to be whole again between two.
        for (double t = 1000; t < CALM - WHOLE; t += WHOLE / 2) {
            at(t + random.nextDouble() * 1000, this::harm);
        }
        at(CALM, () -> loss = 0);
        at(CALM + 5000, this::read);
        while (!queue.isEmpty() && queue.peek().at() <= LENGTH && broken.isEmpty()) {
            Due due = queue.poll();
            now = due.at();
            due.task().run();
        }
        if (broken.isEmpty() && reads == 0) {
            broken.add("nobody could read after the calm");
        }
        return new Outcome(List.copyOf(broken), acks, reads);
    }

    private void at(double after, Runnable task) {
        queue.add(new Due(now + after, ++order, task));
    }

    private void message(Machine from, Machine to, String id, Message message) {
        if (from != to && (random.nextDouble() < loss || cut.containsKey(from.address + to.address))) {
            return;
        }
        String sender = from.id;
        at(from == to ? 0 : 0.5 + random.nextDouble() * 2, () -> {
            if (to.up && to.id.equals(id)) {
                to.consensusNode.messageReceived(now, sender, message);
            }
        });
    }

    private Machine any() {
        List<Machine> up = machines.values().stream().filter(m -> m.up).toList();
        return up.isEmpty() ? null : up.get(random.nextInt(up.size()));
    }

    // One operator, or two at once on the same version, each call repeated to another control node.
    private void operate() {
        long base = acknowledged;
        int racers = random.nextInt(3) == 0 ? 2 : 1;
        for (int r = 0; r < racers; r++) {
            long version = base + 1 + random.nextInt(5);
            String digest = "d" + calls + "-" + r;
            int times = 1 + random.nextInt(2);
            for (int i = 0; i < times; i++) {
                at(i * 300 + random.nextDouble() * 5, () -> {
                    Machine m = any();
                    if (m != null) {
                        long call = ++calls;
                        sent.put(call, new Sent(version, base, digest));
                        m.consensusNode.replace(
                                now, call, version, base, digest, digest.getBytes(StandardCharsets.UTF_8));
                    }
                });
            }
        }
    }

    private void read() {
        machines.values().stream().filter(m -> m.up).forEach(m -> {
            long call = ++calls;
            readFloor.put(call, acknowledged);
            m.consensusNode.read(now, call);
        });
    }

    private void ended(long call, ConsensusNode.CallResult verdict) {
        if (verdict != ConsensusNode.CallResult.TAKEN) {
            return;
        }
        Sent s = sent.get(call);
        acks++;
        String other = tookOn.putIfAbsent(s.builtOn(), s.digest());
        if (other != null && !other.equals(s.digest())) {
            broken.add("two changes on version " + s.builtOn() + " were acknowledged");
        }
        acknowledged = Math.max(acknowledged, s.version());
        // Sometimes power goes, or a disk, right after.
        if (random.nextInt(6) == 0 && now < CALM - WHOLE && now > wholeAt) {
            wholeAt = now + WHOLE;
            boolean disk = random.nextBoolean();
            Machine victim = any();
            machines.values().forEach(m -> {
                if (!disk || m != victim) {
                    m.power(false);
                }
            });
            if (disk) {
                victim.wipe();
            }
            // Back one by one, with an operator at the door: who is back first may decide without the rest.
            machines.values().forEach(m -> at(300 + random.nextDouble() * 1200, () -> m.power(true)));
            at(700 + random.nextDouble() * 600, this::operate);
            at(700 + random.nextDouble() * 600, this::read);
        }
    }

    private void harm() {
        Machine m = any();
        if (m == null || now <= wholeAt) {
            return;
        }
        wholeAt = now + WHOLE;
        switch (random.nextInt(4)) {
            case 0 -> {
                m.power(false);
                at(1500, () -> m.power(true));
            }
            case 1 -> {
                m.wipe();
                at(1500, () -> m.power(true));
            }
            case 2 ->
                machines.keySet().stream().filter(a -> !a.equals(m.address)).forEach(a -> {
                    boolean oneWay = random.nextBoolean();
                    cut.put(m.address + a, true);
                    if (!oneWay) {
                        cut.put(a + m.address, true);
                    }
                    at(2500, () -> {
                        cut.remove(m.address + a);
                        cut.remove(a + m.address);
                    });
                });
            default -> {
                machines.remove(m.address);
                m.power(false);
                String address = m.address + "'";
                at(
                        1500,
                        () -> machines.put(
                                address,
                                new Machine(
                                        address,
                                        address + "#" + Long.toHexString(random.nextLong() | 1),
                                        new Acceptor.State(null, Ballot.NONE, null))));
            }
        }
    }
}
