package whinlead.plan;

/**
 * Closed forms of queueing theory, as a cross-check on the simulation: Kleinrock, Queueing Systems I (1975), 3.2 and
 * 3.5, and II (1976), 4.4. Rates and times in one unit.
 */
final class Formulas {
    private Formulas() {}

    /** The share of cores that is busy; 1 or more where the load can't be carried. */
    static double utilisation(double arrivals, double meanWork, int cores) {
        return arrivals * meanWork / cores;
    }

    /**
     * Erlang C: the chance that one that comes has to wait, with Poisson arrivals, exponential work and room for all. 1
     * at a utilisation of 1 or more.
     */
    static double waits(double arrivals, double meanWork, int cores) {
        double offered = arrivals * meanWork;
        if (offered >= cores) {
            return 1;
        }
        // Erlang B by its recursion, which stays within range for any number of cores.
        double blocked = 1;
        for (int c = 1; c <= cores; c++) {
            blocked = offered * blocked / (c + offered * blocked);
        }
        return blocked / (1 - offered / cores * (1 - blocked));
    }

    /** Mean time in an M/M/c, waiting and work; infinite at a utilisation of 1 or more. */
    static double meanTime(double arrivals, double meanWork, int cores) {
        double free = cores / meanWork - arrivals;
        return free <= 0 ? Double.POSITIVE_INFINITY : meanWork + waits(arrivals, meanWork, cores) / free;
    }

    /** The chance that a time in an M/M/c is over this one. */
    static double timeOver(double time, double arrivals, double meanWork, int cores) {
        double free = cores / meanWork - arrivals;
        if (free <= 0) {
            return 1;
        }
        double rate = 1 / meanWork;
        double waits = waits(arrivals, meanWork, cores);
        double tail = Math.exp(-rate * time);
        // Work alone, or a wait of rate `free` and work after it; one rate for both is the limit of the
        // second.
        double both = Math.abs(rate - free) < 1e-9 * rate
                ? (1 + rate * time) * tail
                : (rate * Math.exp(-free * time) - free * tail) / (rate - free);
        return (1 - waits) * tail + waits * both;
    }

    /** Mean time of work in an M/G/1 that serves all at once in equal parts; it depends on the law by its mean only. */
    static double meanSharedTime(double arrivals, double meanWork) {
        double u = utilisation(arrivals, meanWork, 1);
        return u >= 1 ? Double.POSITIVE_INFINITY : meanWork / (1 - u);
    }
}
