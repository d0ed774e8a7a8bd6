package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.sidecar.EndpointGate;
import whinlead.mesh.sidecar.RetryBudget;

/** The sidecars' own decisions: who may go in, what a tenant gets, what may be sent again, whose word holds. */
public class DataPlaneTest {
    private static RpcCall.EndpointStatus settings(String phase, long seq) {
        return new RpcCall.EndpointStatus("svc", "hall-a", 4, phase, 0, seq);
    }

    // A gate whose sidecar has no earlier process.
    private static EndpointGate newGate(double heartbeatIntervalMs) {
        EndpointGate gate = new EndpointGate(heartbeatIntervalMs);
        gate.departuresComplete();
        return gate;
    }

    @Test
    public void oneThatDrainsIsSentNothingSoonAfterItsAcknowledgement() {
        EndpointGate gate = newGate(1500);
        assertEquals(gate.admit(0, "svc", 0), EndpointGate.Admission.MOVED);
        assertTrue(gate.heartbeat(0, "i-1", settings("serving", 1)));
        assertEquals(gate.admit(10, "svc", 0), EndpointGate.Admission.OPEN);
        assertEquals(gate.admit(10, "other", 0), EndpointGate.Admission.MOVED);
        assertTrue(gate.heartbeat(1000, "i-1", settings("draining", 2)));
        assertEquals(gate.admit(1100, "svc", 0), EndpointGate.Admission.OPEN);
        // A late beat of before does not open it again, and one of the draining does not put its end off.
        assertFalse(gate.heartbeat(1200, "i-1", settings("serving", 1)));
        assertFalse(gate.heartbeat(1300, "i-1", settings("draining", 3)));
        assertEquals(gate.admit(1500, "svc", 0), EndpointGate.Admission.MOVED);
    }

    @Test
    public void oneThatHasLeftStaysGoneAndAnotherLifeIsNew() {
        EndpointGate gate = newGate(1500);
        gate.heartbeat(0, "i-1", settings("serving", 1));
        assertTrue(gate.departed("i-1"));
        assertFalse(gate.heartbeat(10, "i-1", settings("serving", 2)));
        assertEquals(gate.admit(20, "svc", 0), EndpointGate.Admission.MOVED);
        assertTrue(gate.heartbeat(30, "i-2", settings("serving", 1)));
        assertEquals(gate.admit(40, "svc", 0), EndpointGate.Admission.OPEN);
        assertFalse(gate.departed("i-1"));
        assertEquals(gate.admit(50, "svc", 0), EndpointGate.Admission.OPEN);
    }

    @Test
    public void oneThatIsSilentIsGoneUntilItBeatsAgain() {
        EndpointGate gate = newGate(1000);
        gate.heartbeat(0, "i-1", settings("serving", 1));
        assertFalse(gate.tick(3000));
        assertTrue(gate.tick(3600));
        assertEquals(gate.admit(3600, "svc", 0), EndpointGate.Admission.MOVED);
        assertTrue(gate.heartbeat(4000, "i-1", settings("serving", 2)));
        assertEquals(gate.admit(4000, "svc", 0), EndpointGate.Admission.OPEN);
    }

    @Test
    public void lowRanksFindItFullFirst() {
        EndpointGate gate = newGate(1500);
        gate.heartbeat(0, "i-1", settings("serving", 1));
        int[] taken = new int[3];
        for (int rank = 2; rank >= 0; rank--) {
            while (gate.admit(1, "svc", rank) == EndpointGate.Admission.OPEN) {
                gate.requestStarted(1);
                taken[rank]++;
            }
        }
        assertTrue(taken[2] >= 4 && taken[1] > 0 && taken[0] > 0, taken[2] + " " + taken[1] + " " + taken[0]);
        assertEquals(gate.admit(1, "svc", 0), EndpointGate.Admission.FULL);
        gate.requestEnded(2, true);
        assertEquals(gate.admit(2, "svc", 0), EndpointGate.Admission.OPEN);
    }

    @Test
    public void whereTheHighestRankComesTheOthersDoNotQueueAheadOfIt() {
        EndpointGate gate = newGate(1500);
        gate.heartbeat(0, "i-1", settings("serving", 1));
        for (int ms = 0; ms < 3000; ms += 50) {
            assertEquals(gate.admit(ms, "svc", 0), EndpointGate.Admission.OPEN);
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(gate.admit(3000, "svc", 2), EndpointGate.Admission.OPEN);
            gate.requestStarted(3000);
        }
        assertEquals(gate.admit(3000, "svc", 2), EndpointGate.Admission.FULL);
        assertEquals(gate.admit(3000, "svc", 0), EndpointGate.Admission.OPEN);
        // Once none comes any more the others may queue again.
        assertEquals(gate.admit(30_000, "svc", 2), EndpointGate.Admission.OPEN);
    }

    @Test
    public void furtherArrivalsStayInTheBudgetOfAllTogether() {
        int n = 12;
        double ratio = 0.2;
        double slack = 60;
        List<RetryBudget> parts = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            parts.add(new RetryBudget(ratio, slack));
        }
        Random random = new Random(5);
        int asked = 0;
        int again = 0;
        for (int i = 0; i < 5000; i++) {
            RetryBudget p = parts.get(random.nextInt(n));
            p.requestReceived(n);
            asked++;
            for (int k = 0; k < 3; k++) {
                again += p.trySpend() ? 1 : 0;
            }
            assertTrue(again <= asked * ratio + slack);
        }
        assertTrue(again > asked * ratio / 2, "what is allowed is used");
    }

    @Test
    public void endpointRecordsMergeToTheSameInAnyOrder() {
        Random random = new Random(3);
        List<EndpointRecord> said = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            int life = random.nextInt(3);
            int seq = random.nextInt(6);
            said.add(new EndpointRecord(
                    "n" + random.nextInt(3),
                    life,
                    seq,
                    "z",
                    "i-" + life + seq,
                    "svc",
                    EndpointRecord.Phase.values()[(life + seq) % 3],
                    6,
                    0));
        }
        HashSet<List<EndpointRecord>> ends = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            Collections.shuffle(said, random);
            EndpointRegistry d = new EndpointRegistry();
            said.forEach(d::merge);
            ends.add(List.of(d.find("n0"), d.find("n1"), d.find("n2")));
        }
        assertEquals(ends.size(), 1);
    }

    @Test
    public void aDirectoryIsBounded() {
        EndpointRegistry d = new EndpointRegistry();
        for (int i = 0; i < EndpointRegistry.MAX_NODES + 10; i++) {
            d.merge(new EndpointRecord("n" + i, 1, 1, "z", "", "", EndpointRecord.Phase.SERVING, 1, 0));
        }
        assertEquals(d.all().size(), EndpointRegistry.MAX_NODES);
        assertTrue(d.merge(new EndpointRecord("n0", 1, 2, "z", "", "", EndpointRecord.Phase.GONE, 1, 0)));
    }
}
