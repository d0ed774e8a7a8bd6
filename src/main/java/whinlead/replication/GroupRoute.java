package whinlead.replication;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A process's way to a group that it is no member of: which of its members is asked, and what the answers tell of the
 * group's time. It follows the member that leads, by the members' word, and turns to the next one where nothing comes
 * back. A question may be lost: whoever asks it asks again. No clock and no I/O: time comes with each call, and what is
 * to be sent goes out by {@link Post}. On the engine's thread.
 */
public final class GroupRoute {
    /** The way out. */
    @FunctionalInterface
    public interface Post {
        /**
         * Sends once, or loses it; never calls back before it returns.
         *
         * @param token names the question to its answer
         * @param command null to ask for the group's time only
         */
        void send(String to, long token, Command command);
    }

    /** Time is unknown until a first answer has told it. */
    public static final long UNKNOWN = -1;
    /** A member that hears of a question has asked its leader and answered by then, on half a core too. */
    private static final double PATIENCE_MS = 150;
    /** Questions without an answer; the oldest are forgotten, for they have been asked again since. */
    private static final int MAX_OPEN = 10_000;

    private record Question(String to, Consumer<Reply> answer) {}

    private final List<String> members;
    private final Post post;
    private final Map<Long, Question> open = new LinkedHashMap<>();
    private long lastToken;
    private String to;
    private int next;
    /** Since when the one that is asked owes an answer; NaN while it owes none. */
    private double owes = Double.NaN;

    private GroupClock pace;

    /**
     * A way that has not been taken yet.
     *
     * @param members in the order in which they are tried; at least one
     * @param firstToken drawn: answers to a process of the same name before this one must fit nothing here
     */
    public GroupRoute(List<String> members, long firstToken, Post post) {
        this.members = List.copyOf(members);
        this.post = post;
        lastToken = firstToken;
        to = this.members.get(0);
    }

    /** The group's time, never ahead of it, or {@link #UNKNOWN}; it is asked for then. */
    public long time(double now) {
        if (pace == null) {
            ask(null, r -> {}, now);
            return UNKNOWN;
        }
        return pace.time(now);
    }

    /** Asks the group, once. The answer comes later, once or never. */
    public void ask(Command command, Consumer<Reply> answer, double now) {
        if (now - owes > PATIENCE_MS) {
            turn();
        }
        if (Double.isNaN(owes)) {
            owes = now;
        }
        if (open.size() >= MAX_OPEN) {
            open.remove(open.keySet().iterator().next());
        }
        open.put(++lastToken, new Question(to, answer));
        post.send(to, lastToken, command);
    }

    private void turn() {
        next = (next + 1) % members.size();
        to = members.get(next);
        owes = Double.NaN;
    }

    /**
     * A member has answered.
     *
     * @param reply null if it was asked for the time only, or holds no seat
     * @param time of the group as the member has it, or less than 0 if it holds no seat
     * @param leader the member that leads, as far as it knows; empty if it knows of none
     */
    public void answered(long token, Reply reply, long time, String leader, double now) {
        Question question = open.remove(token);
        if (question == null) {
            return;
        }
        if (time >= 0) {
            if (pace == null) {
                pace = new GroupClock(now);
            }
            // Answers come out of their order: the latest time is the nearest.
            if (time > pace.time(now)) {
                pace.agreed(time, now);
            }
        }
        if (question.to().equals(to)) {
            owes = Double.NaN;
            if (time < 0) {
                turn();
            } else if (!leader.isEmpty()) {
                to = leader;
            }
        }
        if (reply != null) {
            question.answer().accept(reply);
        }
    }

    /** Who is asked next. */
    public String target() {
        return to;
    }
}
