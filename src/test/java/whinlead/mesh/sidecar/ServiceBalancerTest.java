package whinlead.mesh.sidecar;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import whinlead.engine.Timers;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.plan.Calendar;

/** How often idle services wake a sidecar. */
public class ServiceBalancerTest {
    private static final double DURATION_MS = 60_000;

    /** Timers on simulated time that count how often they fire. */
    private static final class CountingTimers implements Timers {
        private final Calendar calendar = new Calendar();
        private int firedTimers;

        @Override
        public double nowMs() {
            return calendar.nowMs();
        }

        @Override
        public TimerHandle schedule(double delayMs, Runnable task) {
            return calendar.schedule(delayMs, () -> {
                firedTimers++;
                task.run();
            });
        }
    }

    /** A path that is never used. */
    private static final class UnusedPath implements PeerPath {
        @Override
        public int version() {
            return ProtocolVersion.SUPPORTED.newest();
        }

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
    public void idleServicesWakeTheSidecarOnceInTwoSeconds() {
        CountingTimers timers = new CountingTimers();
        RequestForwarder forwarder = new RequestForwarder(
                timers,
                Runnable::run,
                "here",
                (request, body, done) -> {},
                (node, pathListener) -> new UnusedPath(),
                () -> {});
        Timers alignedTimers = new AlignedTimers(timers, RequestClasses.periodMs());
        int services = 64;
        for (int i = 0; i < services; i++) {
            ServiceBalancer balancer = new ServiceBalancer(
                    alignedTimers, new RequestClasses(), settings(), 3, i, forwarder, null, new RetryBudget(0.2, 60));
            balancer.update(List.of(new EndpointRecord(
                    "node", 1, 1, "z", "endpoint", "service-" + i, EndpointRecord.Phase.SERVING, 6, 0)));
        }
        timers.calendar.runUntil(DURATION_MS);
        double periods = services * DURATION_MS / RequestClasses.periodMs();
        assertTrue(
                timers.firedTimers <= services * (DURATION_MS / TicklessModule.SLEEP_MS + 1),
                timers.firedTimers + " timers for " + periods + " periods");
    }
}
