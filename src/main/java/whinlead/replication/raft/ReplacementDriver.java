package whinlead.replication.raft;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import whinlead.engine.Timers;

/** Carries out the decisions of {@link Replacement} for one seat. On the engine's thread. */
final class ReplacementDriver {
    private final SeatSetup setup;
    private final Timers timers;
    private final Seat.Environment environment;
    private final Replacement replacement;
    /** The protocol version of each process, from its last message. */
    private final Map<String, Integer> protocolVersions = new HashMap<>();

    /** Drives the replacement in a seat's group. */
    ReplacementDriver(SeatSetup setup, Timers timers, Seat.Environment environment) {
        this.setup = setup;
        this.timers = timers;
        this.environment = environment;
        replacement = new Replacement(
                setup.group(), setup.name(), setup.founderNames(), setup.processes(), setup.replaceAfterMs());
    }

    /** A message of another process has arrived. */
    void receive(GroupMessage message) {
        recordContact(message.sender());
        protocolVersions.put(message.sender(), message.protocolVersion());
    }

    /** A message of a process has arrived, possibly forwarded by another. */
    void recordContact(String name) {
        replacement.recordContact(name, timers.nowMs());
    }

    /** The seat that a newcomer may take, according to this member's view of the group. */
    Optional<Replacement.Claim> claim(MemberId newcomer, Member member) {
        return replacement.claim(newcomer.name(), member.view(), timers.nowMs());
    }

    /** Carries out what is due if this member leads; called periodically. */
    void tick(Member member) {
        if (member.leads()) {
            replacement.tick(member.view(), timers.nowMs()).ifPresent(action -> carryOut(action, member));
        } else {
            replacement.leadershipLost();
        }
    }

    private void carryOut(Replacement.Action action, Member member) {
        if (action instanceof Replacement.Action.Remove remove) {
            member.remove(remove.member());
        } else if (action instanceof Replacement.Action.Invite invite && allSupportGuests(member)) {
            environment.report("copies: " + member.id() + " of " + setup.group() + " invites " + invite.name()
                    + " as a guest in place of a silent member");
            environment.send(
                    invite.name(),
                    new GroupMessage(
                            setup.name(), member.id().incarnation(), 0, new Envelope.Invite(member.founders())));
        }
    }

    // A member of an earlier version would ignore a guest's messages and so be lost to the group.
    private boolean allSupportGuests(Member member) {
        return member.members().stream()
                .map(MemberId::name)
                .filter(name -> !name.equals(setup.name()))
                .allMatch(name -> protocolVersions.getOrDefault(name, GroupMessage.GUESTS_VERSION)
                        >= GroupMessage.GUESTS_VERSION);
    }

    /**
     * An operator orders the replacement of a member that does not come back.
     *
     * @param member of this process; null while it has none
     * @return why this is not possible; empty if the replacement has started
     */
    String replace(String name, Member member) {
        if (setup.replaceAfterMs() <= 0) {
            return "replace_after_ms is not set";
        }
        if (member == null || !member.leads()) {
            boolean unknown = member == null || member.leader().isEmpty();
            return "it does not lead; " + (unknown ? "nobody does" : member.leader() + " does");
        }
        boolean votes =
                member.view().voters().stream().anyMatch(voter -> voter.name().equals(name));
        if (name.equals(setup.name()) || !votes) {
            return name + " is no other member that votes";
        }
        replacement.giveUp(name);
        return "";
    }
}
