package whinlead.plan;

import java.util.Iterator;
import java.util.List;
import java.util.Random;

/**
 * A described load: Poisson arrivals at a rate that changes during bursts.
 *
 * @param perSecond mean arrivals a second outside bursts
 * @param mix share of each class of the settings; they add up to 1
 * @param bursts periods with a different rate; the factors of overlapping bursts multiply
 * @param lengthMs duration in milliseconds
 */
public record Load(double perSecond, List<Double> mix, List<Burst> bursts, double lengthMs) {
    /** Between two times, in milliseconds, the rate is multiplied by a factor. */
    public record Burst(double from, double to, double rateFactor) {}

    /** Returns a copy with the rate multiplied by a factor. */
    public Load scaled(double factor) {
        return new Load(perSecond * factor, mix, bursts, lengthMs);
    }

    /** Arrivals per second at a time in milliseconds. */
    public double ratePerSecond(double atMs) {
        double rate = perSecond;
        for (Burst b : bursts) {
            rate *= atMs >= b.from() && atMs < b.to() ? b.rateFactor() : 1;
        }
        return rate;
    }

    /** The arrivals for this seed, in order of time. */
    public Iterator<Arrival> arrivals(long seed) {
        double maxPerSecond = perSecond
                * bursts.stream().mapToDouble(b -> Math.max(1, b.rateFactor())).reduce(1, (a, b) -> a * b);
        Random random = new Random(seed);
        return new Arrivals() {
            private double at;

            // Thinning: draws candidates at the highest rate and accepts the share for the current rate.
            @Override
            protected Arrival findNext() {
                while (maxPerSecond > 0 && at < lengthMs) {
                    at += -Math.log(1 - random.nextDouble()) * 1000 / maxPerSecond;
                    if (at < lengthMs && random.nextDouble() * maxPerSecond < ratePerSecond(at)) {
                        return new Arrival(at, drawClass(random), -1, false);
                    }
                }
                return null;
            }
        };
    }

    private int drawClass(Random random) {
        double remainder = random.nextDouble();
        for (int requestClass = 0; requestClass < mix.size() - 1; requestClass++) {
            remainder -= mix.get(requestClass);
            if (remainder < 0) {
                return requestClass;
            }
        }
        return mix.size() - 1;
    }
}
