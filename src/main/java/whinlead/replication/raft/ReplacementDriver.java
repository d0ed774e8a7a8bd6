package whinlead.replication.raft;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import whinlead.engine.Timers;

/** Carries out what {@link Replacement} decides for one seat. On the engine's thread. */
final class ReplacementDriver {
    private final SeatSetup setup;
    private final Timers timers;
    private final Seat.Outside outside;
    private final Replacement replacement;
    /** What the program of each process can take in, by its last word. */
    private final Map<String, Integer> versions = new HashMap<>();

    /** Of a seat's group, at its process. */
    ReplacementDriver(SeatSetup setup, Timers timers, Seat.Outside outside) {
        this.setup = setup;
        this.timers = timers;
        this.outside = outside;
        replacement =
                new Replacement(setup.group(), setup.name(), setup.names(), setup.processes(), setup.replaceAfterMs());
    }

    /** Something has come from another process. */
    void received(GroupMessage message) {
        heard(message.from());
        versions.put(message.from(), message.speaks());
    }

    /** Something of a process has come, perhaps by way of another. */
    void heard(String name) {
        replacement.heard(name, timers.now());
    }

    /** Which seat one that asks to be let in may take, as the group stands for this member. */
    Optional<Replacement.Claim> claim(MemberId who, Member member) {
        return replacement.claim(who.name(), member.view(), timers.now());
    }

    /** Does what is due now, if this member leads; to be called now and then. */
    void tick(Member member) {
        if (member.leads()) {
            replacement.tick(member.view(), timers.now()).ifPresent(act -> carryOut(act, member));
        } else {
            replacement.leadsNoMore();
        }
    }

    private void carryOut(Replacement.Act act, Member member) {
        if (act instanceof Replacement.Act.Dismiss dismiss) {
            member.dismiss(dismiss.who());
        } else if (act instanceof Replacement.Act.Invite invite && allHearGuests(member)) {
            outside.note("copies: " + member.id() + " of " + setup.group() + " asks " + invite.name()
                    + " in, for one that is silent");
            outside.send(
                    invite.name(),
                    new GroupMessage(setup.name(), member.id().life(), 0, new Envelope.Invite(member.first())));
        }
    }

    // A member of an earlier version would not hear a guest, and so be lost to the group.
    private boolean allHearGuests(Member member) {
        return member.members().stream()
                .map(MemberId::name)
                .filter(name -> !name.equals(setup.name()))
                .allMatch(name -> versions.getOrDefault(name, GroupMessage.GUESTS) >= GroupMessage.GUESTS);
    }

    /**
     * An operator says that a member does not come back, and its seat is to be another's.
     *
     * @param member of this process; null while it has none
     * @return why not; empty if it is being done
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
        replacement.give(name);
        return "";
    }
}
