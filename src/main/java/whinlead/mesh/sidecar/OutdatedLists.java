package whinlead.mesh.sidecar;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;

/**
 * Notes which services' lists of endpoints a change has made out of date, and has each of them made anew once for all
 * that changes in one turn of the loop. An endpoint record concerns the service that it names and the one that its
 * sidecar named before. On the loop's thread.
 */
final class OutdatedLists {
    private final Executor loop;
    private final EndpointRegistry endpointRegistry;
    private final Consumer<Set<String>> refresh;
    private final Set<String> services = new LinkedHashSet<>();
    private boolean scheduled;

    /**
     * Nothing is out of date yet.
     *
     * @param loop runs a task on this thread, after the one that runs
     * @param endpointRegistry takes the endpoint records in
     * @param refresh makes the lists of these services anew
     */
    OutdatedLists(Executor loop, EndpointRegistry endpointRegistry, Consumer<Set<String>> refresh) {
        this.loop = loop;
        this.endpointRegistry = endpointRegistry;
        this.refresh = refresh;
    }

    /** Takes an endpoint record in; if it is news, the lists that it concerns are made anew. */
    void merge(EndpointRecord record) {
        EndpointRecord before = endpointRegistry.find(record.node());
        if (!endpointRegistry.merge(record)) {
            return;
        }
        services.add(record.target());
        if (before != null) {
            services.add(before.target());
        }
        schedule();
    }

    /** The lists of these services are to be made anew. */
    void add(Collection<String> outdated) {
        services.addAll(outdated);
        schedule();
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.execute(this::run);
        }
    }

    private void run() {
        scheduled = false;
        Set<String> due = Set.copyOf(services);
        services.clear();
        refresh.accept(due);
    }
}
