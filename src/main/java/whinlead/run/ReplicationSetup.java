package whinlead.run;

import io.microraft.RaftConfig;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import whinlead.consult.Keeper;
import whinlead.engine.Timers;
import whinlead.replication.ReplicationClient;
import whinlead.replication.Trace;
import whinlead.replication.disk.DiskLog;
import whinlead.replication.net.GroupLink;
import whinlead.replication.raft.GroupHost;
import whinlead.replication.raft.GroupMessage;
import whinlead.replication.raft.LogMirror;

/**
 * This sidecar's place among those that keep copies with each other: link, seat, disk and desk. Nothing of it is loaded
 * unless an operator's file asks for it.
 */
final class ReplicationSetup {
    /** How long a group asks for votes: longer than a loop on half a core is held up, most of the time. */
    private static final long ELECTION_MS = 400;
    /** The library counts in seconds; a link that goes down has votes asked for much sooner. */
    private static final long HEARTBEAT_S = 1;

    private static final long SILENT_LEADER_S = 2;
    /** Entries, each the commands of a turn, after which the book is copied and they are dropped. */
    private static final int SNAPSHOT_EVERY = 5000;

    private static final int BATCH = 200;
    private static final int REPORT_EVERY_S = 60;
    /** Two ways and a turn of each loop, most of the time: a question that is lost is asked again. */
    private static final double ASK_AGAIN_MS = 80;
    /** Of a request's time, for the answer's way to its client. */
    private static final double MARGIN_MS = 25;
    /** In which a group agrees that nothing ran and nothing will: two questions. */
    private static final double REFUSE_MS = 200;
    /** In which a report on another member's request is answered. */
    private static final double REPORT_MS = 1000;
    /** In which a group that has lost its leader has another, as a rule. */
    private static final double RETRY_AFTER_MS = 2000;

    private static final long DRAIN_MS = 10_000;
    private static final int ENDED = 1;

    private final ReplicationConfig config;
    private final EventLoop loop;
    private final Consumer<String> log;
    private final GroupLink link;
    private final GroupHost host;
    private final ReplicationClient desk;
    private final Map<String, DiskLog> disks = new HashMap<>();

    /**
     * Made but idle.
     *
     * @throws IOException with one line, if its disk can't be used
     */
    ReplicationSetup(ReplicationConfig config, EventLoop loop, Timers timers, Consumer<String> log) throws IOException {
        this.config = config;
        this.loop = loop;
        this.log = log;
        SecureRandom random = new SecureRandom();
        link = new GroupLink(loop, timers, config.name(), config.processes(), config.close(), log);
        RaftConfig consensus = RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(ELECTION_MS)
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                .setLeaderHeartbeatTimeoutSecs(SILENT_LEADER_S)
                .setCommitCountToTakeSnapshot(SNAPSHOT_EVERY)
                .setAppendEntriesRequestBatchSize(BATCH)
                .setRaftNodeReportPublishPeriodSecs(REPORT_EVERY_S)
                .build();
        Trace trace = config.trace() == null ? (id, step, detail) -> {} : new TraceFile(config.trace(), config.name());
        try {
            host = new GroupHost(
                    new GroupHost.Setup(
                            config.name(),
                            new TreeSet<>(config.processes().keySet()),
                            config.groups(),
                            config.replaceAfterMs(),
                            consensus,
                            config.limits()),
                    timers,
                    random,
                    new Outside(),
                    trace);
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
        // A process that comes back numbers its attempts anew, so it is another owner.
        desk = new ReplicationClient(
                config.name() + "/" + Long.toHexString(random.nextLong()),
                timers,
                new ReplicationClient.Waits(ASK_AGAIN_MS, MARGIN_MS, REFUSE_MS, REPORT_MS, RETRY_AFTER_MS, DRAIN_MS),
                host,
                (id, ending) -> {},
                trace);
    }

    /** The way out of the groups: links, disks, and the operator's log. */
    private final class Outside implements GroupHost.Outside {
        @Override
        public void send(String group, String to, GroupMessage message) {
            link.send(group, to, message);
        }

        private Path folder(String group) {
            return config.many() ? config.disk().resolve(group) : config.disk();
        }

        @Override
        public LogMirror found(String group) {
            if (config.disk() == null) {
                return new LogMirror();
            }
            boolean guest = !config.groups().get(group).contains(config.name());
            return guest && !Files.exists(folder(group))
                    ? new LogMirror()
                    : open(group).found();
        }

        private DiskLog open(String group) {
            DiskLog disk = disks.get(group);
            if (disk == null) {
                try {
                    disk = DiskLog.open(folder(group), group, config.name(), log);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                disk.onFailure(why -> loop.execute(() -> host.diskFailed(group, why)));
                disks.put(group, disk);
            }
            return disk;
        }

        @Override
        public LogMirror wiped(String group) {
            if (config.disk() == null) {
                return new LogMirror();
            }
            try {
                return open(group).wiped();
            } catch (UncheckedIOException e) {
                // Without a disk it is a member all the same: one that is lost with its process.
                log.accept("copies: no disk for a seat in " + group + ": "
                        + e.getCause().getMessage());
                return new LogMirror();
            }
        }

        @Override
        public void retired(String group) {
            DiskLog disk = disks.remove(group);
            if (disk != null) {
                disk.wiped();
                try {
                    disk.close();
                } catch (IOException e) {
                    log.accept("copies: " + e.getMessage());
                }
            }
        }

        @Override
        public void note(String line) {
            log.accept(line);
        }

        @Override
        public void taken() {
            log.accept("copies: another process is member " + config.name() + "; this one ends");
            // Not on the loop, which the end waits for.
            new Thread(() -> System.exit(ENDED), "taken").start();
        }
    }

    Keeper keeper() {
        return desk;
    }

    /** Listens. Not to be called on the loop. */
    void listen() throws IOException {
        link.listen();
    }

    /** Takes part from now on. On the loop. */
    void start() {
        link.open(host);
        host.start();
    }
}
