package whinlead.replication.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import io.microraft.transport.Transport;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import whinlead.engine.Timers;

/**
 * The node of the consensus library that one member runs, which can be started again from its log. On the engine's
 * thread.
 */
final class ConsensusNode {
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private final MemberId id;
    private final Timers timers;
    private final RaftConfig config;
    private final LogMirror log;
    private final Random random;
    private final Transport transport;
    private final RequestStateMachine stateMachine;
    private RaftNode node;
    private NodeExecutor executor;

    /**
     * A node that is yet to start, with what its log holds.
     *
     * @param first the group's first members, where the log holds nothing
     * @param random for the times of elections
     */
    ConsensusNode(
            MemberId id,
            Set<MemberId> first,
            Timers timers,
            RaftConfig config,
            LogMirror log,
            Random random,
            Transport transport,
            RequestStateMachine stateMachine) {
        this.id = id;
        this.timers = timers;
        this.config = config;
        this.log = log;
        this.random = random;
        this.transport = transport;
        this.stateMachine = stateMachine;
        RestoredRaftState restored = log.restored();
        node = restored != null
                ? builder().setRestoredState(restored).build()
                : builder()
                        .setLocalEndpoint(id)
                        .setInitialGroupMembers(List.copyOf(first))
                        .build();
    }

    private RaftNode.RaftNodeBuilder builder() {
        executor = new NodeExecutor(timers);
        return RaftNode.newBuilder()
                .setGroupId(Member.GROUP)
                .setConfig(config)
                .setTransport(transport)
                .setStateMachine(stateMachine)
                .setExecutor(executor)
                .setRandom(random)
                .setClock(new TimersClock(timers))
                .setStore(log);
    }

    /** Takes part from now on. */
    void start() {
        node.start();
    }

    /** Does nothing any more. */
    void stop() {
        executor.stop();
    }

    /** Begins again from its log, as a process does that is started again with its disk. */
    void restart() {
        // What the node before still had to do would go to the log behind this one's back, votes too.
        executor.stop();
        stateMachine.reset();
        node = builder().setRestoredState(log.restored()).build();
        node.start();
    }

    /** Whether it has found that it is no member any more. */
    boolean terminated() {
        return node.getStatus() == RaftNodeStatus.TERMINATED;
    }

    /** The member that leads, as far as this one knows; null if it knows of none. */
    MemberId leader() {
        return (MemberId) node.getTerm().getLeaderEndpoint();
    }

    /** Whether it believes that it leads. */
    boolean leads() {
        return id.equals(leader());
    }

    int term() {
        return node.getTerm().getTerm();
    }

    /** Whether it is a voter, as far as it knows. */
    boolean votes() {
        return committedMembers().getVotingMembers().contains(id);
    }

    /** The members as agreed, learners included. */
    Set<MemberId> members() {
        return ids(committedMembers().getMembers());
    }

    /** The members that vote, as agreed. */
    Set<MemberId> voters() {
        return ids(committedMembers().getVotingMembers());
    }

    /** The index of the change that made the members what they are. */
    long membersIndex() {
        return committedMembers().getLogIndex();
    }

    private RaftGroupMembers committedMembers() {
        return node.getCommittedMembers();
    }

    private static Set<MemberId> ids(Collection<RaftEndpoint> endpoints) {
        Set<MemberId> ids = new TreeSet<>();
        endpoints.forEach(endpoint -> ids.add((MemberId) endpoint));
        return ids;
    }

    /** Takes in a message of another node. */
    void handle(RaftMessage message) {
        node.handle(message);
    }

    /** Reports its state, later or never. */
    void report(Consumer<RaftNodeReport> listener) {
        node.getReport().whenComplete((report, error) -> {
            if (error == null) {
                listener.accept(report.getResult());
            }
        });
    }

    /** Has a batch agreed on; {@code listener} hears the result, later or never. */
    <T> void replicate(Member.Batch batch, Consumer<T> listener) {
        node.<T>replicate(batch).whenComplete((agreed, error) -> {
            if (error == null) {
                listener.accept(agreed.getResult());
            }
        });
    }

    /**
     * Has a change of the members agreed on.
     *
     * @param afterIndex of the last change that this one knows
     * @param listener runs once the change was agreed on or failed, later or never
     */
    void changeMembership(MemberId who, MembershipChangeMode mode, long afterIndex, Runnable listener) {
        node.changeMembership(who, mode, afterIndex).whenComplete((agreed, error) -> listener.run());
    }

    /** Asks for votes now, as if the leader had handed over to this one. */
    void requestElection(MemberId leader, RaftNodeReport report) {
        node.handle(MODELS.createTriggerLeaderElectionRequestBuilder()
                .setGroupId(Member.GROUP)
                .setSender(leader)
                .setTerm(report.getTerm().getTerm())
                .setLastLogTerm(report.getLog().getLastLogOrSnapshotTerm())
                .setLastLogIndex(report.getLog().getLastLogOrSnapshotIndex())
                .build());
    }

    /** Learns of a later term, by a request for its vote which it has to refuse. */
    void learnTerm(RaftEndpoint sender, int term) {
        node.handle(MODELS.createVoteRequestBuilder()
                .setGroupId(Member.GROUP)
                .setSender(sender)
                .setTerm(term)
                .setLastLogTerm(0)
                .setLastLogIndex(0)
                .setSticky(false)
                .build());
    }
}
