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
 * A process's place in its group: which life of a member it is, found out without anybody's help. Messages and time in,
 * messages out; no I/O. On the engine's thread.
 *
 * <p>A process that holds a life on its disk goes on with that. Any other asks the rest what they know, and joins or
 * founds the group as {@link GroupFormation} says. One that asks under a name whose earlier life lives is told that the
 * name is taken, and ends ({@link LivenessChallenges}). A life that has been replaced while it stood still asks anew
 * itself. A process that is none of the first members has a seat only as a guest, where the one that leads has asked it
 * to ({@link Replacement}), and gives it up once it is told to.
 */
public final class Seat {
    /** What it needs of the process. */
    public interface Outside {
        /** Sends once, or loses it; never calls back before it returns. */
        void send(String to, GroupMessage message);

        /** Forgets what the disk holds; what is held from now on goes to the log given back. */
        LogMirror wiped();

        /** Tells the operator, in one line. */
        void note(String line);

        /** Another process lives under this name: this one is to end. */
        void taken();

        /** A guest has no seat any more; what its disk holds of it may go. */
        void retired();
    }

    private static final double ASK_EVERY_MS = 100;
    private static final double JOIN_EVERY_MS = 200;
    /** While it has a life but no vote, or has not heard whether its life is still the one. */
    private static final double LOOK_EVERY_MS = 1000;

    private static final double WATCH_EVERY_MS = 250;
    /** In which a guest has been let in: by several questions, a snapshot and one change of who leads. */
    private static final double GUEST_MS = 10_000;
    /** After a link to a leader goes down, so much and up to as much again until votes are asked for. */
    private static final double SUSPECT_MS = 100;

    private final SeatSetup setup;
    private final Timers timers;
    private final GroupClock pace;
    private final Random random;
    private final Outside outside;
    private final GroupFormation formation;
    private final LivenessChallenges challenges;
    private final ReplacementDriver replacements;
    private LogMirror log;
    private Member member;
    private boolean asks;
    private boolean stopped;

    /**
     * A process that is yet to start.
     *
     * @param log what its disk holds; empty if it has none
     * @param random for what tells this process apart from all others: well seeded, or two could be one
     */
    public Seat(SeatSetup setup, Timers timers, GroupClock pace, LogMirror log, Random random, Outside outside) {
        this.setup = setup;
        this.timers = timers;
        this.pace = pace;
        this.log = log;
        this.random = random;
        this.outside = outside;
        replacements = new ReplacementDriver(setup, timers, outside);
        challenges = new LivenessChallenges(random);
        formation = new GroupFormation(setup, random);
    }

    /** Finds its place from now on. */
    public void start() {
        RestoredLife.of(log).ifPresent(life -> sit(life.id(), life.first(), "goes on with what its disk holds"));
        ask();
        if (setup.replaceAfterMs() > 0) {
            watch();
        }
    }

    /** Takes a seat of a group that these founded, once it is let in; or gives up. */
    public void invited(Set<MemberId> first) {
        sit(formation.firstLife(), first, "is asked in as a guest");
        ask();
        watch();
        timers.after(GUEST_MS, () -> {
            if (!stopped && member != null && !member.members().contains(member.id())) {
                retire("was not let in");
            }
        });
    }

    private void retire(String why) {
        outside.note("copies: " + member.id() + " of " + setup.group() + " " + why);
        stop();
        outside.retired();
    }

    // What the one that leads does about members that are lost.
    private void watch() {
        if (stopped) {
            return;
        }
        if (member != null) {
            if (!asks && member.leader().isEmpty()) {
                // Others may have gone on without this life.
                formation.clearAnswers();
                ask();
            }
            replacements.tick(member);
        }
        timers.after(WATCH_EVERY_MS, this::watch);
    }

    /**
     * An operator says that a member does not come back, and its seat is to be another's.
     *
     * @return why not; empty if it is being done
     */
    public String replace(String name) {
        return replacements.replace(name, member);
    }

    /** Takes part no more, and says nothing any more. */
    public void stop() {
        stopped = true;
        if (member != null) {
            member.stop();
        }
    }

    /** How it stands. */
    public SeatStatus status() {
        return member == null
                ? SeatStatus.NONE
                : new SeatStatus(
                        member.id(),
                        member.leads(),
                        member.votes(),
                        member.members(),
                        member.book().size(),
                        member.book().time());
    }

    /** The life that it has; null while it has none. */
    public Member member() {
        return member;
    }

    /** The group's time, never ahead of it. */
    public long time() {
        return pace.time(timers.now());
    }

    /** True if it has a life that votes, as far as it knows: whoever asks the group may ask it. */
    public boolean serves() {
        return member != null && !stopped && member.votes();
    }

    /** Has a command agreed on; the answer comes once, later, or never. */
    public void submit(Command command, Consumer<Reply> answer) {
        // Without a life nobody is asked: whoever waits is told so in time.
        if (member != null && !stopped) {
            member.submit(command, answer);
        }
    }

    private void ask() {
        boolean settled =
                member != null && member.votes() && !member.leader().isEmpty() && formation.majorityAnswered();
        asks = !stopped && !settled;
        if (!asks) {
            return;
        }
        for (String other : setup.names()) {
            if (!other.equals(setup.name())) {
                outside.send(other, message(0, new Envelope.Ask(formation.nonce())));
            }
        }
        found();
        timers.after(member == null ? ASK_EVERY_MS : LOOK_EVERY_MS, this::ask);
    }

    private long life() {
        return member == null ? 0 : member.id().life();
    }

    private GroupMessage message(long toLife, Envelope what) {
        return new GroupMessage(setup.name(), life(), toLife, what);
    }

