package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import whinlead.plan.Calendar;
import whinlead.mesh.settings.Card;
import whinlead.mesh.registry.Listing;
import whinlead.mesh.rpc.Order;
import whinlead.mesh.config.Routing;
import whinlead.mesh.config.Tariff;
import whinlead.mesh.wire.Letter;
import whinlead.mesh.wire.Tie;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * No kind of request fares worse than another for where it comes from: routes that were added later, and
 * calls of endpoints, which carry no key. Requests go through the real client side, by a driven clock.
 */
public class KindsOfRequestsTest {
    private static final int ADDED = 350;
    private static final int CALLS = 200;
    private static final double WITHIN_MS = 2000;
    private static final String KEY = "Api-Key: key-1\r\n";

    /** A way to another sidecar whose endpoint answers at once. */
    private final class Answering implements Round.Path {
        private final Round.Ear ear;
        private Tie.State state = Tie.State.DOWN;

        private Answering(Round.Ear ear) {
            this.ear = ear;
        }

        private void to(Tie.State next) {
            Tie.State before = state;
            state = next;
            ear.changed(next, before);
        }

        @Override
        public void dial() {
            to(Tie.State.DIALLING);
            calendar.after(1, () -> to(Tie.State.UP));
        }

        @Override
        public Tie.State state() {
            return state;
        }

        @Override
        public boolean send(Letter letter) {
            Letter.Parcel parcel = (Letter.Parcel) letter;
            sent.add(parcel);
            calendar.after(1, () -> ear.letter(new Letter.Delivered(parcel.stream(), 200,
                    List.of("Server-Seal", "s"), new byte[0], 0, 0)));
            return true;
        }

        @Override
        public void close() {
            to(Tie.State.CLOSED);
        }
    }

    private Calendar calendar;
    private List<Letter.Parcel> sent;
    private Map<String, Tariff.Route> routes;
    private double ratePerS;
    private Routing routing;
    private ClientSide sidecar;

    @BeforeMethod
    public void start() {
        calendar = new Calendar();
        sent = new ArrayList<>();
        Round round = new Round(calendar, task -> calendar.after(0, task), "here", (parcel, done) -> { },
                (node, ear) -> new Answering(ear), () -> { });
        Card card = new Card(new Card.Self("here", "127.0.0.1", "z", false, null, null, null, null),
                new Card.Network(new Card.Bind(null, null, null, null), List.of(1, 1), List.of()),
                new Card.Substrate(1),
                new Card.Clauses(new Card.Bounds(2.5, 6, 3, 2.5, 0.2, 10, 60, 5, 0.1, 20)));
        routes = new LinkedHashMap<>();
        ratePerS = 0;
        routes.put("first", route("/first/", 1, false));
        routes.put("call", route("/call/", 0, true));
        inForce(1);
        sidecar = new ClientSide(calendar, card, round, () -> routing, 1);
        List<Listing> listings = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            listings.add(new Listing("n" + i, 1, 1, "z", "i-" + i, "svc", Listing.Phase.SERVING, 10, 0));
        }
        sidecar.endpoints("svc", listings);
    }

    private static Tariff.Route route(String prefix, int rank, boolean open) {
        return new Tariff.Route("h", prefix, Tariff.IDEMPOTENT, 2.0, 0.5, rank, null, "svc", 2, open);
    }

    private void inForce(long slot) {
        routing = new Routing(slot, new Tariff("%08x".formatted(slot), new LinkedHashMap<>(routes),
                Map.of("svc", new Tariff.Service("/health", 100)), new Tariff.Limits(16384, 1000, 3, 15),
                Map.of("t-1", new Tariff.Tenant(List.of("key-1"), 1, ratePerS, ratePerS))));
    }

    private int status(String path, String headers) {
        EmbeddedChannel client = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel connection) {
                sidecar.accept(connection);
            }
        });
        String request = "GET " + path + "x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n" + headers + "\r\n";
        client.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.ISO_8859_1));
        double until = calendar.now() + WITHIN_MS;
        ByteBuf answer = client.readOutbound();
        while (answer == null && calendar.now() < until) {
            calendar.runTo(calendar.now() + 1);
            answer = client.readOutbound();
        }
        int status = Integer.parseInt(answer.toString(StandardCharsets.ISO_8859_1).split(" ")[1]);
        answer.release();
        client.close();
        return status;
    }

    @Test
    public void routesThatWereAddedLaterAreServedLikeTheFirst() {
        assertEquals(status("/first/", KEY), 200);
        for (int i = 0; i < ADDED; i++) {
            routes.put("added-" + i, route("/added/" + i + "/", 1, true));
        }
        inForce(2);
        int served = 0;
        for (int i = 0; i < ADDED; i++) {
            served += status("/added/" + i + "/", "") == 200 ? 1 : 0;
        }
        assertEquals(served, ADDED, "served as the first one");
        assertEquals(status("/first/", KEY), 200);
        // The module tells requests apart by class alone, and these are of one class.
        assertEquals(sent.stream().map(Letter.Parcel::rank).distinct().count(), 1);
    }

    @Test
    public void callsOfEndpointsCarryNoKeyAndAreHeldUpByNoTenantsLimit() {
        ratePerS = 5;
        inForce(2);
        int limited = 0;
        for (int i = 0; i < CALLS; i++) {
            limited += status("/first/", KEY) == 429 ? 1 : 0;
            assertEquals(status("/call/", ""), 200, "call " + i);
        }
        assertTrue(limited > 0, "the tenant is over its limit meanwhile");
        long calls = sent.stream().filter(p -> p.uri().startsWith("/call/")).count();
        assertEquals(calls, CALLS);
        sent.stream().filter(p -> p.uri().startsWith("/call/")).forEach(p -> {
            assertEquals(p.rank(), 0, "a call has its route's rank");
            assertTrue(!p.headers().contains(Headers.TENANT), "and no tenant");
        });
    }

    @Test
    public void nobodyTakesThePlacesOfTheHighestRankAtAnEndpoint() {
        Hatch hatch = new Hatch(1500);
        hatch.beat(0, "i-1", new Order.Card("svc", "z", 4, "serving", 0, 1));
        for (int ms = 0; ms < 3000; ms += 50) {
            hatch.enter(ms, "svc", 0);
        }
        for (int rank = 3; rank > 0; rank--) {
            while (hatch.enter(3000, "svc", rank) == Hatch.Entry.OPEN) {
                hatch.began(3000);
            }
        }
        assertEquals(hatch.enter(3000, "svc", 0), Hatch.Entry.OPEN);
        assertNotEquals(hatch.enter(3000, "svc", 1), Hatch.Entry.OPEN);
    }
}
