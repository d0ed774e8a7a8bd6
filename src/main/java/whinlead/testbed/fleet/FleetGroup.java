package whinlead.testbed.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import whinlead.replication.wire.Wire;

/** One replication group of a fleet: the processes that were its first members, and what its present ones say of it. */
final class FleetGroup {
    private final FleetContext context;
    private final int number;
    private final List<FleetNode> firstMembers = new ArrayList<>();
    /** All processes that may become members, and that clients may ask. */
    private final List<FleetNode> candidates;

    /**
     * A group with new processes.
     *
     * @param site all processes of the site, to which this group's are added
     * @throws IOException if their files can't be written
     */
    FleetGroup(FleetContext context, int number, List<FleetNode> site) throws IOException {
        this.context = context;
        this.number = number;
        for (int i = 0; i < context.plan().members(); i++) {
            firstMembers.add(new FleetNode(context, number, i));
        }
        site.addAll(firstMembers);
        candidates = context.plan().site() ? site : firstMembers;
    }

    /** Its name in configurations and status requests. */
    String name() {
        return "g" + number;
    }

    int number() {
        return number;
    }

    List<FleetNode> firstMembers() {
        return firstMembers;
    }

    /** A process that a proxy asks. */
    FleetNode randomCandidate() {
        return candidates.get(context.random().nextInt(candidates.size()));
    }

    /** Whether all members answer, vote, and agree on the membership, and one of them leads. */
    boolean complete() {
        if (!context.plan().copies()) {
            return firstMembers.stream().allMatch(FleetNode::ready);
        }
        List<Wire.StatusReply> replies = new ArrayList<>();
        for (FleetNode node : members()) {
            Optional<Wire.StatusReply> reply = node.liveStatus(name());
            if (reply.isEmpty() || !reply.get().getVotes()) {
                return false;
            }
            replies.add(reply.get());
        }
        return agree(replies);
    }

    private boolean agree(List<Wire.StatusReply> replies) {
        List<Wire.Id> ids = replies.stream().map(Wire.StatusReply::getId).toList();
        return ids.size() == context.plan().members()
                && replies.stream()
                        .allMatch(reply -> reply.getMembersCount() == ids.size()
                                && reply.getMembersList().containsAll(ids))
                && replies.stream().anyMatch(Wire.StatusReply::getLeads);
    }

    /** Its present members by the word of the leader; its first members while none leads. */
    List<FleetNode> members() {
        for (FleetNode node : candidates) {
            Optional<Wire.StatusReply> reply = node.liveStatus(name()).filter(Wire.StatusReply::getLeads);
            if (reply.isPresent()) {
                return reply.get().getMembersList().stream()
                        .map(id -> candidate(id.getName()))
                        .toList();
            }
        }
        return firstMembers;
    }

    private FleetNode candidate(String name) {
        return candidates.stream()
                .filter(node -> node.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** How many of its present members were not among the first. */
    int replacedMembers() {
        return (int)
                members().stream().filter(node -> !firstMembers.contains(node)).count();
    }

    /** What its first members say, for a message on a group that is not complete. */
    String describe() {
        return "group " + number + " "
                + firstMembers.stream()
                        .map(node -> node.process().alive() + " "
                                + node.status(name()).orElse(null))
                        .toList();
    }
}
