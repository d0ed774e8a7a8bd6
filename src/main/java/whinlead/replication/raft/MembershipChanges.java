package whinlead.replication.raft;

import io.microraft.MembershipChangeMode;
import java.util.Optional;
import java.util.function.Function;
import whinlead.engine.Timers;

/** Changes the members of a group on its leader, one change at a time. On the engine's thread. */
final class MembershipChanges {
    private static final double NONE = Double.NEGATIVE_INFINITY;

    private final ConsensusNode node;
    private final Timers timers;
    private final double timeoutMs;
    private final Function<MemberId, Optional<Replacement.Claim>> claims;
    /** End of the wait for a pending change; the library may never report its result. */
    private double pendingUntilMs = NONE;

    /**
     * Changes the members of a node's group.
     *
     * @param timeoutMs after which a change is no longer waited for
     * @param claims the seat that a newcomer may take
     */
    MembershipChanges(
            ConsensusNode node,
            Timers timers,
            double timeoutMs,
            Function<MemberId, Optional<Replacement.Claim>> claims) {
        this.node = node;
        this.timers = timers;
        this.timeoutMs = timeoutMs;
        this.claims = claims;
    }

    /** Stops waiting for a pending change. */
    void reset() {
        pendingUntilMs = NONE;
    }

    /** Takes one step of {@link MembershipManager} to admit a newcomer; the next step follows when it asks again. */
    void admit(MemberId newcomer) {
        if (isPending()) {
            return;
        }
        Optional<Replacement.Claim> claim = claims.apply(newcomer);
        MembershipManager.nextStep(newcomer, node.members(), node.voters(), claim)
                .ifPresent(this::apply);
    }

    /** Removes a learner from the group. */
    void remove(MemberId learner) {
        if (!isPending()) {
            change(learner, MembershipChangeMode.REMOVE_MEMBER);
        }
    }

    private boolean isPending() {
        return timers.nowMs() <= pendingUntilMs;
    }

    private void apply(MembershipManager.Step step) {
        if (step instanceof MembershipManager.Step.AddLearner learn) {
            change(learn.member(), MembershipChangeMode.ADD_LEARNER);
        } else if (step instanceof MembershipManager.Step.Remove remove) {
            change(remove.member(), MembershipChangeMode.REMOVE_MEMBER);
        } else if (step instanceof MembershipManager.Step.Promote promote) {
            change(promote.member(), MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
        }
    }

    private void change(MemberId member, MembershipChangeMode mode) {
        double untilMs = timers.nowMs() + timeoutMs;
        pendingUntilMs = untilMs;
        node.changeMembership(member, mode, node.membersIndex(), () -> {
            if (pendingUntilMs == untilMs) {
                pendingUntilMs = NONE;
            }
        });
    }
}
