package whinlead.replication.raft;

import io.microraft.MembershipChangeMode;
import java.util.Optional;
import java.util.function.Function;
import whinlead.engine.Timers;

/** Changes the members of a group where this node leads, one change at a time. On the engine's thread. */
final class MembershipChanges {
    private static final double NONE = Double.NEGATIVE_INFINITY;

    private final ConsensusNode node;
    private final Timers timers;
    private final double timeoutMs;
    private final Function<MemberId, Optional<Replacement.Claim>> claims;
    /** Until when a change is waited for; the library may never tell what became of one. */
    private double pendingUntil = NONE;

    /**
     * Of a node's group.
     *
     * @param timeoutMs after which a change is waited for no more
     * @param claims which seat one that asks to be let in may take
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

    /** Waits for no change any more. */
    void reset() {
        pendingUntil = NONE;
    }

    /** Takes one step of {@link MembershipManager} to let a newcomer in; the next follows when it asks again. */
    void admit(MemberId newcomer) {
        if (pending()) {
            return;
        }
        Optional<Replacement.Claim> claim = claims.apply(newcomer);
        MembershipManager.next(newcomer, node.members(), node.voters(), claim).ifPresent(this::apply);
    }

    /** Has a learner be a member no more. */
    void dismiss(MemberId learner) {
        if (!pending()) {
            change(learner, MembershipChangeMode.REMOVE_MEMBER);
        }
    }

    private boolean pending() {
        return timers.now() <= pendingUntil;
    }

    private void apply(MembershipManager.Step step) {
        if (step instanceof MembershipManager.Step.Learn learn) {
            change(learn.who(), MembershipChangeMode.ADD_LEARNER);
        } else if (step instanceof MembershipManager.Step.Remove remove) {
            change(remove.who(), MembershipChangeMode.REMOVE_MEMBER);
        } else if (step instanceof MembershipManager.Step.Promote promote) {
            change(promote.who(), MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
        }
    }

    private void change(MemberId who, MembershipChangeMode mode) {
        double until = timers.now() + timeoutMs;
        pendingUntil = until;
        node.changeMembership(who, mode, node.membersIndex(), () -> {
            if (pendingUntil == until) {
                pendingUntil = NONE;
            }
        });
    }
}
