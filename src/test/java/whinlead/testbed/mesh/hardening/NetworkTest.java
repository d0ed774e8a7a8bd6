package whinlead.testbed.mesh.hardening;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the modelled links between machines. */
public class NetworkTest {
    private Scheduler scheduler;
    private Network network;
    private List<Integer> received;

    @BeforeMethod
    public void createNetwork() {
        scheduler = new Scheduler();
        network = new Network(scheduler, new SplittableRandom(1));
        received = new ArrayList<>();
    }

    private void send(String from, String to, int what) {
        network.send(from, to, () -> received.add(what));
        scheduler.runUntil(scheduler.nowMs() + 1000, () -> false);
    }

    @Test
    public void cutInOneDirectionLeavesTheOtherOpen() {
        network.set("a", "b", Network.Link.CUT);
        send("a", "b", 1);
        send("b", "a", 2);
        assertEquals(received, List.of(2));
        network.set("a", "b", Network.Link.OPEN);
        send("a", "b", 3);
        assertEquals(received, List.of(2, 3), "messages sent while the link is cut are lost");
    }

    @Test
    public void heldMessagesArriveTogetherInOrder() {
        network.set("a", "b", Network.Link.HELD);
        for (int i = 0; i < 5; i++) {
            send("a", "b", i);
        }
        assertEquals(received, List.of());
        network.set("a", "b", Network.Link.OPEN);
        scheduler.runUntil(scheduler.nowMs() + 1, () -> false);
        assertEquals(received, List.of(0, 1, 2, 3, 4));
    }

    @Test
    public void messagesAreLostAndDuplicatedAtTheSetShares() {
        network.setFaultShares(0.3, 0);
        for (int i = 0; i < 1000; i++) {
            send("a", "b", i);
        }
        assertTrue(Math.abs(received.size() - 700) < 60, received.size() + " came");
        received.clear();
        network.setFaultShares(0, 0.3);
        for (int i = 0; i < 1000; i++) {
            send("a", "b", i);
        }
        assertTrue(Math.abs(received.size() - 1300) < 60, received.size() + " came");
        received.clear();
        for (int i = 0; i < 1000; i++) {
            network.sendReliably("a", "b", () -> received.add(0));
        }
        scheduler.runUntil(scheduler.nowMs() + 1000, () -> false);
        assertEquals(received.size(), 1000);
    }
}
