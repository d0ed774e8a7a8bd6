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
 * The state of a process that has no incarnation in its group yet: its random nonce, the replies of other processes,
 * and the coordinator process that it promised to follow. The coordinator is the process with the first of all
 * founders' names. The rules are:
 *
 * <ul>
 *   <li>If another process knows a group, this one joins it as a new incarnation, and never as one that may have voted.
 *   <li>If none does, <em>all</em> have replied, and this process is the coordinator, it founds the group with the
 *       processes that replied, each identified by its nonce.
 *   <li>If the coordinator founds the group, this process takes part only if it is the coordinator process that this
 *       one last replied to. So of two successive coordinator processes, only one can found a group of all.
 * </ul>
 *
 * <p>No I/O and no clock.
 */
final class GroupFormation {
    private static final long NO_PROCESS = 0;

    private final SeatSetup setup;
    private final Random random;
    private final Map<String, Envelope.GroupInfo> replies = new TreeMap<>();
    private long nonce;
    /** The nonce of the coordinator process that this one last replied to while it had no incarnation. */
    private long promisedNonce = NO_PROCESS;

    /** Starts without replies. */
    GroupFormation(SeatSetup setup, Random random) {
        this.setup = setup;
        this.random = random;
        this.nonce = IncarnationNumbers.draw(random);
    }

    /** Resets everything, as a new process would start. */
    void reset() {
        promisedNonce = NO_PROCESS;
        replies.clear();
        nonce = IncarnationNumbers.draw(random);
    }

    /** This process's random nonce. */
    long nonce() {
        return nonce;
    }

    /** The incarnation of this process if it is one of the group's founding members. */
    MemberId firstIncarnation() {
        return new MemberId(setup.name(), IncarnationNumbers.first(nonce));
    }

    /** The incarnation of this process if it joins the group that this reply describes. */
    MemberId nextIncarnation(Envelope.GroupInfo info) {
        long count = Stream.concat(
                        incarnationsOf(info.founders(), setup.name()), incarnationsOf(info.members(), setup.name()))
                .mapToLong(incarnation -> IncarnationNumbers.count(incarnation.incarnation()))
                .max()
                .orElse(0);
        return new MemberId(setup.name(), IncarnationNumbers.number(count + 1, nonce));
    }

    private static Stream<MemberId> incarnationsOf(Collection<MemberId> members, String name) {
        return members.stream().filter(incarnation -> incarnation.name().equals(name));
    }

    /** Records the reply of another process. */
    void receiveInfo(String name, Envelope.GroupInfo info) {
        replies.put(name, info);
    }

    /** Forgets all replies. */
    void clearReplies() {
        replies.clear();
    }

    /** The processes that have replied. */
    Set<String> repliers() {
        return Collections.unmodifiableSet(replies.keySet());
    }

    /** Whether a majority of the founding processes has replied, this one counted. */
    boolean majorityReplied() {
        return 2 * replies.size() + 1 >= setup.founderNames().size();
    }

    /** Whether this process is to found the group: it is the coordinator, and all others have replied. */
    boolean mayFound() {
        return setup.name().equals(setup.coordinator())
                && replies.size() + 1 >= setup.founderNames().size();
    }

    /** The founding members if this process founds the group. */
    Set<MemberId> founders() {
        Set<MemberId> founders = new HashSet<>(Set.of(firstIncarnation()));
        replies.forEach((name, info) -> founders.add(new MemberId(name, IncarnationNumbers.first(info.nonce()))));
        return founders;
    }

    /**
     * Records that this process, which has no incarnation, has replied to another: if that is the coordinator, this one
     * no longer follows an earlier coordinator process.
     */
    void promise(String name, long processNonce) {
        if (name.equals(setup.coordinator())) {
            promisedNonce = processNonce;
        }
    }

    /** Whether this process promised to follow the process with this name and nonce. */
    boolean promisedTo(String name, long processNonce) {
        return name.equals(setup.coordinator()) && processNonce == promisedNonce;
    }

    /** Whether the coordinator process that this one promised to follow is among these members. */
    boolean promisedAmong(Set<MemberId> founders) {
        return founders.contains(new MemberId(setup.coordinator(), IncarnationNumbers.first(promisedNonce)));
    }
}
