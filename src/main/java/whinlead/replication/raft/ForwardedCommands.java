package whinlead.replication.raft;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import whinlead.replication.Reply;

/** Commands that this member has forwarded to the leader, with the listener for each reply. */
final class ForwardedCommands {
    /** Limit of pending commands; the oldest are dropped, and their callers resubmit them. */
    private static final int MAX_PENDING = 10_000;

    private final Map<Long, Consumer<Reply>> pending = new LinkedHashMap<>();
    private long lastToken;

    /**
     * Without pending commands.
     *
     * @param seed drawn at random: late replies to an earlier process of this member must match no command of this one
     */
    ForwardedCommands(long seed) {
        lastToken = seed;
    }

    /** Registers a listener; returns the token that identifies its reply. */
    long add(Consumer<Reply> listener) {
        if (pending.size() >= MAX_PENDING) {
            pending.remove(pending.keySet().iterator().next());
        }
        pending.put(++lastToken, listener);
        return lastToken;
    }

    /** Handles a reply; it is ignored if no listener waits for it. */
    void receiveReply(long token, Reply reply) {
        Consumer<Reply> listener = pending.remove(token);
        if (listener != null) {
            listener.accept(reply);
        }
    }
}
