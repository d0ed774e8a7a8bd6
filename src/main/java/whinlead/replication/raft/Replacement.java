package whinlead.replication.raft;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Stream;
import whinlead.replication.Placement;

/**
 * The leader's rules for replacing lost members:
 *
 * <ul>
 *   <li>A new incarnation of a member takes the seat of the earlier one.
 *   <li>A member that has been silent for too long is replaced by a <em>guest</em>, a process that is not a founding
 *       member of the group. Candidates are invited one at a time; if one does not join, the next is invited.
 *   <li>Guests hold at most as many seats as the group can lose. So at least one founder that knows the group remains
 *       if the group loses as many members at once as it tolerates, and founders that restart without state can't found
 *       the group a second time, since that requires all of them.
 *   <li>A lost member is removed before another takes its seat. Otherwise a guest that dies meanwhile could be needed
 *       for a majority: with one of three lost, the other two have to agree on everything.
 *   <li>A founder that comes back regains its seat from a guest, provided that all voters are reachable. Both vote for
 *       a moment, and then the guest is removed: a group with one seat less could be stopped for good by a loss that it
 *       has to tolerate.
 *   <li>A learner that falls silent, or a guest whose seat is no longer free, is removed.
 * </ul>
 *
 * <p>No clock and no I/O: the time is passed with each call.
 */
public final class Replacement {
    /** The group's committed members and voters. */
    public record View(Set<MemberId> members, Set<MemberId> voters) {
        private Stream<MemberId> learners() {
            return members.stream().filter(member -> !voters.contains(member)).sorted();
        }

        private boolean hasName(String name) {
            return members.stream().anyMatch(member -> member.name().equals(name));
        }
    }

    /** What the leader has to do. */
    public sealed interface Action {
        /** Invite this process to take a seat. */
        record Invite(String name) implements Action {}

        /** Remove this member. */
        record Remove(MemberId member) implements Action {}
    }

    /**
     * A seat that a newcomer may take.
     *
     * @param occupant the member that has the seat; empty if it is vacant
     * @param occupantLost whether the occupant is lost and so removed before the newcomer votes; otherwise it is
     *     removed after that
     */
    public record Claim(String occupant, boolean occupantLost) {}

    /** Time within which an invited process usually asks to be admitted. */
    private static final double INVITE_TIMEOUT_MS = 2000;
    /**
     * Contact within this time counts as recent: the leader sends a message to each member every second and gets a
     * reply.
     */
    private static final double RECENT_CONTACT_MS = 1500;

    private final String group;
    private final String self;
    private final SortedSet<String> founders;
    private final SortedSet<String> processes;
    private final double replaceAfterMs;
    private final Map<String, Double> lastContactMs = new HashMap<>();
    private double leadsSinceMs = Double.NaN;
    private double lastTickMs = Double.NEGATIVE_INFINITY;
    /** The member that an operator has given up; empty for none. */
    private String givenUp = "";

    private String invited = "";
    private double invitedAtMs = Double.NEGATIVE_INFINITY;
    private int candidateTurn;

    /**
     * The rules of one group on one process.
     *
     * @param founders names of the founding members
     * @param processes all that may have a seat, the founders included
     * @param replaceAfterMs of silence; several times the interval between ticks; 0 if no member is ever replaced by a
     *     guest
     */
    public Replacement(
            String group,
            String self,
            Collection<String> founders,
            Collection<String> processes,
            double replaceAfterMs) {
        this.group = group;
        this.self = self;
        this.founders = new TreeSet<>(founders);
        this.processes = new TreeSet<>(processes);
        this.replaceAfterMs = replaceAfterMs;
    }

    /** A message of a member has arrived. */
    public void recordContact(String name, double nowMs) {
        lastContactMs.put(name, nowMs);
    }

    /** An operator gives up this member: it counts as silent until it no longer votes. */
    public void giveUp(String name) {
        givenUp = name;
    }

    /** Limit of seats held by guests: as many as the group can lose. */
    private int maxGuests() {
        return (founders.size() - 1) / 2;
    }

    private boolean isGuest(String name) {
        return !founders.contains(name);
    }

    private boolean silent(String name, double nowMs) {
        double lastContact = Math.max(lastContactMs.getOrDefault(name, leadsSinceMs), leadsSinceMs);
        return replaceAfterMs > 0
                && !name.equals(self)
                && (nowMs - lastContact > replaceAfterMs || name.equals(givenUp));
    }

