package whinlead.plan.tool;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongFunction;
import whinlead.plan.Arrival;
import whinlead.plan.Fleet;
import whinlead.plan.Outcome;
import whinlead.plan.Simulation;

/** Plays simulations on several threads; what comes of them, and in which order, does not depend on how many. */
final class Runner implements AutoCloseable {
    private final ExecutorService threads;

    Runner(int count) {
        threads = Executors.newFixedThreadPool(count);
    }

    /** What comes of a load with each of these seeds, in their order. */
    List<Outcome> play(Fleet fleet, LongFunction<Iterator<Arrival>> load, long[] seeds) {
        List<Future<Outcome>> running = new ArrayList<>();
        for (long seed : seeds) {
            running.add(threads.submit(() -> new Simulation(fleet, seed).play(load.apply(seed))));
        }
        List<Outcome> outcomes = new ArrayList<>();
        for (Future<Outcome> f : running) {
            try {
                outcomes.add(f.get());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted", e);
            } catch (ExecutionException e) {
                throw new IllegalStateException(e.getCause());
            }
        }
        return outcomes;
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
