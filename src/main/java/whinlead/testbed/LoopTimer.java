package whinlead.testbed;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Real time on one event loop, in milliseconds since {@link #begin}. */
final class LoopTimer implements Workshop.Timer {
    private static final double NANOS_IN_MILLI = 1e6;
    /** Work shorter than a timer can tell apart is done at once, or it would take as long as a timer. */
    private static final double AT_ONCE_MS = 0.3;

    private final EventLoop loop;
    private long start = System.nanoTime();

    LoopTimer(EventLoop loop) {
        this.loop = loop;
    }

    /** Time counts from now on. */
    void begin() {
        start = System.nanoTime();
    }

    EventLoop loop() {
        return loop;
    }

    @Override
    public double nowMs() {
        return (System.nanoTime() - start) / NANOS_IN_MILLI;
    }

    @Override
    public void at(double time, Runnable task) {
        double wait = time - nowMs();
        if (wait < AT_ONCE_MS) {
            loop.execute(task);
        } else {
            loop.schedule(task, (long) (wait * NANOS_IN_MILLI), TimeUnit.NANOSECONDS);
        }
    }
}
