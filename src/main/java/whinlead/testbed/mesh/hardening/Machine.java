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
 * One core machine: a real consensus node, driven as {@code control.ControlNode} drives it, with its own disk and
 * clock. It is up, down or frozen; what arrives while it is frozen is delivered all at once when it thaws. Records
 * independently of the consensus node with whom it has completed a round trip. Single-threaded.
 */
final class Machine implements ConsensusNode.Actions {
    /**
     * A control node claims contact for this time after it last had contact, in milliseconds; same as in the control
     * node.
     */
    static final double IN_TOUCH_MS = 1000;

    private static final double TICK_MS = 25;
    private static final double PING_MS = 300;
    /** Local clocks start at a random offset up to this. */
    private static final double MAX_OFFSET_MS = 1e7;
    /** Tolerance for the rounding of two clocks, in milliseconds. */
    private static final double ROUNDING_MS = 0.01;

    /** The newest message received from one incarnation of another machine, by sending time. */
    private record Receipt(String key, double sentAtMs) {}

    private final Core core;
    private final String address;
    private final Disk disk;
    private final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
    private final Set<String> known = new LinkedHashSet<>();
    private final Map<String, Receipt> newestReceived = new HashMap<>();
    private final Map<String, Double> lastContactMs = new HashMap<>();
    private final Map<Long, Consumer<ConsensusNode.CallResult>> replaces = new HashMap<>();
    private final Map<Long, Consumer<Decision>> reads = new HashMap<>();
    private String id;
    private ConsensusNode consensusNode;
    private int incarnation;
    private boolean up;
    private boolean frozen;
    private boolean leaving;
    private int lateTicks;
    private double thawedAtMs = Double.NEGATIVE_INFINITY;
    private double clockOffsetMs;
    private long calls;
    private long onDisk = -1;
    private long versionOnDisk = -1;
    private long meteredBytes = -1;

