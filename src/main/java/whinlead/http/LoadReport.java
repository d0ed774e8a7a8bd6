package whinlead.http;

import java.util.List;
import whinlead.Contract;

/** Reads the load report that an endpoint's answer may carry, such as {@code util=0.61,qps=44}. */
public final class LoadReport {
    /** The header that carries it. */
    public static final String HEADER = "Server-Load";
    /** A peer's word: no endpoint holds or serves more, and a larger figure would spoil the means it goes into. */
    private static final double MOST = 1e6;

    private LoadReport() {}

    /** The report in these headers; null if there is not just one, or one that can't be read. */
    public static Contract.Report parse(List<String> headers) {
        return headers.size() == 1 ? parse(headers.get(0)) : null;
    }

    /** The report, or null if any part of it is malformed: half a report would mislead. */
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
                    eq < 0 ? Double.NaN : Decimals.parse(part.substring(eq + 1).trim(), MOST);
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
