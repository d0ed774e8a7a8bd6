package whinlead.testbed.replication;

import io.microraft.RaftConfig;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.function.Consumer;
import whinlead.Contract;
import whinlead.consult.Bounds;
import whinlead.consult.Consultations;
import whinlead.consult.Directive;
import whinlead.consult.Keeper;
import whinlead.decide.Decide;
import whinlead.engine.Engine;
import whinlead.membership.EndpointList;
import whinlead.plan.Calendar;
import whinlead.replication.ReplicatedState;
import whinlead.replication.ReplicationClient;
import whinlead.replication.raft.GroupHost;
import whinlead.replication.raft.GroupMessage;
import whinlead.replication.raft.LogMirror;
import whinlead.replication.raft.Member;
import whinlead.replication.raft.Seat;

/**
 * One machine of a group: a disk, and a process with the real engine, module, consultations and member in it, which is
 * killed, frozen and started again.
 */
final class SimMachine {
    private static final ReplicatedState.Limits LIMITS = new ReplicatedState.Limits(5000, 2000, 100, 60_000);
    private static final Bounds BOUNDS = new Bounds(2000, 1000, 10_000, 60_000, 100);
    private static final ReplicationClient.Timeouts WAITS =
            new ReplicationClient.Timeouts(60, 25, 200, 1000, 1000, 5000);
    private static final RaftConfig CONFIG = RaftConfig.newBuilder()
            .setLeaderElectionTimeoutMillis(300)
            .setLeaderHeartbeatPeriodSecs(1)
            .setLeaderHeartbeatTimeoutSecs(2)
            .setCommitCountToTakeSnapshot(50)
            .setRaftNodeReportPublishPeriodSecs(60)
            .build();
    private static final double SKEW_MS = 30_000;

    private final GroupHost.Setup setup;
    private final Contract.Settings settings;
    private final Calendar world;
    private final Truth truth;
    private final Bug bug;
    private final boolean lasting;
    private final Random dice;
    /** By the group; what is not there is empty. */
    private final Map<String, SimDisk> disks = new HashMap<>();

    private SimProcess process;
    private GroupHost host;
    private Consultations consultations;
    private Engine engine;
    private int starts;
    private Consumer<Point> reached = point -> {};

    /** The way to the other machines. */
    @FunctionalInterface
    interface Post {
        void send(String group, String to, GroupMessage message);
    }

    /** {@code lasting} tells whether it has a disk at all. */
    SimMachine(
            String name,
            SortedSet<String> processes,
            SortedMap<String, SortedSet<String>> groups,
            double replaceAfter,
            Contract.Settings settings,
            Calendar world,
            Truth truth,
            Bug bug,
            boolean lasting,
            Random dice) {
        setup = new GroupHost.Setup(name, processes, groups, replaceAfter, CONFIG, LIMITS);
        this.settings = settings;
        this.world = world;
        this.truth = truth;
        this.bug = bug;
        this.lasting = lasting;
        this.dice = dice;
    }

    String name() {
        return setup.name();
    }

    SimProcess process() {
        return process;
    }

    GroupHost host() {
        return host;
    }

    /** The life that it has in a group; null while it has none. */
    Member member(String group) {
        Seat seat = host == null ? null : host.seat(group);
        return seat == null ? null : seat.member();
    }

    Consultations consultations() {
        return consultations;
    }

    boolean lasting() {
        return lasting;
    }

    boolean alive() {
        return process != null && process.alive();
    }

