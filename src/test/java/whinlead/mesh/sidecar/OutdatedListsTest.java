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

/** That a change makes anew the lists of the services that it concerns, and no others. */
public class OutdatedListsTest {
    private ArrayDeque<Runnable> turn;
    private List<Set<String>> refreshed;
    private OutdatedLists lists;

    /** An empty directory. */
    @BeforeMethod
    public void begin() {
        turn = new ArrayDeque<>();
        refreshed = new ArrayList<>();
        lists = new OutdatedLists(turn::add, new EndpointRegistry(), refreshed::add);
    }

    private static EndpointRecord record(String node, long seq, String service, EndpointRecord.Phase phase) {
        return new EndpointRecord(node, 1, seq, "zone", "endpoint-" + node, service, phase, 6, 0);
    }

    private void endTurn() {
        while (!turn.isEmpty()) {
            turn.remove().run();
        }
    }

    @Test
    public void aChangedEndpointRecordConcernsItsOwnServiceOnly() {
        lists.merge(record("a", 1, "one", EndpointRecord.Phase.SERVING));
        lists.merge(record("b", 1, "two", EndpointRecord.Phase.SERVING));
        endTurn();
        assertEquals(refreshed, List.of(Set.of("one", "two")));
        lists.merge(record("a", 2, "one", EndpointRecord.Phase.GONE));
        endTurn();
        assertEquals(refreshed.get(1), Set.of("one"));
    }

    @Test
    public void anEndpointOfAnotherServiceConcernsBoth() {
        lists.merge(record("a", 1, "one", EndpointRecord.Phase.SERVING));
        endTurn();
        lists.merge(record("a", 2, "two", EndpointRecord.Phase.SERVING));
        endTurn();
        assertEquals(refreshed.get(1), Set.of("one", "two"));
    }

    @Test
    public void manyChangesOfOneTurnMakeAListAnewOnce() {
        for (int i = 0; i < 100; i++) {
            lists.merge(record("node-" + i, 1, "one", EndpointRecord.Phase.SERVING));
        }
        endTurn();
        assertEquals(refreshed, List.of(Set.of("one")));
    }

    @Test
    public void whatIsNoNewsMakesNothingAnew() {
        lists.merge(record("a", 2, "one", EndpointRecord.Phase.SERVING));
        endTurn();
        lists.merge(record("a", 2, "one", EndpointRecord.Phase.SERVING));
        lists.merge(record("a", 1, "two", EndpointRecord.Phase.SERVING));
        assertTrue(turn.isEmpty());
    }

    @Test
    public void whatIsNamedIsMadeAnew() {
        lists.add(List.of("one", "two"));
        endTurn();
        assertEquals(refreshed, List.of(Set.of("one", "two")));
    }
}
