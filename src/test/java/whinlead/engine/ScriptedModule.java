package whinlead.engine;

import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;

/** A module that does what a test says and notes what it hears. */
public class ScriptedModule implements Contract.Events {
    /** What it heard, in order. */
    public final List<String> heard = new ArrayList<>();
    /** The requests that it heard of. */
    public final List<Contract.Request> requests = new ArrayList<>();
    /** What carries out what it decides; set by the test. */
    public Contract.Actions actions;

    @Override
    public void start(double now) {
        heard.add("start");
    }

    @Override
    public void servers(double now, Contract.ListKind kind, List<Contract.Server> entries) {
        heard.add("servers " + kind + " " + entries.size());
    }

    @Override
    public void request(double now, Contract.Request request) {
        heard.add("request " + request.id);
        requests.add(request);
    }

    @Override
    public void outcome(
            double now,
            Contract.Request request,
            int attempt,
            Contract.Outcome outcome,
            double took,
            boolean finished,
            Contract.Report report) {
        heard.add("outcome " + request.id + "/" + attempt + " " + outcome + (finished ? " over" : ""));
    }

    @Override
    public void streaming(double now, Contract.Request request, int attempt) {
        heard.add("streaming " + request.id + "/" + attempt);
    }

    @Override
    public void abandoned(double now, Contract.Request request) {
        heard.add("abandoned " + request.id);
    }

    @Override
    public void probed(double now, String server, Contract.Outcome outcome, double took, Contract.Report report) {
        heard.add("probed " + server + " " + outcome);
    }

    @Override
    public void message(double now, int from, byte[] text) {
        heard.add("message");
    }

    @Override
    public void wake(double now) {
        heard.add("wake");
    }
}
