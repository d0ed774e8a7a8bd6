package whinlead.http;

import java.util.List;
import whinlead.Contract;

/** Parses the load report that an endpoint's response may carry, such as {@code util=0.61,qps=44}. */
public final class LoadReport {
    /** The header that carries it. */
    public static final String HEADER = "Server-Load";
    /**
     * Upper bound of reported values: no endpoint reaches it, and a larger value would distort the averages computed
     * from it.
     */
    private static final double MAX_VALUE = 1e6;

    private LoadReport() {}

    /** The report in these headers; null if there is not exactly one, or if it is malformed. */
    public static Contract.Report parse(List<String> headers) {
        return headers.size() == 1 ? parse(headers.get(0)) : null;
    }

    /** The report, or null if any part of it is malformed: a partial report would mislead. */
    public static Contract.Report parse(String text) {
        double inflight = Double.NaN;
        double queue = Double.NaN;
        double util = Double.NaN;
        double latency = Double.NaN;
        double perSecond = Double.NaN;
        double errors = Double.NaN;
        for (String part : text.split(",", -1)) {
            int eq = part.indexOf('=');
            double value =
                    eq < 0 ? Double.NaN : Decimals.parse(part.substring(eq + 1).trim(), MAX_VALUE);
            if (Double.isNaN(value)) {
                return null;
            }
            switch (part.substring(0, eq).trim()) {
                case "inflight" -> inflight = value;
                case "queue" -> queue = value;
                case "util" -> util = value;
                case "latency_ms" -> latency = value;
                case "qps" -> perSecond = value;
                case "eps" -> errors = value;
                default -> {}
            }
        }
        return new Contract.Report(inflight, queue, util, latency, perSecond, errors);
    }
}
