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
 * Encodes MicroRaft's messages, log entries and snapshot chunks as protobuf messages ({@code copies.proto}) and decodes
 * them. Decoding throws an {@link IllegalArgumentException} for invalid messages.
 */
public final class Messages {
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private Messages() {}

    /** Encodes one incarnation of a member. */
    public static Wire.Id encode(RaftEndpoint endpoint) {
        MemberId id = (MemberId) endpoint;
        return Wire.Id.newBuilder().setName(id.name()).setLife(id.incarnation()).build();
    }

    /** Decodes one incarnation of a member. */
    public static MemberId id(Wire.Id id) {
        return new MemberId(id.getName(), id.getLife());
    }

    /** Encodes several incarnations. */
    public static List<Wire.Id> encodeAll(Collection<? extends RaftEndpoint> ids) {
        return ids.stream().map(Messages::encode).toList();
    }

    private static List<RaftEndpoint> decodeIds(List<Wire.Id> ids) {
        return ids.stream().<RaftEndpoint>map(Messages::id).toList();
    }

    /** Encodes the group's members at a log index. */
    public static Wire.Members encode(RaftGroupMembersView view) {
        return Wire.Members.newBuilder()
                .setIndex(view.getLogIndex())
                .addAllMembers(encodeAll(view.getMembers()))
                .addAllVoting(encodeAll(view.getVotingMembers()))
                .build();
    }

    /** Decodes the group's members at a log index. */
    public static RaftGroupMembersView decodeMembers(Wire.Members members) {
        return MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(members.getIndex())
                .setMembers(decodeIds(members.getMembersList()))
                .setVotingMembers(decodeIds(members.getVotingList()))
                .build();
    }

    /** Encodes a log entry. */
    public static Wire.Entry encode(LogEntry entry) {
        Wire.Entry.Builder builder =
                Wire.Entry.newBuilder().setIndex(entry.getIndex()).setTerm(entry.getTerm());
        if (entry.getOperation() instanceof Member.Batch batch) {
            builder.setBatch(Commands.encode(batch));
        } else if (entry.getOperation() instanceof UpdateRaftGroupMembersOp op) {
            builder.setChange(Wire.Change.newBuilder()
                    .setWho(encode(op.getEndpoint()))
                    .setMode(op.getMode().name())
                    .addAllMembers(encodeAll(op.getMembers()))
                    .addAllVoting(encodeAll(op.getVotingMembers())));
        } else {
            throw new IllegalArgumentException("log entry of unknown kind");
        }
        return builder.build();
    }

    /** Decodes a log entry. */
    public static LogEntry decodeEntry(Wire.Entry entry) {
        Object operation =
                switch (entry.getWhatCase()) {
                    case BATCH -> Commands.decodeBatch(entry.getBatch());
                    case CHANGE ->
                        MODELS.createUpdateRaftGroupMembersOpBuilder()
                                .setEndpoint(id(entry.getChange().getWho()))
                                .setMode(MembershipChangeMode.valueOf(
                                        entry.getChange().getMode()))
                                .setMembers(decodeIds(entry.getChange().getMembersList()))
                                .setVotingMembers(decodeIds(entry.getChange().getVotingList()))
                                .build();
                    case WHAT_NOT_SET -> throw new IllegalArgumentException("log entry of unknown kind");
                };
        return MODELS.createLogEntryBuilder()
                .setIndex(entry.getIndex())
                .setTerm(entry.getTerm())
                .setOperation(operation)
                .build();
    }

    /** Encodes a snapshot chunk. */
    public static Wire.Chunk encode(SnapshotChunk chunk) {
        Member.Chunk state = (Member.Chunk) chunk.getOperation();
        Wire.Chunk.Builder builder = Wire.Chunk.newBuilder()
                .setIndex(chunk.getIndex())
                .setTerm(chunk.getTerm())
                .setNumber(chunk.getSnapshotChunkIndex())
                .setCount(chunk.getSnapshotChunkCount())
                .setMembers(encode(chunk.getGroupMembersView()))
                .setCommands(state.commandCount())
                .setTime(state.time())
                .putAllDrains(state.drains());
        state.entries().forEach(e -> builder.addRequests(Commands.encode(e)));
        return builder.build();
    }

