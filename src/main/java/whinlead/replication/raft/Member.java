package whinlead.replication.raft;

import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import whinlead.engine.Timers;
import whinlead.replication.Command;
import whinlead.replication.GroupClock;
import whinlead.replication.ReplicatedState;
import whinlead.replication.Reply;

/**
 * One incarnation of a group's member: MicroRaft orders the commands, and the {@link ReplicatedState} applies them. It
 * has no thread and no socket; time and tasks come from {@link Timers}, messages are sent and received through
 * {@link MemberTransport} and {@link #receive}. On the engine's thread.
 */
public final class Member {
    /** Sends messages to the other members. */
    @FunctionalInterface
    public interface MemberTransport {
        /** Sends once, without a guarantee of delivery; never calls back before it returns. */
        void send(MemberId receiver, Envelope envelope);
    }

    /** The operation of a log entry: commands of one turn, with the timestamp at which the leader proposed them. */
    public record Batch(long stampMs, List<Command> commands) {
        /** Keeps a copy. */
        public Batch {
            commands = List.copyOf(commands);
        }
    }

    /** A snapshot chunk: a part of the state's requests; the first chunk also has the drains. */
    public record Chunk(long commandCount, long time, Map<String, Long> drains, List<ReplicatedState.Entry> entries) {}

    /** The consensus library's group id: each member has one group. */
    public static final String GROUP = "copies";

    /** A silent leader counts as lost after this many heartbeat timeouts of the consensus library. */
    private static final int SILENT_HEARTBEAT_TIMEOUTS = 2;
    /** A snapshot that this member has not answered after this many offers is never going to be answered. */
    private static final int MAX_SNAPSHOT_OFFERS = 2;

    private final MemberId id;
    private final Set<MemberId> founders;
    private final Timers timers;
    private final MemberTransport transport;
    private final ReplicatedState state;
    private final LogMirror log;
    private final RequestStateMachine stateMachine;
    private final ConsensusNode node;
    private final SnapshotOverlap overlap;
    private final LeaderMonitor leaderMonitor;
    private final MembershipChanges membership;
    private final CommandBatcher batcher;
    private final ForwardedCommands forwarded;
    private final double timeoutMs;
    /** The leader's commit index, as last received. */
    private long leaderCommit;

    private boolean stopped;
    private Runnable removalListener = () -> {};
    private int restarts;
    /** Number of snapshot offers since this member last requested a chunk. */
    private int snapshotOffers;

    /**
     * A member that is not started yet.
     *
     * @param founders the founding members of the group, the same on every member
     * @param clock this process's clock of the group's time
     * @param log of this incarnation; empty if it is new
     * @param random for election timeouts and tokens
     * @param claims the seat that a newcomer may take
     */
    public Member(
            MemberId id,
            Collection<MemberId> founders,
            Timers timers,
            GroupClock clock,
            MemberTransport transport,
            ReplicatedState state,
            RaftConfig config,
            LogMirror log,
            Random random,
            Function<MemberId, Optional<Replacement.Claim>> claims) {
        this.id = id;
        this.founders = MemberId.sorted(founders);
        this.timers = timers;
        this.transport = transport;
        this.state = state;
        this.log = log;
        forwarded = new ForwardedCommands(random.nextLong());
        stateMachine = new RequestStateMachine(state, clock, timers);
        node = new ConsensusNode(id, this.founders, timers, config, log, random, new NodeTransport(), stateMachine);
        timeoutMs = SILENT_HEARTBEAT_TIMEOUTS * TimeUnit.SECONDS.toMillis(config.getLeaderHeartbeatTimeoutSecs());
        overlap = new SnapshotOverlap(log);
        leaderMonitor = new LeaderMonitor(node, timers, timeoutMs);
        membership = new MembershipChanges(node, timers, timeoutMs, claims);
        batcher = new CommandBatcher(node, timers, clock);
    }

    /** The identity of this incarnation. */
    public MemberId id() {
        return id;
    }

    /** The founding members of the group. */
    public Set<MemberId> founders() {
        return founders;
    }

