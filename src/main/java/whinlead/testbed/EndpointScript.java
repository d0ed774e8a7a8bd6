package whinlead.testbed;

import java.util.ArrayList;
import java.util.List;

/**
 * What a stand-in endpoint is and what befalls it, for an endpoint under a driven clock as for one on a socket.
 *
 * @param cores requests that it works on at once
 * @param queueMost requests that may wait; beyond that they are turned away unseen
 * @param law how long the work on a request takes
 * @param reports whether answers tell its load
 * @param faults what goes wrong and when; they should not overlap
 * @param lines what connections and others cost
 */
public record EndpointScript(
        String id, int cores, int queueMost, ServiceLaw law, boolean reports, List<Fault> faults, Lines lines) {
    /**
     * What connections and others cost an endpoint.
     *
     * @param away how long a request waits for others after its work, while it holds no core
     * @param handshake milliseconds of a core for a new connection, with its first request
     * @param most connections at once; beyond that they are reset
     */
    public record Lines(ServiceLaw away, double handshake, int most) {
        /** Nothing. */
        public static final Lines FREE = new Lines(ServiceLaw.fixed(0), 0, Integer.MAX_VALUE);
    }

    /** What can go wrong with an endpoint. */
    public enum Kind {
        /** Its process is gone: what it holds is reset, and connections are refused. */
        AWAY,
        /** It takes what comes and answers nothing; what it held before is lost too. */
        SILENT,
        /** It begins the work and then resets the connection. */
        RESETTING,
        /** It does the work and sends an answer that is cut short. */
        SPOILING
    }

    /** A fault from one time until another, in milliseconds since the run began. */
    public record Fault(Kind kind, double from, double to) {
        boolean at(double now) {
            return now >= from && now < to;
        }
    }

    /** One whose connections cost nothing. */
    public EndpointScript(String id, int cores, int queueMost, ServiceLaw law, boolean reports, List<Fault> faults) {
        this(id, cores, queueMost, law, reports, faults, Lines.FREE);
    }

    /** A sound endpoint without reports. */
    public EndpointScript(String id, int cores, int queueMost, ServiceLaw law) {
        this(id, cores, queueMost, law, false, List.of());
    }

    /** The same with one more fault. */
    public EndpointScript with(Kind kind, double from, double to) {
        List<Fault> more = new ArrayList<>(faults);
        more.add(new Fault(kind, from, to));
        return new EndpointScript(id, cores, queueMost, law, reports, List.copyOf(more), lines);
    }

    /** The same, telling its load with each answer. */
    public EndpointScript reporting() {
        return new EndpointScript(id, cores, queueMost, law, true, faults, lines);
    }

    /** The same with connections that cost something. */
    public EndpointScript with(Lines cost) {
        return new EndpointScript(id, cores, queueMost, law, reports, faults, cost);
    }

    /** What is wrong at this time, or null. */
    Kind fault(double now) {
        for (Fault f : faults) {
            if (f.at(now)) {
                return f.kind();
            }
        }
        return null;
    }
}
