package whinlead.mesh.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import whinlead.engine.Clock;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.mesh.config.ConfigReader;
import whinlead.mesh.config.ConfigValidator;
import whinlead.mesh.config.InvalidConfigException;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;
import whinlead.mesh.log.Event;
import whinlead.mesh.quota.DemandTotals;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.rpc.RpcResponse;
import whinlead.mesh.rpc.RpcServer;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.storage.StateStore;
import whinlead.mesh.storage.StateStoreException;
import whinlead.mesh.wire.AcceptorRecord;
import whinlead.mesh.wire.LaterFormatException;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.ReconnectingConnection;

/**
 * A control node: one core machine's process. It votes on configurations, passes on what sidecars say of their
 * endpoints, and tells them of newer configurations. All state is the loop's; disk and checks have threads of their
 * own.
 */
public final class ControlNode implements ConsensusNode.Actions, PeerConnection.MessageHandler {
    private static final ReconnectingConnection.Timeouts PACE =
            new ReconnectingConnection.Timeouts(300, 900, 1500, 150);
    private static final long LEAVE_POLL_MS = 25;
    /** What sidecars begin with is confirmed by a majority that answered what left within this. */
    private static final double CONFIRMED_MS = 1000;
    /** How long before the kill a control node that can't leave in order ends all the same; seconds. */
    private static final double END_S = 0.8;

    private static final double NANOS = 1e6;
    /** Control nodes that are known at most, present and past. */
    private static final int MAX_CONTROL_NODES = 16;

    private static final int LATER = 503;
    private static final int CONFLICT = 412;
    private static final int BAD = 400;
    private static final int NONE = 404;

