package whinlead.mesh.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import whinlead.engine.Clock;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;
import whinlead.mesh.duty.DutyPromise;
import whinlead.mesh.log.Event;
import whinlead.mesh.log.GuardedTask;
import whinlead.mesh.quota.LeaseTerms;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.rpc.RpcResponse;
import whinlead.mesh.rpc.RpcServer;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.storage.DepartureStore;
import whinlead.mesh.storage.DutyStore;
import whinlead.mesh.storage.StateStore;
import whinlead.mesh.storage.StateStoreException;
import whinlead.mesh.wire.AcceptorRecord;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;

/**
 * A control node, the process on one core machine: assembles its components and routes events between them. It votes on
 * configurations ({@link ConsensusNode}), accepts them from operators ({@link OperatorCalls}), announces them and
 * endpoints to sidecars ({@link SidecarChannel}) and exchanges messages with the other control nodes
 * ({@link ControlPeers}). All state belongs to the event loop; disk writes and configuration checks have their own
 * threads.
 */
public final class ControlNode {
    private static final long LEAVE_POLL_MS = 25;
    /**
     * The configuration for a starting sidecar must be confirmed by a majority in answers to pings sent within this
     * time.
     */
    private static final double CONFIRMATION_VALID_MS = LeaseTerms.CONFIRMED_MS;
    /** How long before the kill a control node exits even if it could not leave in order, in seconds. */
    private static final double EXIT_MARGIN_S = 0.8;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1000;

    private final NodeSettings settings;
    private final EventLoop loop;
    private final ObjectMapper mapper;
    private final UnaryOperator<InetSocketAddress> dialAddresses;
    private final ConsensusTicker ticker;
    private ConsensusNode consensus;
    private StateWriter stateWriter;
    private OperatorCalls calls;
    private ControlPeers peers;
    private SidecarChannel sidecars;
    private QuotaLeases leases;
    private KeyDuty keyDuty;
    private DepartureRecorder departures;
    private String id;
    private boolean isVoter;

    /** A control node that has not started. */
    public ControlNode(NodeSettings settings, EventLoop loop, ObjectMapper mapper) {
        this(settings, loop, mapper, UnaryOperator.identity());
    }

    /**
     * A control node that has not started.
     *
     * @param dialAddresses maps another control node's address to the address to dial
     */
    public ControlNode(
            NodeSettings settings,
            EventLoop loop,
            ObjectMapper mapper,
            UnaryOperator<InetSocketAddress> dialAddresses) {
        this.settings = settings;
        this.loop = loop;
        this.mapper = mapper;
        this.dialAddresses = dialAddresses;
        this.ticker = new ConsensusTicker(
                new LoopTimers(loop, new Clock()), System::nanoTime, () -> GuardedTask.run(this::tick), this::isBusy);
    }

    /**
     * Opens the state store and starts to listen.
     *
     * @throws StateStoreException if the disk can't be used
     * @throws InterruptedException if interrupted
     */
    public void start() throws StateStoreException, InterruptedException {
        String folder = NodeSettings.require(settings.self().dataDir(), "Self.DataDir");
        String control = NodeSettings.require(settings.network().bind().control(), "Network.Bind.Control");
        assemble(Path.of(folder));
        stateWriter.start();
        isVoter = consensus.isVoter();
        Event.STARTED.log("control node " + id + ", slot "
                + (consensus.decided() == null ? "none" : consensus.decided().slot()));
        loop.submit(this::startOnLoop).sync();
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(PeerConnection.handlers(new PeerMessageHandler()))
                .bind(new InetSocketAddress(
                        settings.self().ip(), settings.network().peerPort()))
                .sync();
        new RpcServer(loop, mapper, this::runCall)
                .listen(EndpointList.address(control))
                .sync();
        Event.READY.log(id);
    }

    private void assemble(Path folder) throws StateStoreException {
        StateStore store = StateStore.open(folder);
        RestoredState restored = RestoredState.load(store, settings);
        id = restored.id();
        stateWriter = new StateWriter(store, id, loop);
        consensus = new ConsensusNode(id, restored.acceptor(), new SecureRandom().nextLong(), new ConsensusActions());
        calls = new OperatorCalls(loop, ControlNode::nowMs, consensus);
        peers = new ControlPeers(loop, settings, dialAddresses, id, new PeerListener());
        sidecars = new SidecarChannel(ControlNode::nowMs, consensus::decided, this::isConfirmed, peers);
        Executor disk = Executors.newSingleThreadExecutor(ControlNode::newLeaseThread);
        leases = new QuotaLeases(ControlNode::nowMs, this::isConfirmed, id, consensus.decided(), folder, disk, loop);
        keyDuty = createKeyDuty(new DutyStore(folder), disk);
        departures =
                new DepartureRecorder(ControlNode::nowMs, id, new DepartureStore(folder), disk, loop, peers::broadcast);
    }

