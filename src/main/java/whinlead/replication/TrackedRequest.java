package whinlead.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * One request as {@link ReplicatedState} keeps it: who asks, which attempts were let out, what is known of them, and
 * how it ended. For its state's thread.
 */
final class TrackedRequest {
    final String id;
    final String caller;
    final Command.Guard guard;
    List<Command.Attempt> attempts = new ArrayList<>(1);
    List<Boolean> known = new ArrayList<>(1);
    Command.Ending ending;
    /** As snapshots carry it, made once it has ended: most have, and a snapshot of them all is quick. */
    ReplicatedState.Entry ended;
    /** While open, when its time is up; then when it is forgotten. */
    long due;

    TrackedRequest(String id, String caller, Command.Guard guard, long due) {
        this.id = id;
        this.caller = caller;
        this.guard = guard;
        this.due = due;
    }

    TrackedRequest(ReplicatedState.Entry e) {
        this(e.id(), e.caller(), e.guard(), e.due());
        ending = e.ending();
        ended = ending == null ? null : e;
        attempts = ending == null ? new ArrayList<>(e.attempts()) : e.attempts();
        known = ending == null ? new ArrayList<>(e.neverRan()) : e.neverRan();
    }

    ReplicatedState.Entry entry() {
        if (ending == null) {
            return new ReplicatedState.Entry(id, caller, guard, attempts, known, null, due);
        }
        if (ended == null) {
            ended = new ReplicatedState.Entry(id, caller, guard, attempts, known, ending, due);
        }
        return ended;
    }

    void end(Command.Ending how) {
        ending = how;
        attempts = List.copyOf(attempts);
        known = List.copyOf(known);
    }

    void reopen(long until) {
        ending = null;
        ended = null;
        attempts = new ArrayList<>(attempts);
        known = new ArrayList<>(known);
        due = until;
    }

    boolean neverRan() {
        return !known.contains(false);
    }

    int add(Command.Attempt attempt, boolean neverRan) {
        attempts.add(attempt);
        known.add(neverRan);
        return attempts.size() - 1;
    }

    // Of one that has ended nothing more is to be known.
    void neverRan(String owner, List<Long> numbers) {
        for (int i = 0; ending == null && i < attempts.size(); i++) {
            Command.Attempt a = attempts.get(i);
            if (a.owner().equals(owner) && numbers.contains(a.number())) {
                known.set(i, true);
            }
        }
    }
}
