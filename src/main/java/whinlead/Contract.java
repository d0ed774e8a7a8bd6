package whinlead;

import java.util.List;

/**
 * The whole interface of the decision module {@code whinlead.decide.Decide}: the settings it starts from, the events it
 * is told and the actions it takes. A sidecar embeds this file and that package and nothing else.
 *
 * <p>Times are milliseconds on the embedder's own clock, which may start anywhere and never runs backwards. The module
 * reads no clock, starts no thread and does no I/O: it acts only inside an event.
 */
public interface Contract {

    /** What repeating a request of a class may do. */
    enum Effect {
        /** Any number of runs is as good as one. */
        SAFE,
        /** Servers of one group discard a repeat for a while. */
        KEYED,
        /** A second run does damage. */
        UNSAFE
    }

    /** Which servers discard the repeats of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt ended. */
    enum Outcome {
        SERVED(false),
        ERROR(false),
        FULL(true),
        TIMED_OUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NEVER_SENT(true);

        /** True if this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** What the list says of a server. */
    enum Standing {
        UP,
        DRAINING,
        GONE
    }

    /** What a list event holds. */
    enum ListKind {
        /** Only the entries that changed. */
        CHANGES,
        /** Every server; one that is missing is gone. */
        FULL,
        /** Every server as last known at start, perhaps long out of date. */
        STALE,
        /** No entries: a call failed or the subscription broke. The old list stands. */
        FAILED
    }

    /** How load reports reach the sidecar. */
    enum Reporting {
        NONE,
        WITH_ANSWERS,
        WITH_PROBES
    }

    /** A class of requests. */
    record RequestClass(
            String name,
            double worth,
            double lateWorth,
            double aim,
            double deadline,
            Effect effect,
            Group group,
            double window,
            boolean stream) {}

    /** A tenant and the requests a second that are within its share, over all sidecars. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /** What the deployment lets the module do; {@code probeCost} is its price for one probe a request. */
    record Limits(
            int attempts,
            boolean copies,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            double maxRetryAfter,
            double probeCost) {}

    /** The figures of the rules on drains and on cold servers. */
    record Obligations(
            double drainGrace,
            double fallMultiple,
            double fallTime,
            double coldShare,
            double coldTime,
            double askWithin) {}

    /** Everything the module is told at start. */
    record Settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            Limits limits,
            Obligations obligations,
            Reporting reporting,
            boolean listMustBeAsked,
            int sidecars,
            int ordinal) {}

    /** An entry of the server list. {@code startedAt} of 0 or less than the clock's start means long ago. */
    record Server(String id, Standing standing, double size, String zone, int cell, double startedAt) {}

    /** A load report; a value that it lacks is NaN. */
    record Report(double inflight, double queue, double util, double latency, double perSecond, double errors) {}

    /** A request. The same object stands for it in every event and action; {@link #state} is the module's own. */
    final class Request {
        /** Position of its class in the settings. */
        public final int classIndex;
        /** Position of its tenant in the settings, or -1. */
        public final int tenantIndex;
        /** How long until the client gives up this try. */
        public final double timeLeft;
        /** True if the client says that it is a repeat. */
        public final boolean repeat;
        /** Share of the places at its front that are free, itself counted; 1 where nothing bounds them. */
        public final double room;
        /** The embedder's name for it. */
        public final long id;
        /** What the module notes of it; the embedder leaves it alone. */
        public Object state;

        /** A request that has just arrived, at a front that takes any number. */
        public Request(long id, int classIndex, int tenantIndex, double timeLeft, boolean repeat) {
            this(id, classIndex, tenantIndex, timeLeft, repeat, 1);
        }

        /** A request that has just arrived. */
        public Request(long id, int classIndex, int tenantIndex, double timeLeft, boolean repeat, double room) {
            this.room = room;
            this.id = id;
            this.classIndex = classIndex;
            this.tenantIndex = tenantIndex;
            this.timeLeft = timeLeft;
            this.repeat = repeat;
        }
    }

    /** What the module is told, one method an event, each with the time. */
    interface Events {
        /** The sidecar starts, knowing nothing. */
        void start(double now);

        /** The list of servers, or changes to it. */
        void servers(double now, ListKind kind, List<Server> entries);

        /** A client's request arrived; it is owed one final answer. */
        void request(double now, Request request);

        /**
         * An attempt ended. With {@code finished} the client has had its final answer; else it is still owed.
         * {@code report} may be null.
         */
        void outcome(
                double now,
                Request request,
                int attempt,
                Outcome outcome,
                double took,
                boolean finished,
                Report report);

        /** The answer to an attempt began to stream to the client, which ends the module's duty to it. */
        void streaming(double now, Request request, int attempt);

        /** The client left; nothing more is owed. */
        void abandoned(double now, Request request);

        /** A probe ended; {@code report} is null unless one came. */
        void probed(double now, String server, Outcome outcome, double took, Report report);

        /** Another sidecar sent a message. */
        void message(double now, int from, byte[] text);

        /** The time asked for with {@link Actions#wake} has come. */
        void wake(double now);
    }

    /** What the module does. */
    interface Actions {
        /** Send the request to a server as its next attempt, timing out after {@code within}; 0: at the deadline. */
        void send(Request request, String server, double within);

        /** Whether the request would find an open connection to this server; true where it makes no odds. */
        default boolean connected(Request request, String server) {
            return true;
        }

        /** Stop waiting for one attempt. */
        void cancel(Request request, int attempt);

        /** Final answer: not done, a retry does no harm; come back after {@code retryAfter}. */
        void refuse(Request request, double retryAfter);

        /** Final answer: failed, with no promise about effects. */
        void fail(Request request);

        /** Ask a server for its load report. */
        void probe(String server);

        /** Subscribe to the server list. */
        void watchServers();

        /** Send a message to every other sidecar. */
        void tellPeers(byte[] text);

        /** Call {@link Events#wake} at this time. */
        void wake(double at);

        /** A line for the on-call staff. */
        void log(String line);
    }
}
