package whinlead.replication.raft;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What a process knows on the way to a life in its group: the number that it drew, what others have answered, and which
 * process under the first name it promised to follow. It decides by that:
 *
 * <ul>
 *   <li>Somebody knows a group: it joins that as a new life, and never as one that may have voted.
 *   <li>Nobody does, <em>all</em> have answered, and its name is the first of all: it founds the group with the
 *       processes that answered, each known by a number it drew when it started.
 *   <li>Another founds: it takes part only in what the process it last answered has founded. So of two processes that
 *       came after each other under the first name, only one can found a group of all.
 * </ul>
 *
 * No I/O and no clock.
 */
final class GroupFormation {
    private static final long NOBODY = 0;

    private final SeatSetup setup;
    private final Random random;
    private final Map<String, Envelope.Standing> answers = new TreeMap<>();
    private long nonce;
    /** The process under the first name that this one last told to have no life. */
    private long promised = NOBODY;

    /** One that has heard nothing yet. */
    GroupFormation(SeatSetup setup, Random random) {
        this.setup = setup;
        this.random = random;
        this.nonce = IncarnationNumbers.draw(random);
    }

    /** Begins anew, as another process would. */
    void reset() {
        promised = NOBODY;
        answers.clear();
        nonce = IncarnationNumbers.draw(random);
    }

    /** What this process drew. */
    long nonce() {
        return nonce;
    }

    /** The life that it has if it is one of the group's first members. */
    MemberId firstLife() {
        return new MemberId(setup.name(), IncarnationNumbers.first(nonce));
    }

    /** The life that it has if it joins a group of which it is told this. */
    MemberId nextLife(Envelope.Standing standing) {
        long count = Stream.concat(lives(standing.first(), setup.name()), lives(standing.members(), setup.name()))
                .mapToLong(life -> IncarnationNumbers.count(life.life()))
                .max()
                .orElse(0);
        return new MemberId(setup.name(), IncarnationNumbers.of(count + 1, nonce));
    }

    private static Stream<MemberId> lives(Collection<MemberId> all, String name) {
        return all.stream().filter(life -> life.name().equals(name));
    }

    /** Another process has answered what it knows. */
    void answered(String name, Envelope.Standing standing) {
        answers.put(name, standing);
    }

    /** Forgets what others have answered. */
    void clearAnswers() {
        answers.clear();
    }

    /** Those that have answered. */
    Set<String> answerers() {
        return Collections.unmodifiableSet(answers.keySet());
    }

    /** Whether most of the group's processes have answered, this one counted. */
    boolean majorityAnswered() {
        return 2 * answers.size() + 1 >= setup.names().size();
    }

    /** Whether this process is to found the group: it has the first name, and all others have answered. */
    boolean mayFound() {
        return setup.name().equals(setup.coordinator())
                && answers.size() + 1 >= setup.names().size();
    }

    /** The members with which this process founds the group. */
    Set<MemberId> founders() {
        Set<MemberId> founders = new HashSet<>(Set.of(firstLife()));
        answers.forEach(
                (name, standing) -> founders.add(new MemberId(name, IncarnationNumbers.first(standing.nonce()))));
        return founders;
    }

    /** This process, which has no life, has answered the question of another: it follows no earlier one. */
    void promise(String name, long itsNonce) {
        if (name.equals(setup.coordinator())) {
            promised = itsNonce;
        }
    }

    /** Whether it was the process with this name and nonce that this one promised to follow. */
    boolean promisedTo(String name, long itsNonce) {
        return name.equals(setup.coordinator()) && itsNonce == promised;
    }

    /** Whether the process that this one promised to follow is among these. */
    boolean promisedAmong(Set<MemberId> first) {
        return first.contains(new MemberId(setup.coordinator(), IncarnationNumbers.first(promised)));
    }
}
