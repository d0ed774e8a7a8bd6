package whinlead.replication.raft;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.TimeUnit;
import whinlead.engine.Timers;

/** Runs the tasks of one consensus node on timers until it is stopped. On the engine's thread. */
final class NodeExecutor implements RaftNodeExecutor {
    private final Timers timers;
    private boolean stopped;

    /** An executor that uses these timers. */
    NodeExecutor(Timers timers) {
        this.timers = timers;
    }

    /** Stops the executor; tasks that were scheduled before do not run either. */
    void stop() {
        stopped = true;
    }

    private Runnable unlessStopped(Runnable task) {
        return () -> {
            if (!stopped) {
                task.run();
            }
        };
    }

    @Override
    public void execute(Runnable task) {
        timers.schedule(0, unlessStopped(task));
    }

    @Override
    public void submit(Runnable task) {
        timers.schedule(0, unlessStopped(task));
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        timers.schedule(unit.toMillis(delay), unlessStopped(task));
    }
}
