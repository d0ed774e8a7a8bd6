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
 * One life of a member of a group: MicroRaft agrees on the order of the commands, the {@link ReplicatedState} on what
 * they come to. It has no thread and no socket; time and turns come by {@link Timers}, messages by {@link Wire} and
 * {@link #received}. On the engine's thread.
 */
public final class Member {
    /** The way to the other members. */
    @FunctionalInterface
    public interface Wire {
        /** Sends once, or loses it; never calls back before it returns. */
        void send(MemberId to, Envelope what);
    }

    /** What the log holds: commands of one turn, with the time at which the one that leads proposed them. */
    public record Batch(long stamp, List<Command> commands) {
        /** Keeps a copy. */
        public Batch {
            commands = List.copyOf(commands);
        }
    }

    /** A piece of a snapshot: so many requests of the book's, and in the first one the rest. */
    public record Chunk(long commands, long time, Map<String, Long> drains, List<ReplicatedState.Entry> entries) {}

    /** What the consensus calls its group: one group a member. */
    public static final String GROUP = "copies";

    /** A silent leader is given up after so many of the consensus's own timeouts. */
    private static final int SILENT_TIMEOUTS = 2;
    /** A snapshot that is not answered after so many offers is not going to be. */
    private static final int MAX_SNAPSHOT_OFFERS = 2;

    private final MemberId id;
    private final Set<MemberId> first;
    private final Timers timers;
    private final Wire wire;
    private final ReplicatedState book;
    private final LogMirror log;
    private final RequestStateMachine stateMachine;
    private final ConsensusNode node;
    private final SnapshotOverlap overlap;
    private final LeaderMonitor leaderMonitor;
    private final MembershipChanges membership;
    private final CommandBatcher batcher;
    private final ForwardedCommands forwarded;
    private final double timeoutMs;
    /** Up to where the leader has told that all is agreed on. */
    private long leaderCommit;

    private boolean stopped;
    private Runnable removed = () -> {};
    private int restarts;
    /** How often a snapshot was offered since this member last asked for a piece of one. */
    private int snapshotOffers;

    /**
     * A member that is yet to start.
     *
     * @param first the members of the group when it was founded, on every member the same
     * @param pace the group's time as this process holds it
     * @param log what is known of this life, empty if it begins
     * @param random for the times of elections
     * @param claims which seat one that asks to be let in may take
     */
    public Member(
            MemberId id,
            Collection<MemberId> first,
            Timers timers,
            GroupClock pace,
            Wire wire,
            ReplicatedState book,
            RaftConfig config,
            LogMirror log,
            Random random,
            Function<MemberId, Optional<Replacement.Claim>> claims) {
        this.id = id;
        this.first = MemberId.sorted(first);
        this.timers = timers;
        this.wire = wire;
        this.book = book;
        this.log = log;
        forwarded = new ForwardedCommands(random.nextLong());
        stateMachine = new RequestStateMachine(book, pace, timers);
        node = new ConsensusNode(id, this.first, timers, config, log, random, new NodeTransport(), stateMachine);
        timeoutMs = SILENT_TIMEOUTS * TimeUnit.SECONDS.toMillis(config.getLeaderHeartbeatTimeoutSecs());
        overlap = new SnapshotOverlap(log);
        leaderMonitor = new LeaderMonitor(node, timers, timeoutMs);
        membership = new MembershipChanges(node, timers, timeoutMs, claims);
        batcher = new CommandBatcher(node, timers, pace);
    }

    /** Which life this is. */
    public MemberId id() {
        return id;
    }

    /** The members with which the group was founded. */
    public Set<MemberId> first() {
        return first;
    }

    /** Takes part from now on. One that is not of the first members asks to be let in until it votes. */
    public void start(double joinEveryMs) {
        node.start();
        leaderMonitor.start();
        timers.after(timeoutMs, this::check);
        if (!first.contains(id)) {
            askToJoin(joinEveryMs);
        }
    }

    /** How often it began again, since its library was stuck. */
    public int restarts() {
        return restarts;
    }

    /** Runs this once it finds that it has been removed. */
    public void onRemoved(Runnable listener) {
        removed = listener;
    }

    private void check() {
        if (stopped) {
            return;
        }
        if (node.terminated()) {
            removed.run();
            return;
        }
        leaderMonitor.check();
        timers.after(timeoutMs, this::check);
    }

    /**
     * Its link to another member is down: where that one leads, votes are asked for after this, unless something of it
     * has come until then. Without that they are after the time that a silent leader is given.
     */
    public void suspect(String name, double afterMs) {
        double since = timers.now();
        timers.after(afterMs, () -> {
            if (!stopped) {
                leaderMonitor.suspect(name, since);
            }
        });
    }

    private void askToJoin(double everyMs) {
        if (!votes() && !stopped) {
            // To whatever life there is now: those that it knows of may all be over.
            members().stream()
                    .map(MemberId::name)
                    .distinct()
                    .filter(name -> !name.equals(id.name()))
                    .forEach(name -> send(new MemberId(name, 0), new Envelope.Join(id)));
            timers.after(everyMs, () -> askToJoin(everyMs));
        }
    }

    /** Takes part no more. */
    public void stop() {
        stopped = true;
        node.stop();
    }

    /** What this member knows, perhaps less than others do. */
    public ReplicatedState book() {
        return book;
    }

    /** The place in the order of all commands up to which it knows them. */
    public long known() {
        return stateMachine.appliedIndex();
    }

    /** True if the leader has told of more than this member knows; a few steps may be on their way. */
    public boolean lags(int steps) {
        return !leads() && leaderCommit > known() + steps;
    }

    /** True while this member believes that it leads. */
    public boolean leads() {
        return node.leads();
    }

    /** True once it is a voter, as far as it knows. */
    public boolean votes() {
        return node.votes();
    }

    /** How the group stands, as far as this one knows. */
    public Replacement.View view() {
        return new Replacement.View(node.members(), node.voters());
    }

    /** Of the change that made the members what they are, as far as this one knows. */
    public long membersIndex() {
        return node.membersIndex();
    }

    /** The member that leads, as far as this one knows; empty if it knows of none. */
    public String leader() {
        MemberId leader = node.leader();
        return leader == null ? "" : leader.name();
    }

    /** The members as agreed, learners included, as far as this one knows. */
    public Set<MemberId> members() {
        return node.members();
    }

    /** Whether some life under a name is a member. */
    boolean knowsName(String name) {
        return members().stream().anyMatch(other -> other.name().equals(name));
    }

    /** Whether a life is no member, but a later one under its name is. */
    boolean knowsLaterLife(String name, long life) {
        return hasLaterLife(members(), name, life) && !members().contains(new MemberId(name, life));
    }

    /** Whether by what another knows a later life has this one's seat, or a later change removed this one. */
    boolean isReplacedIn(Envelope.Standing standing) {
        return hasLaterLife(standing.members(), id.name(), id.life())
                || standing.index() > membersIndex()
                        && members().contains(id)
                        && !standing.members().contains(id);
    }

    private static boolean hasLaterLife(Set<MemberId> all, String name, long life) {
        return all.stream().anyMatch(other -> other.name().equals(name) && other.life() > life);
    }

    /** Has a command agreed on; the answer comes once, later, or never. */
    public void submit(Command command, Consumer<Reply> answer) {
        MemberId leader = node.leader();
        if (id.equals(leader)) {
            batcher.propose(command, answer);
        } else if (leader != null) {
            send(leader, new Envelope.Forward(forwarded.add(answer), command));
        }
    }

    /** Has a learner be a member no more. Only where it leads. */
    public void dismiss(MemberId learner) {
        membership.dismiss(learner);
    }

    /** Something has come from another member. */
    public void received(MemberId from, Envelope what) {
        if (what instanceof Envelope.Consensus consensus) {
            receivedConsensus(from, consensus.message());
        } else if (what instanceof Envelope.Forward forward) {
            if (leads()) {
                batcher.propose(forward.command(), reply -> send(from, new Envelope.Answer(forward.token(), reply)));
            }
        } else if (what instanceof Envelope.Answer answer) {
            forwarded.replied(answer.token(), answer.reply());
        } else if (what instanceof Envelope.Join join) {
            receivedJoin(from, join);
        }
    }

    private void receivedConsensus(MemberId from, RaftMessage message) {
        if (from.equals(node.leader())) {
            leaderMonitor.leaderHeard();
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

    // Leaves out what is held, or cuts off what contradicts it; see SnapshotOverlap.
    private AppendEntriesRequest resolveOverlap(AppendEntriesRequest sent) {
        if (sent.getTerm() < node.term()) {
            return sent;
        }
        AppendEntriesRequest request = overlap.afterSnapshot(sent);
        if (!overlap.overlapsLog(request)) {
            return request;
        }
        int held = overlap.heldEntries(request);
        if (held > 0) {
            return overlap.without(request, held);
        }
        truncateAfter(request.getPreviousLogIndex());
        return request;
    }

    private void truncateAfter(long index) {
        try {
            log.truncateLogEntriesFrom(index + 1);
            log.flush();
        } catch (IOException e) {
            // A disk that does not take this leaves it as it was, and has told so.
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
     * Guards against another fault of MicroRaft 0.7: a member that lost what it was sent of a snapshot waits for that
     * ever after, and says nothing to those that offer it again.
     */
    private void snapshotOffered() {
        if (++snapshotOffers > MAX_SNAPSHOT_OFFERS) {
            snapshotOffers = 0;
            restart();
        }
    }

    /**
     * Guards against another: one that knows more than the rest, but of a lower term, asks for votes in a term that is
     * over, is refused for that, and asks in the same one ever after; while those that refuse it know too little to be
     * voted for. It is told of their term.
     */
    private void catchUpTerm(PreVoteResponse response) {
        if (!response.isGranted() && response.getTerm() > node.term() + 1 && node.leader() == null) {
            node.learnTerm(response.getSender(), response.getTerm());
        }
    }

    // Whoever asks to be let in knows the first members only: the one that leads may be none of them.
    private void receivedJoin(MemberId from, Envelope.Join join) {
        MemberId leader = node.leader();
        if (leads()) {
            membership.admit(join.who());
        } else if (leader != null && from.equals(join.who())) {
            send(leader, join);
        }
    }

    private void send(MemberId to, Envelope what) {
        if (!to.equals(id)) {
            wire.send(to, what);
        }
    }

    private final class NodeTransport implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            if (message instanceof PreVoteRequest || message instanceof VoteRequest) {
                leaderMonitor.votesRequested();
            }
            if (message instanceof InstallSnapshotResponse) {
                snapshotOffers = 0;
            }
            wire.send((MemberId) to, new Envelope.Consensus(message));
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            // A link that is down shows in what does not come.
            return true;
        }
    }
}
