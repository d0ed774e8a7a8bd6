package whinlead.testbed.mesh.hardening;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;
import whinlead.testbed.mesh.hardening.Operation.Change;

/**
 * One core machine: a real consensus node, driven as {@code control.ControlNode} drives it, with a disk and a clock of
 * its own. It is up, down, or frozen: then what arrives waits, and comes all at once as it thaws. Keeps, beside the
 * consensus node, the truth of whom it has exchanged question and answer with. One thread.
 */
final class Machine implements ConsensusNode.Actions {
    /** A control node that was in touch so lately says that it is, in milliseconds; as the control node has it. */
    static final double IN_TOUCH = 1000;

    private static final double TICK = 25;
    private static final double PING = 300;
    /** Own clocks begin anywhere. */
    private static final double MAX_OFFSET = 1e7;
    /** Two clocks' rounding. */
    private static final double ROUNDING = 0.01;

    /** The newest message of one life of another machine that was taken in here, by when it left there. */
    private record Sight(String key, double sentAt) {}

    private final Core core;
    private final String address;
    private final Disk disk;
    private final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
    private final Set<String> known = new LinkedHashSet<>();
    private final Map<String, Sight> seen = new HashMap<>();
    private final Map<String, Double> contact = new HashMap<>();
    private final Map<Long, Consumer<ConsensusNode.CallResult>> replaces = new HashMap<>();
    private final Map<Long, Consumer<Decision>> reads = new HashMap<>();
    private String id;
    private ConsensusNode consensusNode;
    private int life;
    private boolean up;
    private boolean frozen;
    private boolean leaving;
    private int lateTicks;
    private double thawedAt = Double.NEGATIVE_INFINITY;
    private double offset;
    private long calls;
    private long onDisk = -1;
    private long diskVersion = -1;
    private long metered = -1;

    Machine(Core core, String address, Disk.Entry entry) {
        this.core = core;
        this.address = address;
        this.disk = new Disk(core.agenda(), core.random());
        disk.found(entry);
    }

    String address() {
        return address;
    }

    String id() {
        return id;
    }

    Disk disk() {
        return disk;
    }

    /** Whether it runs. */
    boolean up() {
        return up && !frozen;
    }

    /** Whether it is frozen: what is sent there waits. */
    boolean waits() {
        return up && frozen;
    }

    /** The consensus node of its present life. */
    ConsensusNode consensus() {
        return consensusNode;
    }

    /** The version that it has learned, or -1. */
    long version() {
        return version(consensusNode.decided());
    }

    /** The slot that is on its disk, or -1. */
    long onDisk() {
        return onDisk;
    }

    /** The version that is on its disk, or -1. */
    long onDiskVersion() {
        return diskVersion;
    }

    /** Starts the process, from what is on the disk. */
    void boot() {
        if (up) {
            return;
        }
        up = true;
        frozen = false;
        life++;
        offset = core.random().nextDouble() * MAX_OFFSET;
        Disk.Entry entry = core.bug() == Bug.RESTARTS_OLDER ? disk.readBefore() : disk.read();
        if (entry == null) {
            // A new disk is a new voter: what the old one may have promised, this one can't know.
            entry = new Disk.Entry(
                    address + "#" + Long.toHexString(core.random().nextLong() | 1),
                    new Acceptor.State(null, Ballot.NONE, null));
            disk.found(entry);
        }
        id = entry.id();
        onDisk = slot(entry.memory().decided());
        diskVersion = version(entry.memory().decided());
        consensusNode = new ConsensusNode(id, entry.memory(), core.random().nextLong(), this);
        core.tell(address + " starts as " + id + ", slot " + onDisk);
        core.seeds(address).forEach(this::know);
        knowVoters();
        int mine = life;
        core.agenda().in(core.random().nextDouble() * TICK, () -> tick(mine));
        core.agenda().in(core.random().nextDouble() * PING, () -> ping(mine));
    }

    /** SIGTERM: it is to leave. */
    void leave() {
        leaving = true;
        loop(() -> consensusNode.leave(local()));
    }

    /** Whether it may end: its consensus node is out, and no call is under way. */
    boolean left() {
        return up() && consensusNode.mayEnd(local()) && replaces.isEmpty() && reads.isEmpty();
    }

