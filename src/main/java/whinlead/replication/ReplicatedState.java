package whinlead.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The replicated state machine of a group. It tracks the requests that must not run twice: which attempts were granted,
 * which of them can have run, and how each request ended. The same commands in the same order with the same timestamps
 * give the same state on every member. No I/O, no clock, no threads.
 *
 * <p>Time is set by the leader's timestamp on each command and never goes back. It may pass more slowly than real time
 * but never faster, so nothing is forgotten too early. Upper bounds on time (a key's window, a drain's grace period)
 * are enforced by the deciding member with its own clock.
 *
 * <p>Bounded: a request beyond the limits is rejected, and nothing is evicted early to make room.
 */
public final class ReplicatedState {
    /**
     * Limits of the state.
     *
     * @param requests open or remembered, at least 1
     * @param perCaller open requests of one caller, at least 1
     * @param drains endpoints known to drain, at least 1
     * @param rememberMs how long the ending of a request is remembered
     */
    public record Limits(int requests, int perCaller, int drains, long rememberMs) {
        /** Checks the ranges. */
        public Limits {
            if (requests < 1 || perCaller < 1 || drains < 1 || rememberMs < 0) {
                throw new IllegalArgumentException("limits out of range");
            }
        }
    }

    /** Limit of attempts at one request, withdrawn ones included; more are rejected. */
    public static final int MAX_ATTEMPTS = 16;
    /**
     * At most one in this many of the requests may be refused ones: most refusals occur during an overload, which must
     * not fill the state and so block the remaining requests.
     */
    private static final int REFUSED_SHARE_DIVISOR = 4;

    /**
     * A request as stored in snapshots.
     *
     * @param neverRan for each attempt, whether it is known not to have run
     * @param ending null while the request is open
     * @param dueMs the deadline while the request is open; then the time when it is forgotten
     */
    public record Entry(
            String id,
            String caller,
            Command.Guard guard,
            List<Command.Attempt> attempts,
            List<Boolean> neverRan,
            Command.Ending ending,
            long dueMs) {
        /** Keeps copies. */
        public Entry {
            attempts = List.copyOf(attempts);
            neverRan = List.copyOf(neverRan);
        }
    }

    /**
     * The whole state, requests in order of arrival, with the number of commands applied: two states of one group with
     * the same number are equal.
     */
    public record Snapshot(long commandCount, long time, List<Entry> entries, Map<String, Long> drains) {}

    private record Deadline(long timeMs, TrackedRequest request) {}

    private final Limits limits;
    private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
    private final Map<String, Integer> openByCaller = new HashMap<>();
    private final Map<String, Long> drains = new LinkedHashMap<>();
    // Deadlines that were moved since are skipped.
    private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>(Comparator.comparingLong(Deadline::timeMs));
    private int refusedCount;
    private long commandCount;
    private long timeMs;

    /** An empty state, at time 0. */
    public ReplicatedState(Limits limits) {
        this.limits = limits;
    }

    /** The group's time: the highest timestamp of all commands applied. */
    public long timeMs() {
        return timeMs;
    }

    /** Number of requests, open or remembered. */
    public int size() {
        return requests.size();
    }

    /** The time of the next expiry; {@link Long#MAX_VALUE} if there is none. */
    public long nextDeadline() {
        dropOutdatedDeadlines();
        Deadline earliest = deadlines.peek();
        return earliest == null ? Long.MAX_VALUE : earliest.timeMs();
    }

    /**
     * Applies the next command.
     *
     * @param stampMs the leader's timestamp; one before the current time counts as the current time
     */
    public Reply apply(long stampMs, Command command) {
        commandCount++;
        timeMs = Math.max(timeMs, stampMs);
        expire();
        if (command instanceof Command.Allow c) {
            return allow(c);
        } else if (command instanceof Command.Withdraw c) {
            withdraw(c);
        } else if (command instanceof Command.Report c) {
            return report(c);
        } else if (command instanceof Command.End c) {
            return end(c);
        } else if (command instanceof Command.Refuse c) {
            return refuse(c);
        } else if (command instanceof Command.Drain c) {
            drain(c);
        }
        return new Reply.Noted();
    }