    // Voting guests, except one whose seat is to be taken.
    private long countVotingGuests(View view, String excludedName) {
        return view.voters().stream()
                .filter(member -> isGuest(member.name()) && !member.name().equals(excludedName))
                .count();
    }

    /** The seat that a newcomer or learner of this name may take now; empty if it must not join. */
    public Optional<Claim> claim(String name, View view, double nowMs) {
        if (!isGuest(name)) {
            if (view.voters().stream().anyMatch(member -> member.name().equals(name))) {
                return Optional.of(new Claim(name, true));
            }
            if (hasVacantSeat(view)) {
                return Optional.of(new Claim("", true));
            }
            return otherLearnerPending(name, view) ? Optional.empty() : claimAsFounder(view, nowMs);
        }
        if (otherLearnerPending(name, view) || !view.hasName(name) && !name.equals(invited)) {
            return Optional.empty();
        }
        return claimAsGuest(view, nowMs);
    }

    private boolean hasVacantSeat(View view) {
        return view.voters().size() < founders.size();
    }

    private Optional<String> silent(View view, double nowMs) {
        return view.voters().stream()
                .map(MemberId::name)
                .sorted()
                .filter(name -> silent(name, nowMs))
                .findFirst();
    }

    // The seat for a founder that has been replaced.
    private Optional<Claim> claimAsFounder(View view, double nowMs) {
        Optional<String> lost = silent(view, nowMs);
        if (lost.isPresent()) {
            return Optional.of(new Claim(lost.get(), true));
        }
        boolean allVotersHeard = view.voters().stream()
                .allMatch(member -> member.name().equals(self)
                        || nowMs - lastContactMs.getOrDefault(member.name(), Double.NEGATIVE_INFINITY)
                                <= RECENT_CONTACT_MS);
        return view.voters().stream()
                .filter(member -> allVotersHeard && isGuest(member.name()))
                .map(member -> new Claim(member.name(), false))
                .findFirst();
    }

    // Only one learner at a time, if it is to take another member's seat.
    private static boolean otherLearnerPending(String name, View view) {
        return !view.hasName(name) && view.learners().findAny().isPresent();
    }

    // The seat for a guest.
    private Optional<Claim> claimAsGuest(View view, double nowMs) {
        String occupant = hasVacantSeat(view) ? "" : silent(view, nowMs).orElse(null);
        return occupant == null || countVotingGuests(view, occupant) >= maxGuests()
                ? Optional.empty()
                : Optional.of(new Claim(occupant, true));
    }

    /** What the leader has to do now; called periodically while this process leads. */
    public Optional<Action> tick(View view, double nowMs) {
        if (replaceAfterMs <= 0) {
            return Optional.empty();
        }
        if (Double.isNaN(leadsSinceMs) || nowMs - lastTickMs > replaceAfterMs / 2) {
            // A process that was suspended received nothing, so the members must not count as silent.
            leadsSinceMs = nowMs;
        }
        lastTickMs = nowMs;
        if (view.voters().stream().noneMatch(member -> member.name().equals(givenUp))) {
            givenUp = "";
        }
        if (view.voters().size() > founders.size()) {
            return view.voters().stream()
                    .filter(member -> isGuest(member.name()))
                    .<Action>map(Action.Remove::new)
                    .findFirst();
        }
        if (view.learners().findAny().isPresent()) {
            return view.learners()
                    .filter(learner -> silent(learner.name(), nowMs)
                            || isGuest(learner.name())
                                    && claim(learner.name(), view, nowMs).isEmpty())
                    .<Action>map(Action.Remove::new)
                    .findFirst();
        }
        if (claimAsGuest(view, nowMs).isEmpty() || nowMs - invitedAtMs < INVITE_TIMEOUT_MS) {
            return Optional.empty();
        }
        List<String> candidates = Placement.ranked(group, processes).stream()
                .filter(name -> isGuest(name) && !view.hasName(name))
                .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        invited = candidates.get(candidateTurn++ % candidates.size());
        invitedAtMs = nowMs;
        return Optional.of(new Action.Invite(invited));
    }

    /** This process no longer leads: pending actions are dropped and left to the new leader. */
    public void leadershipLost() {
        leadsSinceMs = Double.NaN;
        givenUp = "";
        invited = "";
        invitedAtMs = Double.NEGATIVE_INFINITY;
        candidateTurn = 0;
    }
}
