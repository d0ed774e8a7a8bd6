package whinlead.capture;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import whinlead.engine.RequestListener;

/**
 * Statistics of a capture.
 *
 * @param classes names of the request classes, as in the header
 * @param requestsByClass number of requests of each class
 * @param requests total number of requests
 * @param durationSeconds time from the first entry to the last
 * @param peakRequestsPerSecond number of requests in the busiest second
 * @param repeats number of requests that were repeats
 * @param requestsByOutcome number of requests by outcome, in the order of the constants of
 *     {@link RequestListener.Result}
 * @param lostEntries number of entries lost while the capture was written
 * @param backwardClockJumps how often the clock went back
 * @param truncated whether the last entry was truncated
 */
public record Summary(
        List<String> classes,
        List<Long> requestsByClass,
        long requests,
        double durationSeconds,
        long peakRequestsPerSecond,
        long repeats,
        List<Long> requestsByOutcome,
        long lostEntries,
        long backwardClockJumps,
        boolean truncated) {
    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Reads a capture to its end and summarises it. */
    public static Summary read(CaptureInput input) throws IOException {
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
            firstArrivalMicros = requests == 0 ? entry.arrivalMicros() : firstArrivalMicros;
            lastArrivalMicros = entry.arrivalMicros();
            requests++;
            requestsByClass[entry.classIndex()]++;
            requestsByOutcome[entry.outcome().ordinal()]++;
            repeats += entry.repeat() ? 1 : 0;
            requestsInSecond = entry.arrivalMicros() / MICROS_PER_SECOND == currentSecond ? requestsInSecond + 1 : 1;
            currentSecond = entry.arrivalMicros() / MICROS_PER_SECOND;
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