    /** Decodes a snapshot chunk. */
    public static SnapshotChunk decodeChunk(Wire.Chunk chunk) {
        return MODELS.createSnapshotChunkBuilder()
                .setIndex(chunk.getIndex())
                .setTerm(chunk.getTerm())
                .setSnapshotChunkIndex(chunk.getNumber())
                .setSnapshotChunkCount(chunk.getCount())
                .setGroupMembersView(decodeMembers(chunk.getMembers()))
                .setOperation(new Member.Chunk(
                        chunk.getCommands(),
                        chunk.getTime(),
                        chunk.getDrainsMap(),
                        chunk.getRequestsList().stream()
                                .map(Commands::decodeEntry)
                                .toList()))
                .build();
    }

    /** Encodes a Raft message. */
    public static Wire.Message encode(RaftMessage message) {
        Wire.Message.Builder builder = Wire.Message.newBuilder().setTerm(message.getTerm());
        if (message instanceof AppendEntriesRequest m) {
            builder.setKind(Wire.Message.Kind.APPEND)
                    .setLogTerm(m.getPreviousLogTerm())
                    .setLogIndex(m.getPreviousLogIndex())
                    .setCommitIndex(m.getCommitIndex())
                    .setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber());
            m.getLogEntries().forEach(e -> builder.addEntries(encode(e)));
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            builder.setKind(Wire.Message.Kind.APPENDED)
                    .setLogIndex(m.getLastLogIndex())
                    .setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            builder.setKind(Wire.Message.Kind.NOT_APPENDED)
                    .setLogIndex(m.getExpectedNextIndex())
                    .setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest || message instanceof InstallSnapshotResponse) {
            encodeSnapshot(builder, message);
        } else {
            encodeVote(builder, message);
        }
        return builder.build();
    }

    private static void encodeSnapshot(Wire.Message.Builder builder, RaftMessage message) {
        if (message instanceof InstallSnapshotRequest m) {
            builder.setKind(Wire.Message.Kind.INSTALL)
                    .setYes(m.isSenderLeader())
                    .setLogTerm(m.getSnapshotTerm())
                    .setLogIndex(m.getSnapshotIndex())
                    .setChunks(m.getTotalSnapshotChunkCount())
                    .setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber())
                    .addAllSnapshotted(encodeAll(m.getSnapshottedMembers()))
                    .setMembers(encode(m.getGroupMembersView()));
            if (m.getSnapshotChunk() != null) {
                builder.setChunk(encode(m.getSnapshotChunk()));
            }
        } else if (message instanceof InstallSnapshotResponse m) {
            builder.setKind(Wire.Message.Kind.INSTALLED)
                    .setLogIndex(m.getSnapshotIndex())
                    .setChunkIndex(m.getRequestedSnapshotChunkIndex())
                    .setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber());
        }
    }

    private static void encodeVote(Wire.Message.Builder builder, RaftMessage message) {
        if (message instanceof PreVoteRequest m) {
            builder.setKind(Wire.Message.Kind.PRE_VOTE)
                    .setLogTerm(m.getLastLogTerm())
                    .setLogIndex(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            builder.setKind(Wire.Message.Kind.PRE_VOTED).setYes(m.isGranted());
        } else if (message instanceof VoteRequest m) {
            builder.setKind(Wire.Message.Kind.VOTE)
                    .setLogTerm(m.getLastLogTerm())
                    .setLogIndex(m.getLastLogIndex())
                    .setYes(m.isSticky());
        } else if (message instanceof VoteResponse m) {
            builder.setKind(Wire.Message.Kind.VOTED).setYes(m.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            builder.setKind(Wire.Message.Kind.TRIGGER)
                    .setLogTerm(m.getLastLogTerm())
                    .setLogIndex(m.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("Raft message of unknown kind");
        }
    }

    /** Decodes a Raft message of this group from this sender. */
    public static RaftMessage decode(Wire.Message message, String group, RaftEndpoint sender) {
        return switch (message.getKind()) {
            case APPEND -> decodeAppendRequest(message, group, sender);
            case APPENDED -> decodeAppendSuccess(message, group, sender);
            case NOT_APPENDED -> decodeAppendFailure(message, group, sender);
            case INSTALL -> decodeSnapshotRequest(message, group, sender);
            case INSTALLED -> decodeSnapshotResponse(message, group, sender);
            case PRE_VOTE -> decodePreVoteRequest(message, group, sender);
            case PRE_VOTED -> decodePreVoteResponse(message, group, sender);
            case VOTE -> decodeVoteRequest(message, group, sender);
            case VOTED -> decodeVoteResponse(message, group, sender);
            case TRIGGER -> decodeLeaderElectionRequest(message, group, sender);
            case UNKNOWN, UNRECOGNIZED -> throw new IllegalArgumentException("Raft message of unknown kind");
        };
    }

    private static RaftMessage decodeAppendRequest(Wire.Message message, String group, RaftEndpoint sender) {
        List<LogEntry> entries = new ArrayList<>(message.getEntriesCount());
        message.getEntriesList().forEach(e -> entries.add(decodeEntry(e)));
        return MODELS.createAppendEntriesRequestBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(message.getTerm())
                .setPreviousLogTerm(message.getLogTerm())
                .setPreviousLogIndex(message.getLogIndex())
                .setCommitIndex(message.getCommitIndex())
                .setLogEntries(entries)
                .setQuerySequenceNumber(message.getQuery())
                .setFlowControlSequenceNumber(message.getFlow())
                .build();
    }

    private static RaftMessage decodeAppendSuccess(Wire.Message message, String group, RaftEndpoint sender) {
        return MODELS.createAppendEntriesSuccessResponseBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(message.getTerm())
                .setLastLogIndex(message.getLogIndex())
                .setQuerySequenceNumber(message.getQuery())
                .setFlowControlSequenceNumber(message.getFlow())
                .build();
    }

    private static RaftMessage decodeAppendFailure(Wire.Message message, String group, RaftEndpoint sender) {
        return MODELS.createAppendEntriesFailureResponseBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(message.getTerm())
                .setExpectedNextIndex(message.getLogIndex())
                .setQuerySequenceNumber(message.getQuery())
                .setFlowControlSequenceNumber(message.getFlow())
                .build();
    }

    private static RaftMessage decodeSnapshotRequest(Wire.Message message, String group, RaftEndpoint sender) {
        return MODELS.createInstallSnapshotRequestBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(message.getTerm())
                .setSenderLeader(message.getYes())
                .setSnapshotTerm(message.getLogTerm())
                .setSnapshotIndex(message.getLogIndex())
                .setTotalSnapshotChunkCount(message.getChunks())
                .setSnapshotChunk(message.hasChunk() ? decodeChunk(message.getChunk()) : null)
                .setSnapshottedMembers(decodeIds(message.getSnapshottedList()))
                .setGroupMembersView(decodeMembers(message.getMembers()))
                .setQuerySequenceNumber(message.getQuery())
                .setFlowControlSequenceNumber(message.getFlow())
                .build();
    }

    private static RaftMessage decodeSnapshotResponse(Wire.Message message, String group, RaftEndpoint sender) {
        return MODELS.createInstallSnapshotResponseBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(message.getTerm())
                .setSnapshotIndex(message.getLogIndex())
                .setRequestedSnapshotChunkIndex(message.getChunkIndex())
                .setQuerySequenceNumber(message.getQuery())
                .setFlowControlSequenceNumber(message.getFlow())
                .build();
    }

    private static RaftMessage decodePreVoteRequest(Wire.Message message, String group, RaftEndpoint sender) {
        return MODELS.createPreVoteRequestBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(message.getTerm())
                .setLastLogTerm(message.getLogTerm())
                .setLastLogIndex(message.getLogIndex())
                .build();
    }

    private static RaftMessage decodePreVoteResponse(Wire.Message message, String group, RaftEndpoint sender) {
        return MODELS.createPreVoteResponseBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(message.getTerm())
                .setGranted(message.getYes())
                .build();
    }

    private static RaftMessage decodeVoteRequest(Wire.Message message, String group, RaftEndpoint sender) {
        return MODELS.createVoteRequestBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(message.getTerm())
                .setLastLogTerm(message.getLogTerm())
                .setLastLogIndex(message.getLogIndex())
                .setSticky(message.getYes())
                .build();
    }

    private static RaftMessage decodeVoteResponse(Wire.Message message, String group, RaftEndpoint sender) {
        return MODELS.createVoteResponseBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(message.getTerm())
                .setGranted(message.getYes())
                .build();
    }

    private static RaftMessage decodeLeaderElectionRequest(Wire.Message message, String group, RaftEndpoint sender) {
        return MODELS.createTriggerLeaderElectionRequestBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(message.getTerm())
                .setLastLogTerm(message.getLogTerm())
                .setLastLogIndex(message.getLogIndex())
                .build();
    }
}
