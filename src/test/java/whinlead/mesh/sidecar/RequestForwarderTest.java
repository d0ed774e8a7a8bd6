package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import whinlead.engine.Transport;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.plan.Calendar;

/** Requests to other sidecars over paths that break, become silent, or are re-established. */
public class RequestForwarderTest {
    private static final int TIMEOUT_MS = 1000;

    /** A path whose state the test sets. */
    private static final class RecordingPath extends ScriptedPath {
        private final List<PeerMessage.ForwardRequest> sent = new ArrayList<>();
        private boolean open = true;
        private boolean breaks;

        private RecordingPath(PeerPath.Listener listener) {
            super(listener);
        }

        @Override
        public boolean send(PeerMessage message) {
            if (open) {
                sent.add((PeerMessage.ForwardRequest) message);
            }
            if (breaks) {
                open = false;
                changeState(ReconnectingConnection.State.DOWN);
                return true;
            }
            return open;
        }
    }

    private Calendar calendar;
    private ArrayDeque<Runnable> soon;
    private List<RecordingPath> paths;
    private RequestForwarder forwarder;
    private List<String> results;

    @BeforeMethod
    public void start() {
        calendar = new Calendar();
        soon = new ArrayDeque<>();
        paths = new ArrayList<>();
        results = new ArrayList<>();
        forwarder = new RequestForwarder(
                calendar,
                soon::add,
                "here",
                (request, body, done) -> {},
                (node, pathListener) -> {
                    RecordingPath path = new RecordingPath(pathListener);
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

    private Transport.AttemptHandle send(String id, boolean repeatable) {
        PeerMessage.ForwardRequest draft = new PeerMessage.ForwardRequest(
                0, "POST", "/x", List.of("Attempt-Id", id), new byte[0], TIMEOUT_MS, "svc", "i-1", 0);
        Transport.AttemptHandle sending = forwarder.send(
                "there",
                draft,
                repeatable,
                message -> results.add(id + " "
                        + (message instanceof PeerMessage.ForwardResponse response
                                ? response.status()
                                : ((PeerMessage.ForwardFailure) message).reason())));
        soon();
        return sending;
    }

    private RecordingPath openPath() {
        if (paths.isEmpty()) {
            send("first", true);
            paths.get(0).changeState(ReconnectingConnection.State.UP);
            paths.get(0).listener.messageReceived(answer(paths.get(0).sent.remove(0)));
            results.clear();
        } else {
            paths.get(0).changeState(ReconnectingConnection.State.UP);
        }
        return paths.get(0);
    }

    private static PeerMessage answer(PeerMessage.ForwardRequest request) {
        return new PeerMessage.ForwardResponse(request.stream(), 200, List.of(), new byte[0], 0, 0);
    }

    private static String attemptId(PeerMessage.ForwardRequest request) {
        return request.headers().get(1);
    }

    @Test
    public void waitingForThePathCountsAgainstTheDeadline() {
        send("a", false);
        calendar.runUntil(400);
        send("b", false);
        calendar.runUntil(TIMEOUT_MS);
        paths.get(0).changeState(ReconnectingConnection.State.UP);
        assertEquals(results, List.of("a UNREACHED"), "its deadline has passed, so it is not sent");
        assertEquals(paths.get(0).sent.size(), 1);
        assertEquals(attemptId(paths.get(0).sent.get(0)), "b");
        assertEquals(paths.get(0).sent.get(0).leftMs(), 400);
    }

    @Test
    public void requestGivenUpWhileWaitingIsNotSent() {
        Transport.AttemptHandle a = send("a", false);
        assertFalse(a.abort(), "it was not written");
        paths.get(0).changeState(ReconnectingConnection.State.UP);
        assertEquals(paths.get(0).sent.size(), 0);
        assertEquals(results, List.of());
    }

    @Test
    public void requestGivenUpAfterWritingMayRunAndItsLateAnswerIsIgnored() {
        RecordingPath path = openPath();
        Transport.AttemptHandle a = send("a", false);
        assertTrue(a.abort(), "it was written and may run");
        send("b", false);
        path.listener.messageReceived(answer(path.sent.get(0)));
        assertEquals(results, List.of());
        path.listener.messageReceived(answer(path.sent.get(1)));
        path.listener.messageReceived(answer(path.sent.get(1)));
        assertEquals(results, List.of("b 200"));
    }

    @Test
    public void brokenPathFailsItsRequestsAndDoesNotResendThem() {
        RecordingPath path = openPath();
        send("a", false);
        send("b", true);
        path.changeState(ReconnectingConnection.State.DOWN);
        assertEquals(results, List.of("a BROKEN", "b BROKEN"));
        path.dial();
        path.changeState(ReconnectingConnection.State.UP);
        assertEquals(path.sent.size(), 2);
        send("c", false);
        // Earlier stream numbers are not reused, so late responses to them are ignored.
        path.listener.messageReceived(answer(path.sent.get(0)));
        path.listener.messageReceived(answer(path.sent.get(1)));
        assertEquals(results, List.of("a BROKEN", "b BROKEN"));
        path.listener.messageReceived(answer(path.sent.get(2)));
        assertEquals(results.get(2), "c 200");
    }

    @Test
    public void silentPathFailsOnlyRepeatableRequests() {
        RecordingPath path = openPath();
        send("a", false);
        send("b", true);
        path.changeState(ReconnectingConnection.State.SUSPECT);
        assertEquals(results, List.of("b BROKEN"));
        send("c", false);
        assertEquals(results, List.of("b BROKEN", "c UNREACHED"));
        path.changeState(ReconnectingConnection.State.UP);
        path.listener.messageReceived(answer(path.sent.get(1)));
        path.listener.messageReceived(answer(path.sent.get(0)));
        assertEquals(results, List.of("b BROKEN", "c UNREACHED", "a 200"));
        assertEquals(path.sent.size(), 2);
    }

    @Test
    public void requestWaitingForAFailedConnectIsUnreached() {
        send("a", false);
        paths.get(0).changeState(ReconnectingConnection.State.DOWN);
        assertEquals(results, List.of("a UNREACHED"));
        paths.get(0).dial();
        paths.get(0).changeState(ReconnectingConnection.State.UP);
        assertEquals(paths.get(0).sent.size(), 0);
    }

    @Test
    public void requestNotAcceptedByAClosedConnectionIsUnreached() {
        RecordingPath path = openPath();
        path.open = false;
        send("a", false);
        assertEquals(results, List.of("a UNREACHED"));
        path.changeState(ReconnectingConnection.State.DOWN);
        assertEquals(results, List.of("a UNREACHED"));
    }

    @Test
    public void breakWhileWritingFailsTheRestAsUnreached() {
        send("a", false);
        send("b", false);
        paths.get(0).breaks = true;
        paths.get(0).changeState(ReconnectingConnection.State.UP);
        assertEquals(results, List.of("a BROKEN", "b UNREACHED"));
        assertEquals(paths.get(0).sent.size(), 1);
    }

    @DataProvider
    public Object[][] invalidResponses() {
        return new Object[][] {
            {0, List.of()},
            {99, List.of()},
            {101, List.of()},
            {600, List.of()},
            {-1, List.of()},
            {200, List.of("X-Odd Name", "v")},
            {200, List.of("X-Odd\u0001", "v")},
            {200, List.of("X-Odd\u00e9", "v")},
            {200, List.of("", "v")},
            {200, List.of("X-Odd", "v\r\nX-Other: v")},
            {200, List.of("X-Odd", "\0")},
            {200, List.of("X-Odd")},
            {200, List.of("Transfer-Encoding", "chunked")},
            {200, List.of("content-length", "3")}
        };
    }

    @Test(dataProvider = "invalidResponses")
    public void invalidResponseOfAnotherSidecarMayHaveRun(int status, List<String> headers) {
        RecordingPath path = openPath();
        send("a", false);
        path.listener.messageReceived(
                new PeerMessage.ForwardResponse(path.sent.get(0).stream(), status, headers, new byte[0], 0, 0));
        assertEquals(results, List.of("a BROKEN"));
    }

    @Test
    public void oddButValidResponseOfAnotherSidecarIsPassedOn() {
        RecordingPath path = openPath();
        for (int status : new int[] {200, 299, 404, 599}) {
            send("a", false);
            path.listener.messageReceived(new PeerMessage.ForwardResponse(
                    path.sent.remove(0).stream(), status, List.of("x-oDD!", "\u00e9\tv", "E", ""), new byte[0], 0, 0));
        }
        assertEquals(results, List.of("a 200", "a 299", "a 404", "a 599"));
    }
}