    private final NodeSettings nodeSettings;
    private final EventLoop loop;
    private final ObjectMapper mapper;
    private final UnaryOperator<InetSocketAddress> dials;
    private final ExecutorService checkExecutor = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "config-check");
        t.setDaemon(true);
        return t;
    });
    private final ConfigReader reader = new ConfigReader();
    private final EndpointRegistry endpointRegistry = new EndpointRegistry();
    private final SidecarContact contact = new SidecarContact();
    /** By address. */
    private final Map<String, ReconnectingConnection> controlNodes = new LinkedHashMap<>();
    /** Links that sidecars and other control nodes made, and for sidecars the slot that each has. */
    private final Map<PeerConnection, Long> guests = new LinkedHashMap<>();
    /** Of these, who was told what no quorum has confirmed. */
    private final Set<PeerConnection> unconfirmed = new HashSet<>();

    private final Map<Long, Consumer<RpcResponse>> open = new HashMap<>();
    private final DemandTotals sum = new DemandTotals();
    private final ConsensusTicker ticker;
    private ConfigValidator check;
    private ConsensusNode consensusNode;
    private StateWriter stateWriter;
    private String id;
    private long calls;
    private boolean isVoter;

    /** A control node that has not begun. */
    public ControlNode(NodeSettings nodeSettings, EventLoop loop, ObjectMapper mapper) {
        this(nodeSettings, loop, mapper, UnaryOperator.identity());
    }

    /** One that dials what this makes of another control node's address. */
    public ControlNode(
            NodeSettings nodeSettings, EventLoop loop, ObjectMapper mapper, UnaryOperator<InetSocketAddress> dials) {
        this.nodeSettings = nodeSettings;
        this.loop = loop;
        this.mapper = mapper;
        this.dials = dials;
        this.ticker = new ConsensusTicker(
                new LoopTimers(loop, new Clock()), System::nanoTime, () -> guard(this::tick), this::busy);
    }

    /**
     * Opens the state store and listens.
     *
     * @throws StateStoreException if the disk can't be used
     * @throws InterruptedException if interrupted
     */
    public void start() throws StateStoreException, InterruptedException {
        String folder = NodeSettings.present(nodeSettings.self().dataDir(), "Self.DataDir");
        String control = NodeSettings.present(nodeSettings.network().bind().control(), "Network.Bind.Control");
        StateStore store = StateStore.open(Path.of(folder));
        Acceptor.State memory = recall(store);
        stateWriter = new StateWriter(store, id, loop);
        consensusNode = new ConsensusNode(id, memory, new SecureRandom().nextLong(), this);
        // Ahead of the first call: loading the validator takes longer than checking with it.
        checkExecutor.execute(() -> check = new ConfigValidator());
        stateWriter.start();
        isVoter = consensusNode.isVoter();
        Event.STARTED.log("control node " + id + ", slot "
                + (consensusNode.decided() == null
                        ? "none"
                        : consensusNode.decided().slot()));
        loop.submit(this::begin).sync();
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(PeerConnection.handlers(this))
                .bind(new InetSocketAddress(
                        nodeSettings.self().ip(), nodeSettings.network().talkPort()))
                .sync();
        new RpcServer(loop, mapper, this::run)
                .listen(EndpointList.address(control))
                .sync();
        Event.READY.log(id);
    }

    // A new disk is a new voter: what the old one may have promised, this one can't know.
    private Acceptor.State recall(StateStore store) throws StateStoreException {
        StateStore.Entry entry = store.read();
        if (entry != null) {
            id = entry.id();
            try {
                return AcceptorRecord.read(entry.memory());
            } catch (LaterFormatException e) {
                throw new StateStoreException(e.getMessage() + "; it is left as it was", e);
            } catch (IOException e) {
                throw new StateStoreException(
                        "the state store's entry is damaged; remove it to join as a new control node", e);
            }
        }
        String ip = nodeSettings.self().ip();
        List<String> seeds =
                nodeSettings.network().seeds().stream().map(ControlNode::host).toList();
        boolean founds = nodeSettings.self().bootstrap() && seeds.contains(ip);
        id = ip + "#" + (founds ? "0" : Long.toHexString(new SecureRandom().nextLong() | 1));
        Acceptor.State memory = new Acceptor.State(
                founds
                        ? Decision.founding(
                                seeds.stream().map(s -> s + "#0").sorted().toList())
                        : null,
                Ballot.NONE,
                null);
        // On disk before anything is said under this name.
        store.write(id, AcceptorRecord.write(memory));
        return memory;
    }

    private static String host(String address) {
        return address.substring(0, Math.max(0, address.lastIndexOf(':')));
    }

    /** Other machines may be asked first from now on. */
    public void seeds(List<String> seeds) {
        seeds.forEach(s -> know(host(s)));
    }

    /** Leaves: runs while the process ends on SIGTERM, on a thread of its own. */
    public void leave() {
        CountDownLatch ended = new CountDownLatch(1);
        double end = now() + (nodeSettings.clauses().bounds().graceS() - END_S) * 1000;
        loop.execute(() -> guard(() -> {
            Event.LEAVING.log(open.size() + " calls under way");
            ticker.activity();
            consensusNode.leave(now());
            loop.scheduleAtFixedRate(
                    () -> guard(() -> {
                        if (now() > end || consensusNode.left(now()) && open.isEmpty()) {
                            ended.countDown();
                        }
                    }),
                    0,
                    LEAVE_POLL_MS,
                    TimeUnit.MILLISECONDS);
        }));
        try {
            ended.await();
            Event.ENDED.log(id);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void begin() {
        seeds(nodeSettings.network().seeds());
        if (consensusNode.decided() != null) {
            consensusNode.decided().voters().forEach(e -> know(ConsensusNode.address(e)));
        }
        ticker.activity();
        loop.scheduleAtFixedRate(
                () -> guard(this::share), SidecarContact.REPEAT_MS, SidecarContact.REPEAT_MS, TimeUnit.MILLISECONDS);
    }

    private boolean busy() {
        return !open.isEmpty() || !unconfirmed.isEmpty() || !consensusNode.isVoter();
    }

    private void tick() {
        // What was to be told of a write that the disk refused at first never is; that it is there now, is.
        if (stateWriter.settled()) {
            consensusNode.stored(now(), slot());
        }
        consensusNode.tick(now());
        if (!unconfirmed.isEmpty() && consensusNode.inTouch(now(), CONFIRMED_MS)) {
            List<PeerConnection> wait = List.copyOf(unconfirmed);
            unconfirmed.clear();
            wait.forEach(this::update);
        }
    }

    // A sidecar that begins waits for what is confirmed: it is told again as soon as that is so.
    private void update(PeerConnection link) {
        boolean confirmed = consensusNode.inTouch(now(), CONFIRMED_MS);
        if (!confirmed) {
            unconfirmed.add(link);
            ticker.activity();
        }
        link.send(new PeerMessage.ConfigUpdate(consensusNode.decided().forSidecars(), confirmed));
    }

    private void guard(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Event.FAULT.log(e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
        }
    }

    private static double now() {
        return System.nanoTime() / NANOS;
    }

    // Connections to another control node, which may be new.
    private void know(String ip) {
        if (ip.isEmpty() || ip.equals(nodeSettings.self().ip()) || controlNodes.containsKey(ip)) {
            return;
        }
        if (controlNodes.size() >= MAX_CONTROL_NODES) {
            controlNodes.entrySet().stream()
                    .filter(e -> !e.getValue().up())
                    .findFirst()
                    .ifPresent(e -> {
                        controlNodes.remove(e.getKey());
                        e.getValue().close();
                    });
            if (controlNodes.size() >= MAX_CONTROL_NODES) {
                return;
            }
        }
        ReconnectingConnection connection = new ReconnectingConnection(
                loop,
                dials.apply(new InetSocketAddress(ip, nodeSettings.network().talkPort())),
                new PeerMessage.Hello(id, true),
                PACE,
                new ReconnectingConnection.Listener() {
                    @Override
                    public void changed(ReconnectingConnection t, ReconnectingConnection.State before) {
                        ticker.activity();
                        if (t.state() == ReconnectingConnection.State.UP
                                && before == ReconnectingConnection.State.DIALLING) {
                            t.send(new PeerMessage.Consensus(new Message.Query(0, slot())));
                            t.send(new PeerMessage.EndpointUpdate(List.copyOf(endpointRegistry.all())));
                        }
                    }

                    @Override
                    public void message(ReconnectingConnection t, PeerMessage peerMessage) {
                        // The other control node answers on its own connection to this one; here only its pongs come.
                    }

                    @Override
                    public void echoed(double sentAt, PeerMessage.Pong pong) {
                        guard(() -> consensusNode.echoed(sentAt, pong.id(), pong.slot()));
                    }

                    @Override
                    public boolean steady() {
                        return true;
                    }
                });
        controlNodes.put(ip, connection);
        connection.dial();
    }

    private long slot() {
        return consensusNode.decided() == null ? -1 : consensusNode.decided().slot();
    }

    // --- what other processes say

    @Override
    public void up(PeerConnection link) {
        guests.put(link, null);
    }

    @Override
    public void down(PeerConnection link) {
        guests.remove(link);
        unconfirmed.remove(link);
    }

    @Override
    public void message(PeerConnection link, PeerMessage peerMessage) {
        guard(() -> take(link, peerMessage));
    }

    private void take(PeerConnection link, PeerMessage peerMessage) {
        if (peerMessage instanceof PeerMessage.Hello hello) {
            link.peer(hello.id());
            greetBack(link);
            if (hello.controlNode()) {
                know(ConsensusNode.address(hello.id()));
                // It listens from now on: no need to wait for the next dial.
                ReconnectingConnection back = controlNodes.get(ConsensusNode.address(hello.id()));
                if (back != null) {
                    back.dial();
                }
            } else {
                link.send(new PeerMessage.EndpointUpdate(List.copyOf(endpointRegistry.all())));
            }
        } else if (link.peer() == null) {
            link.close();
        } else if (peerMessage instanceof PeerMessage.Ping ping) {
            link.send(new PeerMessage.Pong(ping.number(), id, consensusNode.storedSlot()));
        } else if (peerMessage instanceof PeerMessage.Subscribe ask) {
            guests.put(link, ask.slot());
            notice(link, ask.slot());
        } else if (peerMessage instanceof PeerMessage.FetchConfig && consensusNode.decided() != null) {
            update(link);
        } else if (peerMessage instanceof PeerMessage.EndpointUpdate post) {
            posted(link, post.records());
        } else if (peerMessage instanceof PeerMessage.Consensus paper) {
            ticker.activity();
            consensusNode.received(now(), link.peer(), paper.message());
        } else if (peerMessage instanceof PeerMessage.DemandReport uses) {
            sum.say(now(), link.peer(), uses.uses());
            if (uses.wanted()) {
                link.send(new PeerMessage.DemandSums(sum.nodes(), sum.of(link.peer())));
            }
        }
    }

    // A program without versions would not know what a greeting on a connection of its own means.
    private void greetBack(PeerConnection link) {
        if (link.version() > ProtocolVersion.UNVERSIONED) {
            link.send(new PeerMessage.Hello(id, true));
        }
    }

    private void notice(PeerConnection link, Long has) {
        if (has != null
                && consensusNode.decided() != null
                && consensusNode.decided().version() > 0
                && consensusNode.decided().slot() > has) {
            link.send(new PeerMessage.ConfigAvailable(consensusNode.decided().slot()));
        }
    }

    private void posted(PeerConnection from, List<EndpointRecord> records) {
        List<EndpointRecord> update = new ArrayList<>();
        for (EndpointRecord record : records) {
            if (endpointRegistry.merge(record)) {
                update.add(record);
            }
            // Of those that there is room for only: these tables grow by what peers say.
            if (endpointRegistry.of(record.node()) == null) {
                continue;
            }
            if (record.phase() != EndpointRecord.Phase.GONE) {
                contact.heard(now(), record.node(), from.peer().indexOf('#') < 0);
            }
        }
        spread(from, update);
    }

    private void spread(PeerConnection from, List<EndpointRecord> update) {
        if (update.isEmpty()) {
            return;
        }
        PeerMessage.EndpointUpdate post = new PeerMessage.EndpointUpdate(update);
        byte[] written = PeerMessageCodec.write(post);
        guests.forEach((link, slot) -> {
            if (link != from && slot != null) {
                link.send(written);
            }
        });
        controlNodes.values().forEach(connection -> connection.send(post));
    }

    // Control nodes tell each other of whom they hear, so that one that no sidecar is tied to counts nobody out.
    private void share() {
        List<EndpointRecord> lost = contact.lost(now(), endpointRegistry);
        lost.forEach(endpointRegistry::merge);
        spread(null, lost);
        List<EndpointRecord> fresh = contact.fresh(now(), endpointRegistry);
        if (!fresh.isEmpty()) {
            PeerMessage.EndpointUpdate post = new PeerMessage.EndpointUpdate(fresh);
            controlNodes.values().forEach(connection -> connection.send(post));
        }
    }

    // --- what the consensus node has done

    @Override
    public void send(String to, Message message) {
        ticker.activity();
        if (to == null) {
            controlNodes.values().forEach(connection -> connection.send(new PeerMessage.Consensus(message)));
        } else if (to.equals(id)) {
            loop.execute(() -> guard(() -> consensusNode.received(now(), id, message)));
        } else {
            String address = ConsensusNode.address(to);
            know(address);
            ReconnectingConnection connection = controlNodes.get(address);
            if (connection != null) {
                connection.send(new PeerMessage.Consensus(message));
            }
        }
    }

    @Override
    public void sync(Acceptor.State memory, String to, Message message) {
        ticker.activity();
        stateWriter.write(AcceptorRecord.write(memory), () -> send(to, message));
    }

    @Override
    public void decided(Decision decision) {
        stateWriter.write(
                AcceptorRecord.write(new Acceptor.State(decision, Ballot.NONE, null)),
                () -> guard(() -> consensusNode.stored(now(), decision.slot())));
        decision.voters().forEach(e -> know(ConsensusNode.address(e)));
        Event.DECIDED.log("slot " + decision.slot() + " version " + Long.toHexString(decision.version()) + " voters "
                + decision.voters());
        guests.forEach(this::notice);
        if (isVoter != consensusNode.isVoter()) {
            isVoter = consensusNode.isVoter();
            Event.VOTER_STATUS.log(isVoter ? "this control node votes" : "this control node does not vote");
        }
    }

    @Override
    public void replaced(long call, ConsensusNode.CallResult verdict) {
        Consumer<RpcResponse> answer = open.remove(call);
        if (answer != null) {
            answer.accept(
                    switch (verdict) {
                        case TAKEN -> RpcResponse.done();
                        case MISMATCH -> RpcResponse.not(CONFLICT, "If-Match is not the version in force");
                        case OLD_VERSION -> RpcResponse.not(BAD, "Epoch does not exceed the one in force");
                        case UNCLEAR -> RpcResponse.not(LATER, "no majority of control nodes answered in time");
                    });
        }
    }

    @Override
    public void read(long call, Decision newest) {
        Consumer<RpcResponse> answer = open.remove(call);
        if (answer == null) {
            return;
        }
        try {
            if (newest == null) {
                answer.accept(RpcResponse.not(LATER, "no majority of control nodes answered in time"));
            } else if (newest.version() == 0) {
                answer.accept(RpcResponse.not(NONE, "no configuration was taken yet"));
            } else {
                answer.accept(new RpcResponse(200, ConfigCodec.inflate(newest.body())));
            }
        } catch (IOException e) {
            Event.FAULT.log("the configuration agreed on can't be inflated: " + e.getMessage());
            answer.accept(RpcResponse.not(LATER, "the configuration can't be read here"));
        }
    }

    // --- what operators order

    private void run(RpcCall order, Consumer<RpcResponse> answer) {
        ticker.activity();
        if (order instanceof RpcCall.Replace replace) {
            checkExecutor.execute(() -> checked(replace, answer));
        } else if (order instanceof RpcCall.Read) {
            long call = ++calls;
            open.put(call, answer);
            consensusNode.read(now(), call);
        } else {
            answer.accept(RpcResponse.not(NONE, "endpoints call the sidecar beside them"));
        }
    }

    // On the worker's thread.
    private void checked(RpcCall.Replace replace, Consumer<RpcResponse> answer) {
        try {
            var meshConfig = reader.read(replace.body());
            check.check(meshConfig);
            String digest = ConfigCodec.digest(replace.body());
            byte[] body = ConfigCodec.deflate(replace.body());
            loop.execute(() -> guard(() -> {
                long call = ++calls;
                open.put(call, answer);
                consensusNode.replace(now(), call, meshConfig.version(), replace.builtOn(), digest, body);
            }));
        } catch (InvalidConfigException e) {
            Event.REFUSED_CALL.log(e.getMessage());
            answer.accept(RpcResponse.not(BAD, e.getMessage()));
        } catch (RuntimeException e) {
            Event.FAULT.log("checking a configuration: " + e);
            answer.accept(RpcResponse.not(LATER, "the configuration could not be checked"));
        }
    }
}
