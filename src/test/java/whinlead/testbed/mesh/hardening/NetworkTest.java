package whinlead.testbed.mesh.hardening;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The rig's ways between machines. */
public class NetworkTest {
    private Agenda agenda;
    private Network network;
    private List<Integer> came;

    @BeforeMethod
    public void begin() {
        agenda = new Agenda();
        network = new Network(agenda, new SplittableRandom(1));
        came = new ArrayList<>();
    }

    private void send(String from, String to, int what) {
        network.send(from, to, () -> came.add(what));
        agenda.run(agenda.now() + 1000, () -> false);
    }

    @Test
    public void aCutInOneDirectionLeavesTheOther() {
        network.set("a", "b", Network.Way.CUT);
        send("a", "b", 1);
        send("b", "a", 2);
        assertEquals(came, List.of(2));
        network.set("a", "b", Network.Way.OPEN);
        send("a", "b", 3);
        assertEquals(came, List.of(2, 3), "what was cut off is gone");
    }

    @Test
    public void whatIsHeldBackComesAllAtOnceInItsOrder() {
        network.set("a", "b", Network.Way.HELD);
        for (int i = 0; i < 5; i++) {
            send("a", "b", i);
        }
        assertEquals(came, List.of());
        network.set("a", "b", Network.Way.OPEN);
        agenda.run(agenda.now() + 1, () -> false);
        assertEquals(came, List.of(0, 1, 2, 3, 4));
    }

    @Test
    public void someAreLostAndSomeComeTwice() {
        network.spoil(0.3, 0);
        for (int i = 0; i < 1000; i++) {
            send("a", "b", i);
        }
        assertTrue(Math.abs(came.size() - 700) < 60, came.size() + " came");
        came.clear();
        network.spoil(0, 0.3);
        for (int i = 0; i < 1000; i++) {
            send("a", "b", i);
        }
        assertTrue(Math.abs(came.size() - 1300) < 60, came.size() + " came");
        came.clear();
        for (int i = 0; i < 1000; i++) {
            network.sendSurely("a", "b", () -> came.add(0));
        }
        agenda.run(agenda.now() + 1000, () -> false);
        assertEquals(came.size(), 1000);
    }
}