    Machine(Core core, String address, Disk.Entry entry) {
        this.core = core;
        this.address = address;
        this.disk = new Disk(core.scheduler(), core.random());
        disk.store(entry);
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

    /** Whether the process runs and is not frozen. */
    boolean up() {
        return up && !frozen;
    }

    /** Whether the process is frozen: messages to it wait. */
    boolean isFrozen() {
        return up && frozen;
    }

    /** The current consensus node. */
    ConsensusNode consensus() {
        return consensusNode;
    }

    /** The version that the node has learned, or -1. */
    long version() {
        return version(consensusNode.decided());
    }

    /** The slot that is on its disk, or -1. */
    long onDisk() {
        return onDisk;
    }

    /** The version that is on its disk, or -1. */
    long onDiskVersion() {
        return versionOnDisk;
    }

    /** Starts the process from the entry on the disk. */
    void boot() {
        if (up) {
            return;
        }
        up = true;
        frozen = false;
        incarnation++;
        clockOffsetMs = core.random().nextDouble() * MAX_OFFSET_MS;
        Disk.Entry entry = core.bug() == Bug.RESTARTS_OLDER ? disk.readBefore() : disk.read();
        if (entry == null) {
            // A new disk makes a new voter, since promises made with the old disk are unknown.
            entry = new Disk.Entry(
                    address + "#" + Long.toHexString(core.random().nextLong() | 1),
                    new Acceptor.State(null, Ballot.NONE, null));
            disk.store(entry);
        }
        id = entry.id();
        onDisk = slot(entry.memory().decided());
        versionOnDisk = version(entry.memory().decided());
        consensusNode = new ConsensusNode(id, entry.memory(), core.random().nextLong(), this);
        core.log(address + " starts as " + id + ", slot " + onDisk);
        core.seeds(address).forEach(this::addKnown);
        addKnownVoters();
        int ownIncarnation = incarnation;
        core.scheduler().schedule(core.random().nextDouble() * TICK_MS, () -> tick(ownIncarnation));
        core.scheduler().schedule(core.random().nextDouble() * PING_MS, () -> ping(ownIncarnation));
    }

    /** Sends SIGTERM: the node starts to leave. */
    void leave() {
        leaving = true;
        runOnLoop(() -> consensusNode.leave(localNowMs()));
    }

    /** Whether the process may exit: its consensus node has left, and no call is outstanding. */
    boolean mayExit() {
        return up() && consensusNode.mayStop(localNowMs()) && replaces.isEmpty() && reads.isEmpty();
    }

    /** Whether it got SIGTERM. */
    boolean leaving() {
        return leaving;
    }

    private static long slot(Decision decision) {
        return decision == null ? -1 : decision.slot();
    }

    private static long version(Decision decision) {
        return decision == null ? -1 : decision.version();
    }

    /** Kills the process; the current write may be on the disk. */
    void down() {
        core.log(address + " ends");
        up = false;
        frozen = false;
        incarnation++;
        disk.powerLost();
        inbox.clear();
        known.clear();
        newestReceived.clear();
        lastContactMs.clear();
        replaces.clear();
        reads.clear();
        lateTicks = 0;
    }

    /** Kills the process and erases its disk. */
    void wipe() {
        down();
        disk.wipe();
        core.log(address + " has lost its disk");
        if (core.bug() == Bug.VOTES_AFTER_WIPE) {
            disk.store(new Disk.Entry(id, new Acceptor.State(Decision.founding(core.founders()), Ballot.NONE, null)));
        }
    }

    /** Suspends the process; what arrives waits. */
    void freeze() {
        core.log(address + " freezes");
        frozen = true;
    }

    /** Resumes the process: missed ticks and waiting messages are processed at once, either kind first. */
    void thaw() {
        if (!up || !frozen) {
            return;
        }
        core.log(address + " thaws");
        frozen = false;
        thawedAtMs = core.nowMs();
        boolean ticksFirst = core.random().nextBoolean();
        int ownIncarnation = incarnation;
        if (ticksFirst) {
            runLateTicks(ownIncarnation);
        }
        while (!inbox.isEmpty() && incarnation == ownIncarnation) {
            runOnLoop(ownIncarnation, inbox.poll());
        }
        if (!ticksFirst) {
            runLateTicks(ownIncarnation);
        }
    }

    private void runLateTicks(int ownIncarnation) {
        for (; lateTicks > 0; lateTicks--) {
            runOnLoop(ownIncarnation, this::tick);
        }
    }

    private void tick() {
        if (disk.isIdle()) {
            consensusNode.decisionStored(localNowMs(), slot(consensusNode.decided()));
        }
        consensusNode.tick(localNowMs());
    }

    /** The local clock in milliseconds. */
    double localNowMs() {
        return core.nowMs() + clockOffsetMs;
    }

    private void tick(int ownIncarnation) {
        if (incarnation != ownIncarnation) {
            return;
        }
        if (frozen) {
            lateTicks++;
        } else {
            if (core.bug() == Bug.SEATS_BESIDE_DEAD && consensusNode.decided() != null) {
                consensusNode
                        .decided()
                        .voters()
                        .forEach(e -> consensusNode.pongReceived(localNowMs(), e, consensusNode.storedSlot()));
            }
            runOnLoop(ownIncarnation, this::tick);
        }
        core.scheduler().schedule(TICK_MS, () -> tick(ownIncarnation));
    }

    private void ping(int ownIncarnation) {
        if (incarnation != ownIncarnation) {
            return;
        }
        if (!frozen) {
            double sentAtMs = localNowMs();
            String asker = id;
            for (String to : known) {
                sendTo(to, m -> m.pinged(address, asker, ownIncarnation, sentAtMs));
            }
        }
        core.scheduler().schedule(PING_MS, () -> ping(ownIncarnation));
    }

    private void pinged(String from, String asker, int askerIncarnation, double sentAtMs) {
        if (core.bug() == Bug.CONTACT_FROM_ARRIVAL) {
            consensusNode.pongReceived(localNowMs(), asker, -1);
        }
        String answerer = id;
        long storedSlot = consensusNode.storedSlot();
        sendTo(from, m -> m.ponged(askerIncarnation, answerer, sentAtMs, storedSlot));
    }

    private void ponged(int askerIncarnation, String from, double sentAtMs, long slot) {
        // A pong for an earlier incarnation's ping belongs to a closed connection.
        if (askerIncarnation == incarnation) {
            consensusNode.pongReceived(core.bug() == Bug.CONTACT_FROM_ARRIVAL ? localNowMs() : sentAtMs, from, slot);
        }
    }

    /** Runs a task on the control node's loop: now, when it thaws, or never. */
    void runOnLoop(Runnable task) {
        runOnLoop(incarnation, task);
    }

    private void runOnLoop(int ownIncarnation, Runnable task) {
        if (incarnation != ownIncarnation || !up) {
            return;
        }
        if (frozen) {
            inbox.add(task);
            return;
        }
        task.run();
        if (core.checksContact() && incarnation == ownIncarnation && claimsContact() && !hasContact()) {
            core.checker().recordViolation(address + " claims contact with a majority but has none");
        }
    }

    /** Whether the node claims contact with a majority. */
    boolean claimsContact() {
        return consensusNode.isInContactWithQuorum(localNowMs(), IN_TOUCH_MS);
    }

    /** Whether a majority of the known voters has answered a message sent within {@link #IN_TOUCH_MS}. */
    boolean hasContact() {
        return contactWithin(IN_TOUCH_MS + ROUNDING_MS);
    }

    /** Whether a majority of the known voters has answered a message sent within the given time. */
    boolean contactWithin(double durationMs) {
        Decision d = consensusNode.decided();
        if (d == null) {
            return false;
        }
        int reached = 0;
        for (String e : d.voters()) {
            if (e.equals(id) || core.nowMs() - lastContactMs.getOrDefault(e, Double.NEGATIVE_INFINITY) < durationMs) {
                reached++;
            }
        }
        return reached >= d.quorum();
    }

    private String incarnationKey() {
        return id + "/" + incarnation;
    }

    private void addKnown(String other) {
        if (!other.equals(address)) {
            known.add(other);
        }
    }

    private void addKnownVoters() {
        if (consensusNode.decided() != null) {
            consensusNode.decided().voters().forEach(e -> addKnown(ConsensusNode.address(e)));
        }
    }

    private void sendTo(String to, Consumer<Machine> what) {
        String key = incarnationKey();
        String sender = id;
        double sentAtMs = core.nowMs();
        Receipt sight = newestReceived.get(to);
        core.network().send(address, to, () -> {
            Machine m = core.machineAt(to);
            if (m != null) {
                m.runOnLoop(() -> m.arrived(address, sender, key, sentAtMs, sight, what));
            }
        });
    }

    private void arrived(
            String from, String sender, String key, double sentAtMs, Receipt sight, Consumer<Machine> what) {
        addKnown(from);
        Receipt last = newestReceived.get(from);
        if (last == null || !last.key().equals(key) || last.sentAtMs() < sentAtMs) {
            newestReceived.put(from, new Receipt(key, sentAtMs));
        }
        if (sight != null && sight.key().equals(incarnationKey())) {
            lastContactMs.merge(sender, sight.sentAtMs(), Math::max);
        }
        what.accept(this);
    }

    /** Starts to count the bytes of received messages. */
    void startMetering() {
        meteredBytes = 0;
    }

    /** The bytes received since metering started. */
    long meteredBytes() {
        return meteredBytes;
    }

    // --- actions of the consensus node

    @Override
    public void send(String to, Message message) {
        if (to == null) {
            known.forEach(a -> sendMessage(a, message));
        } else if (to.equals(id)) {
            int ownIncarnation = incarnation;
            core.scheduler()
                    .schedule(
                            0,
                            () -> runOnLoop(
                                    ownIncarnation, () -> consensusNode.messageReceived(localNowMs(), id, message)));
        } else {
            addKnown(ConsensusNode.address(to));
            sendMessage(ConsensusNode.address(to), message);
        }
        if (core.bug() == Bug.ACKNOWLEDGES_ON_PROMISE && message instanceof Message.Accept p) {
            int ownIncarnation = incarnation;
            core.scheduler()
                    .schedule(
                            0,
                            () -> runOnLoop(
                                    ownIncarnation,
                                    () -> consensusNode.messageReceived(
                                            localNowMs(),
                                            to,
                                            new Message.Accepted(p.value().slot(), p.ballot()))));
        }
    }

    private void sendMessage(String to, Message message) {
        String sender = id;
        sendTo(to, m -> m.received(sender, message));
    }

    private void received(String from, Message message) {
        if (core.isTraced()) {
            core.log(address + " receives from " + from + " " + summary(message));
        }
        if (meteredBytes >= 0) {
            meteredBytes += PeerMessageCodec.write(new PeerMessage.Consensus(message)).length;
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
            consensusNode.messageReceived(localNowMs(), from, new Message.Decided(withNewestTakenOnly(d.decision())));
        } else if (message instanceof Message.State s && core.bug() == Bug.REMOVES_BY_ONE_WORD) {
            consensusNode.messageReceived(localNowMs(), from, withAllSilent(s));
        } else {
            consensusNode.messageReceived(localNowMs(), from, message);
        }
    }

    private static String summary(Message message) {
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

    private static Message.State withAllSilent(Message.State state) {
        return new Message.State(
                state.nonce(),
                state.slot(),
                state.voted(),
                state.opinions().stream()
                        .map(o -> new Message.Opinion(o.voter(), Message.Reachability.SILENT))
                        .toList());
    }

    private static Decision withNewestTakenOnly(Decision d) {
        List<Decision.AppliedVersion> taken = d.appliedVersions();
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
    public void decisionLearned(Decision decision) {
        if (core.isTraced()) {
            core.log(address + " learns slot " + decision.slot() + " version " + decision.version() + " voters "
                    + decision.voters());
        }
        core.checker().decided(decision);
        write(
                new Acceptor.State(decision, Ballot.NONE, null),
                () -> consensusNode.decisionStored(localNowMs(), decision.slot()));
        decision.voters().forEach(e -> addKnown(ConsensusNode.address(e)));
    }

    private void write(Acceptor.State memory, Runnable then) {
        int ownIncarnation = incarnation;
        disk.write(
                new Disk.Entry(id, memory),
                () -> runOnLoop(ownIncarnation, () -> {
                    onDisk = Math.max(onDisk, slot(memory.decided()));
                    versionOnDisk = Math.max(versionOnDisk, version(memory.decided()));
                    then.run();
                }));
    }

    // --- operator calls

    /** Passes a change to the consensus node; the callback gets the result once, or never if the process ends. */
    void replace(Change change, byte[] body, Consumer<ConsensusNode.CallResult> then) {
        int call = core.checker().invoked(change);
        // A node that knows no voters yet can't be out of contact with a majority.
        boolean noMajority = consensusNode.decided() != null && !contactWithin(Core.CONTACT_MS);
        BiConsumer<Integer, ConsensusNode.CallResult> end = (c, verdict) -> {
            ended(c, verdict, noMajority);
            then.accept(verdict);
        };
        Decision d = consensusNode.decided();
        if (core.bug() == Bug.REFUSES_BY_LOCAL
                && d != null
                && d.version() != change.builtOn()
                && !d.isApplied(change.version(), change.digest())) {
            end.accept(call, ConsensusNode.CallResult.MISMATCH);
            return;
        }
        long callNumber = ++calls;
        replaces.put(callNumber, verdict -> end.accept(call, verdict));
        consensusNode.replace(localNowMs(), callNumber, change.version(), change.builtOn(), change.digest(), body);
    }

    private void ended(int call, ConsensusNode.CallResult verdict, boolean noMajority) {
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
        double elapsedMs = core.nowMs() - core.checker().invokedAt(call);
        if (thawedAtMs > core.checker().invokedAt(call)) {
            // The node was frozen during the call, so its time says nothing.
            return;
        }
        if (noMajority && !contactWithin(Core.CONTACT_MS) && verdict == ConsensusNode.CallResult.UNCLEAR) {
            core.checker().sample("a call where there was no majority for 3 s, ms to unclear", elapsedMs);
        } else {
            core.checker().sample("a call, ms to " + verdict, elapsedMs);
        }
    }

    /** Asks the consensus node for the newest configuration. */
    void read(Consumer<Decision> then) {
        int call = core.checker().invoked(null);
        long callNumber = ++calls;
        reads.put(callNumber, newest -> {
            core.checker().ended(call, newest == null ? Operation.End.UNCLEAR : Operation.End.READ, newest);
            then.accept(newest);
        });
        consensusNode.read(localNowMs(), callNumber);
    }

    @Override
    public void replaceCompleted(long call, ConsensusNode.CallResult verdict) {
        Consumer<ConsensusNode.CallResult> then = replaces.remove(call);
        if (then != null) {
            then.accept(verdict);
        }
    }

    @Override
    public void readCompleted(long call, Decision newest) {
        Consumer<Decision> then = reads.remove(call);
        if (then != null) {
            then.accept(newest);
        }
    }
}
