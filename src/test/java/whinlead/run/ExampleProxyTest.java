package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import whinlead.consult.Tally;

/** The worked examples under {@code deploy/examples}, followed by stand-ins for the proxies that they are for. */
class ExampleProxyTest {
    private static final String NOWHERE = "127.0.0.1:1";

    /** The proxies, and what each says of a class that is unknown. */
    enum Kind {
        NGINX("http", 500) {
            @Override
            ExampleProxy proxy(int port) throws Exception {
                return new AuthRequestProxy(port);
            }
        },
        HAPROXY("spop", 400) {
            @Override
            ExampleProxy proxy(int port) throws Exception {
                return new SpoeProxy(port);
            }
        };

        final String front;
        final int unknownClass;

        Kind(String front, int unknownClass) {
            this.front = front;
            this.unknownClass = unknownClass;
        }

        abstract ExampleProxy proxy(int port) throws Exception;

        TestNode node(String... endpoints) throws Exception {
            return new TestNode(
                    ProcessorConfig.parse("{\"" + front + "\":{\"listen\":\"127.0.0.1:0\"}}", new ObjectMapper()),
                    1024,
                    NOWHERE,
                    "ask",
                    endpoints);
        }

        ExampleProxy before(TestNode node) throws Exception {
            return proxy(node.consulted.get(front).getPort());
        }
    }

    private static long count(TestNode n, Tally.Kind kind) throws Exception {
        return n.group.next().submit(() -> n.consultations.tally().count(kind)).get();
    }

    @ParameterizedTest
    @EnumSource
    void requestsGoWhereTheyAreToldAndTheirOutcomesComeBack(Kind kind) throws Exception {
        FakeServer.Script told = (r, w) -> w.answer("200 OK", "Server-Load: util=0.3\r\n", "x");
        try (FakeServer a = new FakeServer(told);
                FakeServer b = new FakeServer(told);
                TestNode n = kind.node(a.address(), b.address());
                ExampleProxy proxy = kind.before(n)) {
            for (int i = 0; i < 40; i++) {
                assertEquals(200, proxy.ask("r" + i, "status").status());
            }
            assertEquals(40, a.requests.size() + b.requests.size());
            assertFalse(a.requests.isEmpty());
            assertFalse(b.requests.isEmpty());
            ExampleProxy.awaitNoneOpen(n);
            assertEquals(0, count(n, Tally.Kind.NOT_REPORTED));
        }
    }

    @ParameterizedTest
    @EnumSource
    void whatAnEndpointDidNotAnswerIsReportedAsWhatItWas(Kind kind) throws Exception {
        try (FakeServer good = new FakeServer((r, w) -> w.ok("good"));
                TestNode n = kind.node(FakeServer.refusing(), good.address());
                ExampleProxy proxy = kind.before(n)) {
            int served = 0;
            for (int i = 0; i < 40; i++) {
                // What did not run is refused where the proxy can't follow a retry, or the module wants none.
                int status = proxy.ask("r" + i, "status").status();
                assertTrue(status == 200 || status == 503, "status " + status);
                served += status == 200 ? 1 : 0;
            }
            ExampleProxy.awaitNoneOpen(n);
            assertTrue(served > 0);
            assertEquals(served, good.requests.size());
        }
    }

    @Test
    void nginxTriesAgainWhereTheModuleSays() throws Exception {
        try (FakeServer good = new FakeServer((r, w) -> w.ok("good"));
                TestNode n = Kind.NGINX.node(FakeServer.refusing(), good.address());
                ExampleProxy proxy = Kind.NGINX.before(n)) {
            boolean afterAnother = false;
            for (int i = 0; i < 50 && !afterAnother; i++) {
                long before = count(n, Tally.Kind.JOINED);
                afterAnother = proxy.ask("r" + i, "status").status() == 200 && count(n, Tally.Kind.JOINED) > before;
            }
            assertTrue(afterAnother, "none was served at the second endpoint that it was told");
        }
    }

    @ParameterizedTest
    @EnumSource
    void anUnsafeRequestThatWasResetIsFailedAndSentOnlyOnce(Kind kind) throws Exception {
        try (FakeServer a = new FakeServer((r, w) -> w.reset());
                FakeServer b = new FakeServer((r, w) -> w.reset());
                TestNode n = kind.node(a.address(), b.address());
                ExampleProxy proxy = kind.before(n)) {
            assertEquals(502, proxy.ask("w1", "submit").status());
            assertEquals(1, a.requests.size() + b.requests.size());
            assertEquals(502, proxy.ask("w1", "submit").status());
            assertEquals(1, a.requests.size() + b.requests.size(), "a resend of what may have run");
        }
    }

    @ParameterizedTest
    @EnumSource
    void aRefusalReachesTheClientAs503WithRetryAfter(Kind kind) throws Exception {
        try (TestNode n = kind.node(FakeServer.refusing(), FakeServer.refusing());
                ExampleProxy proxy = kind.before(n)) {
            ExampleProxy.Answer answer = proxy.ask("w1", "submit");
            assertEquals(503, answer.status());
            assertTrue(Double.parseDouble(answer.headers().get("Retry-After")) > 0, answer.toString());
            assertEquals(kind.unknownClass, proxy.ask("r1", "unheard-of").status());
        }
    }
}
