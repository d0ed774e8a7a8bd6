package whinlead.replication.raft;

import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import whinlead.engine.Timers;
import whinlead.replication.Command;
import whinlead.replication.GroupClock;
import whinlead.replication.ReplicatedState;
import whinlead.replication.Reply;

/**
 * A process's place in a group. It finds out without an operator's help which incarnation of a member the process is.
 * Its inputs are messages and time, its outputs messages; no I/O. On the engine's thread.
 *
 * <p>A process with an incarnation on its disk continues that one. Any other queries the other processes and joins or
 * founds the group by the rules of {@link GroupFormation}. A process that queries under the name of an incarnation that
 * is still alive is told that the name is taken, and exits ({@link LivenessChallenges}). An incarnation that was
 * replaced while its process was suspended starts over with queries of its own. A process that is not a founding member
 * has a seat only as a guest, invited by the leader ({@link Replacement}), and gives it up when it is removed.
 */
public final class Seat {
    /** What the seat needs of its process. */
    public interface Environment {
        /** Sends once, without a guarantee of delivery; never calls back before it returns. */
        void send(String to, GroupMessage message);

        /** Erases the stored log; from now on the returned log is used. */
        LogMirror wipeLog();

        /** Reports a line to the operator. */
        void report(String line);

        /** Another process is running under this name: this one has to exit. */
        void nameTaken();

        /** A guest no longer has a seat; its stored log may be deleted. */
        void seatRetired();
    }

    private static final double QUERY_INTERVAL_MS = 100;
    private static final double JOIN_INTERVAL_MS = 200;
    /** Query interval while the process has an incarnation that does not vote or that may have been replaced. */
    private static final double VERIFY_INTERVAL_MS = 1000;

    private static final double WATCH_INTERVAL_MS = 250;
    /** Time for a guest to be admitted; it covers several queries, a snapshot and one change of leader. */
    private static final double GUEST_JOIN_TIMEOUT_MS = 10_000;
    /** Delay from the loss of the connection to a leader until an election; up to as much again is added at random. */
    private static final double SUSPECT_DELAY_MS = 100;

    private final SeatSetup setup;
    private final Timers timers;
    private final GroupClock clock;
    private final Random random;
    private final Environment environment;
    private final GroupFormation formation;
    private final LivenessChallenges challenges;
    private final ReplacementDriver replacements;
    private LogMirror log;
    private Member member;
    private boolean querying;
    private boolean stopped;

    /**
     * A seat that is not started yet.
     *
     * @param log from the process's disk; empty if it has none
     * @param random for the numbers that identify this process; needs a good seed, or two processes could get the same
     *     identity
     */
    public Seat(
            SeatSetup setup, Timers timers, GroupClock clock, LogMirror log, Random random, Environment environment) {
        this.setup = setup;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
        this.random = random;
        this.environment = environment;
        replacements = new ReplacementDriver(setup, timers, environment);
        challenges = new LivenessChallenges(random);
        formation = new GroupFormation(setup, random);
    }

    /** Starts to look for the process's place in the group. */
    public void start() {
        RestoredIncarnation.of(log)
                .ifPresent(
                        restored -> takeSeat(restored.id(), restored.founders(), "continues from the log on its disk"));
        queryGroup();
        if (setup.replaceAfterMs() > 0) {
            watch();
        }
    }

    /** Joins the group of these founders as a guest; gives up if it is not admitted in time. */
    public void acceptInvitation(Set<MemberId> founders) {
        takeSeat(formation.firstIncarnation(), founders, "is asked in as a guest");
        queryGroup();
        watch();
        timers.schedule(GUEST_JOIN_TIMEOUT_MS, () -> {
            if (!stopped && member != null && !member.members().contains(member.id())) {
                retire("was not admitted in time");
            }
        });
    }

    private void retire(String reason) {
        environment.report("copies: " + member.id() + " of " + setup.group() + " " + reason);
        stop();
        environment.seatRetired();
    }

    // Periodically lets the leader handle lost members.
    private void watch() {
        if (stopped) {
            return;
        }
        if (member != null) {
            if (!querying && member.leader().isEmpty()) {
                // The others may have replaced this incarnation.
                formation.clearReplies();
                queryGroup();
            }
            replacements.tick(member);
        }
        timers.schedule(WATCH_INTERVAL_MS, this::watch);
    }

