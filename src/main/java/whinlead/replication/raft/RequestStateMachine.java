package whinlead.replication.raft;

import io.microraft.statemachine.StateMachine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import whinlead.engine.Timers;
import whinlead.replication.Command;
import whinlead.replication.GroupClock;
import whinlead.replication.ReplicatedState;
import whinlead.replication.Reply;

/** Applies to a {@link ReplicatedState} the commands that a group agreed on. On the engine's thread. */
final class RequestStateMachine implements StateMachine {
    /** What a chunk holds at most, so that the loop is not held up by one message. */
    private static final int MAX_CHUNK_ENTRIES = 1000;

    private final ReplicatedState book;
    private final GroupClock pace;
    private final Timers timers;
    private long appliedIndex;

    /** Of a book, by the group's time as this process holds it. */
    RequestStateMachine(ReplicatedState book, GroupClock pace, Timers timers) {
        this.book = book;
        this.pace = pace;
        this.timers = timers;
    }

    /** Up to which index of the log commands were applied. */
    long appliedIndex() {
        return appliedIndex;
    }

    /** Forgets all: the log is applied again from its snapshot on. */
    void reset() {
        book.restore(new ReplicatedState.Snapshot(0, 0, List.of(), Map.of()));
        appliedIndex = 0;
    }

    @Override
    public Object runOperation(long index, Object operation) {
        Member.Batch agreed = (Member.Batch) operation;
        List<Reply> replies = new ArrayList<>(agreed.commands().size());
        for (Command command : agreed.commands()) {
            replies.add(book.apply(agreed.stamp(), command));
        }
        pace.agreed(book.time(), timers.now());
        appliedIndex = index;
        return replies;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        ReplicatedState.Snapshot snapshot = book.snapshot();
        List<ReplicatedState.Entry> entries = snapshot.entries();
        int from = 0;
        do {
            int to = Math.min(entries.size(), from + MAX_CHUNK_ENTRIES);
            Map<String, Long> drains = from == 0 ? snapshot.drains() : Map.of();
            chunks.accept(new Member.Chunk(
                    snapshot.commands(), snapshot.time(), drains, List.copyOf(entries.subList(from, to))));
            from = to;
        } while (from < entries.size());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        List<ReplicatedState.Entry> entries = new ArrayList<>();
        Map<String, Long> drains = new LinkedHashMap<>();
        long commands = 0;
        long time = 0;
        for (Object object : chunks) {
            Member.Chunk chunk = (Member.Chunk) object;
            commands = chunk.commands();
            time = chunk.time();
            drains.putAll(chunk.drains());
            entries.addAll(chunk.entries());
        }
        book.restore(new ReplicatedState.Snapshot(commands, time, entries, drains));
        appliedIndex = index;
        pace.agreed(book.time(), timers.now());
    }

    @Override
    public Object getNewTermOperation() {
        return new Member.Batch(pace.time(timers.now()), List.of());
    }
}
