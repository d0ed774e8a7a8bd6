package whinlead.mesh.duty;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * How many votes a duty needs, and who may vote, while the voters change by decisions that reach control nodes at
 * different times. Any two sets of voters that may elect a holder at the same time must share a voter that has retained
 * its vote:
 *
 * <ul>
 *   <li>The largest quorum within the last {@link DutyTerms#SETTLE_TIME_MS} is required, because the number of voters
 *       may have decreased.
 *   <li>A new voter gives no vote for that time, because it does not know the votes given by the voter that it
 *       replaced.
 * </ul>
 *
 * <p>Pure; one thread; times in milliseconds.
 */
public final class DutyQuorum {
    /**
     * How many more voters there may have been before, as far as a process that starts or has missed decisions can
     * know.
     */
    private static final int MISSED_VOTERS = 1;

    private record EarlierVoters(double untilMs, int count) {}

    private final Deque<EarlierVoters> earlierVoters = new ArrayDeque<>();
    private final String self;
    private long slot;
    private List<String> voters;
    private double votesFromMs;

    /**
     * The state of a process that starts.
     *
     * @param self this control node's id
     * @param slot of the decision on its disk, or -1
     * @param voters of that decision
     */
    public DutyQuorum(double nowMs, String self, long slot, List<String> voters) {
        this.self = self;
        this.slot = slot;
        this.voters = List.copyOf(voters);
        this.votesFromMs = nowMs;
        if (slot > 0) {
            earlierVoters.add(new EarlierVoters(nowMs + DutyTerms.SETTLE_TIME_MS, voters.size() + MISSED_VOTERS));
        }
    }

    /** A newer decision is known. */
    public void decided(double nowMs, long newSlot, List<String> newVoters) {
        if (newSlot <= slot) {
            return;
        }
        boolean hasGap = newSlot > slot + 1;
        if (newVoters.contains(self) && (!voters.contains(self) || hasGap)) {
            votesFromMs = nowMs + DutyTerms.SETTLE_TIME_MS;
        }
        if (newVoters.size() != voters.size() || hasGap) {
            earlierVoters.removeIf(each -> each.untilMs() <= nowMs);
            earlierVoters.add(
                    new EarlierVoters(nowMs + DutyTerms.SETTLE_TIME_MS, voters.size() + (hasGap ? MISSED_VOTERS : 0)));
        }
        slot = newSlot;
        voters = List.copyOf(newVoters);
    }

    /** Whether this control node may vote now. */
    public boolean mayVote(double nowMs) {
        return voters.contains(self) && nowMs >= votesFromMs;
    }

    /** The voters of the newest known decision. */
    public List<String> voters() {
        return voters;
    }

    /** The slot of the newest known decision. */
    public long slot() {
        return slot;
    }

    /** The number of votes required now to elect a holder. */
    public int requiredVotes(double nowMs) {
        int maxEarlier = earlierVoters.stream()
                .filter(each -> each.untilMs() > nowMs)
                .mapToInt(EarlierVoters::count)
                .max()
                .orElse(0);
        return Math.max(maxEarlier, voters.size()) / 2 + 1;
    }
}
