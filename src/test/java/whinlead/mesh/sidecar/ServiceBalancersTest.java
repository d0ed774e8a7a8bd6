package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.engine.Timers;
import whinlead.mesh.keys.KeyRange;
import whinlead.mesh.keys.KeyRoute;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.settings.NodeSettings;
import whinlead.plan.Calendar;

/** Which balancers a sidecar keeps while services come and go with the configuration. */
public class ServiceBalancersTest {
    /** More services than were once allowed for the life of a process. */
    private static final int SERVICES_OVER_TIME = 1000;

    private static final int PLANNED_SERVICES = 1900;
    private static final double QUIET_MS = 10_000;

    /** Counts the tasks that run. */
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

    private CountingTimers timers;
    private ServiceBalancers balancers;

    @BeforeMethod
    public void create() {
        timers = new CountingTimers();
        NodeSettings settings = new NodeSettings(
                new NodeSettings.Self("here", "127.0.0.1", "z", false, null, null, null, null),
                new NodeSettings.Network(new NodeSettings.Bind(null, null, null, null), List.of(7000, 7001), List.of()),
                new NodeSettings.Substrate(1),
                new NodeSettings.Clauses(new NodeSettings.Bounds(2.5, 6, 3, 2.5, 0.2, 10, 60, 5, 0.1, 20)));
        RequestForwarder forwarder = new RequestForwarder(
                timers,
                Runnable::run,
                "here",
                (request, body, done) -> {},
                (node, listener) -> {
                    throw new AssertionError("no request is sent");
                },
                () -> {});
        balancers = new ServiceBalancers(timers, new RequestClasses(), settings, new EndpointRegistry(), forwarder);
    }

    private static Set<String> services(int count) {
        return IntStream.range(0, count).mapToObj(i -> "service-" + i).collect(Collectors.toSet());
    }

    // Regression: a balancer was kept for each service that was ever configured, and after 256 of them no request to a
    // further service was answered.
    @Test
    public void servicesThatComeAndGoLeaveNothingBehind() {
        balancers.configChanged(Set.of("first"));
        ServiceBalancer first = balancers.forService("first", false);
        for (int i = 0; i < SERVICES_OVER_TIME; i++) {
            String service = "preview-" + i;
            balancers.configChanged(Set.of("first", service));
            assertNotNull(balancers.forService(service, false));
            assertNotNull(balancers.forService(service, true));
        }
        assertSame(balancers.forService("first", false), first, "it was configured all the time");
        assertTrue(balancers.services().size() <= 2 + ServiceBalancers.MAX_FORMER_SERVICES);
        timers.calendar.runUntil(QUIET_MS);
        timers.firedTimers = 0;
        timers.calendar.runUntil(2 * QUIET_MS);
        int periodic = 2 * (2 + ServiceBalancers.MAX_FORMER_SERVICES);
        assertTrue(
                timers.firedTimers <= periodic * (QUIET_MS / TicklessModule.SLEEP_MS + 1),
                timers.firedTimers + " timers of closed balancers");
    }

    @Test
    public void serviceThatReturnsSoonKeepsItsBalancer() {
        balancers.configChanged(Set.of("a", "b"));
        ServiceBalancer a = balancers.forService("a", false);
        balancers.configChanged(Set.of("b"));
        balancers.configChanged(Set.of("a", "b"));
        assertSame(balancers.forService("a", false), a);
        balancers.configChanged(Set.of("b"));
        balancers.configChanged(services(ServiceBalancers.MAX_FORMER_SERVICES));
        balancers.configChanged(Set.of("b"));
        assertNotSame(balancers.forService("a", false), a, "others have left since");
    }

    @Test
    public void eachOfManyConfiguredServicesHasABalancer() {
        Set<String> services = services(PLANNED_SERVICES);
        balancers.configChanged(services);
        assertEquals(balancers.services().size(), ServiceBalancers.MAX_PREPARED_SERVICES);
        Set<ServiceBalancer> distinct = new HashSet<>();
        services.forEach(service -> distinct.add(balancers.forService(service, false)));
        assertEquals(distinct.size(), PLANNED_SERVICES);
    }

    @Test
    public void requestForAServiceThatHasJustLeftHasABalancer() {
        balancers.configChanged(Set.of("a"));
        for (int i = 0; i < SERVICES_OVER_TIME; i++) {
            assertNotNull(balancers.forService("left-" + i, false));
        }
        assertTrue(balancers.services().size() <= 1 + ServiceBalancers.MAX_FORMER_SERVICES);
    }

    @Test
    public void ownersOfAServiceGoWithIt() {
        balancers.configChanged(Set.of("keyed"));
        balancers.routesReceived("keyed", List.of(new KeyRoute(KeyRange.ALL, 1, "there")));
        ServiceBalancer owner = balancers.forKey("keyed", 5);
        assertNotNull(owner);
        balancers.configChanged(services(ServiceBalancers.MAX_FORMER_SERVICES));
        balancers.configChanged(Set.of());
        balancers.configChanged(Set.of("keyed"));
        assertNotSame(balancers.forKey("keyed", 5), owner);
    }
}
