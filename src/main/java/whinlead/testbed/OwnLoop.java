package whinlead.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/** A loop for stand-ins that lives for as long as a day is played. */
final class OwnLoop {
    /** What is played from outside the loop, which it may wait for. */
    @FunctionalInterface
    interface Day<T> {
        T play(EventLoop loop) throws IOException, InterruptedException, ExecutionException;
    }

    private OwnLoop() {}

    /**
     * Plays it; blocks for as long.
     *
     * @throws IOException also if a stand-in fails or the caller is interrupted
     */
    static <T> T play(Day<T> day) throws IOException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            return day.play(group.next());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException("a stand-in failed", e.getCause());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