    /** Starts the member. If it is not a founder, it asks to be admitted until it votes. */
    public void start(double joinEveryMs) {
        node.start();
        leaderMonitor.start();
        timers.schedule(timeoutMs, this::check);
        if (!founders.contains(id)) {
            askToJoin(joinEveryMs);
        }
    }

    /** How often the node was restarted because the library was stuck. */
    public int restarts() {
        return restarts;
    }

    /** Sets a listener that runs when the member learns that it has been removed. */
    public void onRemoved(Runnable listener) {
        removalListener = listener;
    }

    private void check() {
        if (stopped) {
            return;
        }
        if (node.terminated()) {
            removalListener.run();
            return;
        }
        leaderMonitor.check();
        timers.schedule(timeoutMs, this::check);
    }

    /**
     * The connection to another member is down: if that member leads, an election is started after this delay unless a
     * message of it arrives until then. Otherwise the election would start only after the timeout for a silent leader.
     */
    public void suspect(String name, double afterMs) {
        double sinceMs = timers.nowMs();
        timers.schedule(afterMs, () -> {
            if (!stopped) {
                leaderMonitor.suspect(name, sinceMs);
            }
        });
    }

    private void askToJoin(double everyMs) {
        if (!votes() && !stopped) {
            // Sent to any incarnation: those that this member knows may all have been replaced.
            members().stream()
                    .map(MemberId::name)
                    .distinct()
                    .filter(name -> !name.equals(id.name()))
                    .forEach(name -> send(new MemberId(name, 0), new Envelope.Join(id)));
            timers.schedule(everyMs, () -> askToJoin(everyMs));
        }
    }

    /** Stops the member. */
    public void stop() {
        stopped = true;
        node.stop();
    }

    /** This member's state, which may be behind that of others. */
    public ReplicatedState state() {
        return state;
    }

    /** The log index up to which this member has applied the commands. */
    public long appliedIndex() {
        return stateMachine.appliedIndex();
    }

    /** True if this member is over {@code steps} entries behind the leader's commit index; a few may be in transit. */
    public boolean isBehind(int steps) {
        return !leads() && leaderCommit > appliedIndex() + steps;
    }

    /** True while this member believes that it leads. */
    public boolean leads() {
        return node.leads();
    }

    /** True once this member is a voter, as far as it knows. */
    public boolean votes() {
        return node.votes();
    }

    /** The group's members and voters, as far as this member knows. */
    public Replacement.View view() {
        return new Replacement.View(node.members(), node.voters());
    }

    /** The log index of the last membership change, as far as this member knows. */
    public long membersIndex() {
        return node.membersIndex();
    }

    /** The leader's name, as far as this member knows; empty if it knows none. */
    public String leader() {
        MemberId leader = node.leader();
        return leader == null ? "" : leader.name();
    }

    /** The committed members, learners included, as far as this member knows. */
    public Set<MemberId> members() {
        return node.members();
    }

    /** Whether any incarnation under this name is a member. */
    boolean knowsName(String name) {
        return members().stream().anyMatch(other -> other.name().equals(name));
    }

    /** Whether this incarnation is not a member, but a later one of the same name is. */
    boolean knowsLaterIncarnation(String name, long incarnation) {
        return hasLaterIncarnation(members(), name, incarnation)
                && !members().contains(new MemberId(name, incarnation));
    }

    /** Whether another process knows a later incarnation in this one's seat, or a later change that removed it. */
    boolean isReplacedIn(Envelope.GroupInfo info) {
        return hasLaterIncarnation(info.members(), id.name(), id.incarnation())
                || info.membersIndex() > membersIndex()
                        && members().contains(id)
                        && !info.members().contains(id);
    }

    private static boolean hasLaterIncarnation(Set<MemberId> members, String name, long incarnation) {
        return members.stream().anyMatch(other -> other.name().equals(name) && other.incarnation() > incarnation);
    }

    /** Proposes a command; the listener is called later, at most once. */
    public void submit(Command command, Consumer<Reply> listener) {
        MemberId leader = node.leader();
        if (id.equals(leader)) {
            batcher.propose(command, listener);
        } else if (leader != null) {
            send(leader, new Envelope.Forward(forwarded.add(listener), command));
        }
    }

