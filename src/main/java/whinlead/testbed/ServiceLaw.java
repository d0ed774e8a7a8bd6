package whinlead.testbed;

import java.util.Random;

/**
 * How long a stand-in endpoint works on a request, in milliseconds, depending on its class and on when the work begins.
 * Laws are scripted and draw from the dice that they are given, so that a seed fixes a run.
 */
@FunctionalInterface
public interface ServiceLaw {
    /**
     * The work of one request; never negative.
     *
     * @param now when it begins, in milliseconds since the run began
     * @param classIndex position of its class in the settings
     */
    double draw(Random dice, double now, int classIndex);

    /** Another law for each class, by its position in the settings. */
    static ServiceLaw byClass(ServiceLaw... laws) {
        return (dice, now, k) -> laws[k].draw(dice, now, k);
    }

    /** Always the same. */
    static ServiceLaw fixed(double millis) {
        return (dice, now, k) -> millis;
    }

    /** Exponential with this mean. */
    static ServiceLaw exponential(double mean) {
        return (dice, now, k) -> -mean * Math.log(1 - dice.nextDouble());
    }

    /** Two modes, as of a cache: {@code slow} in this share of the requests, else {@code fast}. */
    static ServiceLaw modes(double fast, double slow, double slowShare) {
        return (dice, now, k) -> dice.nextDouble() < slowShare ? slow : fast;
    }

    /** Rises, or falls, by equal factors from one mean to another between two times. */
    static ServiceLaw drift(double from, double to, double begin, double end) {
        return (dice, now, k) -> {
            double part = Math.max(0, Math.min(1, (now - begin) / (end - begin)));
            return from * Math.pow(to / from, part) * (0.5 + dice.nextDouble());
        };
    }

    /** This law until a time, another from then on. */
    default ServiceLaw until(double at, ServiceLaw next) {
        return (dice, now, k) -> (now < at ? this : next).draw(dice, now, k);
    }

    /** As after a start with nothing in memory: so many times as long at first, this law after a time. */
    default ServiceLaw cold(double startedAt, double warmAfter, double times) {
        return (dice, now, k) -> {
            double left = now < startedAt ? 0 : Math.max(0, 1 - (now - startedAt) / warmAfter);
            return draw(dice, now, k) * (1 + (times - 1) * left);
        };
    }
}
