package whinlead.replication.raft;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import whinlead.replication.Reply;

/** Commands that this member has forwarded to the leader, with who waits for each reply. */
final class ForwardedCommands {
    /** More than these are asked again later. */
    private static final int MAX_PENDING = 10_000;

    private final Map<Long, Consumer<Reply>> pending = new LinkedHashMap<>();
    private long lastToken;

    /**
     * None yet.
     *
     * @param seed drawn at random: replies to an earlier process of this member, which come late, must fit none of this
     *     one's commands
     */
    ForwardedCommands(long seed) {
        lastToken = seed;
    }

    /** Notes who waits for a reply; gives the token by which that will come. */
    long add(Consumer<Reply> listener) {
        if (pending.size() >= MAX_PENDING) {
            pending.remove(pending.keySet().iterator().next());
        }
        pending.put(++lastToken, listener);
        return lastToken;
    }

    /** A reply has come; it is ignored if nobody waits for it. */
    void replied(long token, Reply reply) {
        Consumer<Reply> listener = pending.remove(token);
        if (listener != null) {
            listener.accept(reply);
        }
    }
}
