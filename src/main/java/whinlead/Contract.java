package whinlead;

import java.util.List;

/**
 * The complete interface of the decision module {@code whinlead.decide.Decide}: its settings, the events that it
 * receives and the actions that it takes. A sidecar embeds this file and that package and nothing else.
 *
 * <p>Times are milliseconds on the embedder's own clock, which may start anywhere and never runs backwards. The module
 * reads no clock, starts no thread and does no I/O: it acts only inside an event.
 */
public interface Contract {

    /** The effect of running a request of a class more than once. */
    enum Effect {
        /** Idempotent: several runs have the effect of one. */
        SAFE,
        /** Servers of one group discard a repeat within a time window. */
        KEYED,
        /** A second run does harm. */
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

    /** The state of a server on the list. */
    enum ServerState {
        UP,
        DRAINING,
        GONE
    }

    /** The content of a list event. */
    enum ListKind {
        /** Only the entries that changed. */
        CHANGES,
        /** Every server; one that is missing is gone. */
        FULL,
        /** Every server as last known at start; may be long out of date. */
        STALE,
        /** No entries: a call failed or the subscription broke. The old list stays valid. */
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
            double latencyTarget,
            double deadline,
            Effect effect,
            Group dedupGroup,
            double dedupWindow,
            boolean stream) {}

    /** A tenant and the requests per second that are within its share, over all sidecars. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /** What the deployment permits the module to do; {@code probeCost} is the cost of one probe per request. */
    record Limits(
            int attempts,
            boolean duplicates,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            double maxRetryAfter,
            double probeCost) {}

    /** The parameters of the rules on draining and cold servers. */
    record Obligations(
            double drainGrace,
            double fallMultiple,
            double fallTime,
            double coldShare,
            double coldTime,
            double requestListWithin) {}

    /** All settings of the module, given at its start. */
    record Settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            Limits limits,
            Obligations obligations,
            Reporting reporting,
            boolean listMustBeRequested,
            int sidecars,
            int ordinal) {}

    /** An entry of the server list. A {@code startedAt} of 0, or before the clock's start, means long ago. */
    record Server(String id, ServerState state, double size, String zone, int cell, double startedAt) {}

    /** A load report; missing values are NaN. */
    record Report(double inflight, double queue, double util, double latency, double perSecond, double errors) {}

    /** A request. Every event and action uses the same object for it; {@link #state} belongs to the module. */
    final class Request {
        /** Position of its class in the settings. */
        public final int classIndex;
        /** Position of its tenant in the settings, or -1. */
        public final int tenantIndex;
        /** Time until the client stops waiting for the answer. */
        public final double timeLeft;
        /** True if the client marks it as a retry. */
        public final boolean repeat;
        /** Free share of the places at its front, this request counted; 1 without a limit. */
        public final double freeShare;
        /** The embedder's id of it. */
        public final long id;
        /** The module's state for it; the embedder must not use it. */
        public Object state;

        /** A request that has just arrived, at a front without a limit on requests. */
        public Request(long id, int classIndex, int tenantIndex, double timeLeft, boolean repeat) {
            this(id, classIndex, tenantIndex, timeLeft, repeat, 1);
        }

        /** A request that has just arrived. */
        public Request(long id, int classIndex, int tenantIndex, double timeLeft, boolean repeat, double freeShare) {
            this.freeShare = freeShare;
            this.id = id;
            this.classIndex = classIndex;
            this.tenantIndex = tenantIndex;
            this.timeLeft = timeLeft;
            this.repeat = repeat;
        }
    }

    /** The events that the module receives, each with the time. */
    interface Events {
        /** The sidecar starts, without a server list. */
        void start(double nowMs);

        /** The list of servers, or changes to it. */
        void servers(double nowMs, ListKind kind, List<Server> entries);

        /** A client's request arrived; it must get one final answer. */
        void request(double nowMs, Request request);

        /**
         * An attempt ended. {@code finished} says whether the client already has its final answer; if not, one is due.
         * {@code report} may be null.
         */
        void outcome(
                double nowMs,
                Request request,
                int attempt,
                Outcome outcome,
                double durationMs,
                boolean finished,
                Report report);

        /** The answer to an attempt began to stream to the client, so no other final answer is due. */
        void streaming(double nowMs, Request request, int attempt);

        /** The client disconnected; no answer is due any more. */
        void abandoned(double nowMs, Request request);

        /** A probe ended; {@code report} is null if it brought none. */
        void probed(double nowMs, String server, Outcome outcome, double durationMs, Report report);

        /** Another sidecar sent a message. */
        void message(double nowMs, int from, byte[] message);

        /** The time requested with {@link Actions#wake} has come. */
        void wake(double nowMs);
    }

    /** The actions of the module. */
    interface Actions {
        /** Send the request to a server as its next attempt, timing out after {@code timeoutMs}; 0: at the deadline. */
        void send(Request request, String server, double timeoutMs);

        /** Whether this server has an open connection free for the request; true where that makes no difference. */
        default boolean connected(Request request, String server) {
            return true;
        }

        /** Stop waiting for this attempt. */
        void cancel(Request request, int attempt);

        /** Final answer: refused, a retry does no harm; the client may retry after {@code retryAfterMs}. */
        void refuse(Request request, double retryAfterMs);

        /** Final answer: failed, with no promise about effects. */
        void fail(Request request);

        /** Request a load report from a server. */
        void probe(String server);

        /** Subscribe to the server list. */
        void watchServers();

        /** Send a message to every other sidecar. */
        void sendToPeers(byte[] message);

        /** Call {@link Events#wake} at this time. */
        void wake(double timeMs);

        /** A line for the on-call staff. */
        void log(String line);
    }
}