    /** Starts its process, with what its disk holds. */
    void start(Post post, EndpointList list) {
        process = new SimProcess(world, (dice.nextDouble() * 2 - 1) * SKEW_MS);
        SimProcess mine = process;
        host = new GroupHost(
                setup,
                process,
                new Random(dice.nextLong()),
                new GroupHost.Environment() {
                    @Override
                    public void send(String group, String to, GroupMessage message) {
                        post.send(group, to, message);
                    }

                    private LogMirror disk(String group) {
                        return lasting || bug == Bug.VOTE_AFTER_LOST_DISK
                                ? disks.computeIfAbsent(group, g -> new SimDisk())
                                        .found()
                                : new LogMirror();
                    }

                    @Override
                    public LogMirror loadLog(String group) {
                        return disk(group);
                    }

                    @Override
                    public LogMirror wipeLog(String group) {
                        truth.seen("begun anew");
                        disks.remove(group);
                        return disk(group);
                    }

                    @Override
                    public void seatRetired(String group) {
                        disks.remove(group);
                    }

                    @Override
                    public void report(String line) {
                        truth.seen(line.replaceFirst("^copies: \\S+ ", "")
                                .replaceAll("of g\\d+ ", "")
                                .replaceAll("m\\d+", "another"));
                    }

                    @Override
                    public void nameTaken() {
                        truth.broken("told that it is another");
                        mine.kill();
                    }
                },
                (id, step, detail) -> {});
        ReplicationClient desk = new ReplicationClient(
                name() + "/" + ++starts,
                bug == Bug.BLIND_TO_STANDING_STILL ? process.blind() : process,
                WAITS,
                host,
                (id, ending) -> truth.promised(id, ending, world.nowMs()),
                (id, step, detail) -> {});
        long seed = dice.nextLong();
        Engine[] made = new Engine[1];
        Consultations[] all = new Consultations[1];
        made[0] = new Engine(
                process,
                settings,
                actions -> new Decide(settings, seed, actions),
                changed -> all[0].update(changed),
                line -> {
                    if (line.startsWith("decision failed")) {
                        truth.broken(line);
                    }
                });
        all[0] = new Consultations(made[0], process, settings, BOUNDS, new Watched(desk), line -> {});
        engine = made[0];
        consultations = all[0];
        engine.start(() -> {}, list);
        host.start();
    }

    /** Hears of each step of its requests, before the next one. */
    void at(Consumer<Point> listener) {
        reached = listener;
    }

    void list(EndpointList list) {
        process.run(() -> engine.listReceived(Contract.ListKind.FULL, list));
    }

    void kill() {
        process.kill();
    }

    /** Its disk is gone, too; the fault to be found has it come back as the member it was all the same. */
    void loseDisk() {
        disks.replaceAll((group, disk) -> bug == Bug.VOTE_AFTER_LOST_DISK ? disk.forgetful() : new SimDisk());
    }

    /** Watches the keeper from outside, by true time; and plants a fault in it. */
    private final class Watched implements Keeper {
        private final ReplicationClient desk;

        private Watched(ReplicationClient desk) {
            this.desk = desk;
        }

        @Override
        public SharedRequest open(String id, String caller, boolean keyed, boolean repeat, double endBy) {
            reached.accept(Point.TAKEN);
            SharedRequest inner = desk.open(id, caller, keyed, repeat, endBy);
            return new SharedRequest() {
                private boolean told;

                @Override
                public void requestAttempt(String endpoint, double valid, Consumer<Verdict> verdict) {
                    double asked = world.nowMs();
                    told = false;
                    if (bug == Bug.ANSWER_BEFORE_COPY) {
                        process.schedule(0, () -> {
                            told = true;
                            verdict.accept(new Verdict.Granted(0));
                        });
                    }
                    inner.requestAttempt(endpoint, valid, v -> {
                        truth.seen(v.getClass().getSimpleName());
                        if (v instanceof Verdict.Granted && world.nowMs() - asked > valid) {
                            truth.broken("told too late");
                        }
                        reached.accept(Point.COPIED);
                        if (!told) {
                            verdict.accept(v);
                        }
                        reached.accept(Point.ANSWERED);
                    });
                    reached.accept(Point.ASKED);
                }

                @Override
                public void cancel() {
                    inner.cancel();
                }

                @Override
                public void neverRan() {
                    inner.neverRan();
                }

                @Override
                public void end(Directive how, Consumer<Directive> agreed) {
                    reached.accept(Point.REPORTED);
                    inner.end(how, end -> {
                        reached.accept(Point.ENDED);
                        agreed.accept(end);
                        reached.accept(Point.TOLD);
                    });
                    reached.accept(Point.ENDING);
                }
            };
        }

        @Override
        public void report(String id, int attempt, RunResult how, Consumer<Directive> answer) {
            desk.report(id, attempt, how, answer);
        }

        @Override
        public void endpointDraining(String endpoint) {
            desk.endpointDraining(endpoint);
        }
    }
}
