package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** The README's example of a sidecar that embeds the module, compiled and run. */
class EmbeddingExampleTest {
    /** The sidecar's part: carries out the module's decisions. */
    static final class Sidecar implements Contract.Actions {
        final List<String> did = new ArrayList<>();

        @Override
        public void send(Contract.Request r, String server, double within) {
            did.add("send to " + server);
        }

        @Override
        public void cancel(Contract.Request r, int attempt) {
            did.add("cancel");
        }

        @Override
        public void refuse(Contract.Request r, double retryAfter) {
            did.add("refuse");
        }

        @Override
        public void fail(Contract.Request r) {
            did.add("fail");
        }

        @Override
        public void probe(String server) {
            did.add("probe " + server);
        }

        @Override
        public void watchServers() {
            did.add("watch");
        }

        @Override
        public void sendToPeers(byte[] text) {
            did.add("tell");
        }

        @Override
        public void wake(double at) {
            did.add("wake");
        }

        @Override
        public void log(String line) {
            did.add(line);
        }
    }

    @Test
    void aRequestIsSentAndItsAnswerTold() {
        Contract.RequestClass read =
                new Contract.RequestClass("read", 1, 0, 300, 1000, Contract.Effect.SAFE, Contract.Group.ALL, 0, false);
        Contract.Settings settings = new Contract.Settings(
                List.of(read),
                List.of(),
                1,
                new Contract.Limits(3, false, true, false, false, true, 1000, 0),
                new Contract.Obligations(1000, 3, 1000, 0.2, 20000, 0),
                Contract.Reporting.NONE,
                false,
                2,
                0);
        Sidecar sidecar = new Sidecar();
        Contract.Events module = new Decide(settings, 42, sidecar);

        module.start(0);
        module.servers(
                0,
                Contract.ListKind.FULL,
                List.of(new Contract.Server("db-1:443", Contract.ServerState.UP, 1, "hall", 0, 0)));
        Contract.Request request = new Contract.Request(1, 0, -1, 1000, false);
        module.request(5, request);
        module.outcome(25, request, 0, Contract.Outcome.SERVED, 20, true, null);

        assertEquals(List.of("wake", "send to db-1:443"), sidecar.did);
    }
}
