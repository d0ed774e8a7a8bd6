package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Many changes that shift a route to other services, and then one that adds a route to a service with an endpoint. */
final class ManyServices extends Case {
    private static final double DEADLINE_S = 5;
    private static final double CONVERGE_S = 2.5;
    /** How much later than its route's DeadlineS a request may be answered. */
    private static final double ANSWER_SLACK_S = 0.5;

    private static final int CHANGES = 150;
    private static final int REQUESTS = 40;
    private static final int TENANTS = 8;

    private ManyServices(String recordFile) {
        super(recordFile);
    }

    public static void main(String[] args) {
        new ManyServices(args[0]).run(3, 12, "storefront", "backroom", "archive");
    }

    @Override
    String configuration() {
        return version(1, "first", false);
    }

    private static String epoch(int number) {
        return String.format(Locale.ROOT, "%08x", number);
    }

    // A split route to two services of this name, and the routes that stay.
    private static String version(int number, String preview, boolean withArchive) {
        List<String> routes = new ArrayList<>();
        routes.add(route("r-order", "/order/", "mutating", DEADLINE_S, 2, "backroom"));
        routes.add("\"r-preview\":{\"Authority\":\"shop.example\",\"PathPrefix\":\"/preview/\",\"Kind\":\"idempotent\","
                + "\"DeadlineS\":5,\"TargetS\":2,\"Rank\":2,\"Shares\":[{\"Target\":\"" + preview
                + "-a\",\"Weight\":90},{\"Target\":\"" + preview + "-b\",\"Weight\":10}],\"Tries\":2}");
        List<String> services = new ArrayList<>(List.of("storefront", "backroom", preview + "-a", preview + "-b"));
        if (withArchive) {
            routes.add(route("r-archive", "/archive/", "mutating", DEADLINE_S, 2, "archive"));
            services.add("archive");
        }
        String text = configuration(epoch(number), routes, services.toArray(new String[0]))
                .replace(",\"Public\":true", "");
        return text.substring(0, text.length() - 1) + ",\"Tenants\":{" + String.join(",", tenants()) + "}}";
    }

    private static List<String> tenants() {
        List<String> tenants = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            tenants.add("\"tenant-" + i + "\":{\"Credentials\":[\"" + key(i)
                    + "\"],\"Rank\":1,\"RatePerS\":83,\"Burst\":83}");
        }
        return tenants;
    }

    private static String key(int tenant) {
        return "3fexd9dnn2ctnfzs989" + tenant;
    }

    @Override
    boolean isBroken() throws Exception {
        int number = 1;
        if (trouble) {
            for (int i = 0; i < CHANGES; i++) {
                if (!mesh.configure(epoch(number), version(number + 1, "preview-" + number, false), 10)) {
                    throw new IllegalStateException("a change was not taken");
                }
                number++;
                Thread.sleep(150);
            }
        }
        if (!mesh.configure(epoch(number), version(number + 1, "last", true), 10)) {
            throw new IllegalStateException("the last change was not taken");
        }
        Thread.sleep((long) (CONVERGE_S * 1000) + 500);
        Mesh.Machine near = mesh.sidecars.get(0);
        for (int i = 0; i < REQUESTS; i++) {
            String apiKey = key(i % TENANTS);
            for (String prefix : List.of("/order/", "/archive/")) {
                threads.execute(() -> client.ask(
                        near,
                        "shop.example",
                        "POST " + prefix + "work100",
                        new byte[1200],
                        (int) (DEADLINE_S * 1000),
                        Map.of("Api-Key", apiKey)));
            }
            Thread.sleep(600);
        }
        Thread.sleep((long) ((DEADLINE_S + 2) * 1000));
        ends().forEach((end, count) -> record.say(count + " x " + end));
        long first = served("/order/");
        long later = served("/archive/");
        long unanswered = client.tries.stream()
                .filter(request -> request.status == 0 || request.ended - request.sent > DEADLINE_S + ANSWER_SLACK_S)
                .count();
        record.say("served: " + first + " of " + REQUESTS + " on the first route, " + later + " of " + REQUESTS
                + " on the route that was added later");
        record.say(unanswered + " requests had no final answer " + ANSWER_SLACK_S + " s after their route's DeadlineS");
        for (Mesh.Machine machine : mesh.sidecars.subList(0, 1)) {
            mesh.log(machine).lines().filter(line -> !line.startsWith("401")).forEach(line -> record.add("log: " + line));
        }
        return later * 4 < first || unanswered >= 8 && unanswered * 4 > client.tries.size();
    }

    private long served(String prefix) {
        return client.tries.stream()
                .filter(request -> request.line.contains(prefix) && request.status == 200)
                .count();
    }
}
