package whinlead.plan;

import java.util.List;
import java.util.Objects;
import whinlead.Contract;

/**
 * A deployment as it is described: what the planner knows of it, and all that it knows. Times are milliseconds, shares
 * from 0 to 1. The constructors check nothing that a schema can; {@link #check} finds what it can't.
 *
 * @param settings what every sidecar is told; their number is that of {@code shares}
 * @param models kinds of fronts
 * @param zones where fronts are
 * @param fronts how many there are
 * @param work what each class of the settings asks of a core of speed 1, and of others
 * @param front what every front is like
 * @param sidecar what every sidecar is like
 * @param shares of the traffic, one a sidecar
 * @param clients what clients do when refused or failed
 * @param changes what befalls the fleet
 */
public record Fleet(
        Contract.Settings settings,
        List<Model> models,
        List<Zone> zones,
        int fronts,
        List<Work> work,
        Front front,
        Sidecar sidecar,
        List<Double> shares,
        Clients clients,
        List<Change> changes) {
    /** How far shares may be from a sum of 1. */
    private static final double SUM_SLACK = 1e-6;

    /**
     * A kind of fronts, with speeds drawn evenly between two.
     *
     * @param share of the fronts
     */
    public record Model(String name, int cores, double slowest, double fastest, double share) {}

    /**
     * A place.
     *
     * @param share of the fronts
     * @param way one way between a sidecar and a front there
     */
    public record Zone(String name, double share, double way) {}

    /**
     * What a class asks of a front.
     *
     * @param core of one of its cores
     * @param away of others, while it holds no core
     */
    public record Work(Law core, Law away) {}

    /**
     * What every front is like.
     *
     * @param sharing all in service at once, in equal parts, or as many as there are cores
     * @param roomPerCore how many it holds for each core, those in service counted
     * @param connections that it takes at once
     * @param handshake work of a core for a new connection
     * @param coldShare of its speed at a start, rising evenly
     * @param coldTime until it is as fast as it gets
     * @param thrashAbove held for each core beyond which it is slower; 0 for never
     * @param thrashSpeed its speed then
     * @param thrashUntil held for each core at which that ends
     * @param cancelStops whether an attempt that was given up is worked on no further
     */
    public record Front(
            boolean sharing,
            double roomPerCore,
            int connections,
            double handshake,
            double coldShare,
            double coldTime,
            double thrashAbove,
            double thrashSpeed,
            double thrashUntil,
            boolean cancelStops) {
        /** The same with another room. */
        public Front room(double perCore) {
            return new Front(
                    sharing,
                    perCore,
                    connections,
                    handshake,
                    coldShare,
                    coldTime,
                    thrashAbove,
                    thrashSpeed,
                    thrashUntil,
                    cancelStops);
        }

        /** The same with so many connections. */
        public Front connections(int most) {
            return new Front(
                    sharing,
                    roomPerCore,
                    most,
                    handshake,
                    coldShare,
                    coldTime,
                    thrashAbove,
                    thrashSpeed,
                    thrashUntil,
                    cancelStops);
        }

        /** The same with handshakes of so much work. */
        public Front handshake(double millis) {
            return new Front(
                    sharing,
                    roomPerCore,
                    connections,
                    millis,
                    coldShare,
                    coldTime,
                    thrashAbove,
                    thrashSpeed,
                    thrashUntil,
                    cancelStops);
        }
    }

    /**
     * What every sidecar is like.
     *
     * @param work of its processor for a request, in all
     * @param places requests that its clients can have open
     * @param connections to fronts that it may hold
     * @param connectTimeout until a connect to a front that says nothing has failed
     * @param idle until a connection that nobody uses is closed
     */
    public record Sidecar(double work, int places, int connections, double connectTimeout, double idle) {
        /** The same with so much work. */
        public Sidecar work(double millis) {
            return new Sidecar(millis, places, connections, connectTimeout, idle);
        }

        /** The same with so many places. */
        public Sidecar places(int most) {
            return new Sidecar(work, most, connections, connectTimeout, idle);
        }

        /** The same with so many connections. */
        public Sidecar connections(int most) {
            return new Sidecar(work, places, most, connectTimeout, idle);
        }
    }

    /**
     * Clients.
     *
     * @param tries in all
     * @param backOff before the second, doubled for each further one and spread over its upper half
     * @param honour the share that comes back when told to, where it is told
     */
    public record Clients(int tries, double backOff, double honour) {}

    /** What can befall a fleet. */
    public enum Kind {
        /** A part of the fronts has a part of its speed. */
        SLOWED,
        /** A zone says nothing, is off the list after a time, and comes back cold. */
        ZONE_LOST,
        /** A zone's processes end, what they hold is reset, and they come back cold after the same. */
        ZONE_DIED
    }

    /**
     * Something that befalls the fleet.
     *
     * @param zone where, or null for everywhere
     * @param share of the fronts there
     * @param speed that they have left, of their own
     * @param notice until the list tells
     */
    public record Change(Kind kind, String zone, double share, double speed, double from, double to, double notice) {}

    /** The same with so many fronts. */
    public Fleet fronts(int count) {
        return new Fleet(settings, models, zones, count, work, front, sidecar, shares, clients, changes);
    }

    /** The same with other models. */
    public Fleet with(List<Model> others) {
        return new Fleet(settings, others, zones, fronts, work, front, sidecar, shares, clients, changes);
    }

    /** The same with other fronts. */
    public Fleet with(Front other) {
        return new Fleet(settings, models, zones, fronts, work, other, sidecar, shares, clients, changes);
    }

    /** The same with other sidecars. */
    public Fleet with(Sidecar other) {
        return new Fleet(settings, models, zones, fronts, work, front, other, shares, clients, changes);
    }

    /** The same with other clients. */
    public Fleet with(Clients other) {
        return new Fleet(settings, models, zones, fronts, work, front, sidecar, shares, other, changes);
    }

    /** The same with these changes. */
    public Fleet changes(List<Change> befalls) {
        return new Fleet(settings, models, zones, fronts, work, front, sidecar, shares, clients, befalls);
    }

    /**
     * Looks for what contradicts itself.
     *
     * @throws IllegalArgumentException that names the field
     */
    public void check() {
        sum("models", models.stream().mapToDouble(Model::share).toArray());
        sum("zones", zones.stream().mapToDouble(Zone::share).toArray());
        sum("sidecars.shares", shares.stream().mapToDouble(d -> d).toArray());
        for (Model m : models) {
            require(m.fastest() >= m.slowest(), "models: " + m.name() + " has its fastest below its slowest");
        }
        require(work.size() == settings.classes().size(), "work: one entry for each class is wanted");
        require(settings.sidecars() == shares.size(), "sidecars.shares: one for each sidecar is wanted");
        for (Change c : changes) {
            require(
                    c.zone() == null || zones.stream().anyMatch(z -> z.name().equals(c.zone())),
                    "changes: no zone " + c.zone());
            require(c.kind() == Kind.SLOWED || c.zone() != null, "changes: a lost zone wants its name");
            require(c.to() >= c.from(), "changes: one ends before it begins");
            require(
                    c.kind() == Kind.SLOWED
                            || changes.stream()
                                            .filter(o -> o.kind() != Kind.SLOWED
                                                    && Objects.equals(o.zone(), c.zone())
                                                    && o.from() <= c.to()
                                                    && o.to() >= c.from())
                                            .count()
                                    == 1,
                    "changes: zone " + c.zone() + " is lost while it is lost");
        }
        require(
                front.thrashAbove() == 0 || front.thrashUntil() <= front.thrashAbove(),
                "front.thrash: it ends above where it begins");
    }

    private static void sum(String field, double[] shares) {
        double sum = 0;
        for (double s : shares) {
            require(s >= 0 && s <= 1, field + ": " + s + " is no share");
            sum += s;
        }
        require(Math.abs(sum - 1) <= SUM_SLACK, field + ": shares add up to " + sum + ", not 1");
    }

    private static void require(boolean good, String otherwise) {
        if (!good) {
            throw new IllegalArgumentException(otherwise);
        }
    }
}
