package whinlead.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * What every member of a group knows of the requests that must not run twice: which attempts were let out, which of
 * them can have run, and how each request ended. The replicated state machine: the same commands in the same order,
 * with the same stamps, give the same state everywhere. Free of I/O, clocks and threads.
 *
 * <p>Time comes with each command, from the member that leads, and never goes back. It may pass more slowly than real
 * time does, and never faster: so nothing is forgotten too early. Whatever wants to be no later than some time (a key's
 * window, a drain's grace) is held by the member that decides, by its own clock.
 *
 * <p>Bounded: what has no room is turned away, and nothing is forgotten before its time to make some.
 */
public final class ReplicatedState {
    /**
     * What it may hold.
     *
     * @param requests open or remembered, at least 1
     * @param perCaller open ones of one caller, at least 1
     * @param drains endpoints known to drain, at least 1
     * @param remember milliseconds for which an end is known after it
     */
    public record Limits(int requests, int perCaller, int drains, long remember) {
        /** Checks the ranges. */
        public Limits {
            if (requests < 1 || perCaller < 1 || drains < 1 || remember < 0) {
                throw new IllegalArgumentException("limits out of range");
            }
        }
    }

    /** So many attempts at one request, those taken back included; beyond them it is turned away. */
    public static final int MAX_ATTEMPTS = 16;
    /**
     * Of the requests that it holds, one in so many may be there because it was refused: an overload, which is when
     * most are, must not fill it and so keep the rest from going out.
     */
    private static final int REFUSED_PART = 4;

    /**
     * A request as snapshots carry it.
     *
     * @param neverRan for each attempt, whether it is known not to have run
     * @param ending null while it is open
     * @param due while open, when its time is up; then when it is forgotten
     */
    public record Entry(
            String id,
            String caller,
            Command.Guard guard,
            List<Command.Attempt> attempts,
            List<Boolean> neverRan,
            Command.Ending ending,
            long due) {
        /** Keeps copies. */
        public Entry {
            attempts = List.copyOf(attempts);
            neverRan = List.copyOf(neverRan);
        }
    }

    /**
     * All that it holds, in the order in which it came.
     *
     * @param commands so many have been taken in: two states of one group with the same number are the same
     */
    public record Snapshot(long commands, long time, List<Entry> entries, Map<String, Long> drains) {}

    private record Due(long time, TrackedRequest request) {}

    private final Limits limits;
    private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
    private final Map<String, Integer> openByCaller = new HashMap<>();
    private final Map<String, Long> drains = new LinkedHashMap<>();
    // One whose time has been moved since is passed over.
    private final PriorityQueue<Due> dues = new PriorityQueue<>(Comparator.comparingLong(Due::time));
    private int refused;
    private long commands;
    private long time;

    /** An empty one, at time 0. */
    public ReplicatedState(Limits limits) {
        this.limits = limits;
    }

    /** The group's time: of the last command, or of a later one whose stamp was higher. */
    public long time() {
        return time;
    }

    /** Requests open or remembered. */
    public int size() {
        return requests.size();
    }

    /** When something falls due by itself; {@link Long#MAX_VALUE} if nothing does. */
    public long next() {
        tidy();
        Due first = dues.peek();
        return first == null ? Long.MAX_VALUE : first.time();
    }

    /**
     * Takes in the next command.
     *
     * @param stamp the time of the member that leads; one before the last counts as that
     */
    public Reply apply(long stamp, Command command) {
        commands++;
        time = Math.max(time, stamp);
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

    /** What is known of a request; changes nothing. */
    public Reply look(String id) {
        TrackedRequest r = requests.get(id);
        return r == null ? new Reply.Free() : state(r);
    }

    private Reply allow(Command.Allow c) {
        TrackedRequest r = requests.get(c.id());
        if (r != null && r.ending != null) {
            if (!c.anew() || r.ending != Command.Ending.REFUSED || time > c.until()) {
                return state(r);
            }
            reopen(r, c.left());
        }
        if (r != null) {
            int at = r.attempts.indexOf(c.attempt());
            if (at >= 0) {
                // It came twice on its way; or it was taken back before it came.
                return !r.known.get(at) ? new Reply.Granted(at) : r.neverRan() ? new Reply.Late() : state(r);
            }
            r.neverRan(c.attempt().owner(), c.neverRan());
            boolean mine = r.guard == Command.Guard.KEYED
                    && r.attempts.stream()
                            .allMatch(a -> a.owner().equals(c.attempt().owner()));
            if (!r.neverRan() && !mine) {
                return state(r);
            }
        }
        if (time > c.until()) {
            return new Reply.Late();
        }
        if (drains.containsKey(c.endpoint())) {
            return new Reply.Drains();
        }
        if (r == null) {
            if (!room(c.caller())) {
                return new Reply.Full();
            }
            r = open(c.id(), c.caller(), c.guard(), c.left());
        } else if (r.attempts.size() >= MAX_ATTEMPTS) {
            return new Reply.Full();
        }
        return new Reply.Granted(r.add(c.attempt(), false));
    }

    private boolean room(String caller) {
        return requests.size() < limits.requests() && openByCaller.getOrDefault(caller, 0) < limits.perCaller();
    }

    private TrackedRequest open(String id, String caller, Command.Guard guard, long left) {
        TrackedRequest r = new TrackedRequest(id, caller, guard, time + left);
        requests.put(id, r);
        openByCaller.merge(caller, 1, Integer::sum);
        dues.add(new Due(r.due, r));
        return r;
    }

    private void withdraw(Command.Withdraw c) {
        TrackedRequest r = requests.get(c.id());
        if (r == null && requests.size() < limits.requests()) {
            // It may still be on its way: it is to find that it was taken back.
            r = open(c.id(), c.attempt().owner(), Command.Guard.UNSAFE, c.left());
        }
        if (r == null || r.ending != null) {
            return;
        }
        int at = r.attempts.indexOf(c.attempt());
        if (at >= 0) {
            r.known.set(at, true);
        } else if (r.attempts.size() < MAX_ATTEMPTS) {
            r.add(c.attempt(), true);
        }
    }

    private Reply refuse(Command.Refuse c) {
        TrackedRequest r = requests.get(c.id());
        if (r == null) {
            if (refused >= Math.max(1, limits.requests() / REFUSED_PART) || !room(c.caller())) {
                return new Reply.Full();
            }
            r = open(c.id(), c.caller(), c.guard(), c.left());
        }
        r.neverRan(c.owner(), c.neverRan());
        if (r.ending == null && r.neverRan()) {
            over(r, Command.Ending.REFUSED);
        }
        return state(r);
    }

    // Nothing of it ran, so it is as if it had never been asked about.
    private void reopen(TrackedRequest r, long left) {
        r.reopen(time + left);
        refused--;
        openByCaller.merge(r.caller, 1, Integer::sum);
        dues.add(new Due(r.due, r));
    }

    private Reply report(Command.Report c) {
        TrackedRequest r = requests.get(c.id());
        if (r == null) {
            return new Reply.Free();
        }
        if (r.ending == null && c.index() >= 0 && c.index() < r.attempts.size()) {
            if (c.how() == Command.How.NEVER_RAN) {
                r.known.set(c.index(), true);
            }
            over(r, c.how() == Command.How.SERVED ? Command.Ending.SERVED : Command.Ending.REFUSED);
        }
        return state(r);
    }

    private Reply end(Command.End c) {
        TrackedRequest r = requests.get(c.id());
        if (r == null) {
            return new Reply.Free();
        }
        if (r.ending == null) {
            r.neverRan(c.owner(), c.neverRan());
            over(r, c.ending());
        }
        return state(r);
    }

    private void drain(Command.Drain c) {
        if (drains.containsKey(c.endpoint()) || drains.size() < limits.drains()) {
            drains.merge(c.endpoint(), time + c.lasts(), Math::max);
        }
    }

    private static Reply state(TrackedRequest r) {
        if (r.ending != null) {
            return new Reply.Over(r.ending);
        }
        return r.neverRan() ? new Reply.Free() : new Reply.Out();
    }

    private void over(TrackedRequest r, Command.Ending ending) {
        // A refusal says that trying again does no harm.
        r.end(ending == Command.Ending.REFUSED && !r.neverRan() ? Command.Ending.FAILED : ending);
        openByCaller.computeIfPresent(r.caller, (caller, n) -> n == 1 ? null : n - 1);
        if (r.ending == Command.Ending.REFUSED) {
            refused++;
        } else {
            r.due = time + limits.remember();
            dues.add(new Due(r.due, r));
        }
    }

    private void tidy() {
        while (!dues.isEmpty() && dues.peek().time() != dues.peek().request().due) {
            dues.poll();
        }
    }

    // What is open when its time is up has failed, or was refused where nothing can have run.
    private void expire() {
        for (long due = next(); due <= time; due = next()) {
            TrackedRequest r = dues.poll().request();
            if (r.ending == null) {
                over(r, Command.Ending.REFUSED);
            }
            // What was refused is only known while its client may still send it.
            if (r.due <= time) {
                requests.remove(r.id, r);
                refused -= r.ending == Command.Ending.REFUSED ? 1 : 0;
            }
        }
        drains.values().removeIf(until -> until <= time);
    }

    /** All that it holds. */
    public Snapshot snapshot() {
        List<Entry> entries = new ArrayList<>(requests.size());
        requests.values().forEach(r -> entries.add(r.entry()));
        return new Snapshot(commands, time, entries, new LinkedHashMap<>(drains));
    }

    /** Holds what a snapshot does from now on, and nothing else. */
    public void restore(Snapshot snapshot) {
        requests.clear();
        openByCaller.clear();
        drains.clear();
        dues.clear();
        refused = 0;
        commands = snapshot.commands();
        time = snapshot.time();
        drains.putAll(snapshot.drains());
        for (Entry e : snapshot.entries()) {
            TrackedRequest r = new TrackedRequest(e);
            requests.put(e.id(), r);
            if (r.ending == null) {
                openByCaller.merge(r.caller, 1, Integer::sum);
            } else if (r.ending == Command.Ending.REFUSED) {
                refused++;
            }
            dues.add(new Due(r.due, r));
        }
    }
}
