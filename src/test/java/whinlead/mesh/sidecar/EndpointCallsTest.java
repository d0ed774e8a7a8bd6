package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.wire.PeerMessage;

/** What an endpoint's calls are answered, and when. */
public class EndpointCallsTest {
    private static final List<String> VOTERS = List.of("10.0.0.1#0", "10.0.0.2#0", "10.0.0.3#0");

    private final List<PeerMessage> sent = new ArrayList<>();
    private final List<Integer> statuses = new ArrayList<>();
    private double nowMs;
    private int presentCount;
    private EndpointGate gate;
    private EndpointCalls calls;

    @BeforeMethod
    public void start() {
        sent.clear();
        statuses.clear();
        nowMs = 0;
        presentCount = 0;
        gate = new EndpointGate(1500);
        calls = new EndpointCalls(() -> nowMs, gate, sent::add, new EndpointCalls.Listener() {
            @Override
            public void endpointChanged(boolean sameEndpoint) {}

            @Override
            public void endpointPresent() {
                presentCount++;
            }

            @Override
            public void endpointLeft() {}
        });
        calls.departures().votersChanged(VOTERS);
    }

    private void heartbeat(String phase, long callSeq) {
        calls.run(
                new RpcCall.Heartbeat("i-1", new RpcCall.EndpointStatus("svc", "z", 4, phase, 0, callSeq)),
                response -> statuses.add(response.status()));
    }

    private void depart() {
        calls.run(new RpcCall.Depart("i-1"), response -> statuses.add(response.status()));
    }

    private void stored(int voter, String... endpoints) {
        calls.departures().stored(new PeerMessage.DeparturesStored(VOTERS.get(voter), List.of(endpoints)));
    }

    private boolean isOpen() {
        return gate.admit(nowMs, "svc", 0) == EndpointGate.Admission.OPEN;
    }

    @Test
    public void departureIsAcknowledgedOnceAMajorityHasStoredIt() {
        depart();
        assertEquals(sent, List.of(new PeerMessage.DepartureReport(List.of("i-1"))));
        stored(0, "i-1");
        stored(1);
        assertEquals(statuses, List.of());
        stored(2, "i-1");
        assertEquals(statuses, List.of(200));
        depart();
        assertEquals(statuses, List.of(200, 200), "known by now");
    }

    @Test
    public void drainingTakesEffectAtOnceAndGets503WhereItIsNotStored() {
        stored(0);
        stored(1);
        heartbeat("serving", 1);
        heartbeat("draining", 2);
        stored(0, "i-1");
        assertEquals(statuses, List.of(200));
        nowMs = 900;
        calls.tick();
        assertEquals(statuses, List.of(200, 503));
        assertFalse(isOpen());
        heartbeat("draining", 3);
        stored(1, "i-1");
        assertEquals(statuses, List.of(200, 503, 200));
    }

    @Test
    public void endpointServesOnceAMajorityHasToldOfEarlierDepartures() {
        heartbeat("serving", 1);
        stored(0);
        assertFalse(isOpen());
        stored(1);
        assertTrue(isOpen());
    }

    // Guards against leases of limits that the sidecar of an endpoint that has left takes up again.
    @Test
    public void lateHeartbeatOfAnEndpointThatHasLeftDoesNotCountAsPresence() {
        heartbeat("serving", 1);
        depart();
        heartbeat("serving", 2);
        assertEquals(presentCount, 1);
    }

    // While versions are mixed, departures are acknowledged as that version does.
    @Test
    public void controlNodesOfAnEarlierVersionCountAsAnswered() {
        calls.departures().withoutStore("10.0.0.1");
        calls.departures().withoutStore("10.0.0.2");
        heartbeat("serving", 1);
        assertTrue(isOpen());
        depart();
        assertEquals(statuses, List.of(200, 200));
        assertFalse(isOpen());
    }

    @Test
    public void withoutAMajorityTheEndpointServesWithItsNextHeartbeatAfterTenSeconds() {
        heartbeat("serving", 1);
        nowMs = 10_001;
        calls.tick();
        assertFalse(isOpen());
        heartbeat("serving", 2);
        assertTrue(isOpen());
    }
}
