package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.engine.Transport;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.plan.Calendar;

/** Requests on their way to other sidecars, over paths that break, are silent, or are made anew. */
public class RequestForwarderTest {
    private static final int LEFT_MS = 1000;

    /** A path that stands as it is told to. */
    private static final class Script extends ScriptedPath {
        private final List<PeerMessage.ForwardRequest> sent = new ArrayList<>();
        private boolean open = true;
        private boolean breaks;

        private Script(PeerPath.Listener listener) {
            super(listener);
        }

        @Override
        public boolean send(PeerMessage message) {
            if (open) {
                sent.add((PeerMessage.ForwardRequest) message);
            }
            if (breaks) {
                open = false;
                to(ReconnectingConnection.State.DOWN);
                return true;
            }
            return open;
        }
    }

    private Calendar calendar;
    private ArrayDeque<Runnable> soon;
    private List<Script> paths;
    private RequestForwarder forwarder;
    private List<String> told;

    @BeforeMethod
    public void start() {
        calendar = new Calendar();
        soon = new ArrayDeque<>();
        paths = new ArrayList<>();
        told = new ArrayList<>();
        forwarder = new RequestForwarder(
                calendar,
                soon::add,
                "here",
                (request, done) -> {},
                (node, ear) -> {
                    Script path = new Script(ear);
                    paths.add(path);
                    return path;
                },
                () -> {});
    }

    private void soon() {
        while (!soon.isEmpty()) {
            soon.poll().run();
        }
    }

    private Transport.Sending send(String id, boolean repeatable) {
        PeerMessage.ForwardRequest draft = new PeerMessage.ForwardRequest(
                0, "POST", "/x", List.of("Attempt-Id", id), new byte[0], LEFT_MS, "svc", "i-1", 0);
        Transport.Sending sending = forwarder.send(
                "there",
                draft,
                repeatable,
                message -> told.add(id + " "
                        + (message instanceof PeerMessage.ForwardResponse d
                                ? d.status()
                                : ((PeerMessage.ForwardFailure) message).why())));
        soon();
        return sending;
    }

    private Script up() {
        if (paths.isEmpty()) {
            send("first", true);
            paths.get(0).to(ReconnectingConnection.State.UP);
            paths.get(0).listener.message(answer(paths.get(0).sent.remove(0)));
            told.clear();
        } else {
            paths.get(0).to(ReconnectingConnection.State.UP);
        }
        return paths.get(0);
    }

    private static PeerMessage answer(PeerMessage.ForwardRequest request) {
        return new PeerMessage.ForwardResponse(request.stream(), 200, List.of(), new byte[0], 0, 0);
    }

    private static String id(PeerMessage.ForwardRequest request) {
        return request.headers().get(1);
    }

    @Test
    public void timeRunsWhileARequestWaitsForItsPath() {
        send("a", false);
        calendar.runTo(400);
        send("b", false);
        calendar.runTo(LEFT_MS);
        paths.get(0).to(ReconnectingConnection.State.UP);
        assertEquals(told, List.of("a UNREACHED"), "its time is up: it is never sent");
        assertEquals(paths.get(0).sent.size(), 1);
        assertEquals(id(paths.get(0).sent.get(0)), "b");
        assertEquals(paths.get(0).sent.get(0).leftMs(), 400);
    }

    @Test
    public void whatWasGivenUpWhileItWaitedNeverGoesOut() {
        Transport.Sending a = send("a", false);
        assertFalse(a.giveUp(), "nothing of it was written");
        paths.get(0).to(ReconnectingConnection.State.UP);
        assertEquals(paths.get(0).sent.size(), 0);
        assertEquals(told, List.of());
    }

    @Test
    public void whatWasGivenUpAfterItWasWrittenMayRunAndItsLateAnswerIsNobodys() {
        Script path = up();
        Transport.Sending a = send("a", false);
        assertTrue(a.giveUp(), "it may run");
        send("b", false);
        path.listener.message(answer(path.sent.get(0)));
        assertEquals(told, List.of());
        path.listener.message(answer(path.sent.get(1)));
        path.listener.message(answer(path.sent.get(1)));
        assertEquals(told, List.of("b 200"));
    }

    @Test
    public void aPathThatBreaksTellsWhatMayHaveRunAndWritesNothingAgain() {
        Script path = up();
        send("a", false);
        send("b", true);
        path.to(ReconnectingConnection.State.DOWN);
        assertEquals(told, List.of("a BROKEN", "b BROKEN"));
        path.dial();
        path.to(ReconnectingConnection.State.UP);
        assertEquals(path.sent.size(), 2);
        send("c", false);
        // The numbers of before are not given again: what still comes of them is nobody's.
        path.listener.message(answer(path.sent.get(0)));
        path.listener.message(answer(path.sent.get(1)));
        assertEquals(told, List.of("a BROKEN", "b BROKEN"));
        path.listener.message(answer(path.sent.get(2)));
        assertEquals(told.get(2), "c 200");
    }

    @Test
    public void aPathThatIsSilentEndsOnlyWhatMayRunAgain() {
        Script path = up();
        send("a", false);
        send("b", true);
        path.to(ReconnectingConnection.State.SUSPECT);
        assertEquals(told, List.of("b BROKEN"));
        send("c", false);
        assertEquals(told, List.of("b BROKEN", "c UNREACHED"));
        path.to(ReconnectingConnection.State.UP);
        path.listener.message(answer(path.sent.get(1)));
        path.listener.message(answer(path.sent.get(0)));
        assertEquals(told, List.of("b BROKEN", "c UNREACHED", "a 200"));
        assertEquals(path.sent.size(), 2);
    }

    @Test
    public void whatWaitsForADialThatFailsNeverRan() {
        send("a", false);
        paths.get(0).to(ReconnectingConnection.State.DOWN);
        assertEquals(told, List.of("a UNREACHED"));
        paths.get(0).dial();
        paths.get(0).to(ReconnectingConnection.State.UP);
        assertEquals(paths.get(0).sent.size(), 0);
    }

    @Test
    public void whatAClosedConnectionDidNotTakeNeverRan() {
        Script path = up();
        path.open = false;
        send("a", false);
        assertEquals(told, List.of("a UNREACHED"));
        path.to(ReconnectingConnection.State.DOWN);
        assertEquals(told, List.of("a UNREACHED"));
    }

    @Test
    public void aBreakInTheMidstOfWritingTellsTheRestThatItNeverRan() {
        send("a", false);
        send("b", false);
        paths.get(0).breaks = true;
        paths.get(0).to(ReconnectingConnection.State.UP);
        assertEquals(told, List.of("a BROKEN", "b UNREACHED"));
        assertEquals(paths.get(0).sent.size(), 1);
    }
}
