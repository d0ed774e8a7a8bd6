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

/** A whole sidecar in this process, on a free port, from a configuration as the platform gives it. */
final class TestNode implements AutoCloseable {
    final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop;
    private final Main.Parts parts;
    final Engine engine;
    final Contract.Settings settings;
    final ClientServer server;
    final Discovery watch;
    final int port;
    final int consultPort;
    final Map<String, InetSocketAddress> consulted;
    final Consultations consultations;
    final Processor processor;

    /** A sidecar with plenty of sockets that knows these endpoints, named s0, s1 and so on. */
    TestNode(String discovery, String... endpoints) throws Exception {
        this(1024, discovery, "ask", endpoints);
    }

    /** A sidecar with so many sockets, whose list is asked for or pushed. */
    TestNode(int sockets, String discovery, String how, String... endpoints) throws Exception {
        this(null, sockets, discovery, how, endpoints);
    }

    /** The same with an external processor beside it, or null for none. */
    TestNode(ProcessorConfig processor, int sockets, String discovery, String how, String... endpoints)
            throws Exception {
        this(AdmissionConfig.usual(), processor, sockets, discovery, how, endpoints);
    }

    /** The same with limits by client. */
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
        String json = config("127.0.0.1:0", discovery, sockets, endpoints)
                .replace("\"discovery\":\"ask\"", "\"discovery\":\"" + how + "\"");
        ObjectMapper mapper = new ObjectMapper();
        Config config = Config.parse(json, mapper);
        loop = group.next();
        parts = Main.wire(config, admission, processor, null, mapper, loop);
        server = parts.server();
        engine = parts.engine();
        settings = config.settings();
        watch = parts.discovery();
        port = ((InetSocketAddress)
                        server.listen(config.listen()).sync().channel().localAddress())
                .getPort();
        if (started) {
            start();
        }
        consulted = processor == null ? Map.of() : parts.processor().listen();
        consultPort = consulted.containsKey("http") ? consulted.get("http").getPort() : 0;
        this.processor = parts.processor();
        consultations = processor == null ? null : parts.processor().consultations();
    }

    /** One that listens and has not started. */
    static TestNode listening(String discovery, String... endpoints) throws Exception {
        return new TestNode(false, AdmissionConfig.usual(), null, 1024, discovery, "ask", endpoints);
    }

    void start() throws Exception {
        loop.submit(parts.start()).get();
        loop.submit(server::ready).get();
    }

    /** Has the loop do what it has to: each round sees to the sockets once. */
    void rounds(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            loop.submit(() -> {}).get();
        }
    }

    static String host(String name, String address, String health) {
        return """
                {"host":"%s","dial":"%s","site":"a","class":"m","block":0,"health":"%s","share":1.0,"born_ms":0}""".formatted(name, address, health);
    }

    static String list(long seq, boolean whole, String... hosts) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"extra\":1,\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    static String config(String listen, String discovery, int sockets, String... endpoints) throws IOException {
        String[] hosts = new String[endpoints.length];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = host("s" + i, endpoints[i], "ready");
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
                  "over_share_worth":0.1,"peers_total":1,"ordinal":0}}""".formatted(listen, discovery, sockets, list(41, true, hosts));
    }

    TestClient client() throws IOException {
        return new TestClient(port);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
