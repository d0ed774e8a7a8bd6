package whinlead.mesh.duty;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * How many votes a duty needs, and who may vote, while the voters change by decisions that not all learn of at once.
 * Any two sets of voters that may elect a holder at the same time must share a voter that has kept its vote:
 *
 * <ul>
 *   <li>The largest quorum of the last {@link DutyTerms#SETTLED_MS} is needed, for the voters may have become fewer.
 *   <li>Who gets a vote gives none for that time: it knows of no vote that the one before it gave.
 * </ul>
 *
 * <p>Pure; one thread; times in milliseconds.
 */
public final class DutyQuorum {
    /**
     * By how many there may have been more voters, as far as a process can tell that starts or has missed decisions.
     */
    private static final int MISSED_VOTERS = 1;

    private record Earlier(double until, int voters) {}

    private final Deque<Earlier> earlier = new ArrayDeque<>();
    private final String self;
    private long slot;
    private List<String> voters;
    private double votesFrom;

    /**
     * A process starts.
     *
     * @param self this control node's id
     * @param slot of the decision on its disk, or -1
     * @param voters of that decision
     */
    public DutyQuorum(double now, String self, long slot, List<String> voters) {
        this.self = self;
        this.slot = slot;
        this.voters = List.copyOf(voters);
        this.votesFrom = now;
        if (slot > 0) {
            earlier.add(new Earlier(now + DutyTerms.SETTLED_MS, voters.size() + MISSED_VOTERS));
        }
    }

    /** A newer decision is known. */
    public void decided(double now, long newSlot, List<String> newVoters) {
        if (newSlot <= slot) {
            return;
        }
        boolean gap = newSlot > slot + 1;
        if (newVoters.contains(self) && (!voters.contains(self) || gap)) {
            votesFrom = now + DutyTerms.SETTLED_MS;
        }
        if (newVoters.size() != voters.size() || gap) {
            earlier.removeIf(each -> each.until() <= now);
            earlier.add(new Earlier(now + DutyTerms.SETTLED_MS, voters.size() + (gap ? MISSED_VOTERS : 0)));
        }
        slot = newSlot;
        voters = List.copyOf(newVoters);
    }

    /** Whether this control node may vote now. */
    public boolean mayVote(double now) {
        return voters.contains(self) && now >= votesFrom;
    }

    /** The voters by the newest decision known. */
    public List<String> voters() {
        return voters;
    }

    /** The newest decision's slot. */
    public long slot() {
        return slot;
    }

    /** How many votes elect a holder now. */
    public int needed(double now) {
        int most = earlier.stream()
                .filter(each -> each.until() > now)
                .mapToInt(Earlier::voters)
                .max()
                .orElse(0);
        return Math.max(most, voters.size()) / 2 + 1;
    }
}
