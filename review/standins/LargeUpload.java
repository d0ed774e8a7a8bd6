package review;

import java.util.List;
import java.util.Map;

/** One client's large upload, and the orders of others that are under way to the same machine. */
final class LargeUpload extends Case {
    private static final double DEADLINE_S = 5;
    /** 25 MiB; the configuration's BodyBytes allow 64 MiB. */
    private static final int LARGE_BYTES = 25 << 20;
    /** The mean size of an upload of the small site. */
    private static final int USUAL_BYTES = 60_000;

    private static final int UPLOADS = 5;

    private LargeUpload(String recordFile) {
        super(recordFile);
    }

    public static void main(String[] args) {
        new LargeUpload(args[0]).run(3, 12, "storefront", "backroom");
    }

    @Override
    String configuration() {
        return configuration(
                "00000001",
                List.of(
                        route("r-order", "/order/", "mutating", DEADLINE_S, 2, "backroom"),
                        route("r-upload", "/upload/", "ingest", DEADLINE_S, 2, "backroom")),
                "storefront",
                "backroom");
    }

    @Override
    boolean isBroken() throws Exception {
        Mesh.Machine near = mesh.sidecars.get(0);
        byte[] order = new byte[1200];
        for (int i = 0; i < UPLOADS; i++) {
            // Ten orders a second, each of which takes the endpoint 400 ms.
            for (int j = 0; j < 20; j++) {
                if (j == 10) {
                    byte[] image = new byte[trouble ? LARGE_BYTES : USUAL_BYTES];
                    threads.execute(() -> client.ask(
                            near,
                            "shop.example",
                            "POST /upload/work140",
                            image,
                            (int) (DEADLINE_S * 1000),
                            Map.of("Content-Type", "application/octet-stream")));
                }
                threads.execute(() -> client.ask(
                        near, "shop.example", "POST /order/work400", order, (int) (DEADLINE_S * 1000), Map.of()));
                Thread.sleep(100);
            }
            Thread.sleep(1500);
        }
        Thread.sleep(3000);
        ends().forEach((end, count) -> record.say(count + " x " + end));
        List<Client.Try> found = brokenOff(DEADLINE_S);
        record.say(found.size() + " requests were answered 500, 502 or 504 while their endpoint was at work on them");
        return !found.isEmpty();
    }
}
