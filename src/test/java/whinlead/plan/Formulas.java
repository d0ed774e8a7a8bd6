package whinlead.plan;

/**
 * Closed-form results of queueing theory to check the simulation against: Kleinrock, Queueing Systems I (1975), 3.2 and
 * 3.5, and II (1976), 4.4. Rates and times use the same time unit.
 */
final class Formulas {
    private Formulas() {}

    /** Busy share of the cores; 1 or more if the load exceeds the capacity. */
    static double utilisation(double arrivals, double meanWork, int cores) {
        return arrivals * meanWork / cores;
    }

    /**
     * Erlang C: the probability that an arrival has to wait, with Poisson arrivals, exponential work and unlimited
     * room. 1 at a utilisation of 1 or more.
     */
    static double waitProbability(double arrivals, double meanWork, int cores) {
        double offered = arrivals * meanWork;
        if (offered >= cores) {
            return 1;
        }
        // Recursive form of Erlang B, which does not overflow for any number of cores.
        double blocked = 1;
        for (int c = 1; c <= cores; c++) {
            blocked = offered * blocked / (c + offered * blocked);
        }
        return blocked / (1 - offered / cores * (1 - blocked));
    }

    /** Mean time in an M/M/c system, waiting included; infinite at a utilisation of 1 or more. */
    static double meanTime(double arrivals, double meanWork, int cores) {
        double free = cores / meanWork - arrivals;
        return free <= 0 ? Double.POSITIVE_INFINITY : meanWork + waitProbability(arrivals, meanWork, cores) / free;
    }

    /** Probability that the time in an M/M/c system exceeds the given time. */
    static double probabilityOfTimeOver(double time, double arrivals, double meanWork, int cores) {
        double free = cores / meanWork - arrivals;
        if (free <= 0) {
            return 1;
        }
        double rate = 1 / meanWork;
        double waitProbability = waitProbability(arrivals, meanWork, cores);
        double tail = Math.exp(-rate * time);
        // Service only, or a wait with rate `free` followed by service; equal rates are the limiting case of the
        // second.
        double both = Math.abs(rate - free) < 1e-9 * rate
                ? (1 + rate * time) * tail
                : (rate * Math.exp(-free * time) - free * tail) / (rate - free);
        return (1 - waitProbability) * tail + waitProbability * both;
    }

    /** Mean time in an M/G/1 system with processor sharing; it depends on the work distribution only by its mean. */
    static double meanSharedTime(double arrivals, double meanWork) {
        double utilisation = utilisation(arrivals, meanWork, 1);
        return utilisation >= 1 ? Double.POSITIVE_INFINITY : meanWork / (1 - utilisation);
    }
}
