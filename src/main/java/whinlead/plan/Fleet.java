package whinlead.plan;

import java.util.List;
import java.util.Objects;
import whinlead.Contract;

/**
 * Description of a deployment, the planner's complete input about it. Times are in milliseconds, shares are from 0 to
 * 1. The constructors do not repeat checks of the JSON schema; {@link #check} does those that a schema cannot express.
 *
 * @param settings settings of every sidecar; the number of sidecars equals the number of {@code shares}
 * @param models machine models of fronts
 * @param zones zones that contain fronts
 * @param fronts number of fronts
 * @param work work of each class of the settings on a core of speed 1, and time off the core
 * @param front properties of every front
 * @param sidecar properties of every sidecar
 * @param shares share of the traffic of each sidecar
 * @param clients retry behaviour of clients
 * @param changes faults and slowdowns during the run
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
    /** Tolerance for the sum of shares, which must be 1. */
    private static final double SUM_SLACK = 1e-6;

    /**
     * A machine model, with speeds drawn uniformly between the slowest and the fastest.
     *
     * @param share share of the fronts
     */
    public record Model(String name, int cores, double slowest, double fastest, double share) {}

    /**
     * A zone.
     *
     * @param share share of the fronts
     * @param oneWayLatency latency from a sidecar to a front in the zone, one way
     */
    public record Zone(String name, double share, double oneWayLatency) {}

    /**
     * Work that a request of a class causes at a front.
     *
     * @param onCore work on one of the front's cores
     * @param offCore time spent waiting for other systems, without occupying a core
     */
    public record Work(Distribution onCore, Distribution offCore) {}

    /**
     * Properties of every front.
     *
     * @param sharing true for processor sharing among all requests, false for one request per core in turn
     * @param roomPerCore requests per core that a front accepts at once, including those in service
     * @param connections maximum number of open connections
     * @param handshake core work for a new connection
     * @param coldShare share of the full speed at start; the speed then rises linearly
     * @param coldTime time from start to full speed
     * @param thrashAbove requests per core above which a front thrashes and slows down; 0 for never
     * @param thrashSpeed speed while thrashing, as a share of the normal one
     * @param thrashUntil requests per core at which thrashing ends
     * @param cancelStops whether cancelling an attempt stops the work on it
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
        /** Returns a copy with this capacity per core. */
        public Front withRoomPerCore(double perCore) {
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

        /** Returns a copy with this connection limit. */
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

        /** Returns a copy with this work for each handshake. */
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
     * Properties of every sidecar.
     *
     * @param work total processor time for each request
     * @param places maximum number of open client requests
     * @param connections maximum number of connections to fronts
     * @param connectTimeout time after which connecting to a silent front fails
     * @param idle time after which an unused connection is closed
     */
    public record Sidecar(double work, int places, int connections, double connectTimeout, double idle) {
        /** Returns a copy with this processor time for each request. */
        public Sidecar work(double millis) {
            return new Sidecar(millis, places, connections, connectTimeout, idle);
        }

        /** Returns a copy with this limit of open client requests. */
        public Sidecar places(int most) {
            return new Sidecar(work, most, connections, connectTimeout, idle);
        }

        /** Returns a copy with this connection limit. */
        public Sidecar connections(int most) {
            return new Sidecar(work, places, most, connectTimeout, idle);
        }
    }

    /**
     * Retry behaviour of clients.
     *
     * @param tries maximum number of tries, the first included
     * @param backOff delay before the second try; doubled for each further try, with jitter over its upper half
     * @param honourShare share of retries that follow the retry-after time, where there is one
     */
    public record Clients(int tries, double backOff, double honourShare) {}

    /** Kind of a change. */
    public enum ChangeKind {
        /** A share of the fronts runs at reduced speed. */
        SLOWED,
        /** A zone stops responding, is removed from the endpoint list after a delay, and returns cold. */
        ZONE_LOST,
        /** A zone's processes exit, their connections are reset, and they return cold as for a lost zone. */
        ZONE_DIED
    }

    /**
     * A fault or slowdown during the run.
     *
     * @param zone the affected zone, or null for all zones
     * @param share share of the fronts affected there
     * @param speed remaining share of their own speed
     * @param noticeDelay delay until the endpoint list shows the change
     */
    public record Change(
            ChangeKind kind, String zone, double share, double speed, double from, double to, double noticeDelay) {}

    /** Returns a copy with this number of fronts. */
    public Fleet fronts(int count) {
        return new Fleet(settings, models, zones, count, work, front, sidecar, shares, clients, changes);
    }

    /** Returns a copy with other models. */
    public Fleet with(List<Model> others) {
        return new Fleet(settings, others, zones, fronts, work, front, sidecar, shares, clients, changes);
    }

    /** Returns a copy with other properties of the fronts. */
    public Fleet with(Front other) {
        return new Fleet(settings, models, zones, fronts, work, other, sidecar, shares, clients, changes);
    }

    /** Returns a copy with other properties of the sidecars. */
    public Fleet with(Sidecar other) {
        return new Fleet(settings, models, zones, fronts, work, front, other, shares, clients, changes);
    }

    /** Returns a copy with other clients. */
    public Fleet with(Clients other) {
        return new Fleet(settings, models, zones, fronts, work, front, sidecar, shares, other, changes);
    }

    /** Returns a copy with these changes. */
    public Fleet changes(List<Change> newChanges) {
        return new Fleet(settings, models, zones, fronts, work, front, sidecar, shares, clients, newChanges);
    }

    /**
     * Checks the description for contradictions.
     *
     * @throws IllegalArgumentException naming the field at fault
     */
    public void check() {
        checkShares("models", models.stream().mapToDouble(Model::share).toArray());
        checkShares("zones", zones.stream().mapToDouble(Zone::share).toArray());
        checkShares("sidecars.shares", shares.stream().mapToDouble(d -> d).toArray());
        for (Model model : models) {
            require(
                    model.fastest() >= model.slowest(),
                    "models: " + model.name() + " has its fastest below its slowest");
        }
        require(work.size() == settings.classes().size(), "work: one entry for each class is required");
        require(settings.sidecars() == shares.size(), "sidecars.shares: one share for each sidecar is required");
        for (Change change : changes) {
            require(
                    change.zone() == null
                            || zones.stream().anyMatch(z -> z.name().equals(change.zone())),
                    "changes: no zone " + change.zone());
            require(change.kind() == ChangeKind.SLOWED || change.zone() != null, "changes: a lost zone must be named");
            require(change.to() >= change.from(), "changes: a change ends before it begins");
            require(
                    change.kind() == ChangeKind.SLOWED
                            || changes.stream()
                                            .filter(other -> other.kind() != ChangeKind.SLOWED
                                                    && Objects.equals(other.zone(), change.zone())
                                                    && other.from() <= change.to()
                                                    && other.to() >= change.from())
                                            .count()
                                    == 1,
                    "changes: zone " + change.zone() + " is lost twice at the same time");
        }
        require(
                front.thrashAbove() == 0 || front.thrashUntil() <= front.thrashAbove(),
                "front.thrash: until must not exceed above");
    }

    private static void checkShares(String field, double[] shares) {
        double sum = 0;
        for (double s : shares) {
            require(s >= 0 && s <= 1, field + ": " + s + " is not a share between 0 and 1");
            sum += s;
        }
        require(Math.abs(sum - 1) <= SUM_SLACK, field + ": shares add up to " + sum + ", not 1");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