    /** Whether it was told to. */
    boolean leaving() {
        return leaving;
    }

    private static long slot(Decision decision) {
        return decision == null ? -1 : decision.slot();
    }

    private static long version(Decision decision) {
        return decision == null ? -1 : decision.version();
    }

    /** The process ends without a word; what was being written may be on the disk. */
    void down() {
        core.tell(address + " ends");
        up = false;
        frozen = false;
        life++;
        disk.cut();
        inbox.clear();
        known.clear();
        seen.clear();
        contact.clear();
        replaces.clear();
        reads.clear();
        lateTicks = 0;
    }

    /** The process ends and its disk is lost. */
    void wipe() {
        down();
        disk.wipe();
        core.tell(address + " has lost its disk");
        if (core.bug() == Bug.VOTES_AFTER_WIPE) {
            disk.found(new Disk.Entry(id, new Acceptor.State(Decision.founding(core.founders()), Ballot.NONE, null)));
        }
    }

    /** From now on it does nothing, and what arrives waits. */
    void freeze() {
        core.tell(address + " freezes");
        frozen = true;
    }

    /** It goes on: ticks that were missed and messages that wait come at once, in either order. */
    void thaw() {
        if (!up || !frozen) {
            return;
        }
        core.tell(address + " thaws");
        frozen = false;
        thawedAt = core.now();
        boolean ticksFirst = core.random().nextBoolean();
        int mine = life;
        if (ticksFirst) {
            late(mine);
        }
        while (!inbox.isEmpty() && life == mine) {
            loop(mine, inbox.poll());
        }
        if (!ticksFirst) {
            late(mine);
        }
    }

    private void late(int mine) {
        for (; lateTicks > 0; lateTicks--) {
            loop(mine, this::tick);
        }
    }

    private void tick() {
        if (disk.settled()) {
            consensusNode.decisionStored(local(), slot(consensusNode.decided()));
        }
        consensusNode.tick(local());
    }

    /** Its own clock. */
    double local() {
        return core.now() + offset;
    }

    private void tick(int mine) {
        if (life != mine) {
            return;
        }
        if (frozen) {
            lateTicks++;
        } else {
            if (core.bug() == Bug.SEATS_BESIDE_DEAD && consensusNode.decided() != null) {
                consensusNode
                        .decided()
                        .voters()
                        .forEach(e -> consensusNode.pongReceived(local(), e, consensusNode.storedSlot()));
            }
            loop(mine, this::tick);
        }
        core.agenda().in(TICK, () -> tick(mine));
    }

    private void ping(int mine) {
        if (life != mine) {
            return;
        }
        if (!frozen) {
            double sentAt = local();
            String asker = id;
            for (String to : known) {
                post(to, m -> m.pinged(address, asker, mine, sentAt));
            }
        }
        core.agenda().in(PING, () -> ping(mine));
    }

    private void pinged(String from, String asker, int askersLife, double sentAt) {
        if (core.bug() == Bug.CONTACT_FROM_ARRIVAL) {
            consensusNode.pongReceived(local(), asker, -1);
        }
        String answerer = id;
        long has = consensusNode.storedSlot();
        post(from, m -> m.ponged(askersLife, answerer, sentAt, has));
    }

    private void ponged(int askersLife, String from, double sentAt, long slot) {
        // An answer to an earlier life's question came on a connection that is gone.
        if (askersLife == life) {
            consensusNode.pongReceived(core.bug() == Bug.CONTACT_FROM_ARRIVAL ? local() : sentAt, from, slot);
        }
    }

    /** Runs something on the control node's loop: now, as it thaws, or never. */
    void loop(Runnable task) {
        loop(life, task);
    }

    private void loop(int mine, Runnable task) {
        if (life != mine || !up) {
            return;
        }
        if (frozen) {
            inbox.add(task);
            return;
        }
        task.run();
        if (core.judgesContact() && life == mine && claimsContact() && !hasContact()) {
            core.checker().broke(address + " says that it is in touch with a majority, and is not");
        }
    }

    /** What it says of its contact with a majority. */
    boolean claimsContact() {
        return consensusNode.isInContactWithQuorum(local(), IN_TOUCH);
    }

    /** Whether a majority of the voters that it knows has answered what left here so lately. */
    boolean hasContact() {
        return contactWithin(IN_TOUCH + ROUNDING);
    }