    /**
     * An operator orders the replacement of a member that does not come back.
     *
     * @return why this is not possible; empty if the replacement has started
     */
    public String replace(String name) {
        return replacements.replace(name, member);
    }

    /** Stops taking part; no messages are sent any more. */
    public void stop() {
        stopped = true;
        if (member != null) {
            member.stop();
        }
    }

    /** The seat's status for operators. */
    public SeatStatus status() {
        return member == null
                ? SeatStatus.NONE
                : new SeatStatus(
                        member.id(),
                        member.leads(),
                        member.votes(),
                        member.members(),
                        member.state().size(),
                        member.state().timeMs());
    }

    /** The process's incarnation; null while it has none. */
    public Member member() {
        return member;
    }

    /** The group's time, never ahead of the actual one. */
    public long time() {
        return clock.time(timers.nowMs());
    }

    /** True if the process has an incarnation that votes, as far as it knows: it can answer queries to the group. */
    public boolean canServe() {
        return member != null && !stopped && member.votes();
    }

    /** Proposes a command; the listener is called later, at most once. */
    public void submit(Command command, Consumer<Reply> listener) {
        // Without an incarnation the command is dropped, and the caller's own timeout ends its wait.
        if (member != null && !stopped) {
            member.submit(command, listener);
        }
    }

    private void queryGroup() {
        boolean settled = member != null && member.votes() && !member.leader().isEmpty() && formation.majorityReplied();
        querying = !stopped && !settled;
        if (!querying) {
            return;
        }
        for (String other : setup.founderNames()) {
            if (!other.equals(setup.name())) {
                environment.send(other, newMessage(0, new Envelope.GroupQuery(formation.nonce())));
            }
        }
        foundGroup();
        timers.schedule(member == null ? QUERY_INTERVAL_MS : VERIFY_INTERVAL_MS, this::queryGroup);
    }

    private long incarnation() {
        return member == null ? 0 : member.id().incarnation();
    }

    private GroupMessage newMessage(long receiverIncarnation, Envelope envelope) {
        return new GroupMessage(setup.name(), incarnation(), receiverIncarnation, envelope);
    }

    // All must be without an incarnation: one that has one may know promises made to callers.
    private void foundGroup() {
        if (member != null || !formation.mayFound()) {
            return;
        }
        Set<MemberId> founders = formation.founders();
        formation
                .repliers()
                .forEach(other ->
                        environment.send(other, newMessage(0, new Envelope.Founded(formation.nonce(), founders))));
        takeSeat(formation.firstIncarnation(), founders, "founds the group");
    }

    private void takeSeat(MemberId self, Set<MemberId> founders, String reason) {
        environment.report("copies: " + self + " " + reason);
        formation.clearReplies();
        Member.MemberTransport transport = (receiver, envelope) -> environment.send(
                receiver.name(), new GroupMessage(self.name(), self.incarnation(), receiver.incarnation(), envelope));
        member = new Member(
                self,
                founders,
                timers,
                clock,
                transport,
                new ReplicatedState(setup.limits()),
                setup.consensus(),
                log,
                random,
                newcomer -> replacements.claim(newcomer, member));
        member.onRemoved(this::restartAsNewProcess);
        member.start(JOIN_INTERVAL_MS);
    }

    private void restartAsNewProcess() {
        if (setup.isGuest()) {
            retire("has no seat any more");
            return;
        }
        environment.report("copies: " + member.id() + " was replaced by a later incarnation; restarts without state");
        member.stop();
        member = null;
        log = environment.wipeLog();
        formation.reset();
        if (!querying) {
            queryGroup();
        }
    }

    /** Writing to disk has failed: this member stops taking part, since it could not keep its promises. */
    public void diskFailed(String reason) {
        if (!stopped) {
            environment.report("copies: steps aside, its disk takes nothing: " + reason);
            stop();
        }
    }

    /** The connection to a member is down. */
    public void down(String name) {
        if (member != null && !stopped) {
            member.suspect(name, SUSPECT_DELAY_MS + random.nextDouble() * SUSPECT_DELAY_MS);
        }
    }

