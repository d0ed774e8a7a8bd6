package whinlead.replication;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A process's route to a group that it is not a member of: chooses the member to query and learns the group's time from
 * the replies. It follows the leader that the members report and switches to the next member if no reply arrives. A
 * query may be lost; the caller repeats it. Uses no clock and no I/O: the time is passed with each call, and messages
 * are sent through {@link Sender}. On the engine's thread.
 */
public final class GroupRoute {
    /** Sends queries to members. */
    @FunctionalInterface
    public interface Sender {
        /**
         * Sends once, without a guarantee of delivery; never calls back before it returns.
         *
         * @param token identifies the query in its reply
         * @param command null to query the group's time only
         */
        void send(String member, long token, Command command);
    }

    /** The group's time before the first reply. */
    public static final long UNKNOWN = -1;
    /** Within this time a member forwards a query to its leader and replies, even on half a core. */
    private static final double RESPONSE_TIMEOUT_MS = 150;
    /** Limit of unanswered queries; the oldest are dropped, since their callers have repeated them. */
    private static final int MAX_PENDING = 10_000;

    private record PendingQuery(String member, Consumer<Reply> listener) {}

    private final List<String> members;
    private final Sender sender;
    private final Map<Long, PendingQuery> pending = new LinkedHashMap<>();
    private long lastToken;
    private String target;
    private int targetIndex;
    /** Time since which a reply of the current target is awaited; NaN while none is. */
    private double waitingSinceMs = Double.NaN;

    private GroupClock clock;

    /**
     * A route without pending queries.
     *
     * @param members in the order in which they are tried; at least one
     * @param firstToken drawn at random: replies to an earlier process of the same name must match no query of this one
     */
    public GroupRoute(List<String> members, long firstToken, Sender sender) {
        this.members = List.copyOf(members);
        this.sender = sender;
        lastToken = firstToken;
        target = this.members.get(0);
    }

    /**
     * The group's time, never ahead of the actual one; {@link #UNKNOWN} before the first reply, in which case a query
     * for it is sent.
     */
    public long time(double nowMs) {
        if (clock == null) {
            query(null, r -> {}, nowMs);
            return UNKNOWN;
        }
        return clock.time(nowMs);
    }

    /** Sends a query to the group once. The listener is called later, at most once. */
    public void query(Command command, Consumer<Reply> listener, double nowMs) {
        if (nowMs - waitingSinceMs > RESPONSE_TIMEOUT_MS) {
            switchTarget();
        }
        if (Double.isNaN(waitingSinceMs)) {
            waitingSinceMs = nowMs;
        }
        if (pending.size() >= MAX_PENDING) {
            pending.remove(pending.keySet().iterator().next());
        }
        pending.put(++lastToken, new PendingQuery(target, listener));
        sender.send(target, lastToken, command);
    }

    private void switchTarget() {
        targetIndex = (targetIndex + 1) % members.size();
        target = members.get(targetIndex);
        waitingSinceMs = Double.NaN;
    }

    /**
     * Handles a member's reply.
     *
     * @param reply null if only the time was queried, or if the member has no seat
     * @param groupTimeMs as the member knows it; less than 0 if the member has no seat
     * @param leader as far as the member knows; empty if it knows none
     */
    public void receiveReply(long token, Reply reply, long groupTimeMs, String leader, double nowMs) {
        PendingQuery query = pending.remove(token);
        if (query == null) {
            return;
        }
        if (groupTimeMs >= 0) {
            if (clock == null) {
                clock = new GroupClock(nowMs);
            }
            // Replies may arrive out of order: the latest time is the most accurate.
            if (groupTimeMs > clock.time(nowMs)) {
                clock.committed(groupTimeMs, nowMs);
            }
        }
        if (query.member().equals(target)) {
            waitingSinceMs = Double.NaN;
            if (groupTimeMs < 0) {
                switchTarget();
            } else if (!leader.isEmpty()) {
                target = leader;
            }
        }
        if (reply != null) {
            query.listener().accept(reply);
        }
    }

    /** The member that the next query goes to. */
    public String target() {
        return target;
    }
}
