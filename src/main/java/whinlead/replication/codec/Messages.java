package whinlead.replication.codec;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import whinlead.replication.raft.Member;
import whinlead.replication.raft.MemberId;
import whinlead.replication.wire.Wire;

/**
 * MicroRaft's messages, entries and chunks as protobuf messages and back ({@code copies.proto}). What can't be read is
 * an {@link IllegalArgumentException}.
 */
public final class Messages {
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private Messages() {}

    /** A life of a member. */
    public static Wire.Id of(RaftEndpoint who) {
        MemberId id = (MemberId) who;
        return Wire.Id.newBuilder().setName(id.name()).setLife(id.life()).build();
    }

    /** The same back. */
    public static MemberId id(Wire.Id id) {
        return new MemberId(id.getName(), id.getLife());
    }

    /** Several. */
    public static List<Wire.Id> all(Collection<? extends RaftEndpoint> ids) {
        return ids.stream().map(Messages::of).toList();
    }

    private static List<RaftEndpoint> endpoints(List<Wire.Id> ids) {
        return ids.stream().<RaftEndpoint>map(Messages::id).toList();
    }

    /** The members at a place in the log. */
    public static Wire.Members of(RaftGroupMembersView view) {
        return Wire.Members.newBuilder()
                .setIndex(view.getLogIndex())
                .addAllMembers(all(view.getMembers()))
                .addAllVoting(all(view.getVotingMembers()))
                .build();
    }

    /** The same back. */
    public static RaftGroupMembersView members(Wire.Members m) {
        return MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(m.getIndex())
                .setMembers(endpoints(m.getMembersList()))
                .setVotingMembers(endpoints(m.getVotingList()))
                .build();
    }

    /** An entry of the log. */
    public static Wire.Entry of(LogEntry entry) {
        Wire.Entry.Builder b =
                Wire.Entry.newBuilder().setIndex(entry.getIndex()).setTerm(entry.getTerm());
        if (entry.getOperation() instanceof Member.Batch batch) {
            b.setBatch(Commands.of(batch));
        } else if (entry.getOperation() instanceof UpdateRaftGroupMembersOp op) {
            b.setChange(Wire.Change.newBuilder()
                    .setWho(of(op.getEndpoint()))
                    .setMode(op.getMode().name())
                    .addAllMembers(all(op.getMembers()))
                    .addAllVoting(all(op.getVotingMembers())));
        } else {
            throw new IllegalArgumentException("an entry of no known kind");
        }
        return b.build();
    }

    /** The same back. */
    public static LogEntry entry(Wire.Entry e) {
        Object operation =
                switch (e.getWhatCase()) {
                    case BATCH -> Commands.batch(e.getBatch());
                    case CHANGE ->
                        MODELS.createUpdateRaftGroupMembersOpBuilder()
                                .setEndpoint(id(e.getChange().getWho()))
                                .setMode(MembershipChangeMode.valueOf(
                                        e.getChange().getMode()))
                                .setMembers(endpoints(e.getChange().getMembersList()))
                                .setVotingMembers(endpoints(e.getChange().getVotingList()))
                                .build();
                    case WHAT_NOT_SET -> throw new IllegalArgumentException("an entry of no known kind");
                };
        return MODELS.createLogEntryBuilder()
                .setIndex(e.getIndex())
                .setTerm(e.getTerm())
                .setOperation(operation)
                .build();
    }

    /** A piece of a snapshot. */
    public static Wire.Chunk of(SnapshotChunk chunk) {
        Member.Chunk piece = (Member.Chunk) chunk.getOperation();
        Wire.Chunk.Builder b = Wire.Chunk.newBuilder()
                .setIndex(chunk.getIndex())
                .setTerm(chunk.getTerm())
                .setNumber(chunk.getSnapshotChunkIndex())
                .setCount(chunk.getSnapshotChunkCount())
                .setMembers(of(chunk.getGroupMembersView()))
                .setCommands(piece.commands())
                .setTime(piece.time())
                .putAllDrains(piece.drains());
        piece.entries().forEach(e -> b.addRequests(Commands.of(e)));
        return b.build();
    }

    /** The same back. */
    public static SnapshotChunk chunk(Wire.Chunk c) {
        return MODELS.createSnapshotChunkBuilder()
                .setIndex(c.getIndex())
                .setTerm(c.getTerm())
                .setSnapshotChunkIndex(c.getNumber())
                .setSnapshotChunkCount(c.getCount())
                .setGroupMembersView(members(c.getMembers()))
                .setOperation(new Member.Chunk(
                        c.getCommands(),
                        c.getTime(),
                        c.getDrainsMap(),
                        c.getRequestsList().stream().map(Commands::entry).toList()))
                .build();
    }

