package whinlead.replication.raft;

import io.microraft.model.message.RaftMessage;
import java.util.Set;
import whinlead.replication.Command;
import whinlead.replication.Reply;

/** What goes from one member of a group to another; each may be lost, late, doubled or out of order. */
public sealed interface Envelope {
    /** A message of the consensus. */
    record Consensus(RaftMessage message) implements Envelope {}

    /** A command for the one that leads. {@code token} names the question to its asker. */
    record Forward(long token, Command command) implements Envelope {}

    /** The answer to a forwarded one. */
    record Answer(long token, Reply reply) implements Envelope {}

    /** A new life asks to be let into the group in the place of its earlier ones. */
    record Join(MemberId who) implements Envelope {}

    /** A process that has no life yet asks what another knows of the group; {@code nonce} is the process's. */
    record Ask(long nonce) implements Envelope {}

    /**
     * The answer to that.
     *
     * @param asked the nonce of the process that asked
     * @param nonce the answerer's own, 0 once it has a life
     * @param first the members with which the group was founded; empty while the answerer knows none
     * @param members those that it knows now
     * @param index of the change that made these the members, which counts up
     */
    record Standing(long asked, long nonce, Set<MemberId> first, Set<MemberId> members, long index)
            implements Envelope {
        /** Keeps copies. */
        public Standing {
            first = MemberId.sorted(first);
            members = MemberId.sorted(members);
        }
    }

    /** The process with this nonce has founded the group with these. */
    record Founded(long nonce, Set<MemberId> first) implements Envelope {
        /** Keeps a copy. */
        public Founded {
            first = MemberId.sorted(first);
        }
    }

    /** Another process lives under the receiver's name. */
    record Taken() implements Envelope {}

    /**
     * A question to the group from a process that is no member of it. {@code token} names it to its asker.
     *
     * @param command null to ask for the group's time only
     */
    record Pass(long token, Command command) implements Envelope {}

    /**
     * The answer to that, of a member or of one that is none any more.
     *
     * @param reply null if there was no command, or the answerer holds no seat
     * @param time of the group; less than 0 if the answerer holds no seat
     * @param leader as far as the answerer knows; empty if it knows of none
     */
    record Passed(long token, Reply reply, long time, String leader) implements Envelope {}

    /** A process is asked to take a seat in the group, which these founded. */
    record Invite(Set<MemberId> first) implements Envelope {
        /** Keeps a copy. */
        public Invite {
            first = MemberId.sorted(first);
        }
    }
}
