package whinlead.loop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import whinlead.engine.Clock;
import whinlead.engine.Timers;

/** Timers that run on the thread of an event loop. */
public final class LoopTimers implements Timers {
    private static final double NANOS_IN_MILLI = 1e6;

    private final EventLoop loop;
    private final Clock clock;

    /** Creates timers of this loop with this clock. */
    public LoopTimers(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public double nowMs() {
        return clock.nowMs();
    }

    @Override
    public TimerHandle schedule(double millis, Runnable task) {
        long nanos = (long) Math.ceil(Math.max(0, millis) * NANOS_IN_MILLI);
        Future<?> due = loop.schedule(task, nanos, TimeUnit.NANOSECONDS);
        return () -> due.cancel(false);
    }
}
