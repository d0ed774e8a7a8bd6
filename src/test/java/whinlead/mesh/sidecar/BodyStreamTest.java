package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.wire.PeerMessage;

/** A body that is passed on while it arrives: in which parts it is taken, and when it can't be sent again. */
public class BodyStreamTest {
    private BodyStream body;
    private List<String> taken;
    private int opened;
    private int released;

    @BeforeMethod
    public void create() {
        taken = new ArrayList<>();
        opened = 0;
        released = 0;
        body = new BodyStream(PeerMessage.UNKNOWN_LENGTH, new BodyStream.Producer() {
            @Override
            public void opened() {
                opened++;
            }

            @Override
            public void released(int bytes) {
                released += bytes;
            }
        });
    }

    private void append(String text, boolean last) {
        body.append(text.getBytes(StandardCharsets.US_ASCII), last);
    }

    private void takeAll(int maxBytes) {
        for (BodyStream.Part part = body.take(maxBytes); part != null; part = body.take(maxBytes)) {
            taken.add(new String(part.bytes(), StandardCharsets.US_ASCII) + (part.last() ? "." : ""));
            body.release(part.bytes().length);
        }
    }

    @Test
    public void partsContainAllBytesInOrder() {
        append("abcde", false);
        append("f", false);
        append("ghij", true);
        takeAll(4);
        assertEquals(taken, List.of("abcd", "efgh", "ij."));
        assertEquals(released, 10);
        assertTrue(body.isFinished());
        assertEquals(body.availableBytes(), 0);
    }

    @Test
    public void endThatArrivesLaterIsAnEmptyPart() {
        append("ab", false);
        takeAll(4);
        assertFalse(body.isFinished());
        append("", true);
        takeAll(4);
        assertEquals(taken, List.of("ab", "."));
        assertNull(body.take(4));
    }

    @Test
    public void listenerRunsForWhatHasArrivedAndWhatArrivesLater() {
        append("ab", false);
        body.open(() -> takeAll(4));
        append("cd", false);
        body.abandon();
        append("ef", true);
        assertEquals(taken, List.of("ab", "cd"));
        assertEquals(opened, 1);
    }

    @Test
    public void bodyCanBeOpenedAgainUntilAPartIsTaken() {
        append("ab", false);
        body.open(() -> {});
        body.abandon();
        assertFalse(body.isTaken());
        body.open(() -> takeAll(4));
        assertEquals(taken, List.of("ab"));
        assertTrue(body.isTaken());
    }
}
