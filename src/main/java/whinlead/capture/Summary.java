package whinlead.capture;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import whinlead.engine.RequestListener;

/**
 * What a capture holds.
 *
 * @param classes names, as in its head
 * @param counts entries of each class
 * @param requests entries in all
 * @param seconds from its first entry to its last
 * @param peak entries in its fullest second
 * @param repeats entries that were repeats
 * @param ends how many ended in each way, in the order of {@link RequestListener.End}
 * @param lost entries that were lost as it was written
 * @param jumps how often its clock went back
 * @param torn whether its last entry was torn
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
    private static final long SECOND = 1_000_000;

    /** Reads a capture to its end. */
    public static Summary of(CaptureInput in) throws IOException {
        long[] counts = new long[in.classes().size()];
        long[] ends = new long[RequestListener.End.values().length];
        long requests = 0;
        long repeats = 0;
        long first = 0;
        long last = 0;
        long second = -1;
        long here = 0;
        long peak = 0;
        for (Entry e = in.next(); e != null; e = in.next()) {
            first = requests == 0 ? e.at() : first;
            last = e.at();
            requests++;
            counts[e.kind()]++;
            ends[e.end().ordinal()]++;
            repeats += e.repeat() ? 1 : 0;
            here = e.at() / SECOND == second ? here + 1 : 1;
            second = e.at() / SECOND;
            peak = Math.max(peak, here);
        }
        return new Summary(
                in.classes(),
                list(counts),
                requests,
                (double) (last - first) / SECOND,
                peak,
                repeats,
                list(ends),
                in.lost(),
                in.jumps(),
                in.torn());
    }

    private static List<Long> list(long[] values) {
        List<Long> list = new ArrayList<>();
        for (long v : values) {
            list.add(v);
        }
        return List.copyOf(list);
    }
}