    // All must have no life: one that has one may hold what others were promised.
    private void found() {
        if (member != null || !formation.mayFound()) {
            return;
        }
        Set<MemberId> first = formation.founders();
        formation
                .answerers()
                .forEach(other -> outside.send(other, message(0, new Envelope.Founded(formation.nonce(), first))));
        sit(formation.firstLife(), first, "founds the group");
    }

    private void sit(MemberId me, Set<MemberId> first, String how) {
        outside.note("copies: " + me + " " + how);
        formation.clearAnswers();
        Member.Wire wire =
                (to, what) -> outside.send(to.name(), new GroupMessage(me.name(), me.life(), to.life(), what));
        member = new Member(
                me,
                first,
                timers,
                pace,
                wire,
                new ReplicatedState(setup.limits()),
                setup.consensus(),
                log,
                random,
                who -> replacements.claim(who, member));
        member.onRemoved(this::beginAnew);
        member.start(JOIN_EVERY_MS);
    }

    private void beginAnew() {
        if (setup.guest()) {
            retire("has no seat any more");
            return;
        }
        outside.note("copies: " + member.id() + " has been replaced by a later life, and begins anew");
        member.stop();
        member = null;
        log = outside.wiped();
        formation.reset();
        if (!asks) {
            ask();
        }
    }

    /** The disk takes nothing any more: this member steps aside rather than to promise what it can't keep. */
    public void diskFailed(String why) {
        if (!stopped) {
            outside.note("copies: steps aside, its disk takes nothing: " + why);
            stop();
        }
    }

    /** The link to a member is down. */
    public void down(String name) {
        if (member != null && !stopped) {
            member.suspect(name, SUSPECT_MS + random.nextDouble() * SUSPECT_MS);
        }
    }

    /**
     * Something has come.
     *
     * @param back to the very process that said it, whoever its name's address leads to
     */
    public void received(GroupMessage message, Consumer<GroupMessage> back) {
        if (stopped
                || !setup.processes().contains(message.from())
                || message.from().equals(setup.name())) {
            return;
        }
        replacements.received(message);
        if (message.what() instanceof Envelope.Ask ask) {
            asked(message, ask, back);
        } else if (message.what() instanceof Envelope.Standing standing) {
            told(message, standing);
        } else if (message.what() instanceof Envelope.Founded founded) {
            if (member == null && formation.promisedTo(message.from(), founded.nonce())) {
                adopt(founded.first());
            }
        } else if (message.what() instanceof Envelope.Taken) {
            nameTaken(message);
        } else if (member != null && (message.toLife() == life() || message.what() instanceof Envelope.Join)) {
            receivedByMember(message, back);
        }
    }

    private void nameTaken(GroupMessage message) {
        if (member != null && message.toLife() == life()) {
            beginAnew();
        } else if (member == null && message.toLife() == formation.nonce()) {
            stop();
            outside.taken();
        }
    }

    private void receivedByMember(GroupMessage message, Consumer<GroupMessage> back) {
        if (member.knowsLaterLife(message.from(), message.fromLife())) {
            back.accept(message(message.fromLife(), new Envelope.Taken()));
            return;
        }
        if (message.what() instanceof Envelope.Join join) {
            replacements.heard(join.who().name());
        }
        member.received(new MemberId(message.from(), message.fromLife()), message.what());
    }

    private void asked(GroupMessage message, Envelope.Ask ask, Consumer<GroupMessage> back) {
        String from = message.from();
        if (member == null) {
            formation.promise(from, ask.nonce());
            answer(ask, back);
            return;
        }
        boolean hasLife = message.fromLife() != 0
                || member.members().contains(new MemberId(from, IncarnationNumbers.first(ask.nonce())));
        if (hasLife || !member.knowsName(from)) {
            answer(ask, back);
            return;
        }
        LivenessChallenges.Challenge challenge = challenges.challenge(from, ask.nonce(), timers.now());
        switch (challenge.state(timers.now())) {
            case PROVEN -> back.accept(message(ask.nonce(), new Envelope.Taken()));
            case EXPIRED -> answer(ask, back);
            case PENDING -> outside.send(from, message(0, new Envelope.Ask(challenge.token())));
            default -> throw new IllegalStateException("no state of a challenge");
        }
    }

    private void answer(Envelope.Ask ask, Consumer<GroupMessage> back) {
        Envelope.Standing standing = member == null
                ? new Envelope.Standing(ask.nonce(), formation.nonce(), Set.of(), Set.of(), 0)
                : new Envelope.Standing(
                        ask.nonce(), formation.nonce(), member.first(), member.members(), member.membersIndex());
        back.accept(message(0, standing));
    }

    private void told(GroupMessage message, Envelope.Standing standing) {
        if (message.fromLife() != 0) {
            challenges.answered(message.from(), standing.asked());
        }
        if (standing.asked() != formation.nonce()) {
            return;
        }
        if (member == null) {
            toldWithoutLife(message.from(), standing);
        } else {
            formation.answered(message.from(), standing);
            if (member.isReplacedIn(standing)) {
                beginAnew();
            }
        }
    }

    private void toldWithoutLife(String from, Envelope.Standing standing) {
        if (standing.first().isEmpty()) {
            formation.answered(from, standing);
        } else if (!standing.first().contains(formation.firstLife())) {
            sit(formation.nextLife(standing), standing.first(), "joins the group");
        } else if (formation.promisedTo(from, standing.nonce()) || formation.promisedAmong(standing.first())) {
            adopt(standing.first());
        }
    }

    private void adopt(Set<MemberId> first) {
        MemberId me = formation.firstLife();
        if (first.contains(me)) {
            sit(me, first, "is of the group's first members");
        }
    }
}