    /** The current state of a request; changes nothing. */
    public Reply lookUp(String id) {
        TrackedRequest request = requests.get(id);
        return request == null ? new Reply.Free() : currentReply(request);
    }

    private Reply allow(Command.Allow command) {
        TrackedRequest request = requests.get(command.id());
        if (request != null && request.ending != null) {
            if (!command.retryAfterRefusal()
                    || request.ending != Command.Ending.REFUSED
                    || timeMs > command.validUntilMs()) {
                return currentReply(request);
            }
            reopen(request, command.remainingMs());
        }
        if (request != null) {
            int index = request.attempts.indexOf(command.attempt());
            if (index >= 0) {
                // The command was duplicated in transit, or the attempt was withdrawn before it arrived.
                return !request.attemptNeverRan.get(index)
                        ? new Reply.Granted(index)
                        : request.neverRan() ? new Reply.Late() : currentReply(request);
            }
            request.neverRan(command.attempt().owner(), command.neverRan());
            boolean ownedByRequester = request.guard == Command.Guard.KEYED
                    && request.attempts.stream()
                            .allMatch(a -> a.owner().equals(command.attempt().owner()));
            if (!request.neverRan() && !ownedByRequester) {
                return currentReply(request);
            }
        }
        if (timeMs > command.validUntilMs()) {
            return new Reply.Late();
        }
        if (drains.containsKey(command.endpoint())) {
            return new Reply.Drains();
        }
        if (request == null) {
            if (!hasCapacity(command.caller())) {
                return new Reply.Full();
            }
            request = open(command.id(), command.caller(), command.guard(), command.remainingMs());
        } else if (request.attempts.size() >= MAX_ATTEMPTS) {
            return new Reply.Full();
        }
        return new Reply.Granted(request.add(command.attempt(), false));
    }

    private boolean hasCapacity(String caller) {
        return requests.size() < limits.requests() && openByCaller.getOrDefault(caller, 0) < limits.perCaller();
    }

    private TrackedRequest open(String id, String caller, Command.Guard guard, long remainingMs) {
        TrackedRequest request = new TrackedRequest(id, caller, guard, timeMs + remainingMs);
        requests.put(id, request);
        openByCaller.merge(caller, 1, Integer::sum);
        deadlines.add(new Deadline(request.dueMs, request));
        return request;
    }

    private void withdraw(Command.Withdraw command) {
        TrackedRequest request = requests.get(command.id());
        if (request == null && requests.size() < limits.requests()) {
            // The attempt's Allow may still be in transit: recorded, so that it is not granted when it arrives.
            request = open(command.id(), command.attempt().owner(), Command.Guard.UNSAFE, command.remainingMs());
        }
        if (request == null || request.ending != null) {
            return;
        }
        int index = request.attempts.indexOf(command.attempt());
        if (index >= 0) {
            request.attemptNeverRan.set(index, true);
        } else if (request.attempts.size() < MAX_ATTEMPTS) {
            request.add(command.attempt(), true);
        }
    }

    private Reply refuse(Command.Refuse command) {
        TrackedRequest request = requests.get(command.id());
        if (request == null) {
            if (refusedCount >= Math.max(1, limits.requests() / REFUSED_SHARE_DIVISOR)
                    || !hasCapacity(command.caller())) {
                return new Reply.Full();
            }
            request = open(command.id(), command.caller(), command.guard(), command.remainingMs());
        }
        request.neverRan(command.owner(), command.neverRan());
        if (request.ending == null && request.neverRan()) {
            finish(request, Command.Ending.REFUSED);
        }
        return currentReply(request);
    }

    // No attempt ran, so the request is treated as new.
    private void reopen(TrackedRequest request, long remainingMs) {
        request.reopen(timeMs + remainingMs);
        refusedCount--;
        openByCaller.merge(request.caller, 1, Integer::sum);
        deadlines.add(new Deadline(request.dueMs, request));
    }

