package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch: changes are heeded, and when it fails the old list stands and it is asked for again. */
class DiscoveryTest {
    private static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    /** Discovery that answers its first call with this and breaks it, and leaves the second open and silent. */
    private static FakeServer failing(String first) throws IOException {
        FakeServer[] self = new FakeServer[1];
        self[0] = new FakeServer((r, w) -> {
            if (self[0].requests.size() == 1) {
                w.text(first);
                w.socket().close();
            } else {
                w.text(WATCH + chunk(""));
            }
        });
        return self[0];
    }

    // The sidecar hears of a change at its own time: ask until the endpoint that answers is the wanted one.
    private static void askUntil(TestClient c, String body) throws Exception {
        for (int i = 0; i < 2000; i++) {
            if (c.ask(TestClient.submit("5")).body().equals(body)) {
                return;
            }
            Thread.sleep(5);
        }
        throw new AssertionError("never answered by " + body);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'seq':42,'whole':false,'hosts':[NEXT,{'host':'s0','dial':'127.0.0.1:9','health':'draining'}]}",
                "{'seq':42,'whole':false,'hosts':[NEXT,{'host':'s0','health':'gone'}]}",
                "{'seq':50,'whole':true,'hosts':[NEXT]}"
            })
    void whatDrainsOrIsGoneOrMissingFromAWholeListGetsNothingNew(String change) throws Exception {
        try (FakeServer old = new FakeServer((r, w) -> w.ok("old"));
                FakeServer next = new FakeServer((r, w) -> w.ok("next"));
                FakeServer d = new FakeServer((r, w) -> w.text(WATCH
                        + chunk("")
                        + chunk(change.replace('\'', '"')
                                .replace("NEXT", TestNode.host("s1", next.address(), "ready")))));
                TestNode n = new TestNode(d.address(), old.address());
                TestClient c = n.client()) {
            assertTrue(d.awaitRequest().line().contains("/registry/instances?watch=1&after=41 "));
            askUntil(c, "next");
            int before = old.requests.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("next", c.ask(TestClient.submit("5")).body());
            }
            assertEquals(before, old.requests.size());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{[\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n16\r\n{\"seq\":99,\"whole\":true}\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                ""
            })
    void afterAFailedCallTheOldListStandsAndItIsAskedForAgain(String first) throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                FakeServer d = failing(first);
                TestNode n = new TestNode(d.address(), e.address());
                TestClient c = n.client()) {
            d.awaitRequest();
            assertTrue(d.awaitRequest().line().contains("after=41 "));
            assertEquals("done", c.ask(TestClient.submit("5")).body());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'seq':50,'whole':true,'hosts':[{'host':'x','dial':'127.0.0.1:9'},{'host':'x','dial':'127.0.0.1:9'}]}",
                "{'seq':50,'whole':true,'hosts':[{'host':'x','health':'ready','dial':'127.0.0.1:9'},"
                        + "{'host':'x','health':'draining','dial':'127.0.0.1:9'}]}",
                "{'seq':7,'whole':true,'hosts':[]}",
                "{'seq':50,'whole':true,'hosts':[{'host':'x','health':'ready','dial':'127.0.0.1:9'"
            })
    void aListThatIsNotBelievedIsAFailedCall(String list) throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                FakeServer d = failing(WATCH + chunk(list.replace('\'', '"')));
                TestNode n = new TestNode(d.address(), e.address());
                TestClient c = n.client()) {
            d.awaitRequest();
            assertTrue(d.awaitRequest().line().contains("after=41 "));
            assertEquals("done", c.ask(TestClient.submit("5")).body());
        }
    }

    @Test
    void whatWasToldAsDrainingGetsNothingNewByListsCutOffUnreadableOrOld() throws Exception {
        FakeServer[] self = new FakeServer[1];
        try (FakeServer old = new FakeServer((r, w) -> w.ok("old"));
                FakeServer next = new FakeServer((r, w) -> w.ok("next"))) {
            String both = TestNode.list(
                    41,
                    true,
                    TestNode.host("s0", old.address(), "ready"),
                    TestNode.host("s1", next.address(), "ready"));
            String drains = TestNode.list(
                    60,
                    true,
                    TestNode.host("s0", old.address(), "draining"),
                    TestNode.host("s1", next.address(), "ready"));
            List<String> calls =
                    List.of(chunk(drains), chunk(both), "fff\r\n" + both.substring(0, 90), chunk("{" + both));
            try (FakeServer d = new FakeServer((r, w) -> {
                int call = self[0].requests.size() - 1;
                w.text(WATCH + (call < calls.size() ? calls.get(call) : chunk("")));
                if (call < calls.size()) {
                    w.socket().shutdownOutput();
                }
            })) {
                self[0] = d;
                try (TestNode n = new TestNode(d.address(), old.address());
                        TestClient c = n.client()) {
                    askUntil(c, "next");
                    int before = old.requests.size();
                    for (int i = 0; i <= calls.size(); i++) {
                        d.awaitRequest();
                        for (int j = 0; j < 20; j++) {
                            assertEquals("next", c.ask(TestClient.submit("5")).body());
                        }
                    }
                    assertEquals(before, old.requests.size());
                }
            }
        }
    }

    @Test
    void aListThatComesLateBringsBackNothingThatDrains() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        FakeServer[] self = new FakeServer[1];
        try (FakeServer old = new FakeServer((r, w) -> w.ok("old"));
                FakeServer next = new FakeServer((r, w) -> w.ok("next"))) {
            String both = chunk(TestNode.list(
                    41,
                    true,
                    TestNode.host("s0", old.address(), "ready"),
                    TestNode.host("s1", next.address(), "ready")));
            String drains = chunk(TestNode.list(
                    60,
                    true,
                    TestNode.host("s0", old.address(), "draining"),
                    TestNode.host("s1", next.address(), "ready")));
            try (FakeServer d = new FakeServer((r, w) -> {
                switch (self[0].requests.size()) {
                    case 1 -> {
                        w.text(WATCH + drains);
                        w.socket().shutdownOutput();
                    }
                    // What a replica that lags says, half of it at once and the rest when it gets to it.
                    case 2 -> {
                        w.text(WATCH + both.substring(0, both.length() / 2));
                        await(late);
                        w.text(both.substring(both.length() / 2));
                    }
                    default -> w.text(WATCH + chunk(""));
                }
            })) {
                self[0] = d;
                try (TestNode n = new TestNode(d.address(), old.address());
                        TestClient c = n.client()) {
                    d.awaitRequest();
                    askUntil(c, "next");
                    int before = old.requests.size();
                    assertTrue(d.awaitRequest().line().contains("after=60 "));
                    for (int i = 0; i < 20; i++) {
                        assertEquals("next", c.ask(TestClient.submit("5")).body());
                    }
                    late.countDown();
                    assertTrue(d.awaitRequest().line().contains("after=60 "), "a failed call, and asked anew");
                    for (int i = 0; i < 20; i++) {
                        assertEquals("next", c.ask(TestClient.submit("5")).body());
                    }
                    assertEquals(before, old.requests.size());
                }
            }
        }
    }

    @Test
    void aWatchThatFallsSilentIsBrokenAndAskedForAgain() throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                FakeServer d = new FakeServer((r, w) ->
                        w.text(WATCH + chunk(TestNode.list(77, false, TestNode.host("s0", e.address(), "ready")))));
                TestNode n = new TestNode(d.address(), e.address())) {
            assertTrue(d.awaitRequest().line().contains("after=41 "));
            d.awaitEnd();
            assertTrue(d.awaitRequest().line().contains("after=77 "));
            try (TestClient c = n.client()) {
                assertEquals("done", c.ask(TestClient.submit("5")).body());
            }
        }
    }

    @Test
    void aPushedListIsWatchedAndTheWatchRenewed() throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                FakeServer d = failing("");
                TestNode n = new TestNode(1024, d.address(), "push", e.address());
                TestClient c = n.client()) {
            d.awaitRequest();
            d.awaitRequest();
            assertEquals("done", c.ask(TestClient.submit("5")).body());
        }
    }

    @Test
    void theWatchMovesWithTheConfigurationAndTheOldOneIsNotHeeded(@TempDir Path dir) throws Exception {
        List<String> log = new CopyOnWriteArrayList<>();
        FakeServer.Wire[] late = new FakeServer.Wire[1];
        CountDownLatch tell = new CountDownLatch(1);
        try (FakeServer e = new FakeServer((r, w) -> w.ok("old"));
                FakeServer next = new FakeServer((r, w) -> w.ok("next"));
                FakeServer d = new FakeServer((r, w) -> {
                    late[0] = w;
                    w.text(WATCH + chunk(""));
                });
                FakeServer moved = new FakeServer((r, w) -> {
                    await(tell);
                    w.text(WATCH + chunk(TestNode.list(7, true, TestNode.host("s1", next.address(), "ready"))));
                });
                TestNode n = new TestNode(d.address(), e.address())) {
            d.awaitRequest();
            String good = TestNode.config("127.0.0.1:0", moved.address(), 1024);
            Path file = dir.resolve("c.json");
            Reload reload = new Reload(file.toString(), new ObjectMapper(), n.watch, log::add);
            for (String bad : new String[] {null, "{", good.replace(moved.address(), "nowhere")}) {
                if (bad != null) {
                    Files.writeString(file, bad);
                }
                n.group.next().submit(reload).get();
            }
            assertEquals(
                    3, log.stream().filter(l -> l.contains("not taken over")).count());
            assertEquals(0, moved.connections());

            // Twice in a row is no more than once; what the old watch has said is read too late, for the
            // loop is busy.
            Files.writeString(file, good);
            n.group
                    .next()
                    .submit(() -> {
                        late[0].text(chunk(TestNode.list(99, true)));
                        reload.run();
                        reload.run();
                        return null;
                    })
                    .get();
            d.awaitEnd();
            assertFalse(moved.awaitRequest().line().contains("after"));
            try (TestClient c = n.client()) {
                assertEquals("old", c.ask(TestClient.submit("5")).body());
                tell.countDown();
                askUntil(c, "next");
            }
            assertEquals(1, moved.connections());
            assertEquals(1, d.connections());
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
