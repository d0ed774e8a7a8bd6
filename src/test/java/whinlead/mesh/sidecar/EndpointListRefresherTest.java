package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;

/** A change refreshes the lists of the services that it affects, and no others. */
public class EndpointListRefresherTest {
    private ArrayDeque<Runnable> loopTasks;
    private List<Set<String>> refreshed;
    private EndpointListRefresher refresher;

    /** Starts with an empty registry. */
    @BeforeMethod
    public void start() {
        loopTasks = new ArrayDeque<>();
        refreshed = new ArrayList<>();
        refresher = new EndpointListRefresher(loopTasks::add, new EndpointRegistry(), refreshed::add);
    }

    private static EndpointRecord record(String node, long seq, String service, EndpointRecord.Phase phase) {
        return new EndpointRecord(node, 1, seq, "zone", "endpoint-" + node, service, phase, 6, 0);
    }

    private void runLoopTasks() {
        while (!loopTasks.isEmpty()) {
            loopTasks.remove().run();
        }
    }

    @Test
    public void changedRecordRefreshesItsOwnServiceOnly() {
        refresher.merge(record("a", 1, "one", EndpointRecord.Phase.SERVING));
        refresher.merge(record("b", 1, "two", EndpointRecord.Phase.SERVING));
        runLoopTasks();
        assertEquals(refreshed, List.of(Set.of("one", "two")));
        refresher.merge(record("a", 2, "one", EndpointRecord.Phase.GONE));
        runLoopTasks();
        assertEquals(refreshed.get(1), Set.of("one"));
    }

    @Test
    public void changeOfServiceRefreshesBothServices() {
        refresher.merge(record("a", 1, "one", EndpointRecord.Phase.SERVING));
        runLoopTasks();
        refresher.merge(record("a", 2, "two", EndpointRecord.Phase.SERVING));
        runLoopTasks();
        assertEquals(refreshed.get(1), Set.of("one", "two"));
    }

    @Test
    public void changesInOneLoopTurnRefreshOnce() {
        for (int i = 0; i < 100; i++) {
            refresher.merge(record("node-" + i, 1, "one", EndpointRecord.Phase.SERVING));
        }
        runLoopTasks();
        assertEquals(refreshed, List.of(Set.of("one")));
    }

    @Test
    public void unchangedRecordRefreshesNothing() {
        refresher.merge(record("a", 2, "one", EndpointRecord.Phase.SERVING));
        runLoopTasks();
        refresher.merge(record("a", 2, "one", EndpointRecord.Phase.SERVING));
        refresher.merge(record("a", 1, "two", EndpointRecord.Phase.SERVING));
        assertTrue(loopTasks.isEmpty());
    }

    @Test
    public void markedServicesAreRefreshed() {
        refresher.markOutdated(List.of("one", "two"));
        runLoopTasks();
        assertEquals(refreshed, List.of(Set.of("one", "two")));
    }
}
