package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Guards against a busy sidecar that picks any server, which opened a new connection for two requests in three. */
class ConnectedTest {
    private static final int SERVERS = 8;

    private final Rig rig =
            new Rig(Rig.settings(false, Rig.requestClass("read", 1, Contract.Effect.SAFE, Contract.Group.ALL)), 5);

    private void start() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(SERVERS));
    }

    /** Leaves at least one attempt in flight at each server. */
    private void occupyAllServers() {
        Set<String> reached = new HashSet<>();
        while (reached.size() < SERVERS) {
            Contract.Request request = rig.sendRequest(1, 0);
            if (rig.sendCount(request) > 0) {
                reached.add(rig.lastServer(request));
            }
        }
    }

    @Test
    void busyServersWithAFreeConnectionArePreferred() {
        start();
        occupyAllServers();
        rig.connected = Set.of("s2", "s5");
        int free = 0;
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            Contract.Request request = rig.sendRequest(2, 0);
            if (rig.sendCount(request) > 0) {
                sent++;
                free += rig.connected.contains(rig.lastServer(request)) ? 1 : 0;
                rig.endAttempt(3, request, Contract.Outcome.SERVED, 20);
            }
        }
        // The draw for servers with more than their share in flight rejects some, which go to another server.
        assertTrue(sent > 20 && free > 0.7 * sent, free + " of " + sent + ", expected a quarter if chosen at random");
    }

    @Test
    void nothingIsRefusedWhenNoConnectionIsFree() {
        start();
        rig.connected = Set.of();
        for (int i = 0; i < 100; i++) {
            double nowMs = 1 + i * 100;
            rig.runTo(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 0);
            assertEquals(1, rig.sendCount(request));
            rig.endAttempt(nowMs + 20, request, Contract.Outcome.SERVED, 20);
        }
    }

    @Test
    void idleServerIsUsedWithoutAFreeConnection() {
        start();
        rig.connected = Set.of("s2");
        Set<String> reached = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            double nowMs = 1 + i * 100;
            rig.runTo(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 0);
            reached.add(rig.lastServer(request));
            rig.endAttempt(nowMs + 20, request, Contract.Outcome.SERVED, 20);
        }
        assertEquals(SERVERS, reached.size(), "servers reached although another always has a free connection");
    }
}
