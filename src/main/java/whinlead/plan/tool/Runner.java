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

/** Runs simulations on several threads. Results and their order do not depend on the number of threads. */
final class Runner implements AutoCloseable {
    private final ExecutorService threads;

    Runner(int count) {
        threads = Executors.newFixedThreadPool(count);
    }

    /** Runs a load with each seed and returns the outcomes in the order of the seeds. */
    List<Outcome> run(Fleet fleet, LongFunction<Iterator<Arrival>> load, long[] seeds) {
        List<Future<Outcome>> running = new ArrayList<>();
        for (long seed : seeds) {
            running.add(threads.submit(() -> new Simulation(fleet, seed).run(load.apply(seed))));
        }
        List<Outcome> outcomes = new ArrayList<>();
        for (Future<Outcome> future : running) {
            try {
                outcomes.add(future.get());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted while waiting for a simulation", e);
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
