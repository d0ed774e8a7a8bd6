package whinlead.replication.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import whinlead.engine.Timers;
import whinlead.replication.Command;
import whinlead.replication.GroupClock;
import whinlead.replication.Reply;

/**
 * Has all commands of one turn agreed on together: a round trip costs the same for one as for a hundred. Where this
 * node leads; on the engine's thread.
 */
final class CommandBatcher {
    private final ConsensusNode node;
    private final Timers timers;
    private final GroupClock pace;
    private final List<Command> commands = new ArrayList<>();
    private final List<Consumer<Reply>> listeners = new ArrayList<>();

    /** One without commands. */
    CommandBatcher(ConsensusNode node, Timers timers, GroupClock pace) {
        this.node = node;
        this.timers = timers;
        this.pace = pace;
    }

    /** Has a command agreed on at the end of this turn; the reply comes once, later, or never. */
    void propose(Command command, Consumer<Reply> listener) {
        if (commands.isEmpty()) {
            timers.after(0, this::flush);
        }
        commands.add(command);
        listeners.add(listener);
    }

    private void flush() {
        Member.Batch batch = new Member.Batch(pace.time(timers.now()), commands);
        List<Consumer<Reply>> waiting = List.copyOf(listeners);
        commands.clear();
        listeners.clear();
        // Where it is not agreed on, or nobody knows, whoever asked asks again.
        node.<List<Reply>>replicate(batch, replies -> {
            for (int i = 0; i < waiting.size(); i++) {
                waiting.get(i).accept(replies.get(i));
            }
        });
    }
}
