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
 * Assembles the replication components of a sidecar: connections to other processes, group membership, disk logs and
 * the client. Its classes are loaded only if an operator's file configures it.
 */
final class ReplicationSetup {
    /** Longer than most stalls of an event loop on half a core. */
    private static final long ELECTION_TIMEOUT_MS = 400;
    /** The library's unit is seconds; a lost connection triggers an election much sooner. */
    private static final long HEARTBEAT_S = 1;

    private static final long HEARTBEAT_TIMEOUT_S = 2;
    /**
     * Log entries after which a snapshot is taken and they are dropped. An entry holds the commands of one turn of the
     * event loop.
     */
    private static final int SNAPSHOT_EVERY_COMMITS = 5000;

    private static final int APPEND_BATCH_SIZE = 200;
    private static final int REPORT_EVERY_S = 60;
    /** Usually enough for a round trip and one turn of each event loop; a lost command is resent after it. */
    private static final double RESEND_MS = 80;
    /** Reserved from a request's time for sending the answer to its client. */
    private static final double REPLY_MARGIN_MS = 25;
    /** Time in which a group agrees that a request has not run and will not run: two commands. */
    private static final double REFUSE_TIMEOUT_MS = 200;
    /** Time in which a report on another member's request is answered. */
    private static final double REPORT_TIMEOUT_MS = 1000;
    /** Time in which a group that has lost its leader usually has a new one. */
    private static final double RETRY_AFTER_MS = 2000;

    private static final long DRAIN_TIMEOUT_MS = 10_000;
    private static final int EXIT_REPLACED = 1;

    private final ReplicationConfig config;
    private final EventLoop loop;
    private final Consumer<String> log;
    private final GroupLink groupLink;
    private final GroupHost groupHost;
    private final ReplicationClient client;
    private final Map<String, DiskLog> disks = new HashMap<>();

    /**
     * Creates the components, which are idle until {@link #start}.
     *
     * @throws IOException with a one-line message, if the disk can't be used
     */
    ReplicationSetup(ReplicationConfig config, EventLoop loop, Timers timers, Consumer<String> log) throws IOException {
        this.config = config;
        this.loop = loop;
        this.log = log;
        SecureRandom random = new SecureRandom();
        groupLink = new GroupLink(
                loop, timers, config.processName(), config.processes(), config.peersInSharedGroups(), log);
        RaftConfig consensus = RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MS)
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_S)
                .setCommitCountToTakeSnapshot(SNAPSHOT_EVERY_COMMITS)
                .setAppendEntriesRequestBatchSize(APPEND_BATCH_SIZE)
                .setRaftNodeReportPublishPeriodSecs(REPORT_EVERY_S)
                .build();
        Trace trace = config.traceFile() == null
                ? (id, step, detail) -> {}
                : new TraceFile(config.traceFile(), config.processName());
        try {
            groupHost = new GroupHost(
                    new GroupHost.Setup(
                            config.processName(),
                            new TreeSet<>(config.processes().keySet()),
                            config.groups(),
                            config.replaceAfterMs(),
                            consensus,
                            config.limits()),
                    timers,
                    random,
                    new HostEnvironment(),
                    trace);
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
        // A restarted process starts its attempt numbers again, so it gets a new owner id.
        client = new ReplicationClient(
                config.processName() + "/" + Long.toHexString(random.nextLong()),
                timers,
                new ReplicationClient.Timeouts(
                        RESEND_MS,
                        REPLY_MARGIN_MS,
                        REFUSE_TIMEOUT_MS,
                        REPORT_TIMEOUT_MS,
                        RETRY_AFTER_MS,
                        DRAIN_TIMEOUT_MS),
                groupHost,
                (id, ending) -> {},
                trace);
    }

    /** Gives the groups access to connections, disks and the operator's log. */
    private final class HostEnvironment implements GroupHost.Environment {
        @Override
        public void send(String group, String targetMember, GroupMessage message) {
            groupLink.send(group, targetMember, message);
        }

        private Path groupFolder(String group) {
            return config.hasMultipleGroups() ? config.diskFolder().resolve(group) : config.diskFolder();
        }

        @Override
        public LogMirror loadLog(String group) {
            if (config.diskFolder() == null) {
                return new LogMirror();
            }
            boolean guest = !config.groups().get(group).contains(config.processName());
            return guest && !Files.exists(groupFolder(group))
                    ? new LogMirror()
                    : openDisk(group).restoredLog();
        }

        private DiskLog openDisk(String group) {
            DiskLog disk = disks.get(group);
            if (disk == null) {
                try {
                    disk = DiskLog.open(groupFolder(group), group, config.processName(), log);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                disk.onFailure(reason -> loop.execute(() -> groupHost.diskFailed(group, reason)));
                disks.put(group, disk);
            }
            return disk;
        }

        @Override
        public LogMirror wipeLog(String group) {
            if (config.diskFolder() == null) {
                return new LogMirror();
            }
            try {
                return openDisk(group).wipe();
            } catch (UncheckedIOException e) {
                // Without a disk the process is still a member, but its state is lost when the process ends.
                log.accept("copies: no disk log for membership in " + group + ": "
                        + e.getCause().getMessage());
                return new LogMirror();
            }
        }

        @Override
        public void seatRetired(String group) {
            DiskLog disk = disks.remove(group);
            if (disk != null) {
                disk.wipe();
                try {
                    disk.close();
                } catch (IOException e) {
                    log.accept("copies: " + e.getMessage());
                }
            }
        }

        @Override
        public void report(String line) {
            log.accept(line);
        }

        @Override
        public void nameTaken() {
            log.accept("copies: another process has become member " + config.processName() + "; this one ends");
            // Not on the event loop: the shutdown hook waits for it.
            new Thread(() -> System.exit(EXIT_REPLACED), "taken").start();
        }
    }

    Keeper keeper() {
        return client;
    }

    /** Listens for other processes. Must not be called on the event loop. */
    void listen() throws IOException {
        groupLink.listen();
    }

    /** Starts to participate in the groups. Has to be called on the event loop. */
    void start() {
        groupLink.open(groupHost);
        groupHost.start();
    }
}
