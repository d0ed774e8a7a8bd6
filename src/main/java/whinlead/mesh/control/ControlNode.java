package whinlead.mesh.control;

import whinlead.engine.Clock;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.mesh.quota.DemandTotals;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Message;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.storage.StateStore;
import whinlead.mesh.storage.StateStoreException;
import whinlead.mesh.log.Event;
import whinlead.mesh.rpc.RpcResponse;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.rpc.RpcServer;
import whinlead.mesh.config.ConfigValidator;
import whinlead.mesh.config.InvalidConfigException;
import whinlead.mesh.config.ConfigReader;
import whinlead.mesh.wire.AcceptorRecord;
import whinlead.mesh.wire.LaterFormatException;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.ReconnectingConnection;
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

/**
 * A sorting office: one core machine's process. It votes on configurations, passes on what sidecars say of
 * their endpoints, and tells them of newer configurations. All state is the loop's; disk and checks have
 * threads of their own.
 */
public final class ControlNode implements ConsensusNode.Actions, PeerConnection.Ear {
    private static final ReconnectingConnection.Pace PACE = new ReconnectingConnection.Pace(300, 900, 1500, 150);
    private static final long LEAVE_POLL_MS = 25;
    /** What sidecars begin with is confirmed by a majority that answered what left within this. */
    private static final double CONFIRMED_MS = 1000;
    /** How long before the kill an office that can't leave in order ends all the same; seconds. */
    private static final double END_S = 0.8;
    private static final double NANOS = 1e6;
    /** Offices that are known at most, present and past. */
    private static final int OFFICES_MOST = 16;
    private static final int LATER = 503;
    private static final int CONFLICT = 412;
    private static final int BAD = 400;
    private static final int NONE = 404;

