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

/** Applies the group's committed commands to a {@link ReplicatedState}. On the engine's thread. */
final class RequestStateMachine implements StateMachine {
    /** Limit of entries per chunk, so that one message does not block the loop for long. */
    private static final int MAX_CHUNK_ENTRIES = 1000;

    private final ReplicatedState state;
    private final GroupClock clock;
    private final Timers timers;
    private long appliedIndex;

    /** Applies commands to this state and records their timestamps in this clock. */
    RequestStateMachine(ReplicatedState state, GroupClock clock, Timers timers) {
        this.state = state;
        this.clock = clock;
        this.timers = timers;
    }

    /** The log index up to which commands were applied. */
    long appliedIndex() {
        return appliedIndex;
    }

    /** Clears the state; the log is applied again from its snapshot on. */
    void reset() {
        state.restore(new ReplicatedState.Snapshot(0, 0, List.of(), Map.of()));
        appliedIndex = 0;
    }

    @Override
    public Object runOperation(long index, Object operation) {
        Member.Batch batch = (Member.Batch) operation;
        List<Reply> replies = new ArrayList<>(batch.commands().size());
        for (Command command : batch.commands()) {
            replies.add(state.apply(batch.stampMs(), command));
        }
        clock.committed(state.timeMs(), timers.nowMs());
        appliedIndex = index;
        return replies;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        ReplicatedState.Snapshot snapshot = state.snapshot();
        List<ReplicatedState.Entry> entries = snapshot.entries();
        int start = 0;
        do {
            int end = Math.min(entries.size(), start + MAX_CHUNK_ENTRIES);
            Map<String, Long> drains = start == 0 ? snapshot.drains() : Map.of();
            chunks.accept(new Member.Chunk(
                    snapshot.commandCount(), snapshot.time(), drains, List.copyOf(entries.subList(start, end))));
            start = end;
        } while (start < entries.size());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        List<ReplicatedState.Entry> entries = new ArrayList<>();
        Map<String, Long> drains = new LinkedHashMap<>();
        long commandCount = 0;
        long time = 0;
        for (Object object : chunks) {
            Member.Chunk chunk = (Member.Chunk) object;
            commandCount = chunk.commandCount();
            time = chunk.time();
            drains.putAll(chunk.drains());
            entries.addAll(chunk.entries());
        }
        state.restore(new ReplicatedState.Snapshot(commandCount, time, entries, drains));
        appliedIndex = index;
        clock.committed(state.timeMs(), timers.nowMs());
    }

    @Override
    public Object getNewTermOperation() {
        return new Member.Batch(clock.time(timers.nowMs()), List.of());
    }
}
