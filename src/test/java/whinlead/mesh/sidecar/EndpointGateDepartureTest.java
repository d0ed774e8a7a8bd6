package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.rpc.RpcCall;

/** An endpoint that has announced its departure never counts as serving again, whatever arrives late. */
public class EndpointGateDepartureTest {
    private static final double HEARTBEAT_MS = 1500;

    private EndpointGate gate;

    @BeforeMethod
    public void start() {
        gate = new EndpointGate(HEARTBEAT_MS);
    }

    private boolean heartbeat(double nowMs, String id, String phase, long callSeq) {
        return gate.heartbeat(nowMs, id, new RpcCall.EndpointStatus("svc", "hall-a", 4, phase, 0, callSeq));
    }

    private boolean isOpen(double nowMs) {
        return gate.admit(nowMs, "svc", 0) == EndpointGate.Admission.OPEN;
    }

    // Guards against review case 3: a process that had just started stored nothing of a departure.
    @Test
    public void heartbeatThatArrivesAfterTheDepartureOfAnUnknownEndpointIsIgnored() {
        gate.departuresComplete();
        assertFalse(gate.departed("i-1"), "others know of no endpoint here");
        assertFalse(heartbeat(1500, "i-1", "serving", 4));
        assertFalse(isOpen(1500));
        assertTrue(heartbeat(4000, "i-2", "serving", 1), "its successor is another life");
        assertTrue(isOpen(4000));
    }

    @Test
    public void endpointDoesNotServeBeforeDeparturesOfEarlierProcessesAreKnown() {
        assertFalse(heartbeat(0, "i-1", "serving", 4));
        assertFalse(isOpen(10));
        assertEquals(gate.phase(), EndpointRecord.Phase.DRAINING);
        assertTrue(gate.departuresComplete());
        assertTrue(isOpen(20));
        assertEquals(gate.phase(), EndpointRecord.Phase.SERVING);
    }

    @Test
    public void departureAcknowledgedByAnEarlierProcessCountsBeforeAndAfterTheLateHeartbeat() {
        heartbeat(0, "i-1", "serving", 4);
        assertFalse(gate.departuresLearned(List.of("i-1", "i-2")));
        gate.departuresComplete();
        assertFalse(isOpen(10));
        assertFalse(heartbeat(20, "i-1", "serving", 5));
        assertFalse(heartbeat(30, "i-2", "serving", 1));
        assertFalse(isOpen(30));
    }

    @Test
    public void lateAnswerOfAControlNodeEndsTheServing() {
        gate.departuresComplete();
        heartbeat(0, "i-1", "serving", 4);
        assertTrue(gate.departuresLearned(List.of("i-1")));
        assertFalse(isOpen(10));
        assertFalse(gate.departuresLearned(List.of("i-1")), "known by now");
    }

    @Test
    public void endpointThatWasDrainingBeforeTheStartGetsNoFurtherRequests() {
        gate.departuresComplete();
        assertTrue(heartbeat(0, "i-1", "draining", 7));
        assertFalse(isOpen(0), "it may have been draining for long");
    }

    @Test
    public void drainingIsFinal() {
        gate.departuresComplete();
        heartbeat(0, "i-1", "serving", 1);
        heartbeat(1000, "i-1", "draining", 2);
        assertFalse(heartbeat(2000, "i-1", "serving", 3));
        assertFalse(isOpen(2000));
        assertTrue(gate.tick(2000 + 4 * HEARTBEAT_MS));
        assertFalse(heartbeat(9000, "i-1", "serving", 4));
        assertFalse(isOpen(9000));
    }

    @Test
    public void lateCallsOfAFormerEndpointDoNotTouchItsSuccessor() {
        gate.departuresComplete();
        heartbeat(0, "i-1", "serving", 1);
        gate.departed("i-1");
        heartbeat(3000, "i-2", "serving", 1);
        assertFalse(heartbeat(3100, "i-1", "serving", 2));
        assertFalse(gate.departed("i-1"));
        assertTrue(isOpen(3100));
        assertEquals(gate.endpoint(), "i-2");
    }

    // Where nobody can tell, only a heartbeat that was sent after the start counts.
    @Test
    public void heartbeatsOfBeforeDoNotCountOnceDeparturesCanNotBeLearned() {
        heartbeat(1000, "i-1", "serving", 4);
        assertFalse(gate.departuresOutdated());
        assertFalse(isOpen(10_000));
        assertFalse(heartbeat(10_100, "i-1", "serving", 4));
        assertTrue(heartbeat(10_200, "i-1", "serving", 5));
        assertTrue(isOpen(10_200));
    }
}
