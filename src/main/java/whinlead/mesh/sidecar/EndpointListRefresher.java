package whinlead.mesh.sidecar;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;

/**
 * Collects the services whose endpoint lists are outdated by a change, and refreshes each of them once for all changes
 * of one turn of the loop. An endpoint record affects the service that it names and the one that its sidecar named
 * before. Runs on the loop's thread.
 */
final class EndpointListRefresher {
    private final Executor loop;
    private final EndpointRegistry registry;
    private final Consumer<Set<String>> refresh;
    private final Set<String> outdatedServices = new LinkedHashSet<>();
    private boolean scheduled;

    /**
     * Creates a refresher with no outdated lists.
     *
     * @param loop runs a task on this thread, after the current one
     * @param registry stores the endpoint records
     * @param refresh refreshes the lists of the given services
     */
    EndpointListRefresher(Executor loop, EndpointRegistry registry, Consumer<Set<String>> refresh) {
        this.loop = loop;
        this.registry = registry;
        this.refresh = refresh;
    }

    /** Stores an endpoint record; if it is new, the lists that it affects are refreshed. */
    void merge(EndpointRecord record) {
        EndpointRecord previous = registry.find(record.node());
        if (!registry.merge(record)) {
            return;
        }
        outdatedServices.add(record.target());
        if (previous != null) {
            outdatedServices.add(previous.target());
        }
        schedule();
    }

    /** Schedules a refresh of these services' lists. */
    void markOutdated(Collection<String> services) {
        outdatedServices.addAll(services);
        schedule();
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.execute(this::refreshOutdated);
        }
    }

    private void refreshOutdated() {
        scheduled = false;
        Set<String> due = Set.copyOf(outdatedServices);
        outdatedServices.clear();
        refresh.accept(due);
    }
}
