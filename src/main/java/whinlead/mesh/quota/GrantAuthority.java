package whinlead.mesh.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Which part of all limits one control node may grant: an equal one for each voter. The voters change by decisions that
 * not all learn of at once, so the parts must add up to no more than 1 also while some still go by an earlier decision:
 *
 * <ul>
 *   <li>A control node grants only while a quorum confirms that there is no newer decision. One that has lost its vote
 *       without knowing grants nothing after {@link LeaseTerms#CONFIRMED_MS}, and all of its leases have ended by
 *       {@link LeaseTerms#SETTLED_MS}.
 *   <li>One that gets a vote grants nothing until then.
 *   <li>The largest number of voters of that time is the one that counts.
 * </ul>
 *
 * <p>Pure; one thread; times in milliseconds.
 */
public final class GrantAuthority {
    /**
     * By how many there may have been more voters lately, as far as a process can tell that starts, or that has missed
     * decisions: a replacement adds one before it removes another.
     */
    private static final int MISSED_VOTERS = 1;

    private record Earlier(double until, int voters) {}

    private final Deque<Earlier> earlier = new ArrayDeque<>();
    private long slot = -1;
    private int voters;
    private boolean isVoter;
    private double grantsFrom = Double.POSITIVE_INFINITY;

    /**
     * A process starts.
     *
     * @param slot of the decision on its disk, or -1
     * @param voters of that decision
     * @param isVoter whether this control node is one of them
     * @param founds whether this is the first start of the whole mesh, before anything was granted
     */
    public GrantAuthority(double now, long slot, int voters, boolean isVoter, boolean founds) {
        this.slot = slot;
        this.voters = voters;
        this.isVoter = isVoter;
        if (isVoter) {
            grantsFrom = now;
        }
        if (!founds) {
            earlier.add(new Earlier(now + LeaseTerms.SETTLED_MS, voters + MISSED_VOTERS));
        }
    }

    /** A newer decision is known. */
    public void decided(double now, long newSlot, int newVoters, boolean newIsVoter) {
        // Between two decisions that are known it may have lost its vote and got it back.
        boolean gap = newSlot > slot + 1;
        if (newIsVoter && (!isVoter || gap)) {
            grantsFrom = now + LeaseTerms.SETTLED_MS;
        }
        if (newVoters != voters || gap) {
            earlier.removeIf(each -> each.until() <= now);
            earlier.add(new Earlier(now + LeaseTerms.SETTLED_MS, voters + (gap ? MISSED_VOTERS : 0)));
        }
        slot = newSlot;
        voters = newVoters;
        isVoter = newIsVoter;
    }

    /**
     * The part that may be granted now.
     *
     * @param confirmed whether a quorum has confirmed within {@link LeaseTerms#CONFIRMED_MS} that no newer decision is
     *     known
     */
    public double capacity(double now, boolean confirmed) {
        if (!isVoter || !confirmed || now < grantsFrom) {
            return 0;
        }
        int most = earlier.stream()
                .filter(each -> each.until() > now)
                .mapToInt(Earlier::voters)
                .max()
                .orElse(0);
        return 1.0 / Math.max(1, Math.max(most, voters));
    }
}
