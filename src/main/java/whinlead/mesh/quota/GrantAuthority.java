package whinlead.mesh.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The fraction of all tenants' limits that one control node may grant: an equal part for each voter. Not all control
 * nodes learn of a change of voters at the same time, so the fractions must add up to no more than 1 also while some
 * nodes still act on an earlier decision:
 *
 * <ul>
 *   <li>A control node grants only while a quorum confirms that there is no newer decision. One that has lost its vote
 *       without knowing grants nothing after {@link LeaseTerms#CONFIRMED_MS}, and all of its leases have ended by
 *       {@link LeaseTerms#SETTLED_MS}.
 *   <li>A control node that becomes a voter grants nothing until {@link LeaseTerms#SETTLED_MS} has passed.
 *   <li>The fraction is based on the largest number of voters within that time.
 * </ul>
 *
 * <p>Pure; one thread; times in milliseconds.
 */
public final class GrantAuthority {
    /**
     * How many more voters there may have been recently than a process knows of that starts or has missed decisions: a
     * replacement adds one voter before it removes another.
     */
    private static final int MAX_MISSED_VOTERS = 1;

    private record EarlierVoters(double untilMs, int voters) {}

    private final Deque<EarlierVoters> earlierVoters = new ArrayDeque<>();
    private long slot = -1;
    private int voters;
    private boolean isVoter;
    private double grantsFromMs = Double.POSITIVE_INFINITY;

    /**
     * Creates the state of a process that starts.
     *
     * @param slot of the decision on its disk, or -1
     * @param voters number of voters in that decision
     * @param isVoter whether this control node is one of them
     * @param isFirstStart whether this is the first start of the whole mesh, before anything was granted
     */
    public GrantAuthority(double nowMs, long slot, int voters, boolean isVoter, boolean isFirstStart) {
        this.slot = slot;
        this.voters = voters;
        this.isVoter = isVoter;
        if (isVoter) {
            grantsFromMs = nowMs;
        }
        if (!isFirstStart) {
            earlierVoters.add(new EarlierVoters(nowMs + LeaseTerms.SETTLED_MS, voters + MAX_MISSED_VOTERS));
        }
    }

    /** Records a newer decision. */
    public void applyDecision(double nowMs, long newSlot, int newVoters, boolean newIsVoter) {
        // This node may have lost and regained its vote in decisions that it has not seen.
        boolean mayHaveMissedDecisions = newSlot > slot + 1;
        if (newIsVoter && (!isVoter || mayHaveMissedDecisions)) {
            grantsFromMs = nowMs + LeaseTerms.SETTLED_MS;
        }
        if (newVoters != voters || mayHaveMissedDecisions) {
            earlierVoters.removeIf(each -> each.untilMs() <= nowMs);
            earlierVoters.add(new EarlierVoters(
                    nowMs + LeaseTerms.SETTLED_MS, voters + (mayHaveMissedDecisions ? MAX_MISSED_VOTERS : 0)));
        }
        slot = newSlot;
        voters = newVoters;
        isVoter = newIsVoter;
    }

    /**
     * The fraction of all limits that may be granted now.
     *
     * @param confirmed whether a quorum has confirmed within {@link LeaseTerms#CONFIRMED_MS} that no newer decision is
     *     known
     */
    public double capacity(double nowMs, boolean confirmed) {
        if (!isVoter || !confirmed || nowMs < grantsFromMs) {
            return 0;
        }
        int maxEarlierVoters = earlierVoters.stream()
                .filter(each -> each.untilMs() > nowMs)
                .mapToInt(EarlierVoters::voters)
                .max()
                .orElse(0);
        return 1.0 / Math.max(1, Math.max(maxEarlierVoters, voters));
    }
}
