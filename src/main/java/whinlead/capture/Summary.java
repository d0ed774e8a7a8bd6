package whinlead.capture;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import whinlead.engine.RequestListener;

/**
 * Statistics of a capture.
 *
 * @param classes names of the request classes, as in the header
 * @param counts number of requests of each class
 * @param requests total number of requests
 * @param seconds time from the first entry to the last
 * @param peak number of requests in the busiest second
 * @param repeats number of requests that were repeats
 * @param ends number of requests by outcome, in the order of the constants of {@link RequestListener.End}
 * @param lost number of entries lost while the capture was written
 * @param jumps how often the clock went back
 * @param torn whether the last entry was truncated
 */
public record Summary(
        List<String> classes,
        List<Long> counts,
        long requests,
        double seconds,
        long peak,
        long repeats,
        List<Long> ends,
        long lost,
        long jumps,
        boolean torn) {
    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Reads a capture to its end and summarises it. */
    public static Summary of(CaptureInput input) throws IOException {
        long[] requestsByClass = new long[input.classNames().size()];
        long[] requestsByOutcome = new long[RequestListener.Result.values().length];
        long requests = 0;
        long repeats = 0;
        long firstArrivalMicros = 0;
        long lastArrivalMicros = 0;
        long currentSecond = -1;
        long requestsInSecond = 0;
        long peakRequestsPerSecond = 0;
        for (Entry entry = input.next(); entry != null; entry = input.next()) {
            firstArrivalMicros = requests == 0 ? entry.at() : firstArrivalMicros;
            lastArrivalMicros = entry.at();
            requests++;
            requestsByClass[entry.kind()]++;
            requestsByOutcome[entry.outcome().ordinal()]++;
            repeats += entry.repeat() ? 1 : 0;
            requestsInSecond = entry.at() / MICROS_PER_SECOND == currentSecond ? requestsInSecond + 1 : 1;
            currentSecond = entry.at() / MICROS_PER_SECOND;
            peakRequestsPerSecond = Math.max(peakRequestsPerSecond, requestsInSecond);
        }
        return new Summary(
                input.classNames(),
                list(requestsByClass),
                requests,
                (double) (lastArrivalMicros - firstArrivalMicros) / MICROS_PER_SECOND,
                peakRequestsPerSecond,
                repeats,
                list(requestsByOutcome),
                input.lostEntries(),
                input.backwardClockJumps(),
                input.truncated());
    }

    private static List<Long> list(long[] values) {
        List<Long> list = new ArrayList<>();
        for (long v : values) {
            list.add(v);
        }
        return List.copyOf(list);
    }
}
