package whinlead.engine;

import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;

/** A module driven by a test; it records the events that it receives. */
public class ScriptedModule implements Contract.Events {
    /** The events in order, as text. */
    public final List<String> received = new ArrayList<>();
    /** The requests received. */
    public final List<Contract.Request> requests = new ArrayList<>();
    /** Carries out the decisions; set by the test. */
    public Contract.Actions actions;

    @Override
    public void start(double nowMs) {
        received.add("start");
    }

    @Override
    public void servers(double nowMs, Contract.ListKind kind, List<Contract.Server> entries) {
        received.add("servers " + kind + " " + entries.size());
    }

    @Override
    public void request(double nowMs, Contract.Request request) {
        received.add("request " + request.id);
        requests.add(request);
    }

    @Override
    public void outcome(
            double nowMs,
            Contract.Request request,
            int attempt,
            Contract.Outcome outcome,
            double durationMs,
            boolean finished,
            Contract.Report report) {
        received.add("outcome " + request.id + "/" + attempt + " " + outcome + (finished ? " over" : ""));
    }

    @Override
    public void streaming(double nowMs, Contract.Request request, int attempt) {
        received.add("streaming " + request.id + "/" + attempt);
    }

    @Override
    public void abandoned(double nowMs, Contract.Request request) {
        received.add("abandoned " + request.id);
    }

    @Override
    public void probed(
            double nowMs, String server, Contract.Outcome outcome, double durationMs, Contract.Report report) {
        received.add("probed " + server + " " + outcome);
    }

    @Override
    public void message(double nowMs, int from, byte[] message) {
        received.add("message");
    }

    @Override
    public void wake(double nowMs) {
        received.add("wake");
    }
}
