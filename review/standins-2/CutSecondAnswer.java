import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Endpoints in trouble send a second answer after a whole one, which is cut off, and serve on. What becomes of the
 * requests that come next on those connections? The second answer is a 500 that is cut off in its first line (MIXED), or
 * a 503 with {@code Not-Executed} that is cut off behind that (TWICE).
 */
public final class CutSecondAnswer {
    static final int MACHINES = 5;
    /** The trouble's share of the endpoints, of their answers, and its length; the largest of the site file. */
    static final double SHARE = 0.6;

    static final double ANSWERS = 0.03;
    static final double TROUBLE_S = 5.0;

    /** What an endpoint answered, by attempt. */
    static final Map<String, Integer> answered = new ConcurrentHashMap<>();

    /** How often each order ran. */
    static final Map<String, Integer> orderRuns = new ConcurrentHashMap<>();

    static volatile boolean troubled;
    static boolean turnsAway;
    static final AtomicInteger cuts = new AtomicInteger();

    public static void main(String[] args) {
        turnsAway = "TWICE".equals(args[1]);
        Rig.finish(() -> run(Path.of(args[0])));
    }

    static int run(Path record) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Rig rig = new Rig(record, 3)) {
            for (int i = 0; i < 3; i++) {
                rig.startControl(i, true);
            }
            Rig.sleep(1.5);
            String configuration = Rig.configuration(
                    "00000001",
                    List.of(
                            Rig.route("r-order", "/order/", "mutating", 5, 0.8, "storefront", 2),
                            Rig.route("r-browse", "/browse/", "idempotent", 4, 0.6, "storefront", 2)),
                    List.of(Rig.service("storefront", false)),
                    "");
            rig.configure("00000001", "0", configuration, 20);
            for (int i = 0; i < MACHINES; i++) {
                rig.startSidecar(i, "storefront");
                new Endpoint(rig, i, i < Math.round(MACHINES * SHARE));
            }
            for (int i = 0; i < MACHINES; i++) {
                rig.awaitReady(i, 30);
            }
            Rig.sleep(3);
            Clients clients = new Clients(rig);
            clients.begin();
            Rig.sleep(8);
            if (trouble) {
                troubled = true;
                rig.say("trouble begins");
                Rig.sleep(TROUBLE_S);
                troubled = false;
                rig.say("trouble ends after " + cuts.get() + " cut second answers");
            } else {
                Rig.sleep(TROUBLE_S);
            }
            Rig.sleep(5);
            clients.end();
            return verdict(rig, clients);
        }
    }

    static int verdict(Rig rig, Clients clients) {
        int mixed = 0;
        int replaced = 0;
        for (Map.Entry<String, Rig.Message> each : clients.got.entrySet()) {
            Integer given = answered.get(each.getKey());
            Rig.Message answer = each.getValue();
            if (given == null || given == answer.status) {
                continue;
            }
            if (answer.headers.containsKey("Server-Seal")) {
                mixed++;
                rig.say("MIXED: " + each.getKey() + " the endpoint answered " + given + ", the client got "
                        + answer.status + " with seal " + answer.headers.get("Server-Seal"));
            } else {
                replaced++;
                rig.note("replaced: " + each.getKey() + " the endpoint answered " + given + ", the client got "
                        + answer.status);
            }
        }
        rig.say("requests answered " + clients.got.size() + ", statuses " + clients.statuses + ", answers of the mesh's own"
                + " in place of a whole answer " + replaced + ", answers with another status than the endpoint gave "
                + mixed);
        if (clients.statuses.getOrDefault(200, 0) < 500) {
            throw new Rig.NotRun("too few requests were served");
        }
        return turnsAway ? verdictOnRuns(rig, clients) : mixed > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static int verdictOnRuns(Rig rig, Clients clients) {
        int twice = 0;
        int refused = 0;
        for (Map.Entry<String, Integer> each : orderRuns.entrySet()) {
            Rig.Message answer = clients.got.get(each.getKey());
            int status = answer == null ? 0 : answer.status;
            if (each.getValue() > 1) {
                twice++;
                rig.say("TWICE: order " + each.getKey() + " ran " + each.getValue() + " times, the client got " + status);
            } else if (status == 503 || status == 429) {
                refused++;
                rig.say("REFUSED: order " + each.getKey() + " ran, the client got " + status);
            }
        }
        rig.say("orders that ran " + orderRuns.size() + ", more than once " + twice + ", once and were refused " + refused);
        return twice > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Clients on all machines that keep their connections. */
    static final class Clients {
        private static final int PER_MACHINE = 8;
        final Map<String, Rig.Message> got = new ConcurrentHashMap<>();
        final Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        private final Rig rig;
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean ended;

        Clients(Rig rig) {
            this.rig = rig;
        }

        void begin() {
            for (int i = 0; i < MACHINES * PER_MACHINE; i++) {
                int machine = i % MACHINES;
                int seed = i;
                threads.add(Rig.daemon(() -> ask(machine, new Random(seed))));
            }
        }

        private void ask(int machine, Random random) {
            Rig.Connection connection = null;
            while (!ended) {
                Rig.sleep(0.1 + 0.15 * random.nextDouble());
                boolean order = random.nextDouble() < 0.5;
                String attempt = Rig.attemptId();
                try {
                    if (connection == null) {
                        connection = new Rig.Connection(rig.egress(machine), 6000);
                    }
                    byte[] body = order ? ("order " + attempt).getBytes(StandardCharsets.UTF_8) : new byte[0];
                    Rig.Message answer = connection.ask(
                            order ? "POST /order/x" : "GET /browse/x",
                            Rig.headers(attempt, order ? 5000 : 4000, null),
                            body);
                    got.put(attempt, answer);
                    statuses.merge(answer.status, 1, Integer::sum);
                    rig.note((order ? "order " : "browse ") + attempt + " answered " + answer.status);
                    if ("close".equalsIgnoreCase(answer.headers.get("Connection"))) {
                        connection.close();
                        connection = null;
                    }
                } catch (IOException e) {
                    rig.note((order ? "order " : "browse ") + attempt + " " + e.getMessage());
                    connection = null;
                }
            }
        }

        void end() throws InterruptedException {
            ended = true;
            for (Thread thread : threads) {
                thread.join(7000);
            }
        }
    }

    /** An endpoint as the pages have it, which may be in trouble. */
    static final class Endpoint {
        private static final int CAPACITY = 12;
        private static final int QUEUE = 48;
        private final Rig rig;
        private final int machine;
        private final String id;
        private final boolean mayBeTroubled;
        private final Random random;
        private final AtomicInteger inside = new AtomicInteger();
        private final java.util.concurrent.Semaphore slots = new java.util.concurrent.Semaphore(CAPACITY, true);
        private int calls;

        Endpoint(Rig rig, int machine, boolean mayBeTroubled) throws IOException {
            this.rig = rig;
            this.machine = machine;
            this.id = "i-" + machine;
            this.mayBeTroubled = mayBeTroubled;
            this.random = new Random(machine);
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(rig.app(machine), 128);
            Rig.daemon(() -> accept(server));
            Rig.daemon(this::beat);
        }

        private void accept(ServerSocket server) {
            try {
                while (true) {
                    Socket socket = server.accept();
                    Rig.daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                rig.note("accept: " + e.getMessage());
            }
        }

        private void serve(Socket socket) {
            try (Rig.Connection connection = new Rig.Connection(socket)) {
                socket.setSoTimeout(10_000);
                for (Rig.Message request = connection.read(); request != null; request = connection.read()) {
                    answer(connection, request);
                }
            } catch (IOException e) {
                return;
            }
        }

        private void answer(Rig.Connection connection, Rig.Message request) throws IOException {
            String attempt = request.headers.getOrDefault("Attempt-Id", "");
            String wanted = request.headers.get("Target-Instance");
            if (wanted != null && !wanted.equals(id)) {
                connection.write(message("421 Misdirected Request", attempt, "Not-Executed: 1\r\n", ""));
                return;
            }
            if (inside.incrementAndGet() > CAPACITY + QUEUE) {
                inside.decrementAndGet();
                connection.write(message("503 Service Unavailable", attempt, "Not-Executed: 1\r\n", ""));
                return;
            }
            try {
                slots.acquireUninterruptibly();
                rig.note("run " + attempt + " at " + id);
                if (request.first.startsWith("POST")) {
                    orderRuns.merge(attempt, 1, Integer::sum);
                }
                Rig.sleep(0.04 + 0.08 * random.nextDouble());
                slots.release();
            } finally {
                inside.decrementAndGet();
            }
            byte[] whole = message("200 OK", attempt, "Server-Seal: " + id + "." + attempt + "\r\n", "done " + attempt);
            if (troubled && mayBeTroubled && random.nextDouble() < ANSWERS) {
                String cutLine = turnsAway
                        ? "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1"
                        : "HTTP/1.1 500 Internal Server Error";
                byte[] second = cutLine.getBytes(StandardCharsets.US_ASCII);
                int cut = turnsAway ? second.length : 1 + random.nextInt(second.length - 1);
                byte[] both = java.util.Arrays.copyOf(whole, whole.length + cut);
                System.arraycopy(second, 0, both, whole.length, cut);
                cuts.incrementAndGet();
                rig.note("surplus of " + cut + " bytes behind the answer to " + attempt + " at " + id);
                answered.put(attempt, 200);
                connection.write(both);
                return;
            }
            answered.put(attempt, 200);
            connection.write(whole);
        }

        private static byte[] message(String status, String attempt, String headers, String body) {
            return ("HTTP/1.1 " + status + "\r\nAttempt-Id: " + attempt + "\r\n" + headers
                            + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.US_ASCII);
        }

        private void beat() {
            while (true) {
                String body = "{\"Target\":\"storefront\",\"Address\":\"" + rig.app(machine).getHostString() + ":"
                        + rig.app(machine).getPort() + "\",\"Zone\":\"hal-a\",\"Epoch\":\"v1\",\"Capacity\":" + CAPACITY
                        + ",\"Phase\":\"serving\",\"WarmupS\":0,\"CallSeq\":" + ++calls + "}";
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("Host", "control");
                headers.put("Content-Type", "application/json");
                try (Rig.Connection connection = new Rig.Connection(rig.beats(machine), 1000)) {
                    connection.ask(
                            "POST /whinlead/rpc?call=members.heartbeat&of=" + id,
                            headers,
                            body.getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    rig.note("beat of " + id + ": " + e.getMessage());
                }
                Rig.sleep(1.5);
            }
        }
    }
}