    /** Removes a learner from the group. Only on the leader. */
    public void remove(MemberId learner) {
        membership.remove(learner);
    }

    /** Handles a message of another member. */
    public void receive(MemberId sender, Envelope envelope) {
        if (envelope instanceof Envelope.Consensus consensus) {
            receiveConsensus(sender, consensus.message());
        } else if (envelope instanceof Envelope.Forward forward) {
            if (leads()) {
                batcher.propose(
                        forward.command(), reply -> send(sender, new Envelope.ForwardReply(forward.token(), reply)));
            }
        } else if (envelope instanceof Envelope.ForwardReply reply) {
            forwarded.receiveReply(reply.token(), reply.reply());
        } else if (envelope instanceof Envelope.Join join) {
            receiveJoin(sender, join);
        }
    }

    private void receiveConsensus(MemberId sender, RaftMessage message) {
        if (sender.equals(node.leader())) {
            leaderMonitor.leaderMessageReceived();
            if (message instanceof AppendEntriesRequest request) {
                leaderCommit = request.getCommitIndex();
            }
        }
        RaftMessage handled = message instanceof AppendEntriesRequest request ? resolveOverlap(request) : message;
        if (handled instanceof InstallSnapshotRequest offer && offer.getTerm() >= node.term()) {
            snapshotOffered();
        }
        node.handle(handled);
        if (handled instanceof PreVoteResponse response) {
            catchUpTerm(response);
        }
    }

    // Removes entries that the log has from the request, or truncates conflicting ones; see SnapshotOverlap.
    private AppendEntriesRequest resolveOverlap(AppendEntriesRequest original) {
        if (original.getTerm() < node.term()) {
            return original;
        }
        AppendEntriesRequest request = overlap.afterSnapshot(original);
        if (!overlap.overlapsLog(request)) {
            return request;
        }
        int held = overlap.countHeldEntries(request);
        if (held > 0) {
            return overlap.withoutFirst(request, held);
        }
        truncateAfter(request.getPreviousLogIndex());
        return request;
    }

    private void truncateAfter(long index) {
        try {
            log.truncateLogEntriesFrom(index + 1);
            log.flush();
        } catch (IOException e) {
            // The disk is unchanged then, and its failure listener has been notified.
            return;
        }
        restart();
    }

    private void restart() {
        membership.reset();
        node.restart();
        restarts++;
    }

    /**
     * Works around another fault of MicroRaft 0.7: a member that lost a chunk of a snapshot waits for it forever and
     * does not answer further offers.
     */
    private void snapshotOffered() {
        if (++snapshotOffers > MAX_SNAPSHOT_OFFERS) {
            snapshotOffers = 0;
            restart();
        }
    }

    /**
     * Works around another fault of MicroRaft 0.7: a member with the longest log but a lower term requests votes in an
     * outdated term forever and is always rejected, while the rejecting members' logs are too short for them to be
     * elected. The member is made to adopt their term.
     */
    private void catchUpTerm(PreVoteResponse response) {
        if (!response.isGranted() && response.getTerm() > node.term() + 1 && node.leader() == null) {
            node.learnTerm(response.getSender(), response.getTerm());
        }
    }

    // A newcomer knows only the founders, and the leader may be none of them.
    private void receiveJoin(MemberId sender, Envelope.Join join) {
        MemberId leader = node.leader();
        if (leads()) {
            membership.admit(join.newcomer());
        } else if (leader != null && sender.equals(join.newcomer())) {
            send(leader, join);
        }
    }

    private void send(MemberId receiver, Envelope envelope) {
        if (!receiver.equals(id)) {
            transport.send(receiver, envelope);
        }
    }

    private final class NodeTransport implements Transport {
        @Override
        public void send(RaftEndpoint receiver, RaftMessage message) {
            if (message instanceof PreVoteRequest || message instanceof VoteRequest) {
                leaderMonitor.votesRequested();
            }
            if (message instanceof InstallSnapshotResponse) {
                snapshotOffers = 0;
            }
            transport.send((MemberId) receiver, new Envelope.Consensus(message));
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            // A broken connection is detected by missing messages.
            return true;
        }
    }
}
