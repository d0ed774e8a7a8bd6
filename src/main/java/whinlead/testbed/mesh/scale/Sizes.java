package whinlead.testbed.mesh.scale;

import java.util.SplittableRandom;

/**
 * How large one point of a scale run is.
 *
 * @param sidecars all, the real one too
 * @param routes in all, spread over the services
 * @param tenants in the configuration
 * @param asked tenants that requests come for at every sidecar
 * @param listed sidecars that are listed and not there, beside those that are
 * @param changesPerMin changes of the configuration, one route's deadline each
 * @param endpointRecordsPerMin endpoints that are replaced by another life, one changed endpoint record each
 */
record Sizes(
        int sidecars,
        int services,
        int routes,
        int tenants,
        int asked,
        int listed,
        double changesPerMin,
        double endpointRecordsPerMin) {
    private static final long SEED = 43;
    private static final double DEADLINE_S = 2;

    /** A service by its number. */
    static String service(int i) {
        return String.format("service-%04d", i);
    }

    /** A tenant's key; drawn, for keys can't be deflated. */
    static String key(int tenant) {
        SplittableRandom random = new SplittableRandom(SEED + tenant);
        return String.format("%016x%016x", random.nextLong(), random.nextLong());
    }

    /**
     * The configuration of a version. Limits of tenants are so low that no request gets past them: the run measures
     * control, not traffic.
     */
    String config(long version) {
        StringBuilder json = new StringBuilder("{\"Epoch\":\"")
                .append(String.format("%08x", version))
                .append("\",\"Routes\":{");
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < routes; i++) {
            int service = i % services;
            double deadline = DEADLINE_S + (version % routes == i ? version % 100 * 0.01 : 0);
            json.append(i == 0 ? "" : ",")
                    .append(String.format(
                            "\"route-%05d\":{\"Authority\":"
                                    + "\"%s.mesh.example\",\"PathPrefix\":\"/%08x/\",\"Kind\":\"idempotent\","
                                    + "\"DeadlineS\":%s,"
                                    + "\"TargetS\":0.5,\"Rank\":%d,\"Target\":\"%s\",\"Tries\":2,\"Public\":false}",
                            i, service(service), random.nextInt(), deadline, i % 3, service(service)));
        }
        json.append("},\"Services\":{");
        for (int i = 0; i < services; i++) {
            json.append(i == 0 ? "" : ",")
                    .append('"')
                    .append(service(i))
                    .append("\":{\"Probe\":\"/health\",\"MaxConns\":110}");
        }
        json.append("},\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":67108864,\"HeaderS\":3,\"IdleS\":15},")
                .append("\"Tenants\":{");
        for (int i = 0; i < tenants; i++) {
            json.append(i == 0 ? "" : ",")
                    .append(String.format(
                            "\"tenant-%05d\":{\"Credentials\":[\"%s\"]," + "\"Rank\":1,\"RatePerS\":0.001,\"Burst\":0}",
                            i, key(i)));
        }
        return json.append("}}").toString();
    }

    /** The path of a request on the first route. */
    String path() {
        return String.format("/%08x/x", new SplittableRandom(SEED).nextInt());
    }
}
