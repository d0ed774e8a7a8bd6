package whinlead.plan;

import java.util.Iterator;
import java.util.List;
import java.util.Random;

/**
 * A load by its description: Poisson arrivals at a rate that bursts change.
 *
 * @param perSecond mean arrivals a second outside bursts
 * @param mix share of each class of the settings; they add up to 1
 * @param bursts when the rate is another; where several overlap their factors multiply
 * @param length milliseconds
 */
public record Load(double perSecond, List<Double> mix, List<Burst> bursts, double length) {
    /** From one time until another the rate is so many times what it else is. */
    public record Burst(double from, double to, double times) {}

    /** The same at so many times the rate. */
    public Load times(double factor) {
        return new Load(perSecond * factor, mix, bursts, length);
    }

    /** Arrivals a second at a time. */
    public double rate(double at) {
        double rate = perSecond;
        for (Burst b : bursts) {
            rate *= at >= b.from() && at < b.to() ? b.times() : 1;
        }
        return rate;
    }

    /** The arrivals that this seed gives, by time. */
    public Iterator<Arrival> arrivals(long seed) {
        double most = perSecond
                * bursts.stream().mapToDouble(b -> Math.max(1, b.times())).reduce(1, (a, b) -> a * b);
        Random dice = new Random(seed);
        return new Arrivals() {
            private double at;

            // Thinning: candidates at the highest rate, of which the share that is due is taken.
            @Override
            protected Arrival find() {
                while (most > 0 && at < length) {
                    at += -Math.log(1 - dice.nextDouble()) * 1000 / most;
                    if (at < length && dice.nextDouble() * most < rate(at)) {
                        return new Arrival(at, kind(dice), -1, false);
                    }
                }
                return null;
            }
        };
    }

    private int kind(Random dice) {
        double left = dice.nextDouble();
        for (int k = 0; k < mix.size() - 1; k++) {
            left -= mix.get(k);
            if (left < 0) {
                return k;
            }
        }
        return mix.size() - 1;
    }
}
