package whinlead.replication.raft;

import io.microraft.model.message.RaftMessage;
import java.util.Set;
import whinlead.replication.Command;
import whinlead.replication.Reply;

/** A message from one process to another about a group; each may be lost, late, duplicated or out of order. */
public sealed interface Envelope {
    /** A message of the consensus library. */
    record Consensus(RaftMessage message) implements Envelope {}

    /** A command that a member forwards to the leader. {@code token} identifies it in the reply. */
    record Forward(long token, Command command) implements Envelope {}

    /** The reply to a forwarded command. */
    record ForwardReply(long token, Reply reply) implements Envelope {}

    /** A new incarnation asks to be admitted to the group in place of its earlier ones. */
    record Join(MemberId newcomer) implements Envelope {}

    /**
     * A process asks another what that one knows of the group; {@code nonce} identifies the asking process, or is the
     * token of a {@link LivenessChallenges liveness challenge}.
     */
    record GroupQuery(long nonce) implements Envelope {}

    /**
     * The reply to a query about the group.
     *
     * @param queryNonce the nonce of the query
     * @param nonce the replying process's own
     * @param founders the founding members of the group; empty while the replying process knows none
     * @param members the members that the replying process knows
     * @param membersIndex log index of the change to these members, which only increases
     */
    record GroupInfo(long queryNonce, long nonce, Set<MemberId> founders, Set<MemberId> members, long membersIndex)
            implements Envelope {
        /** Keeps copies. */
        public GroupInfo {
            founders = MemberId.sorted(founders);
            members = MemberId.sorted(members);
        }
    }

    /** The process with this nonce has founded the group with these members. */
    record Founded(long nonce, Set<MemberId> founders) implements Envelope {
        /** Keeps a copy. */
        public Founded {
            founders = MemberId.sorted(founders);
        }
    }

    /** Another process is running under the receiver's name. */
    record NameTaken() implements Envelope {}

    /**
     * A command from a process that is not a member of the group. {@code token} identifies it in the reply.
     *
     * @param command null to query the group's time only
     */
    record RoutedCommand(long token, Command command) implements Envelope {}

    /**
     * The reply to a command from outside the group.
     *
     * @param reply null if there was no command, or if the replying process has no seat
     * @param groupTimeMs less than 0 if the replying process has no seat
     * @param leader as far as the replying process knows; empty if it knows none
     */
    record RoutedReply(long token, Reply reply, long groupTimeMs, String leader) implements Envelope {}

    /** A process is invited to take a seat in the group that these members founded. */
    record Invite(Set<MemberId> founders) implements Envelope {
        /** Keeps a copy. */
        public Invite {
            founders = MemberId.sorted(founders);
        }
    }
}
