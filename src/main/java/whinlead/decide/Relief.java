package whinlead.decide;

import java.util.Arrays;

/**
 * Detects refusals that load does not explain: far less is answered than recently, and no server reports itself busy.
 * Guards against a state that sustains itself: a usual time learned while answers were faster makes every answer late,
 * and too few are let through to correct it. Modelled on BBR's maximum delivery rate.
 */
final class Relief {
    // Weight of a period in the refused share and the answer rate; decay of the highest rate per period.
    private static final double WEIGHT = 0.1;
    private static final double HIGHEST_DECAY = 0.9995;
    // Load is ruled out below this part of the highest rate and above this spare capacity by the servers' reports.
    private static final double LOW_RATE_SHARE = 0.5;
    private static final double MIN_SPARE_CAPACITY = 0.5;

    // Counts in this period.
    int requests;
    int refused;
    int answered;
    private double refusedShare;
    private double answerRate;
    private double highestRate;

    // The recently refused share where load does not explain it, else 0.
    double endPeriod(double periodMs, Node[] subset) {
        refusedShare += requests == 0 ? 0 : ((double) refused / requests - refusedShare) * WEIGHT;
        answerRate += (answered / periodMs - answerRate) * WEIGHT;
        highestRate = Math.max(answerRate, highestRate * HIGHEST_DECAY);
        requests = refused = answered = 0;
        boolean overloaded = answerRate >= LOW_RATE_SHARE * highestRate
                || Arrays.stream(subset)
                                .mapToDouble(n -> n.reported.spareCapacity())
                                .average()
                                .orElse(0)
                        < MIN_SPARE_CAPACITY;
        return overloaded ? 0 : refusedShare;
    }
}