    /**
     * Handles a message.
     *
     * @param replySender replies to the process that sent the message, even if its name's address leads to another
     */
    public void receive(GroupMessage message, Consumer<GroupMessage> replySender) {
        if (stopped
                || !setup.processes().contains(message.sender())
                || message.sender().equals(setup.name())) {
            return;
        }
        replacements.receive(message);
        if (message.envelope() instanceof Envelope.GroupQuery query) {
            receiveQuery(message, query, replySender);
        } else if (message.envelope() instanceof Envelope.GroupInfo info) {
            receiveGroupInfo(message, info);
        } else if (message.envelope() instanceof Envelope.Founded founded) {
            if (member == null && formation.promisedTo(message.sender(), founded.nonce())) {
                joinFounders(founded.founders());
            }
        } else if (message.envelope() instanceof Envelope.NameTaken) {
            handleNameTaken(message);
        } else if (member != null
                && (message.receiverIncarnation() == incarnation() || message.envelope() instanceof Envelope.Join)) {
            passToMember(message, replySender);
        }
    }

    private void handleNameTaken(GroupMessage message) {
        if (member != null && message.receiverIncarnation() == incarnation()) {
            restartAsNewProcess();
        } else if (member == null && message.receiverIncarnation() == formation.nonce()) {
            stop();
            environment.nameTaken();
        }
    }

    private void passToMember(GroupMessage message, Consumer<GroupMessage> replySender) {
        if (member.knowsLaterIncarnation(message.sender(), message.senderIncarnation())) {
            replySender.accept(newMessage(message.senderIncarnation(), new Envelope.NameTaken()));
            return;
        }
        if (message.envelope() instanceof Envelope.Join join) {
            replacements.recordContact(join.newcomer().name());
        }
        member.receive(new MemberId(message.sender(), message.senderIncarnation()), message.envelope());
    }

    private void receiveQuery(GroupMessage message, Envelope.GroupQuery query, Consumer<GroupMessage> replySender) {
        String sender = message.sender();
        if (member == null) {
            formation.promise(sender, query.nonce());
            sendGroupInfo(query, replySender);
            return;
        }
        boolean senderHasIncarnation = message.senderIncarnation() != 0
                || member.members().contains(new MemberId(sender, IncarnationNumbers.first(query.nonce())));
        if (senderHasIncarnation || !member.knowsName(sender)) {
            sendGroupInfo(query, replySender);
            return;
        }
        LivenessChallenges.Challenge challenge = challenges.challenge(sender, query.nonce(), timers.nowMs());
        switch (challenge.state(timers.nowMs())) {
            case PROVEN -> replySender.accept(newMessage(query.nonce(), new Envelope.NameTaken()));
            case EXPIRED -> sendGroupInfo(query, replySender);
            case PENDING -> environment.send(sender, newMessage(0, new Envelope.GroupQuery(challenge.token())));
            default -> throw new IllegalStateException("unknown state of a liveness challenge");
        }
    }

    private void sendGroupInfo(Envelope.GroupQuery query, Consumer<GroupMessage> replySender) {
        Envelope.GroupInfo info = member == null
                ? new Envelope.GroupInfo(query.nonce(), formation.nonce(), Set.of(), Set.of(), 0)
                : new Envelope.GroupInfo(
                        query.nonce(), formation.nonce(), member.founders(), member.members(), member.membersIndex());
        replySender.accept(newMessage(0, info));
    }

    private void receiveGroupInfo(GroupMessage message, Envelope.GroupInfo info) {
        if (message.senderIncarnation() != 0) {
            challenges.receiveToken(message.sender(), info.queryNonce());
        }
        if (info.queryNonce() != formation.nonce()) {
            return;
        }
        if (member == null) {
            decideFromGroupInfo(message.sender(), info);
        } else {
            formation.receiveInfo(message.sender(), info);
            if (member.isReplacedIn(info)) {
                restartAsNewProcess();
            }
        }
    }

    private void decideFromGroupInfo(String sender, Envelope.GroupInfo info) {
        if (info.founders().isEmpty()) {
            formation.receiveInfo(sender, info);
        } else if (!info.founders().contains(formation.firstIncarnation())) {
            takeSeat(formation.nextIncarnation(info), info.founders(), "joins the group");
        } else if (formation.promisedTo(sender, info.nonce()) || formation.promisedAmong(info.founders())) {
            joinFounders(info.founders());
        }
    }

    private void joinFounders(Set<MemberId> founders) {
        MemberId self = formation.firstIncarnation();
        if (founders.contains(self)) {
            takeSeat(self, founders, "is a founding member of the group");
        }
    }
}