    /** The same for another time. */
    boolean contactWithin(double millis) {
        Decision d = consensusNode.decided();
        if (d == null) {
            return false;
        }
        int reached = 0;
        for (String e : d.voters()) {
            if (e.equals(id) || core.now() - contact.getOrDefault(e, Double.NEGATIVE_INFINITY) < millis) {
                reached++;
            }
        }
        return reached >= d.quorum();
    }

    private String key() {
        return id + "/" + life;
    }

    private void know(String other) {
        if (!other.equals(address)) {
            known.add(other);
        }
    }

    private void knowVoters() {
        if (consensusNode.decided() != null) {
            consensusNode.decided().voters().forEach(e -> know(ConsensusNode.address(e)));
        }
    }

    private void post(String to, Consumer<Machine> what) {
        String key = key();
        String sender = id;
        double sentAt = core.now();
        Sight sight = seen.get(to);
        core.network().send(address, to, () -> {
            Machine m = core.at(to);
            if (m != null) {
                m.loop(() -> m.arrived(address, sender, key, sentAt, sight, what));
            }
        });
    }

    private void arrived(String from, String sender, String key, double sentAt, Sight sight, Consumer<Machine> what) {
        know(from);
        Sight last = seen.get(from);
        if (last == null || !last.key().equals(key) || last.sentAt() < sentAt) {
            seen.put(from, new Sight(key, sentAt));
        }
        if (sight != null && sight.key().equals(key())) {
            contact.merge(sender, sight.sentAt(), Math::max);
        }
        what.accept(this);
    }

    /** Begins to count the bytes of the messages that come. */
    void meter() {
        metered = 0;
    }

    /** The bytes counted since. */
    long metered() {
        return metered;
    }

    // --- what the consensus node has done

    @Override
    public void send(String to, Message message) {
        if (to == null) {
            known.forEach(a -> message(a, message));
        } else if (to.equals(id)) {
            int mine = life;
            core.agenda().in(0, () -> loop(mine, () -> consensusNode.received(local(), id, message)));
        } else {
            know(ConsensusNode.address(to));
            message(ConsensusNode.address(to), message);
        }
        if (core.bug() == Bug.ACKNOWLEDGES_ON_PROMISE && message instanceof Message.Accept p) {
            int mine = life;
            core.agenda()
                    .in(
                            0,
                            () -> loop(
                                    mine,
                                    () -> consensusNode.received(
                                            local(),
                                            to,
                                            new Message.Accepted(p.value().slot(), p.ballot()))));
        }
    }

    private void message(String to, Message message) {
        String sender = id;
        post(to, m -> m.received(sender, message));
    }

    private void received(String from, Message message) {
        if (core.traced()) {
            core.tell(address + " gets from " + from + " " + shortly(message));
        }
        if (metered >= 0) {
            metered += PeerMessageCodec.write(new PeerMessage.Consensus(message)).length;
        }
        if (message instanceof Message.Decided d
                && core.bug() == Bug.LEARNS_OLDER
                && consensusNode.decided() != null
                && d.decision().slot() < consensusNode.decided().slot()) {
            consensusNode = new ConsensusNode(
                    id,
                    new Acceptor.State(d.decision(), Ballot.NONE, null),
                    core.random().nextLong(),
                    this);
        }
        if (message instanceof Message.Decided d && core.bug() == Bug.FORGETS_TAKEN) {
            consensusNode.received(local(), from, new Message.Decided(forgetful(d.decision())));
        } else if (message instanceof Message.State s && core.bug() == Bug.REMOVES_BY_ONE_WORD) {
            consensusNode.received(local(), from, agreeing(s));
        } else {
            consensusNode.received(local(), from, message);
        }
    }

    private static String shortly(Message message) {
        return message instanceof Message.Decided d
                ? "Decided " + d.decision().slot()
                : message instanceof Message.Accept p
                        ? "Accept " + p.ballot() + " slot " + p.value().slot()
                        : message instanceof Message.Promise p
                                ? "Promise slot " + p.slot() + " " + p.ballot()
                                        + (p.vote() == null
                                                ? ""
                                                : " voted in " + p.vote().ballot())
                                : message.toString();
    }

