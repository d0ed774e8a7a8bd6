package whinlead.replication.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import whinlead.engine.Timers;
import whinlead.replication.Command;
import whinlead.replication.GroupClock;
import whinlead.replication.Reply;

/**
 * Replicates all commands of one turn of the engine's loop as one batch, since a round trip costs the same for one
 * command as for a hundred. Used while this node leads; on the engine's thread.
 */
final class CommandBatcher {
    private final ConsensusNode node;
    private final Timers timers;
    private final GroupClock clock;
    private final List<Command> commands = new ArrayList<>();
    private final List<Consumer<Reply>> listeners = new ArrayList<>();

    /** A batcher without commands. */
    CommandBatcher(ConsensusNode node, Timers timers, GroupClock clock) {
        this.node = node;
        this.timers = timers;
        this.clock = clock;
    }

    /** Proposes a command at the end of this turn; the listener is called later, at most once. */
    void propose(Command command, Consumer<Reply> listener) {
        if (commands.isEmpty()) {
            timers.schedule(0, this::flush);
        }
        commands.add(command);
        listeners.add(listener);
    }

    private void flush() {
        Member.Batch batch = new Member.Batch(clock.time(timers.nowMs()), commands);
        List<Consumer<Reply>> batchListeners = List.copyOf(listeners);
        commands.clear();
        listeners.clear();
        // If the batch is not committed, or that is unknown, the callers resubmit their commands.
        node.<List<Reply>>replicate(batch, replies -> {
            for (int i = 0; i < batchListeners.size(); i++) {
                batchListeners.get(i).accept(replies.get(i));
            }
        });
    }
}
