package whinlead.mesh.sidecar;

import static org.testng.Assert.assertTrue;

import whinlead.engine.Timers;
import whinlead.plan.Calendar;
import whinlead.mesh.settings.Card;
import whinlead.mesh.registry.Listing;
import whinlead.mesh.wire.Letter;
import whinlead.mesh.wire.Tie;
import java.util.List;
import org.testng.annotations.Test;

/** What a service without a request costs a sidecar. */
public class DepotTest {
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
    private static final class Unused implements Round.Path {
        @Override
        public void dial() { }

        @Override
        public Tie.State state() {
            return Tie.State.DOWN;
        }

        @Override
        public boolean send(Letter letter) {
            return false;
        }

        @Override
        public void close() { }
    }

    private static Card card() {
        return new Card(new Card.Self("here", "127.0.0.1", "z", false, null, null, null, null),
                new Card.Network(new Card.Bind(null, null, null, null), List.of(7000, 7001), List.of()),
                new Card.Substrate(1),
                new Card.Clauses(new Card.Bounds(2.5, 6, 3, 2.5, 0.2, 10, 60, 5, 0.1, 20)));
    }

    @Test
    public void servicesWithoutRequestsWakeTheSidecarOnceInTwoSeconds() {
        Counted timers = new Counted();
        Round round = new Round(timers, Runnable::run, "here", (parcel, done) -> { },
                (node, ear) -> new Unused(), () -> { });
        Timers beat = new Beat(timers, Classes.period());
        int services = 64;
        for (int i = 0; i < services; i++) {
            Depot depot = new Depot(beat, new Classes(), card(), 3, i, round, null, new Postage(0.2, 60));
            depot.update(List.of(new Listing("node", 1, 1, "z", "endpoint", "service-" + i,
                    Listing.Phase.SERVING, 6, 0)));
        }
        timers.calendar.runTo(SPAN_MS);
        double periods = services * SPAN_MS / Classes.period();
        assertTrue(timers.fired <= services * (SPAN_MS / TicklessModule.SLEEP_MS + 1),
                timers.fired + " timers for " + periods + " periods");
    }
}