    private static Message.State agreeing(Message.State state) {
        return new Message.State(
                state.nonce(),
                state.slot(),
                state.voted(),
                state.opinions().stream()
                        .map(o -> new Message.Opinion(o.voter(), Message.Reachability.SILENT))
                        .toList());
    }

    private static Decision forgetful(Decision d) {
        List<Decision.Taken> taken = d.taken();
        return new Decision(
                d.slot(),
                d.version(),
                d.body(),
                taken.subList(Math.max(0, taken.size() - 1), taken.size()),
                d.voters());
    }

    @Override
    public void sync(Acceptor.State memory, String to, Message message) {
        boolean early = core.bug() == Bug.UNSYNCED;
        if (early) {
            send(to, message);
        }
        write(memory, () -> {
            if (!early) {
                send(to, message);
            }
        });
    }

    @Override
    public void decided(Decision decision) {
        if (core.traced()) {
            core.tell(address + " learns slot " + decision.slot() + " version " + decision.version() + " voters "
                    + decision.voters());
        }
        core.checker().decided(decision);
        write(
                new Acceptor.State(decision, Ballot.NONE, null),
                () -> consensusNode.decisionStored(local(), decision.slot()));
        decision.voters().forEach(e -> know(ConsensusNode.address(e)));
    }

    private void write(Acceptor.State memory, Runnable then) {
        int mine = life;
        disk.write(
                new Disk.Entry(id, memory),
                () -> loop(mine, () -> {
                    onDisk = Math.max(onDisk, slot(memory.decided()));
                    diskVersion = Math.max(diskVersion, version(memory.decided()));
                    then.run();
                }));
    }

    // --- what operators order

    /** Puts a change to the consensus node; its end is told once, or never if the process ends. */
    void replace(Change change, byte[] body, Consumer<ConsensusNode.CallResult> then) {
        int call = core.checker().invoked(change);
        // One that knows no voters yet has no majority to be out of contact with.
        boolean alone = consensusNode.decided() != null && !contactWithin(Core.CONTACT);
        BiConsumer<Integer, ConsensusNode.CallResult> end = (c, verdict) -> {
            ended(c, verdict, alone);
            then.accept(verdict);
        };
        Decision d = consensusNode.decided();
        if (core.bug() == Bug.REFUSES_BY_LOCAL
                && d != null
                && d.version() != change.builtOn()
                && !d.has(change.version(), change.digest())) {
            end.accept(call, ConsensusNode.CallResult.MISMATCH);
            return;
        }
        long mine = ++calls;
        replaces.put(mine, verdict -> end.accept(call, verdict));
        consensusNode.replace(local(), mine, change.version(), change.builtOn(), change.digest(), body);
    }

    private void ended(int call, ConsensusNode.CallResult verdict, boolean alone) {
        core.checker()
                .ended(
                        call,
                        switch (verdict) {
                            case TAKEN -> Operation.End.TAKEN;
                            case MISMATCH -> Operation.End.MISMATCH;
                            case OLD_VERSION -> Operation.End.OLD;
                            case UNCLEAR -> Operation.End.UNCLEAR;
                        },
                        null);
        double took = core.now() - core.checker().invokedAt(call);
        if (thawedAt > core.checker().invokedAt(call)) {
            // It stood still meanwhile.
            return;
        }
        if (alone && !contactWithin(Core.CONTACT) && verdict == ConsensusNode.CallResult.UNCLEAR) {
            core.checker().sample("a call where there was no majority for 3 s, ms to unclear", took);
        } else {
            core.checker().sample("a call, ms to " + verdict, took);
        }
    }

    /** Asks the consensus node for the newest configuration. */
    void read(Consumer<Decision> then) {
        int call = core.checker().invoked(null);
        long mine = ++calls;
        reads.put(mine, newest -> {
            core.checker().ended(call, newest == null ? Operation.End.UNCLEAR : Operation.End.READ, newest);
            then.accept(newest);
        });
        consensusNode.read(local(), mine);
    }

    @Override
    public void replaced(long call, ConsensusNode.CallResult verdict) {
        Consumer<ConsensusNode.CallResult> then = replaces.remove(call);
        if (then != null) {
            then.accept(verdict);
        }
    }

    @Override
    public void read(long call, Decision newest) {
        Consumer<Decision> then = reads.remove(call);
        if (then != null) {
            then.accept(newest);
        }
    }
}
