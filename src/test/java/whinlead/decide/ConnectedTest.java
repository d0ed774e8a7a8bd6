package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** A busy sidecar that picked any server made a new connection for two requests in three. */
class ConnectedTest {
    private static final int SERVERS = 8;

    private final Rig rig =
            new Rig(Rig.settings(false, Rig.kind("read", 1, Contract.Effect.SAFE, Contract.Group.ALL)), 5);

    private void start() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(SERVERS));
    }

    /** Has some out at each server. */
    private void hold() {
        Set<String> reached = new HashSet<>();
        while (reached.size() < SERVERS) {
            Contract.Request r = rig.ask(1, 0);
            if (rig.sends(r) > 0) {
                reached.add(rig.lastServer(r));
            }
        }
    }

    @Test
    void ofServersThatHoldSomeOneWithAFreeConnectionComesFirst() {
        start();
        hold();
        rig.connected = Set.of("s2", "s5");
        int free = 0;
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            Contract.Request r = rig.ask(2, 0);
            if (rig.sends(r) > 0) {
                sent++;
                free += rig.connected.contains(rig.lastServer(r)) ? 1 : 0;
                rig.end(3, r, Contract.Outcome.SERVED, 20);
            }
        }
        // The draw against what they hold turns some away, which go to another and are not refused for it.
        assertTrue(sent > 20 && free > 0.7 * sent, free + " of " + sent + ", where any gives a quarter");
    }

    @Test
    void whereNoneIsFreeNothingIsRefusedForIt() {
        start();
        rig.connected = Set.of();
        for (int i = 0; i < 100; i++) {
            double now = 1 + i * 100;
            rig.runTo(now);
            Contract.Request r = rig.ask(now, 0);
            assertEquals(1, rig.sends(r));
            rig.end(now + 20, r, Contract.Outcome.SERVED, 20);
        }
    }

    @Test
    void aServerThatHoldsNoneNeedsNoFreeConnection() {
        start();
        rig.connected = Set.of("s2");
        Set<String> reached = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            double now = 1 + i * 100;
            rig.runTo(now);
            Contract.Request r = rig.ask(now, 0);
            reached.add(rig.lastServer(r));
            rig.end(now + 20, r, Contract.Outcome.SERVED, 20);
        }
        assertEquals(SERVERS, reached.size(), "new servers are found where there is always a free one elsewhere");
    }
}
