package whinlead.replication.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.microraft.RaftConfig;
import io.microraft.model.impl.DefaultRaftModelFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import whinlead.engine.Timers;
import whinlead.plan.Calendar;
import whinlead.replication.Command;
import whinlead.replication.GroupClock;
import whinlead.replication.ReplicatedState;
import whinlead.replication.Reply;

/** One incarnation of a member: pending messages when it stops or restarts. */
class MemberTest {
    private static final MemberId SELF = new MemberId("a", 1);
    private static final MemberId OTHER = new MemberId("b", 1);

    private final Calendar clock = new Calendar();
    private final List<Envelope> sent = new ArrayList<>();

    private final class WorldTimers implements Timers {
        @Override
        public double nowMs() {
            return clock.nowMs();
        }

        @Override
        public TimerHandle schedule(double millis, Runnable task) {
            Calendar.Event due = clock.schedule(Math.max(0, millis), task);
            return due::cancel;
        }
    }

    private static Envelope voteRequest(int term) {
        return new Envelope.Consensus(new DefaultRaftModelFactory()
                .createVoteRequestBuilder()
                .setGroupId(Member.GROUP)
                .setSender(OTHER)
                .setTerm(term)
                .setLastLogTerm(term)
                .setLastLogIndex(100)
                .setSticky(false)
                .build());
    }

    /**
     * Guards against a vote that no member gave: the log may have been erased or may belong to another incarnation by
     * then.
     */
    @Test
    void aStoppedMemberNeitherWritesNorAnswersPendingMessages() {
        WorldTimers timers = new WorldTimers();
        LogMirror log = new LogMirror();
        Member member = new Member(
                SELF,
                List.of(SELF, OTHER, new MemberId("c", 1)),
                timers,
                new GroupClock(0),
                (to, what) -> sent.add(what),
                new ReplicatedState(new ReplicatedState.Limits(10, 10, 10, 1000)),
                RaftConfig.newBuilder()
                        .setLeaderElectionTimeoutMillis(300_000)
                        .setLeaderHeartbeatPeriodSecs(300)
                        .setLeaderHeartbeatTimeoutSecs(600)
                        .build(),
                log,
                new Random(1),
                who -> Optional.empty());
        member.start(100);
        clock.runUntil(10);
        member.receive(OTHER, voteRequest(3));
        clock.runUntil(20);
        assertEquals(3, log.restored().getTermPersistentState().getTerm());
        int before = sent.size();
        member.receive(OTHER, voteRequest(7));
        member.stop();
        clock.runUntil(1000);
        assertEquals(3, log.restored().getTermPersistentState().getTerm());
        assertEquals(before, sent.size());
    }

    private Member followerOfOther(LogMirror log, long seed) {
        WorldTimers timers = new WorldTimers();
        Member member = new Member(
                SELF,
                List.of(SELF, OTHER, new MemberId("c", 1)),
                timers,
                new GroupClock(0),
                (to, what) -> sent.add(what),
                new ReplicatedState(new ReplicatedState.Limits(10, 10, 10, 1000)),
                RaftConfig.newBuilder()
                        .setLeaderElectionTimeoutMillis(300_000)
                        .setLeaderHeartbeatPeriodSecs(300)
                        .setLeaderHeartbeatTimeoutSecs(600)
                        .build(),
                log,
                new Random(seed),
                who -> Optional.empty());
        member.start(100);
        clock.runUntil(clock.nowMs() + 10);
        member.receive(
                OTHER,
                new Envelope.Consensus(new DefaultRaftModelFactory()
                        .createAppendEntriesRequestBuilder()
                        .setGroupId(Member.GROUP)
                        .setSender(OTHER)
                        .setTerm(3)
                        .setPreviousLogTerm(0)
                        .setPreviousLogIndex(0)
                        .setCommitIndex(0)
                        .setLogEntries(List.of())
                        .setQuerySequenceNumber(0)
                        .setFlowControlSequenceNumber(0)
                        .build()));
        clock.runUntil(clock.nowMs() + 10);
        assertEquals("b", member.leader());
        return member;
    }

    private Envelope.Forward submitForwarded(Member member, List<Reply> replies) {
        member.submit(new Command.Report("r", 0, Command.AttemptOutcome.SERVED), replies::add);
        return (Envelope.Forward) sent.get(sent.size() - 1);
    }

    /**
     * Guards against a late reply that is taken for the reply to another command, after a restart with the disk as the
     * same incarnation: simulator schedules 113260 and 155882.
     */
    @Test
    void aReplyToTheEarlierProcessMatchesNoPendingCommand() {
        LogMirror log = new LogMirror();
        List<Reply> replies = new ArrayList<>();
        Envelope.Forward earlierCommand = submitForwarded(followerOfOther(log, 1), new ArrayList<>());
        Member restarted = followerOfOther(new LogMirror(log, null), 2);
        Envelope.Forward command = submitForwarded(restarted, replies);
        restarted.receive(OTHER, new Envelope.ForwardReply(earlierCommand.token(), new Reply.Granted(0)));
        assertEquals(List.of(), replies);
        restarted.receive(OTHER, new Envelope.ForwardReply(command.token(), new Reply.Noted()));
        assertEquals(List.of(new Reply.Noted()), replies);
    }
}
