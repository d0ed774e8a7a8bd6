package whinlead.replication.raft;

import java.util.Collection;
import java.util.Optional;

/**
 * The rule by which the one that leads takes a new life in: one step at a time, each agreed on before the next. First
 * the new life learns what all know; then whoever is lost and had the seat goes, its earlier life say; then the new one
 * votes. So the group is a voter short only while a learner that has caught up takes the place. One that is not lost
 * goes afterwards ({@link Replacement#tick}). One that may take no seat ({@link Replacement}) is not let in. Pure.
 */
public final class MembershipManager {
    /** A change of the group's members. */
    public sealed interface Step {
        /** Has it learn; it does not vote yet. */
        record Learn(MemberId who) implements Step {}

        /** An earlier life of it is a member no more. */
        record Remove(MemberId who) implements Step {}

        /** It votes from now on. */
        record Promote(MemberId who) implements Step {}
    }

    private MembershipManager() {}

    /**
     * The next step for one that asks to be let in; none once it votes, or if it may not.
     *
     * @param members of the group as agreed, learners included
     * @param voters among them
     * @param claim the seat that it may take; none if it is not to be let in
     */
    public static Optional<Step> next(
            MemberId who,
            Collection<MemberId> members,
            Collection<MemberId> voters,
            Optional<Replacement.Claim> claim) {
        boolean later = members.stream().anyMatch(m -> m.name().equals(who.name()) && m.life() > who.life());
        if (claim.isEmpty() || later || voters.contains(who)) {
            return Optional.empty();
        }
        if (!members.contains(who)) {
            return Optional.of(new Step.Learn(who));
        }
        Replacement.Claim seat = claim.get();
        Optional<MemberId> before = members.stream()
                .filter(m -> !m.equals(who)
                        && (m.name().equals(who.name())
                                || seat.lost() && m.name().equals(seat.from())))
                .findFirst();
        return Optional.of(before.<Step>map(Step.Remove::new).orElseGet(() -> new Step.Promote(who)));
    }
}