    private Reply report(Command.Report command) {
        TrackedRequest request = requests.get(command.id());
        if (request == null) {
            return new Reply.Free();
        }
        if (request.ending == null && command.attemptIndex() >= 0 && command.attemptIndex() < request.attempts.size()) {
            if (command.outcome() == Command.AttemptOutcome.NEVER_RAN) {
                request.attemptNeverRan.set(command.attemptIndex(), true);
            }
            finish(
                    request,
                    command.outcome() == Command.AttemptOutcome.SERVED
                            ? Command.Ending.SERVED
                            : Command.Ending.REFUSED);
        }
        return currentReply(request);
    }

    private Reply end(Command.End command) {
        TrackedRequest request = requests.get(command.id());
        if (request == null) {
            return new Reply.Free();
        }
        if (request.ending == null) {
            request.neverRan(command.owner(), command.neverRan());
            finish(request, command.ending());
        }
        return currentReply(request);
    }

    private void drain(Command.Drain command) {
        if (drains.containsKey(command.endpoint()) || drains.size() < limits.drains()) {
            drains.merge(command.endpoint(), timeMs + command.durationMs(), Math::max);
        }
    }

    private static Reply currentReply(TrackedRequest request) {
        if (request.ending != null) {
            return new Reply.Over(request.ending);
        }
        return request.neverRan() ? new Reply.Free() : new Reply.Out();
    }

    private void finish(TrackedRequest request, Command.Ending ending) {
        // REFUSED means that a retry does no harm, so it requires that no attempt can have run.
        request.end(ending == Command.Ending.REFUSED && !request.neverRan() ? Command.Ending.FAILED : ending);
        openByCaller.computeIfPresent(request.caller, (caller, count) -> count == 1 ? null : count - 1);
        if (request.ending == Command.Ending.REFUSED) {
            refusedCount++;
        } else {
            request.dueMs = timeMs + limits.rememberMs();
            deadlines.add(new Deadline(request.dueMs, request));
        }
    }

    private void dropOutdatedDeadlines() {
        while (!deadlines.isEmpty()
                && deadlines.peek().timeMs() != deadlines.peek().request().dueMs) {
            deadlines.poll();
        }
    }

    // A request open at its deadline counts as failed, or as refused if no attempt can have run.
    private void expire() {
        for (long dueMs = nextDeadline(); dueMs <= timeMs; dueMs = nextDeadline()) {
            TrackedRequest request = deadlines.poll().request();
            if (request.ending == null) {
                finish(request, Command.Ending.REFUSED);
            }
            // A refusal is remembered only until the request's deadline.
            if (request.dueMs <= timeMs) {
                requests.remove(request.id, request);
                refusedCount -= request.ending == Command.Ending.REFUSED ? 1 : 0;
            }
        }
        drains.values().removeIf(untilMs -> untilMs <= timeMs);
    }

    /** The whole state. */
    public Snapshot snapshot() {
        List<Entry> entries = new ArrayList<>(requests.size());
        requests.values().forEach(r -> entries.add(r.toEntry()));
        return new Snapshot(commandCount, timeMs, entries, new LinkedHashMap<>(drains));
    }

    /** Replaces the whole state by a snapshot. */
    public void restore(Snapshot snapshot) {
        requests.clear();
        openByCaller.clear();
        drains.clear();
        deadlines.clear();
        refusedCount = 0;
        commandCount = snapshot.commandCount();
        timeMs = snapshot.time();
        drains.putAll(snapshot.drains());
        for (Entry entry : snapshot.entries()) {
            TrackedRequest request = new TrackedRequest(entry);
            requests.put(entry.id(), request);
            if (request.ending == null) {
                openByCaller.merge(request.caller, 1, Integer::sum);
            } else if (request.ending == Command.Ending.REFUSED) {
                refusedCount++;
            }
            deadlines.add(new Deadline(request.dueMs, request));
        }
    }
}
