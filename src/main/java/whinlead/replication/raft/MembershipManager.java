package whinlead.replication.raft;

import java.util.Collection;
import java.util.Optional;

/**
 * The rule by which the leader admits a new incarnation: one step at a time, each committed before the next. First the
 * newcomer is added as a learner; then a lost occupant of the seat, such as its earlier incarnation, is removed; then
 * the newcomer is promoted to voter. So the group is one voter short only while a learner that has caught up takes over
 * the seat. An occupant that is not lost is removed afterwards ({@link Replacement#tick}). A newcomer without a claim
 * to a seat ({@link Replacement}) is not admitted. Pure.
 */
public final class MembershipManager {
    /** A change of the group's members. */
    public sealed interface Step {
        /** Adds it as a learner, which does not vote yet. */
        record AddLearner(MemberId member) implements Step {}

        /** Removes the occupant of the seat, such as an earlier incarnation. */
        record Remove(MemberId member) implements Step {}

        /** Promotes the learner to a voter. */
        record Promote(MemberId member) implements Step {}
    }

    private MembershipManager() {}

    /**
     * The next step for a newcomer; none once it votes, or if it must not join.
     *
     * @param members of the group as committed, learners included
     * @param voters among them
     * @param claim the seat that it may take; empty if it is not to be admitted
     */
    public static Optional<Step> nextStep(
            MemberId newcomer,
            Collection<MemberId> members,
            Collection<MemberId> voters,
            Optional<Replacement.Claim> claim) {
        boolean laterIncarnationKnown = members.stream()
                .anyMatch(member ->
                        member.name().equals(newcomer.name()) && member.incarnation() > newcomer.incarnation());
        if (claim.isEmpty() || laterIncarnationKnown || voters.contains(newcomer)) {
            return Optional.empty();
        }
        if (!members.contains(newcomer)) {
            return Optional.of(new Step.AddLearner(newcomer));
        }
        Replacement.Claim seat = claim.get();
        Optional<MemberId> predecessor = members.stream()
                .filter(member -> !member.equals(newcomer)
                        && (member.name().equals(newcomer.name())
                                || seat.occupantLost() && member.name().equals(seat.occupant())))
                .findFirst();
        return Optional.of(predecessor.<Step>map(Step.Remove::new).orElseGet(() -> new Step.Promote(newcomer)));
    }
}