    private final NodeSettings card;
    private final EventLoop loop;
    private final ObjectMapper mapper;
    private final UnaryOperator<InetSocketAddress> dials;
    private final ExecutorService clerks = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "clerk");
        t.setDaemon(true);
        return t;
    });
    private final ConfigReader reader = new ConfigReader();
    private final EndpointRegistry directory = new EndpointRegistry();
    private final SidecarContact contact = new SidecarContact();
    /** By address. */
    private final Map<String, ReconnectingConnection> offices = new LinkedHashMap<>();
    /** Links that sidecars and other offices made, and for sidecars the slot that each has. */
    private final Map<PeerConnection, Long> guests = new LinkedHashMap<>();
    /** Of these, who was told what no quorum has confirmed. */
    private final Set<PeerConnection> unconfirmed = new HashSet<>();
    private final Map<Long, Consumer<RpcResponse>> open = new HashMap<>();
    private final DemandTotals sum = new DemandTotals();
    private final ConsensusTicker ticker;
    private ConfigValidator check;
    private ConsensusNode council;
    private StateWriter scribe;
    private String id;
    private long calls;
    private boolean seated;

    /** An office that has not begun. */
    public ControlNode(NodeSettings card, EventLoop loop, ObjectMapper mapper) {
        this(card, loop, mapper, UnaryOperator.identity());
    }

    /** One that dials what this makes of another office's address. */
    public ControlNode(NodeSettings card, EventLoop loop, ObjectMapper mapper, UnaryOperator<InetSocketAddress> dials) {
        this.card = card;
        this.loop = loop;
        this.mapper = mapper;
        this.dials = dials;
        this.ticker = new ConsensusTicker(new LoopTimers(loop, new Clock()), System::nanoTime,
                () -> guard(this::tick), this::busy);
    }

    /**
     * Opens the ledger and listens.
     *
     * @throws StateStoreException if the disk can't be used
     * @throws InterruptedException if interrupted
     */
    public void start() throws StateStoreException, InterruptedException {
        String folder = NodeSettings.present(card.self().dataDir(), "Self.DataDir");
        String control = NodeSettings.present(card.network().bind().control(), "Network.Bind.Control");
        StateStore ledger = StateStore.open(Path.of(folder));
        Acceptor.Memory memory = recall(ledger);
        scribe = new StateWriter(ledger, id, loop);
        council = new ConsensusNode(id, memory, new SecureRandom().nextLong(), this);
        // Ahead of the first call: loading the validator takes longer than checking with it.
        clerks.execute(() -> check = new ConfigValidator());
        scribe.start();
        seated = council.seated();
        Event.STARTED.log("office " + id + ", slot " + (council.decided() == null ? "none"
                : council.decided().slot()));
        loop.submit(this::begin).sync();
        new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childHandler(PeerConnection.handlers(this))
                .bind(new InetSocketAddress(card.self().ip(), card.network().talkPort())).sync();
        new RpcServer(loop, mapper, this::run).listen(EndpointList.address(control)).sync();
        Event.READY.log(id);
    }

    // A new disk is a new elector: what the old one may have promised, this one can't know.
    private Acceptor.Memory recall(StateStore ledger) throws StateStoreException {
        StateStore.Entry entry = ledger.read();
        if (entry != null) {
            id = entry.id();
            try {
                return AcceptorRecord.read(entry.memory());
            } catch (LaterFormatException e) {
                throw new StateStoreException(e.getMessage() + "; it is left as it was", e);
            } catch (IOException e) {
                throw new StateStoreException("the ledger's entry is damaged; remove it to join as a new office",
                        e);
            }
        }
        String ip = card.self().ip();
        List<String> seeds = card.network().seeds().stream().map(ControlNode::host).toList();
        boolean founds = card.self().bootstrap() && seeds.contains(ip);
        id = ip + "#" + (founds ? "0" : Long.toHexString(new SecureRandom().nextLong() | 1));
        Acceptor.Memory memory = new Acceptor.Memory(founds
                ? Decision.founding(seeds.stream().map(s -> s + "#0").sorted().toList()) : null,
                Ballot.NONE, null);
        // On disk before anything is said under this name.
        ledger.write(id, AcceptorRecord.write(memory));
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
        double end = now() + (card.clauses().bounds().graceS() - END_S) * 1000;
        loop.execute(() -> guard(() -> {
            Event.LEAVING.log(open.size() + " calls under way");
            ticker.activity();
            council.leave(now());
            loop.scheduleAtFixedRate(() -> guard(() -> {
                if (now() > end || council.left(now()) && open.isEmpty()) {
                    ended.countDown();
                }
            }), 0, LEAVE_POLL_MS, TimeUnit.MILLISECONDS);
        }));
        try {
            ended.await();
            Event.ENDED.log(id);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void begin() {
        seeds(card.network().seeds());
        if (council.decided() != null) {
            council.decided().electors().forEach(e -> know(ConsensusNode.address(e)));
        }
        ticker.activity();
        loop.scheduleAtFixedRate(() -> guard(this::share), SidecarContact.REPEAT_MS,
                SidecarContact.REPEAT_MS, TimeUnit.MILLISECONDS);
    }

    private boolean busy() {
        return !open.isEmpty() || !unconfirmed.isEmpty() || !council.seated();
    }

    private void tick() {
        // What was to be told of a write that the disk refused at first never is; that it is there now, is.
        if (scribe.settled()) {
            council.stored(now(), slot());
        }
        council.tick(now());
        if (!unconfirmed.isEmpty() && council.inTouch(now(), CONFIRMED_MS)) {
            List<PeerConnection> wait = List.copyOf(unconfirmed);
            unconfirmed.clear();
            wait.forEach(this::news);
        }
    }

    // A sidecar that begins waits for what is confirmed: it is told again as soon as that is so.
    private void news(PeerConnection link) {
        boolean confirmed = council.inTouch(now(), CONFIRMED_MS);
        if (!confirmed) {
            unconfirmed.add(link);
            ticker.activity();
        }
        link.send(new PeerMessage.News(council.decided().forSidecars(), confirmed));
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

    // Ties to another office, which may be new.
    private void know(String ip) {
        if (ip.isEmpty() || ip.equals(card.self().ip()) || offices.containsKey(ip)) {
            return;
        }
        if (offices.size() >= OFFICES_MOST) {
            offices.entrySet().stream().filter(e -> !e.getValue().up()).findFirst().ifPresent(e -> {
                offices.remove(e.getKey());
                e.getValue().close();
            });
            if (offices.size() >= OFFICES_MOST) {
                return;
            }
        }
        ReconnectingConnection tie = new ReconnectingConnection(loop, dials.apply(new InetSocketAddress(ip, card.network().talkPort())),
                new PeerMessage.Hello(id, true), PACE, new ReconnectingConnection.Owner() {
                    @Override
                    public void changed(ReconnectingConnection t, ReconnectingConnection.State before) {
                        ticker.activity();
                        if (t.state() == ReconnectingConnection.State.UP && before == ReconnectingConnection.State.DIALLING) {
                            t.send(new PeerMessage.Paper(new Message.Query(0, slot())));
                            t.send(new PeerMessage.Post(List.copyOf(directory.all())));
                        }
                    }

                    @Override
                    public void letter(ReconnectingConnection t, PeerMessage letter) {
                        // The other office answers on its own tie to this one; here only its pongs come.
                    }

                    @Override
                    public void echoed(double sentAt, PeerMessage.Pong pong) {
                        guard(() -> council.echoed(sentAt, pong.id(), pong.slot()));
                    }

                    @Override
                    public boolean steady() {
                        return true;
                    }
                });
        offices.put(ip, tie);
        tie.dial();
    }

    private long slot() {
        return council.decided() == null ? -1 : council.decided().slot();
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
    public void letter(PeerConnection link, PeerMessage letter) {
        guard(() -> take(link, letter));
    }

    private void take(PeerConnection link, PeerMessage letter) {
        if (letter instanceof PeerMessage.Hello hello) {
            link.peer(hello.id());
            greetBack(link);
            if (hello.office()) {
                know(ConsensusNode.address(hello.id()));
                // It listens from now on: no need to wait for the next dial.
                ReconnectingConnection back = offices.get(ConsensusNode.address(hello.id()));
                if (back != null) {
                    back.dial();
                }
            } else {
                link.send(new PeerMessage.Post(List.copyOf(directory.all())));
            }
        } else if (link.peer() == null) {
            link.close();
        } else if (letter instanceof PeerMessage.Ping ping) {
            link.send(new PeerMessage.Pong(ping.number(), id, council.storedSlot()));
        } else if (letter instanceof PeerMessage.Ask ask) {
            guests.put(link, ask.slot());
            notice(link, ask.slot());
        } else if (letter instanceof PeerMessage.Fetch && council.decided() != null) {
            news(link);
        } else if (letter instanceof PeerMessage.Post post) {
            posted(link, post.listings());
        } else if (letter instanceof PeerMessage.Paper paper) {
            ticker.activity();
            council.received(now(), link.peer(), paper.message());
        } else if (letter instanceof PeerMessage.Uses uses) {
            sum.say(now(), link.peer(), uses.uses());
            if (uses.wanted()) {
                link.send(new PeerMessage.Sums(sum.nodes(), sum.of(link.peer())));
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
        if (has != null && council.decided() != null && council.decided().version() > 0
                && council.decided().slot() > has) {
            link.send(new PeerMessage.Notice(council.decided().slot()));
        }
    }

    private void posted(PeerConnection from, List<EndpointRecord> listings) {
        List<EndpointRecord> news = new ArrayList<>();
        for (EndpointRecord listing : listings) {
            if (directory.merge(listing)) {
                news.add(listing);
            }
            // Of those that there is room for only: these tables grow by what peers say.
            if (directory.of(listing.node()) == null) {
                continue;
            }
            if (listing.phase() != EndpointRecord.Phase.GONE) {
                contact.heard(now(), listing.node(), from.peer().indexOf('#') < 0);
            }
        }
        spread(from, news);
    }

    private void spread(PeerConnection from, List<EndpointRecord> news) {
        if (news.isEmpty()) {
            return;
        }
        PeerMessage.Post post = new PeerMessage.Post(news);
        byte[] written = PeerMessageCodec.write(post);
        guests.forEach((link, slot) -> {
            if (link != from && slot != null) {
                link.send(written);
            }
        });
        offices.values().forEach(tie -> tie.send(post));
    }

    // Offices tell each other of whom they hear, so that one that no sidecar is tied to counts nobody out.
    private void share() {
        List<EndpointRecord> lost = contact.lost(now(), directory);
        lost.forEach(directory::merge);
        spread(null, lost);
        List<EndpointRecord> fresh = contact.fresh(now(), directory);
        if (!fresh.isEmpty()) {
            PeerMessage.Post post = new PeerMessage.Post(fresh);
            offices.values().forEach(tie -> tie.send(post));
        }
    }

    // --- what the council has done

    @Override
    public void send(String to, Message message) {
        ticker.activity();
        if (to == null) {
            offices.values().forEach(tie -> tie.send(new PeerMessage.Paper(message)));
        } else if (to.equals(id)) {
            loop.execute(() -> guard(() -> council.received(now(), id, message)));
        } else {
            String address = ConsensusNode.address(to);
            know(address);
            ReconnectingConnection tie = offices.get(address);
            if (tie != null) {
                tie.send(new PeerMessage.Paper(message));
            }
        }
    }

    @Override
    public void sync(Acceptor.Memory memory, String to, Message message) {
        ticker.activity();
        scribe.write(AcceptorRecord.write(memory), () -> send(to, message));
    }

    @Override
    public void decided(Decision decision) {
        scribe.write(AcceptorRecord.write(new Acceptor.Memory(decision, Ballot.NONE, null)),
                () -> guard(() -> council.stored(now(), decision.slot())));
        decision.electors().forEach(e -> know(ConsensusNode.address(e)));
        Event.DECIDED.log("slot " + decision.slot() + " version " + Long.toHexString(decision.version())
                + " electors " + decision.electors());
        guests.forEach(this::notice);
        if (seated != council.seated()) {
            seated = council.seated();
            Event.SEAT.log(seated ? "this office votes" : "this office does not vote");
        }
    }

    @Override
    public void replaced(long call, ConsensusNode.Verdict verdict) {
        Consumer<RpcResponse> answer = open.remove(call);
        if (answer != null) {
            answer.accept(switch (verdict) {
                case TAKEN -> RpcResponse.done();
                case MISMATCH -> RpcResponse.not(CONFLICT, "If-Match is not the version in force");
                case OLD_VERSION -> RpcResponse.not(BAD, "Epoch does not exceed the one in force");
                case UNCLEAR -> RpcResponse.not(LATER, "no majority of offices answered in time");
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
                answer.accept(RpcResponse.not(LATER, "no majority of offices answered in time"));
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
            clerks.execute(() -> checked(replace, answer));
        } else if (order instanceof RpcCall.Read) {
            long call = ++calls;
            open.put(call, answer);
            council.read(now(), call);
        } else {
            answer.accept(RpcResponse.not(NONE, "endpoints call the sidecar beside them"));
        }
    }

    // On the clerk's thread.
    private void checked(RpcCall.Replace replace, Consumer<RpcResponse> answer) {
        try {
            var tariff = reader.read(replace.body());
            check.check(tariff);
            String digest = ConfigCodec.digest(replace.body());
            byte[] body = ConfigCodec.deflate(replace.body());
            loop.execute(() -> guard(() -> {
                long call = ++calls;
                open.put(call, answer);
                council.replace(now(), call, tariff.version(), replace.builtOn(), digest, body);
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
