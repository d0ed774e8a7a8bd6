import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A change of the configuration adds two tenants. Do endpoints get the name of the tenant that holds the client's key?
 * Any encoding of the name that a header can hold is taken for it: UTF-8, ISO 8859-1, or percent encoding.
 */
public final class TenantNames {
    private static final int MACHINES = 2;
    private static final int REQUESTS = 60;
    /** The Tenant header of what ran, by attempt, each byte as one character. */
    static final Map<String, String> ran = new ConcurrentHashMap<>();

    public static void main(String[] args) {
        Rig.finish(() -> run(Path.of(args[0])));
    }

    static int run(Path record) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        String[] names = trouble
                ? new String[] {"\uae40\uce58\ub124", "\ub450\ubd80\ub124"}
                : new String[] {"gimchine", "dubune"};
        Map<String, String> tenantOfKey = new LinkedHashMap<>();
        tenantOfKey.put("key-first", "hule930");
        tenantOfKey.put("key-a", names[0]);
        tenantOfKey.put("key-b", names[1]);
        try (Rig rig = new Rig(record, 3)) {
            for (int i = 0; i < 3; i++) {
                rig.startControl(i, true);
            }
            Rig.sleep(1.5);
            rig.configure("00000001", "0", configuration("00000001", tenant("hule930", "key-first")), 20);
            for (int i = 0; i < MACHINES; i++) {
                rig.startSidecar(i, "storefront");
                Rig.Endpoint endpoint = rig.new Endpoint(i, "i-" + i, "storefront", 12, 48, 0.05);
                endpoint.requests =
                        (attempt, request) -> ran.put(attempt, request.headers.getOrDefault("Tenant", "none"));
            }
            for (int i = 0; i < MACHINES; i++) {
                rig.awaitReady(i, 30);
            }
            Rig.sleep(3);
            int foreign = ask(rig, Map.of("key-first", "hule930"), "before the change");
            String tenants = tenant("hule930", "key-first") + "," + tenant(names[0], "key-a") + ","
                    + tenant(names[1], "key-b");
            rig.configure("00000002", "00000001", configuration("00000002", tenants), 20);
            Rig.sleep(2.6);
            foreign += ask(rig, tenantOfKey, "after the change");
            if (ran.size() < REQUESTS) {
                throw new Rig.NotRun("too few requests ran");
            }
            return foreign > 0 ? Rig.BROKEN : Rig.HELD;
        }
    }

    private static String configuration(String version, String tenants) {
        return Rig.configuration(
                version,
                List.of(Rig.route("r-order", "/order/", "mutating", 5, 0.8, "storefront", 2)),
                List.of(Rig.service("storefront", false)),
                tenants);
    }

    private static String tenant(String name, String key) {
        return "\"" + name + "\":{\"Credentials\":[\"" + key + "\"],\"Rank\":1,\"RatePerS\":83,\"Burst\":83}";
    }

    // Returns how many requests ran for a tenant that does not hold the client's key.
    private static int ask(Rig rig, Map<String, String> tenantOfKey, String when) throws Exception {
        int foreign = 0;
        int served = 0;
        List<String> keys = List.copyOf(tenantOfKey.keySet());
        for (int i = 0; i < REQUESTS; i++) {
            String key = keys.get(i % keys.size());
            String attempt = Rig.attemptId();
            try (Rig.Connection connection = new Rig.Connection(rig.egress(i % MACHINES), 6000)) {
                int status = connection.ask("POST /order/x", Rig.headers(attempt, 5000, key), new byte[0]).status;
                served += status == 200 ? 1 : 0;
                String got = ran.get(attempt);
                boolean isForeign = got != null && !isName(got, tenantOfKey.get(key));
                foreign += isForeign ? 1 : 0;
                rig.note((isForeign ? "UNASKED: " : "") + "order " + attempt + " with " + key + " answered " + status
                        + ", ran for Tenant '" + got + "'");
            }
            Rig.sleep(0.05);
        }
        rig.say(when + ": sent " + REQUESTS + ", served " + served + ", run for a tenant that does not hold the key "
                + foreign);
        return foreign;
    }

    private static boolean isName(String header, String name) throws Exception {
        byte[] bytes = header.getBytes(StandardCharsets.ISO_8859_1);
        return new String(bytes, StandardCharsets.UTF_8).equals(name)
                || header.equals(name)
                || java.net.URLDecoder.decode(header, StandardCharsets.UTF_8).equals(name);
    }
}