    private KeyDuty createKeyDuty(DutyStore store, Executor disk) {
        DutyPromise promise = DutyRecorder.readPromise(store);
        return new KeyDuty(
                ControlNode::nowMs,
                this::isConfirmed,
                id,
                consensus.decided(),
                promise,
                new DutyRecorder(store, promise == null ? DutyPromise.NONE : promise, disk, loop),
                (voter, message) -> peers.send(ConsensusNode.address(voter), message));
    }

    private static Thread newLeaseThread(Runnable task) {
        Thread thread = new Thread(task, "lease-writer");
        thread.setDaemon(true);
        return thread;
    }

    private boolean isConfirmed() {
        return consensus.isInContactWithQuorum(nowMs(), CONFIRMATION_VALID_MS);
    }

    private void startOnLoop() {
        addSeeds(settings.network().seeds());
        if (consensus.decided() != null) {
            addVoters(consensus.decided());
        }
        ticker.noteActivity();
        loop.scheduleAtFixedRate(
                () -> GuardedTask.run(sidecars::shareContact),
                SidecarContact.SHARE_INTERVAL_MS,
                SidecarContact.SHARE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Adds machines to connect to. On the loop's thread. */
    public void addSeeds(List<String> seeds) {
        seeds.forEach(seed -> peers.add(ControlPeers.host(seed)));
    }

    private void addVoters(Decision decision) {
        decision.voters().forEach(voter -> peers.add(ConsensusNode.address(voter)));
    }

    /** Leaves in order; runs on a thread of its own while the process ends on SIGTERM. */
    public void leave() {
        CountDownLatch readyToExit = new CountDownLatch(1);
        double exitAtMs = nowMs() + (settings.clauses().bounds().graceS() - EXIT_MARGIN_S) * MILLIS_PER_SECOND;
        loop.execute(() -> GuardedTask.run(() -> beginLeaving(readyToExit, exitAtMs)));
        try {
            readyToExit.await();
            Event.ENDED.log(id);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void beginLeaving(CountDownLatch readyToExit, double exitAtMs) {
        Event.LEAVING.log(calls.pendingCalls() + " calls under way");
        ticker.noteActivity();
        consensus.leave(nowMs());
        loop.scheduleAtFixedRate(
                () -> GuardedTask.run(() -> {
                    if (nowMs() > exitAtMs || consensus.mayStop(nowMs()) && calls.pendingCalls() == 0) {
                        readyToExit.countDown();
                    }
                }),
                0,
                LEAVE_POLL_MS,
                TimeUnit.MILLISECONDS);
    }

    private boolean isBusy() {
        return calls.pendingCalls() > 0 || sidecars.hasUnconfirmed() || !consensus.isVoter();
    }

    private void tick() {
        // A write that the disk first refused never runs its callback. Once all is synced, the newest decision is on
        // disk.
        if (stateWriter.isSynced()) {
            consensus.decisionStored(nowMs(), decidedSlot());
        }
        consensus.tick(nowMs());
        sidecars.sendConfirmed();
        leases.tick();
        keyDuty.tick();
    }

    private void runCall(RpcCall call, Consumer<RpcResponse> respond) {
        ticker.noteActivity();
        calls.run(call, respond);
    }

    private long decidedSlot() {
        return consensus.decided() == null ? -1 : consensus.decided().slot();
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Handles events of this control node's connections to the others. */
    private final class PeerListener implements ControlPeers.Listener {
        @Override
        public void connectionChanged() {
            ticker.noteActivity();
        }

        @Override
        public List<PeerMessage> greeting() {
            return List.of(new PeerMessage.Consensus(new Message.Query(0, decidedSlot())), sidecars.allRecords());
        }

        @Override
        public void departuresReceived(PeerMessage.DepartureUpdate update) {
            departures.merge(update);
        }

        @Override
        public void pongReceived(double sentAtMs, PeerMessage.Pong pong) {
            GuardedTask.run(() -> consensus.pongReceived(sentAtMs, pong.id(), pong.slot()));
        }
    }

    /** Handles messages on connections that sidecars and other control nodes have opened. */
    private final class PeerMessageHandler implements PeerConnection.MessageHandler {
        @Override
        public void connected(PeerConnection connection) {
            sidecars.opened(connection);
            leases.opened(connection);
        }

        @Override
        public void disconnected(PeerConnection connection) {
            sidecars.closed(connection);
            leases.closed(connection);
            keyDuty.closed(connection);
        }

        @Override
        public void message(PeerConnection connection, PeerMessage message) {
            GuardedTask.run(() -> dispatch(connection, message));
        }

        private void dispatch(PeerConnection connection, PeerMessage message) {
            if (message instanceof PeerMessage.Hello hello) {
                helloReceived(connection, hello);
            } else if (connection.peer() == null) {
                connection.close();
            } else if (message instanceof PeerMessage.Ping ping) {
                connection.send(new PeerMessage.Pong(ping.number(), id, consensus.storedSlot()));
            } else if (message instanceof PeerMessage.Subscribe subscribe) {
                sidecars.subscribe(connection, subscribe.slot());
            } else if (message instanceof PeerMessage.FetchConfig && consensus.decided() != null) {
                sendConfig(connection);
            } else if (message instanceof PeerMessage.EndpointUpdate update) {
                sidecars.merge(connection, update.records());
            } else if (message instanceof PeerMessage.Consensus consensusMessage) {
                ticker.noteActivity();
                consensus.messageReceived(nowMs(), connection.peer(), consensusMessage.message());
            } else if (message instanceof PeerMessage.DemandReport report) {
                sidecars.report(connection, report);
            } else if (message instanceof PeerMessage.QuotaLeaseReport report) {
                leases.report(connection, report.report());
            } else if (message instanceof PeerMessage.QuotaTokenRequest request) {
                leases.tokenRequested(connection, request.request());
            } else if (message instanceof PeerMessage.DepartureReport report) {
                departures.report(connection, report);
            } else if (message instanceof PeerMessage.DepartureUpdate update) {
                departures.merge(update);
            } else {
                dispatchKeyMessage(connection, message);
            }
        }

        private void dispatchKeyMessage(PeerConnection connection, PeerMessage message) {
            if (message instanceof PeerMessage.KeyLeaseReport report) {
                keyDuty.report(connection, report.report());
            } else if (message instanceof PeerMessage.DutyVoteRequest question) {
                keyDuty.voteRequested(connection.peer(), question.request());
            } else if (message instanceof PeerMessage.DutyVoteResponse answer) {
                keyDuty.voteReceived(connection.peer(), answer.vote());
            }
        }

        private void helloReceived(PeerConnection connection, PeerMessage.Hello hello) {
            connection.peer(hello.id());
            // A peer without protocol versions does not expect a greeting on a connection that it opened.
            if (connection.version() > ProtocolVersion.UNVERSIONED) {
                connection.send(new PeerMessage.Hello(id, true));
            }
            if (hello.controlNode()) {
                peers.peerIsListening(ConsensusNode.address(hello.id()));
                connection.send(departures.all());
            } else {
                connection.send(sidecars.allRecords());
                keyDuty.sidecarConnected(connection);
                departures.sidecarConnected(connection);
            }
        }

        private void sendConfig(PeerConnection connection) {
            if (!sidecars.sendConfig(connection)) {
                ticker.noteActivity();
            }
        }
    }

    /** Executes the actions of the consensus. */
    private final class ConsensusActions implements ConsensusNode.Actions {
        @Override
        public void send(String recipient, Message message) {
            ticker.noteActivity();
            if (recipient == null) {
                peers.broadcast(new PeerMessage.Consensus(message));
            } else if (recipient.equals(id)) {
                loop.execute(() -> GuardedTask.run(() -> consensus.messageReceived(nowMs(), id, message)));
            } else {
                peers.send(ConsensusNode.address(recipient), new PeerMessage.Consensus(message));
            }
        }

        @Override
        public void sync(Acceptor.State state, String recipient, Message message) {
            ticker.noteActivity();
            stateWriter.write(AcceptorRecord.write(state), () -> send(recipient, message));
        }

        @Override
        public void decisionLearned(Decision decision) {
            stateWriter.write(
                    AcceptorRecord.write(new Acceptor.State(decision, Ballot.NONE, null)),
                    () -> GuardedTask.run(() -> consensus.decisionStored(nowMs(), decision.slot())));
            addVoters(decision);
            Event.DECIDED.log("slot " + decision.slot() + " version " + Long.toHexString(decision.version())
                    + " voters " + decision.voters());
            sidecars.announceDecision();
            leases.decided(decision, consensus.isVoter());
            keyDuty.decided(decision);
            if (isVoter != consensus.isVoter()) {
                isVoter = consensus.isVoter();
                Event.VOTER_STATUS.log(isVoter ? "this control node votes" : "this control node does not vote");
            }
        }

        @Override
        public void replaceCompleted(long call, ConsensusNode.CallResult result) {
            calls.replaceCompleted(call, result);
        }

        @Override
        public void readCompleted(long call, Decision newest) {
            calls.readCompleted(call, newest);
        }
    }
}
