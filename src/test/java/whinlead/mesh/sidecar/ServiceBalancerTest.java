package whinlead.mesh.sidecar;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import whinlead.engine.Timers;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.plan.Calendar;

/** What a service without a request costs a sidecar. */
public class ServiceBalancerTest {
    private static final double SPAN_MS = 60_000;

    /** Simulated time that counts how often a timer fires. */
    private static final class Counted implements Timers {
        private final Calendar calendar = new Calendar();
        private int fired;

        @Override
        public double now() {
            return calendar.now();
        }

        @Override
        public Timer after(double millis, Runnable task) {
            return calendar.after(millis, () -> {
                fired++;
                task.run();
            });
        }
    }

    /** A connection that is never used. */
    private static final class Unused implements PeerPath {
        @Override
        public void dial() {}

        @Override
        public ReconnectingConnection.State state() {
            return ReconnectingConnection.State.DOWN;
        }

        @Override
        public boolean send(PeerMessage message) {
            return false;
        }

        @Override
        public void close() {}
    }

    private static NodeSettings settings() {
        return new NodeSettings(
                new NodeSettings.Self("here", "127.0.0.1", "z", false, null, null, null, null),
                new NodeSettings.Network(new NodeSettings.Bind(null, null, null, null), List.of(7000, 7001), List.of()),
                new NodeSettings.Substrate(1),
                new NodeSettings.Clauses(new NodeSettings.Bounds(2.5, 6, 3, 2.5, 0.2, 10, 60, 5, 0.1, 20)));
    }

    @Test
    public void servicesWithoutRequestsWakeTheSidecarOnceInTwoSeconds() {
        Counted timers = new Counted();
        RequestForwarder round = new RequestForwarder(
                timers, Runnable::run, "here", (request, done) -> {}, (node, ear) -> new Unused(), () -> {});
        Timers beat = new AlignedTimers(timers, RequestClasses.period());
        int services = 64;
        for (int i = 0; i < services; i++) {
            ServiceBalancer balancer = new ServiceBalancer(
                    beat, new RequestClasses(), settings(), 3, i, round, null, new RetryBudget(0.2, 60));
            balancer.update(List.of(new EndpointRecord(
                    "node", 1, 1, "z", "endpoint", "service-" + i, EndpointRecord.Phase.SERVING, 6, 0)));
        }
        timers.calendar.runTo(SPAN_MS);
        double periods = services * SPAN_MS / RequestClasses.period();
        assertTrue(
                timers.fired <= services * (SPAN_MS / TicklessModule.SLEEP_MS + 1),
                timers.fired + " timers for " + periods + " periods");
    }
}
