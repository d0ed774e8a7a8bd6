package whinlead.decide;

import java.util.Arrays;

/**
 * Tells when what is refused is refused for another reason than load: far less is answered than lately was, and no
 * server calls itself busy. Guards against a state that holds itself up: what was learned at a faster time calls every
 * answer late, and few come to tell otherwise. After BBR's highest rate of delivery.
 */
final class Relief {
    // Weight of a period in the share refused and in the rate answered; what stays of the highest rate.
    private static final double WEIGHT = 0.1;
    private static final double HIGHEST_KEEP = 0.9995;
    // Under this part of the highest rate, and over this ease by the servers' own word, load is no reason.
    private static final double FAR_LESS = 0.5;
    private static final double EASE = 0.5;

    // Counts of this period.
    int asked;
    int refused;
    int answered;
    private double refusedShare;
    private double rate;
    private double highest;

    // The share lately refused, where load is not the reason, else 0.
    double period(double span, Node[] subset) {
        refusedShare += asked == 0 ? 0 : ((double) refused / asked - refusedShare) * WEIGHT;
        rate += (answered / span - rate) * WEIGHT;
        highest = Math.max(rate, highest * HIGHEST_KEEP);
        asked = refused = answered = 0;
        boolean load = rate >= FAR_LESS * highest
                || Arrays.stream(subset)
                                .mapToDouble(n -> n.reported.ease())
                                .average()
                                .orElse(0)
                        < EASE;
        return load ? 0 : refusedShare;
    }
}
