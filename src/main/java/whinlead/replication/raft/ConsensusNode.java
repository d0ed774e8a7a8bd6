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

/** Wraps the MicroRaft node of one member, which can be restarted from its log. On the engine's thread. */
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
     * A node that is not started yet, with the state of its log.
     *
     * @param founders the group's founding members, used if the log is empty
     * @param random for election timeouts
     */
    ConsensusNode(
            MemberId id,
            Set<MemberId> founders,
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
                        .setInitialGroupMembers(List.copyOf(founders))
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

    /** Starts the node. */
    void start() {
        node.start();
    }

    /** Stops the node; tasks that are due later do not run. */
    void stop() {
        executor.stop();
    }

    /** Restarts from the log, as a process that is restarted with its disk does. */
    void restart() {
        // Pending tasks of the previous node, such as votes, would write to the log unknown to the new node.
        executor.stop();
        stateMachine.reset();
        node = builder().setRestoredState(log.restored()).build();
        node.start();
    }

    /** Whether the node has learned that it is no longer a member. */
    boolean terminated() {
        return node.getStatus() == RaftNodeStatus.TERMINATED;
    }

    /** The leader as far as this node knows; null if it knows none. */
    MemberId leader() {
        return (MemberId) node.getTerm().getLeaderEndpoint();
    }

    /** Whether this node believes that it leads. */
    boolean leads() {
        return id.equals(leader());
    }

    int term() {
        return node.getTerm().getTerm();
    }

    /** Whether this node is a voter, as far as it knows. */
    boolean votes() {
        return committedMembers().getVotingMembers().contains(id);
    }

    /** The committed members, learners included. */
    Set<MemberId> members() {
        return ids(committedMembers().getMembers());
    }

    /** The committed voting members. */
    Set<MemberId> voters() {
        return ids(committedMembers().getVotingMembers());
    }

    /** The log index of the last committed membership change. */
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

    /** Handles a message of another node. */
    void handle(RaftMessage message) {
        node.handle(message);
    }

    /** Passes the node's state to the listener later, at most once. */
    void report(Consumer<RaftNodeReport> listener) {
        node.getReport().whenComplete((report, error) -> {
            if (error == null) {
                listener.accept(report.getResult());
            }
        });
    }

    /** Replicates a batch; the listener gets the result later, at most once. */
    <T> void replicate(Member.Batch batch, Consumer<T> listener) {
        node.<T>replicate(batch).whenComplete((agreed, error) -> {
            if (error == null) {
                listener.accept(agreed.getResult());
            }
        });
    }

    /**
     * Proposes a membership change.
     *
     * @param afterIndex log index of the last change that this node knows
     * @param listener runs later, at most once, after the change was committed or has failed
     */
    void changeMembership(MemberId member, MembershipChangeMode mode, long afterIndex, Runnable listener) {
        node.changeMembership(member, mode, afterIndex).whenComplete((agreed, error) -> listener.run());
    }

    /** Starts an election now, as if the leader had transferred leadership to this node. */
    void requestElection(MemberId leader, RaftNodeReport report) {
        node.handle(MODELS.createTriggerLeaderElectionRequestBuilder()
                .setGroupId(Member.GROUP)
                .setSender(leader)
                .setTerm(report.getTerm().getTerm())
                .setLastLogTerm(report.getLog().getLastLogOrSnapshotTerm())
                .setLastLogIndex(report.getLog().getLastLogOrSnapshotIndex())
                .build());
    }

    /** Makes the node adopt a later term, by a vote request that it has to reject. */
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