    /** What one member tells another. */
    public static Wire.Message of(RaftMessage message) {
        Wire.Message.Builder b = Wire.Message.newBuilder().setTerm(message.getTerm());
        if (message instanceof AppendEntriesRequest m) {
            b.setKind(Wire.Message.Kind.APPEND)
                    .setLogTerm(m.getPreviousLogTerm())
                    .setLogIndex(m.getPreviousLogIndex())
                    .setCommitIndex(m.getCommitIndex())
                    .setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber());
            m.getLogEntries().forEach(e -> b.addEntries(of(e)));
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            b.setKind(Wire.Message.Kind.APPENDED)
                    .setLogIndex(m.getLastLogIndex())
                    .setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            b.setKind(Wire.Message.Kind.NOT_APPENDED)
                    .setLogIndex(m.getExpectedNextIndex())
                    .setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest || message instanceof InstallSnapshotResponse) {
            writeSnapshot(b, message);
        } else {
            writeVote(b, message);
        }
        return b.build();
    }

    private static void writeSnapshot(Wire.Message.Builder b, RaftMessage message) {
        if (message instanceof InstallSnapshotRequest m) {
            b.setKind(Wire.Message.Kind.INSTALL)
                    .setYes(m.isSenderLeader())
                    .setLogTerm(m.getSnapshotTerm())
                    .setLogIndex(m.getSnapshotIndex())
                    .setChunks(m.getTotalSnapshotChunkCount())
                    .setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber())
                    .addAllSnapshotted(all(m.getSnapshottedMembers()))
                    .setMembers(of(m.getGroupMembersView()));
            if (m.getSnapshotChunk() != null) {
                b.setChunk(of(m.getSnapshotChunk()));
            }
        } else if (message instanceof InstallSnapshotResponse m) {
            b.setKind(Wire.Message.Kind.INSTALLED)
                    .setLogIndex(m.getSnapshotIndex())
                    .setChunkIndex(m.getRequestedSnapshotChunkIndex())
                    .setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber());
        }
    }

    private static void writeVote(Wire.Message.Builder b, RaftMessage message) {
        if (message instanceof PreVoteRequest m) {
            b.setKind(Wire.Message.Kind.PRE_VOTE).setLogTerm(m.getLastLogTerm()).setLogIndex(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            b.setKind(Wire.Message.Kind.PRE_VOTED).setYes(m.isGranted());
        } else if (message instanceof VoteRequest m) {
            b.setKind(Wire.Message.Kind.VOTE)
                    .setLogTerm(m.getLastLogTerm())
                    .setLogIndex(m.getLastLogIndex())
                    .setYes(m.isSticky());
        } else if (message instanceof VoteResponse m) {
            b.setKind(Wire.Message.Kind.VOTED).setYes(m.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            b.setKind(Wire.Message.Kind.TRIGGER).setLogTerm(m.getLastLogTerm()).setLogIndex(m.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("a message of no known kind");
        }
    }

    /** The same back, as of this group and from this member. */
    public static RaftMessage message(Wire.Message m, String group, RaftEndpoint from) {
        return switch (m.getKind()) {
            case APPEND -> appendRequest(m, group, from);
            case APPENDED -> appendSuccess(m, group, from);
            case NOT_APPENDED -> appendFailure(m, group, from);
            case INSTALL -> snapshotRequest(m, group, from);
            case INSTALLED -> snapshotResponse(m, group, from);
            case PRE_VOTE -> preVoteRequest(m, group, from);
            case PRE_VOTED -> preVoteResponse(m, group, from);
            case VOTE -> voteRequest(m, group, from);
            case VOTED -> voteResponse(m, group, from);
            case TRIGGER -> leaderElectionRequest(m, group, from);
            case UNKNOWN, UNRECOGNIZED -> throw new IllegalArgumentException("a message of no known kind");
        };
    }

    private static RaftMessage appendRequest(Wire.Message m, String group, RaftEndpoint from) {
        List<LogEntry> entries = new ArrayList<>(m.getEntriesCount());
        m.getEntriesList().forEach(e -> entries.add(entry(e)));
        return MODELS.createAppendEntriesRequestBuilder()
                .setGroupId(group)
                .setSender(from)
                .setTerm(m.getTerm())
                .setPreviousLogTerm(m.getLogTerm())
                .setPreviousLogIndex(m.getLogIndex())
                .setCommitIndex(m.getCommitIndex())
                .setLogEntries(entries)
                .setQuerySequenceNumber(m.getQuery())
                .setFlowControlSequenceNumber(m.getFlow())
                .build();
    }

    private static RaftMessage appendSuccess(Wire.Message m, String group, RaftEndpoint from) {
        return MODELS.createAppendEntriesSuccessResponseBuilder()
                .setGroupId(group)
                .setSender(from)
                .setTerm(m.getTerm())
                .setLastLogIndex(m.getLogIndex())
                .setQuerySequenceNumber(m.getQuery())
                .setFlowControlSequenceNumber(m.getFlow())
                .build();
    }

    private static RaftMessage appendFailure(Wire.Message m, String group, RaftEndpoint from) {
        return MODELS.createAppendEntriesFailureResponseBuilder()
                .setGroupId(group)
                .setSender(from)
                .setTerm(m.getTerm())
                .setExpectedNextIndex(m.getLogIndex())
                .setQuerySequenceNumber(m.getQuery())
                .setFlowControlSequenceNumber(m.getFlow())
                .build();
    }

    private static RaftMessage snapshotRequest(Wire.Message m, String group, RaftEndpoint from) {
        return MODELS.createInstallSnapshotRequestBuilder()
                .setGroupId(group)
                .setSender(from)
                .setTerm(m.getTerm())
                .setSenderLeader(m.getYes())
                .setSnapshotTerm(m.getLogTerm())
                .setSnapshotIndex(m.getLogIndex())
                .setTotalSnapshotChunkCount(m.getChunks())
                .setSnapshotChunk(m.hasChunk() ? chunk(m.getChunk()) : null)
                .setSnapshottedMembers(endpoints(m.getSnapshottedList()))
                .setGroupMembersView(members(m.getMembers()))
                .setQuerySequenceNumber(m.getQuery())
                .setFlowControlSequenceNumber(m.getFlow())
                .build();
    }

    private static RaftMessage snapshotResponse(Wire.Message m, String group, RaftEndpoint from) {
        return MODELS.createInstallSnapshotResponseBuilder()
                .setGroupId(group)
                .setSender(from)
                .setTerm(m.getTerm())
                .setSnapshotIndex(m.getLogIndex())
                .setRequestedSnapshotChunkIndex(m.getChunkIndex())
                .setQuerySequenceNumber(m.getQuery())
                .setFlowControlSequenceNumber(m.getFlow())
                .build();
    }

    private static RaftMessage preVoteRequest(Wire.Message m, String group, RaftEndpoint from) {
        return MODELS.createPreVoteRequestBuilder()
                .setGroupId(group)
                .setSender(from)
                .setTerm(m.getTerm())
                .setLastLogTerm(m.getLogTerm())
                .setLastLogIndex(m.getLogIndex())
                .build();
    }

    private static RaftMessage preVoteResponse(Wire.Message m, String group, RaftEndpoint from) {
        return MODELS.createPreVoteResponseBuilder()
                .setGroupId(group)
                .setSender(from)
                .setTerm(m.getTerm())
                .setGranted(m.getYes())
                .build();
    }

    private static RaftMessage voteRequest(Wire.Message m, String group, RaftEndpoint from) {
        return MODELS.createVoteRequestBuilder()
                .setGroupId(group)
                .setSender(from)
                .setTerm(m.getTerm())
                .setLastLogTerm(m.getLogTerm())
                .setLastLogIndex(m.getLogIndex())
                .setSticky(m.getYes())
                .build();
    }

    private static RaftMessage voteResponse(Wire.Message m, String group, RaftEndpoint from) {
        return MODELS.createVoteResponseBuilder()
                .setGroupId(group)
                .setSender(from)
                .setTerm(m.getTerm())
                .setGranted(m.getYes())
                .build();
    }

    private static RaftMessage leaderElectionRequest(Wire.Message m, String group, RaftEndpoint from) {
        return MODELS.createTriggerLeaderElectionRequestBuilder()
                .setGroupId(group)
                .setSender(from)
                .setTerm(m.getTerm())
                .setLastLogTerm(m.getLogTerm())
                .setLastLogIndex(m.getLogIndex())
                .build();
    }
}
