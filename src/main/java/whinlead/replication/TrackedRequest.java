package whinlead.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * One request in a {@link ReplicatedState}: its caller, the attempts granted, whether each is known not to have run,
 * and how the request ended. On its state's thread.
 */
final class TrackedRequest {
    final String id;
    final String caller;
    final Command.Guard guard;
    List<Command.Attempt> attempts = new ArrayList<>(1);
    List<Boolean> attemptNeverRan = new ArrayList<>(1);
    Command.Ending ending;
    /** The snapshot entry, cached once the request has ended: most have, which keeps snapshots fast. */
    ReplicatedState.Entry endedEntry;
    /** The deadline while the request is open; then the time when it is forgotten. */
    long dueMs;

    TrackedRequest(String id, String caller, Command.Guard guard, long dueMs) {
        this.id = id;
        this.caller = caller;
        this.guard = guard;
        this.dueMs = dueMs;
    }

    TrackedRequest(ReplicatedState.Entry entry) {
        this(entry.id(), entry.caller(), entry.guard(), entry.dueMs());
        ending = entry.ending();
        endedEntry = ending == null ? null : entry;
        attempts = ending == null ? new ArrayList<>(entry.attempts()) : entry.attempts();
        attemptNeverRan = ending == null ? new ArrayList<>(entry.neverRan()) : entry.neverRan();
    }

    ReplicatedState.Entry toEntry() {
        if (ending == null) {
            return new ReplicatedState.Entry(id, caller, guard, attempts, attemptNeverRan, null, dueMs);
        }
        if (endedEntry == null) {
            endedEntry = new ReplicatedState.Entry(id, caller, guard, attempts, attemptNeverRan, ending, dueMs);
        }
        return endedEntry;
    }

    void end(Command.Ending newEnding) {
        ending = newEnding;
        attempts = List.copyOf(attempts);
        attemptNeverRan = List.copyOf(attemptNeverRan);
    }

    void reopen(long newDueMs) {
        ending = null;
        endedEntry = null;
        attempts = new ArrayList<>(attempts);
        attemptNeverRan = new ArrayList<>(attemptNeverRan);
        dueMs = newDueMs;
    }

    boolean neverRan() {
        return !attemptNeverRan.contains(false);
    }

    int add(Command.Attempt attempt, boolean neverRan) {
        attempts.add(attempt);
        attemptNeverRan.add(neverRan);
        return attempts.size() - 1;
    }

    // Has no effect once the request has ended.
    void neverRan(String owner, List<Long> numbers) {
        for (int i = 0; ending == null && i < attempts.size(); i++) {
            Command.Attempt attempt = attempts.get(i);
            if (attempt.owner().equals(owner) && numbers.contains(attempt.number())) {
                attemptNeverRan.set(i, true);
            }
        }
    }
}
