package whinlead.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import whinlead.Contract;
import whinlead.consult.Consultations;
import whinlead.engine.Engine;
import whinlead.front.http1.ClientServer;
import whinlead.membership.Discovery;

/** A complete sidecar in this process on a free port, with a configuration as the platform provides it. */
final class TestNode implements AutoCloseable {
    final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop;
    private final Main.Parts components;
    final Engine engine;
    final Contract.Settings settings;
    final ClientServer server;
    final Discovery discoveryWatch;
    final int port;
    final int consultPort;
    final Map<String, InetSocketAddress> processorAddresses;
    final Consultations consultations;
    final Processor processor;

    /** A sidecar with 1,024 descriptors that knows these endpoints, named s0, s1 and so on. */
    TestNode(String discovery, String... endpoints) throws Exception {
        this(1024, discovery, "ask", endpoints);
    }

    /** A sidecar with this number of descriptors; {@code how} says if its endpoint list is requested or pushed. */
    TestNode(int sockets, String discovery, String how, String... endpoints) throws Exception {
        this(null, sockets, discovery, how, endpoints);
    }

    /** The same with an external processor, or null for none. */
    TestNode(ProcessorConfig processor, int sockets, String discovery, String how, String... endpoints)
            throws Exception {
        this(AdmissionConfig.defaults(), processor, sockets, discovery, how, endpoints);
    }

    /** The same with limits per client. */
    TestNode(
            AdmissionConfig admission,
            ProcessorConfig processor,
            int sockets,
            String discovery,
            String how,
            String... endpoints)
            throws Exception {
        this(true, admission, processor, sockets, discovery, how, endpoints);
    }

    private TestNode(
            boolean started,
            AdmissionConfig admission,
            ProcessorConfig processor,
            int sockets,
            String discovery,
            String how,
            String... endpoints)
            throws Exception {
        String json = configJson("127.0.0.1:0", discovery, sockets, endpoints)
                .replace("\"discovery\":\"ask\"", "\"discovery\":\"" + how + "\"");
        ObjectMapper mapper = new ObjectMapper();
        Config config = Config.parse(json, mapper);
        loop = group.next();
        components = Main.wire(config, admission, processor, null, mapper, loop);
        server = components.server();
        engine = components.engine();
        settings = config.settings();
        discoveryWatch = components.discovery();
        port = ((InetSocketAddress)
                        server.listen(config.listen()).sync().channel().localAddress())
                .getPort();
        if (started) {
            start();
        }
        processorAddresses =
                processor == null ? Map.of() : components.processor().listen();
        consultPort = processorAddresses.containsKey("http")
                ? processorAddresses.get("http").getPort()
                : 0;
        this.processor = components.processor();
        consultations = processor == null ? null : components.processor().consultations();
    }

    /** A sidecar that listens but has not started. */
    static TestNode listeningOnly(String discovery, String... endpoints) throws Exception {
        return new TestNode(false, AdmissionConfig.defaults(), null, 1024, discovery, "ask", endpoints);
    }

    void start() throws Exception {
        loop.submit(components.start()).get();
        loop.submit(server::ready).get();
    }

    /** Runs this number of turns of the event loop; each polls the sockets once. */
    void runLoopTurns(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            loop.submit(() -> {}).get();
        }
    }

    static String hostJson(String name, String address, String health) {
        return """
                {"host":"%s","dial":"%s","site":"a","class":"m","block":0,"health":"%s","share":1.0,"born_ms":0}""".formatted(name, address, health);
    }

    static String listJson(long seq, boolean whole, String... hosts) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"extra\":1,\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    static String configJson(String listen, String discovery, int sockets, String... endpoints) throws IOException {
        String[] hosts = new String[endpoints.length];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = hostJson("s" + i, endpoints[i], "ready");
        }
        return """
                {"name":"n0","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964","future":{"a":[1]},
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,
                 "settings":{"classes":[
                   {"name":"status","effect":"idempotent","slo":1200,"deadline":60000,"value":5,"late_worth":0},
                   {"name":"submit","effect":"at_most_once","slo":30000,"deadline":60000,"value":2,"late_worth":0},
                   {"name":"pay","effect":"deduplicated","group":"all","window":5000,"slo":1000,"deadline":60000,
                    "value":2,"late_worth":0}],
                  "limits":{"attempts_cap":6,"may_duplicate":true,"cancel":true,"probes":false,"peers":false,
                   "retry_after":true,"max_retry_after":2000,"connect_timeout":250,"conn_idle":60000},
                  "obligations":{"drain_grace":2000,"fall_multiple":4,"overload_for":1500,"cold_share":0.12,
                   "cold":24000,"ask_within":10000},
                  "discovery":"ask","reporting":{"how":"inline","fields":["util","qps"]},"tenants":[],
                  "over_share_worth":0.1,"peers_total":1,"ordinal":0}}""".formatted(listen, discovery, sockets, listJson(41, true, hosts));
    }

    TestClient newClient() throws IOException {
        return new TestClient(port);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
