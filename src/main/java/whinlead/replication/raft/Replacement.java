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
 * Who takes the seat of a member that is lost, as the one that leads decides it:
 *
 * <ul>
 *   <li>A new life of a member takes its earlier one's seat.
 *   <li>A member that nothing was heard of for long is replaced by a <em>guest</em>, a process that is no first member
 *       of the group. One at a time, the next is asked if one does not come.
 *   <li>At most as many seats as the group bears to lose are held by guests. So of the first members at least one is
 *       always there that knows the group, however many are lost at once of those that may be: those that came back
 *       with nothing can't found it a second time, for that takes all of them.
 *   <li>Who is lost goes before another has its seat: until then the two of three that are left have to agree on all,
 *       and a guest that dies meanwhile must not be one that they need.
 *   <li>A first member that comes back takes its seat from a guest again, while all that vote are heard. Then both vote
 *       for a moment, and the guest goes after that: a group with one seat less could be stopped for good by a loss
 *       that it is to bear.
 *   <li>A learner that falls silent, or a guest whose seat is not free any more, goes.
 * </ul>
 *
 * No clock and no I/O: time comes with each call.
 */
public final class Replacement {
    /** How the group stands, as agreed. */
    public record View(Set<MemberId> members, Set<MemberId> voters) {
        private Stream<MemberId> learners() {
            return members.stream().filter(m -> !voters.contains(m)).sorted();
        }

        private boolean has(String name) {
            return members.stream().anyMatch(m -> m.name().equals(name));
        }
    }

    /** What the one that leads is to do. */
    public sealed interface Act {
        /** Ask this process to take a seat. */
        record Invite(String name) implements Act {}

        /** This one is a member no more. */
        record Dismiss(MemberId who) implements Act {}
    }

    /**
     * A seat that a newcomer may take.
     *
     * @param from whose it is; empty if it is nobody's
     * @param lost whether that one is lost, and so goes before the newcomer votes; else after it does
     */
    public record Claim(String from, boolean lost) {}

    /** In which one that is asked has asked to be let in, most of the time. */
    private static final double ANSWER_MS = 2000;
    /** The one that leads says something to each member every second, and is answered. */
    private static final double FRESH_MS = 1500;

    private final String group;
    private final String me;
    private final SortedSet<String> first;
    private final SortedSet<String> processes;
    private final double after;
    private final Map<String, Double> heard = new HashMap<>();
    private double leadsSince = Double.NaN;
    private double lastTick = Double.NEGATIVE_INFINITY;
    /** Whom an operator has given up; empty for nobody. */
    private String given = "";

    private String invited = "";
    private double invitedAt = Double.NEGATIVE_INFINITY;
    private int turn;

    /**
     * The rule of one group at one process.
     *
     * @param first the names with which the group was founded
     * @param processes all that may be asked, these among them
     * @param after milliseconds of silence, several times as long as between two ticks; 0 if nobody is ever replaced by
     *     another
     */
    public Replacement(String group, String me, Collection<String> first, Collection<String> processes, double after) {
        this.group = group;
        this.me = me;
        this.first = new TreeSet<>(first);
        this.processes = new TreeSet<>(processes);
        this.after = after;
    }

    /** Something of a member has come. */
    public void heard(String name, double now) {
        heard.put(name, now);
    }

    /** An operator says that this member does not come back: it counts as silent until it votes no more. */
    public void give(String name) {
        given = name;
    }

    /** So many seats may be held by guests: as many as the group bears to lose. */
    private int guestsMost() {
        return (first.size() - 1) / 2;
    }

    private boolean guest(String name) {
        return !first.contains(name);
    }

    private boolean silent(String name, double now) {
        double last = Math.max(heard.getOrDefault(name, leadsSince), leadsSince);
        return after > 0 && !name.equals(me) && (now - last > after || name.equals(given));
    }

    // Guests that vote, but for one whose seat is to be taken.
    private long guests(View view, String but) {
        return view.voters().stream()
                .filter(m -> guest(m.name()) && !m.name().equals(but))
                .count();
    }

    /** Which seat a newcomer, or a learner, of this name may take now; none if it may not come in. */
    public Optional<Claim> claim(String name, View view, double now) {
        if (!guest(name)) {
            if (view.voters().stream().anyMatch(m -> m.name().equals(name))) {
                return Optional.of(new Claim(name, true));
            }
            if (vacant(view)) {
                return Optional.of(new Claim("", true));
            }
            return busy(name, view) ? Optional.empty() : home(view, now);
        }
        if (busy(name, view) || !view.has(name) && !name.equals(invited)) {
            return Optional.empty();
        }
        return seat(view, now);
    }

    private boolean vacant(View view) {
        return view.voters().size() < first.size();
    }

    private Optional<String> silent(View view, double now) {
        return view.voters().stream()
                .map(MemberId::name)
                .sorted()
                .filter(n -> silent(n, now))
                .findFirst();
    }

    // The seat that a first member takes which has been replaced.
    private Optional<Claim> home(View view, double now) {
        Optional<String> lost = silent(view, now);
        if (lost.isPresent()) {
            return Optional.of(new Claim(lost.get(), true));
        }
        boolean all = view.voters().stream()
                .allMatch(m -> m.name().equals(me)
                        || now - heard.getOrDefault(m.name(), Double.NEGATIVE_INFINITY) <= FRESH_MS);
        return view.voters().stream()
                .filter(m -> all && guest(m.name()))
                .map(m -> new Claim(m.name(), false))
                .findFirst();
    }

    // One learner at a time where it is to take another's seat.
    private static boolean busy(String name, View view) {
        return !view.has(name) && view.learners().findAny().isPresent();
    }

    // The seat that a guest may take.
    private Optional<Claim> seat(View view, double now) {
        String from = vacant(view) ? "" : silent(view, now).orElse(null);
        return from == null || guests(view, from) >= guestsMost()
                ? Optional.empty()
                : Optional.of(new Claim(from, true));
    }

    /** What the one that leads is to do now; to be asked now and then while it leads. */
    public Optional<Act> tick(View view, double now) {
        if (after <= 0) {
            return Optional.empty();
        }
        if (Double.isNaN(leadsSince) || now - lastTick > after / 2) {
            // One that stood still heard nobody, and is not to hold it against them.
            leadsSince = now;
        }
        lastTick = now;
        if (view.voters().stream().noneMatch(m -> m.name().equals(given))) {
            given = "";
        }
        if (view.voters().size() > first.size()) {
            return view.voters().stream()
                    .filter(m -> guest(m.name()))
                    .<Act>map(Act.Dismiss::new)
                    .findFirst();
        }
        if (view.learners().findAny().isPresent()) {
            return view.learners()
                    .filter(who -> silent(who.name(), now)
                            || guest(who.name()) && claim(who.name(), view, now).isEmpty())
                    .<Act>map(Act.Dismiss::new)
                    .findFirst();
        }
        if (seat(view, now).isEmpty() || now - invitedAt < ANSWER_MS) {
            return Optional.empty();
        }
        List<String> candidates = Placement.ranked(group, processes).stream()
                .filter(n -> guest(n) && !view.has(n))
                .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        invited = candidates.get(turn++ % candidates.size());
        invitedAt = now;
        return Optional.of(new Act.Invite(invited));
    }

    /** This process does not lead any more: what it was about to do is another's now. */
    public void leadsNoMore() {
        leadsSince = Double.NaN;
        given = "";
        invited = "";
        invitedAt = Double.NEGATIVE_INFINITY;
        turn = 0;
    }
}
