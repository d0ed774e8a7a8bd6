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

/** A life of a member that ends with messages still to be worked off. */
class MemberTest {
    private static final MemberId ME = new MemberId("a", 1);
    private static final MemberId OTHER = new MemberId("b", 1);

    private final Calendar world = new Calendar();
    private final List<Envelope> sent = new ArrayList<>();

    private final class WorldTimers implements Timers {
        @Override
        public double now() {
            return world.now();
        }

        @Override
        public Timer after(double millis, Runnable task) {
            Calendar.Due due = world.after(Math.max(0, millis), task);
            return due::cancel;
        }
    }

    private static Envelope asksForVote(int term) {
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

    /** Its log may be wiped or another's by then: a vote written to it would be one that nobody gave. */
    @Test
    void whatItHadNotYetWorkedOffIsWrittenAndAnsweredNoMore() {
        WorldTimers timers = new WorldTimers();
        LogMirror log = new LogMirror();
        Member member = new Member(
                ME,
                List.of(ME, OTHER, new MemberId("c", 1)),
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
        world.runTo(10);
        member.received(OTHER, asksForVote(3));
        world.runTo(20);
        assertEquals(3, log.restored().getTermPersistentState().getTerm());
        int before = sent.size();
        member.received(OTHER, asksForVote(7));
        member.stop();
        world.runTo(1000);
        assertEquals(3, log.restored().getTermPersistentState().getTerm());
        assertEquals(before, sent.size());
    }

    private Member led(LogMirror log, long seed) {
        WorldTimers timers = new WorldTimers();
        Member member = new Member(
                ME,
                List.of(ME, OTHER, new MemberId("c", 1)),
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
        world.runTo(world.now() + 10);
        member.received(
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
        world.runTo(world.now() + 10);
        assertEquals("b", member.leader());
        return member;
    }

    private Envelope.Forward asked(Member member, List<Reply> heard) {
        member.submit(new Command.Report("r", 0, Command.How.SERVED), heard::add);
        return (Envelope.Forward) sent.get(sent.size() - 1);
    }

    /** Schedules 113260 and 155882: with its disk it is the same life, and a late answer was taken for another's. */
    @Test
    void anAnswerToTheProcessBeforeItFitsNoneOfItsQuestions() {
        LogMirror log = new LogMirror();
        List<Reply> heard = new ArrayList<>();
        Envelope.Forward before = asked(led(log, 1), new ArrayList<>());
        Member after = led(new LogMirror(log, null), 2);
        Envelope.Forward now = asked(after, heard);
        after.received(OTHER, new Envelope.Answer(before.token(), new Reply.Granted(0)));
        assertEquals(List.of(), heard);
        after.received(OTHER, new Envelope.Answer(now.token(), new Reply.Noted()));
        assertEquals(List.of(new Reply.Noted()), heard);
    }
}
