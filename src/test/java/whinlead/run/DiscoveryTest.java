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

/** The discovery watch: changes are applied; after a failure the old list stays in force and the watch is retried. */
class DiscoveryTest {
    private static final String WATCH_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    /** A discovery server that answers the first call with this text and closes it, and keeps later calls open. */
    private static FakeServer failingDiscovery(String first) throws IOException {
        FakeServer[] self = new FakeServer[1];
        self[0] = new FakeServer((request, connection) -> {
            if (self[0].requests.size() == 1) {
                connection.sendRaw(first);
                connection.socket().close();
            } else {
                connection.sendRaw(WATCH_RESPONSE_HEAD + chunk(""));
            }
        });
        return self[0];
    }

    // The sidecar receives a change asynchronously: repeats requests until the expected endpoint answers.
    private static void exchangeUntilAnsweredBy(TestClient client, String body) throws Exception {
        for (int i = 0; i < 2000; i++) {
            if (client.call(TestClient.submit("5")).body().equals(body)) {
                return;
            }
            Thread.sleep(5);
        }
        throw new AssertionError("no response from " + body);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'seq':42,'whole':false,'hosts':[NEXT,{'host':'s0','dial':'127.0.0.1:9','health':'draining'}]}",
                "{'seq':42,'whole':false,'hosts':[NEXT,{'host':'s0','health':'gone'}]}",
                "{'seq':50,'whole':true,'hosts':[NEXT]}"
            })
    void drainingGoneOrUnlistedEndpointGetsNoNewRequests(String change) throws Exception {
        try (FakeServer old = new FakeServer((request, connection) -> connection.ok("old"));
                FakeServer next = new FakeServer((request, connection) -> connection.ok("next"));
                FakeServer discovery = new FakeServer((request, connection) -> connection.sendRaw(WATCH_RESPONSE_HEAD
                        + chunk("")
                        + chunk(change.replace('\'', '"')
                                .replace("NEXT", TestNode.hostJson("s1", next.address(), "ready")))));
                TestNode node = new TestNode(discovery.address(), old.address());
                TestClient client = node.newClient()) {
            assertTrue(discovery.awaitRequest().line().contains("/registry/instances?watch=1&after=41 "));
            exchangeUntilAnsweredBy(client, "next");
            int before = old.requests.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("next", client.call(TestClient.submit("5")).body());
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
    void failedWatchRetainsListAndIsRetried(String first) throws Exception {
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"));
                FakeServer discovery = failingDiscovery(first);
                TestNode node = new TestNode(discovery.address(), endpoint.address());
                TestClient client = node.newClient()) {
            discovery.awaitRequest();
            assertTrue(discovery.awaitRequest().line().contains("after=41 "));
            assertEquals("done", client.call(TestClient.submit("5")).body());
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
    void invalidListCountsAsFailedWatch(String list) throws Exception {
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"));
                FakeServer discovery = failingDiscovery(WATCH_RESPONSE_HEAD + chunk(list.replace('\'', '"')));
                TestNode node = new TestNode(discovery.address(), endpoint.address());
                TestClient client = node.newClient()) {
            discovery.awaitRequest();
            assertTrue(discovery.awaitRequest().line().contains("after=41 "));
            assertEquals("done", client.call(TestClient.submit("5")).body());
        }
    }

    @Test
    void outdatedOrDamagedListDoesNotReviveDrainingEndpoint() throws Exception {
        FakeServer[] self = new FakeServer[1];
        try (FakeServer old = new FakeServer((request, connection) -> connection.ok("old"));
                FakeServer next = new FakeServer((request, connection) -> connection.ok("next"))) {
            String both = TestNode.listJson(
                    41,
                    true,
                    TestNode.hostJson("s0", old.address(), "ready"),
                    TestNode.hostJson("s1", next.address(), "ready"));
            String drains = TestNode.listJson(
                    60,
                    true,
                    TestNode.hostJson("s0", old.address(), "draining"),
                    TestNode.hostJson("s1", next.address(), "ready"));
            List<String> calls =
                    List.of(chunk(drains), chunk(both), "fff\r\n" + both.substring(0, 90), chunk("{" + both));
            try (FakeServer discovery = new FakeServer((request, connection) -> {
                int call = self[0].requests.size() - 1;
                connection.sendRaw(WATCH_RESPONSE_HEAD + (call < calls.size() ? calls.get(call) : chunk("")));
                if (call < calls.size()) {
                    connection.socket().shutdownOutput();
                }
            })) {
                self[0] = discovery;
                try (TestNode node = new TestNode(discovery.address(), old.address());
                        TestClient client = node.newClient()) {
                    exchangeUntilAnsweredBy(client, "next");
                    int before = old.requests.size();
                    for (int i = 0; i <= calls.size(); i++) {
                        discovery.awaitRequest();
                        for (int j = 0; j < 20; j++) {
                            assertEquals(
                                    "next", client.call(TestClient.submit("5")).body());
                        }
                    }
                    assertEquals(before, old.requests.size());
                }
            }
        }
    }

    @Test
    void delayedOldListDoesNotReviveDrainingEndpoint() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        FakeServer[] self = new FakeServer[1];
        try (FakeServer old = new FakeServer((request, connection) -> connection.ok("old"));
                FakeServer next = new FakeServer((request, connection) -> connection.ok("next"))) {
            String both = chunk(TestNode.listJson(
                    41,
                    true,
                    TestNode.hostJson("s0", old.address(), "ready"),
                    TestNode.hostJson("s1", next.address(), "ready")));
            String drains = chunk(TestNode.listJson(
                    60,
                    true,
                    TestNode.hostJson("s0", old.address(), "draining"),
                    TestNode.hostJson("s1", next.address(), "ready")));
            try (FakeServer discovery = new FakeServer((request, connection) -> {
                switch (self[0].requests.size()) {
                    case 1 -> {
                        connection.sendRaw(WATCH_RESPONSE_HEAD + drains);
                        connection.socket().shutdownOutput();
                    }
                    // The list of a replica that lags: half of it at once and the rest later.
                    case 2 -> {
                        connection.sendRaw(WATCH_RESPONSE_HEAD + both.substring(0, both.length() / 2));
                        await(late);
                        connection.sendRaw(both.substring(both.length() / 2));
                    }
                    default -> connection.sendRaw(WATCH_RESPONSE_HEAD + chunk(""));
                }
            })) {
                self[0] = discovery;
                try (TestNode node = new TestNode(discovery.address(), old.address());
                        TestClient client = node.newClient()) {
                    discovery.awaitRequest();
                    exchangeUntilAnsweredBy(client, "next");
                    int before = old.requests.size();
                    assertTrue(discovery.awaitRequest().line().contains("after=60 "));
                    for (int i = 0; i < 20; i++) {
                        assertEquals("next", client.call(TestClient.submit("5")).body());
                    }
                    late.countDown();
                    assertTrue(discovery.awaitRequest().line().contains("after=60 "), "the old list was applied");
                    for (int i = 0; i < 20; i++) {
                        assertEquals("next", client.call(TestClient.submit("5")).body());
                    }
                    assertEquals(before, old.requests.size());
                }
            }
        }
    }

    @Test
    void silentWatchIsClosedAndRenewed() throws Exception {
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"));
                FakeServer discovery = new FakeServer((request, connection) -> connection.sendRaw(WATCH_RESPONSE_HEAD
                        + chunk(TestNode.listJson(77, false, TestNode.hostJson("s0", endpoint.address(), "ready")))));
                TestNode node = new TestNode(discovery.address(), endpoint.address())) {
            assertTrue(discovery.awaitRequest().line().contains("after=41 "));
            discovery.awaitConnectionClosed();
            assertTrue(discovery.awaitRequest().line().contains("after=77 "));
            try (TestClient client = node.newClient()) {
                assertEquals("done", client.call(TestClient.submit("5")).body());
            }
        }
    }

    @Test
    void watchOfPushedListIsRenewed() throws Exception {
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("done"));
                FakeServer discovery = failingDiscovery("");
                TestNode node = new TestNode(1024, discovery.address(), "push", endpoint.address());
                TestClient client = node.newClient()) {
            discovery.awaitRequest();
            discovery.awaitRequest();
            assertEquals("done", client.call(TestClient.submit("5")).body());
        }
    }

    @Test
    void reloadMovesWatchAndIgnoresOldOne(@TempDir Path dir) throws Exception {
        List<String> log = new CopyOnWriteArrayList<>();
        FakeServer.Connection[] late = new FakeServer.Connection[1];
        CountDownLatch sendNewList = new CountDownLatch(1);
        try (FakeServer endpoint = new FakeServer((request, connection) -> connection.ok("old"));
                FakeServer next = new FakeServer((request, connection) -> connection.ok("next"));
                FakeServer discovery = new FakeServer((request, connection) -> {
                    late[0] = connection;
                    connection.sendRaw(WATCH_RESPONSE_HEAD + chunk(""));
                });
                FakeServer moved = new FakeServer((request, connection) -> {
                    await(sendNewList);
                    connection.sendRaw(WATCH_RESPONSE_HEAD
                            + chunk(TestNode.listJson(7, true, TestNode.hostJson("s1", next.address(), "ready"))));
                });
                TestNode node = new TestNode(discovery.address(), endpoint.address())) {
            discovery.awaitRequest();
            String good = TestNode.configJson("127.0.0.1:0", moved.address(), 1024);
            Path file = dir.resolve("c.json");
            Reload reload = new Reload(file.toString(), new ObjectMapper(), node.discoveryWatch, log::add);
            for (String bad : new String[] {null, "{", good.replace(moved.address(), "nowhere")}) {
                if (bad != null) {
                    Files.writeString(file, bad);
                }
                node.group.next().submit(reload).get();
            }
            assertEquals(3, log.stream().filter(l -> l.contains("not applied")).count());
            assertEquals(0, moved.connectionCount());

            // Two reloads in a row have the effect of one. The loop is busy, so the list that the old watch sends
            // meanwhile is read too late.
            Files.writeString(file, good);
            node.group
                    .next()
                    .submit(() -> {
                        late[0].sendRaw(chunk(TestNode.listJson(99, true)));
                        reload.run();
                        reload.run();
                        return null;
                    })
                    .get();
            discovery.awaitConnectionClosed();
            assertFalse(moved.awaitRequest().line().contains("after"));
            try (TestClient client = node.newClient()) {
                assertEquals("old", client.call(TestClient.submit("5")).body());
                sendNewList.countDown();
                exchangeUntilAnsweredBy(client, "next");
            }
            assertEquals(1, moved.connectionCount());
            assertEquals(1, discovery.connectionCount());
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
