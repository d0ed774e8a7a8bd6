package whinlead.decide;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import whinlead.Contract;

/** A scripted sidecar: collects the module's actions and lets a test answer them one by one. */
final class Rig implements Contract.Actions {
    /** An action as text, for comparing whole runs. */
    final List<String> actions = new ArrayList<>();

    final Map<Long, List<String>> sentTo = new LinkedHashMap<>();
    final Map<Long, Contract.Request> requests = new LinkedHashMap<>();
    final Map<Long, String> answers = new LinkedHashMap<>();
    final List<String> probes = new ArrayList<>();
    final List<double[]> cancels = new ArrayList<>();
    int watches;
    double wakeAt = Double.NaN;
    double lastRetryAfter = Double.NaN;
    double lastWithin = Double.NaN;
    final Decide module;
    private final Contract.Settings settings;
    private long nextId;

    Rig(Contract.Settings settings, long seed) {
        this.settings = settings;
        module = new Decide(settings, seed, this);
    }

    static Contract.RequestClass kind(String name, double worth, Contract.Effect effect, Contract.Group group) {
        return new Contract.RequestClass(name, worth, 0, 500, 2000, effect, group, 5000, false);
    }

    static Contract.Settings settings(boolean copies, Contract.RequestClass... classes) {
        return new Contract.Settings(
                List.of(classes),
                List.of(),
                1,
                new Contract.Limits(5, copies, true, false, false, true, 2000, 0),
                new Contract.Obligations(1000, 3, 1000, 0.2, 20000, 10000),
                Contract.Reporting.NONE,
                true,
                4,
                0);
    }

    /** The clock, and the ends of each request's attempts, for a test that checks the rules at each action. */
    double now;

    boolean checked;
    /** Of the places at the front those free as a request arrives; the servers with a free connection. */
    double room = 1;

    Set<String> connected;
    private final Map<Long, List<Contract.Outcome>> ends = new LinkedHashMap<>();
    private final Map<Long, List<Double>> sentAt = new LinkedHashMap<>();

    void noteOutcome(Contract.Request r, int attempt, Contract.Outcome outcome) {
        ends.get(r.id).set(attempt, outcome);
    }

    int outstanding(Contract.Request r) {
        int n = 0;
        for (Contract.Outcome o : ends.getOrDefault(r.id, List.of())) {
            n += o == null ? 1 : 0;
        }
        return n;
    }

    /** Rule 2: what may be sent again, and where, and when a refusal is true. */
    private void checkRepeat(Contract.Request r, String server) {
        Contract.RequestClass k = settings.classes().get(r.classIndex);
        List<Contract.Outcome> e = ends.computeIfAbsent(r.id, x -> new ArrayList<>());
        if (server != null && !settings.limits().copies() && outstanding(r) > 0) {
            throw new AssertionError("two attempts at once: " + r.id);
        }
        for (int i = 0; i < e.size(); i++) {
            if (e.get(i) != null && e.get(i).neverRan || k.effect() == Contract.Effect.SAFE) {
                continue;
            }
            if (k.effect() == Contract.Effect.UNSAFE || server == null) {
                throw new AssertionError("may have run, " + (server == null ? "refused: " : "sent again: ") + r.id);
            }
            int zone = Integer.parseInt(server.substring(1)) % 3;
            if (zone != Integer.parseInt(sentTo.get(r.id).get(i).substring(1)) % 3) {
                throw new AssertionError("keyed request left its group: " + r.id);
            }
            if (now > sentAt.get(r.id).get(i) + k.window()) {
                throw new AssertionError("keyed request after its window: " + r.id);
            }
        }
    }

    int classCount() {
        return settings.classes().size();
    }

    static Contract.Server up(String id) {
        return new Contract.Server(id, Contract.Standing.UP, 1, "z", 0, 0);
    }

    static List<Contract.Server> fleet(int n) {
        List<Contract.Server> list = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            list.add(up("s" + i));
        }
        return list;
    }

    Contract.Request ask(double now, int classIndex) {
        return ask(now, classIndex, -1, 2000);
    }

    Contract.Request ask(double now, int classIndex, int tenant, double left) {
        Contract.Request r = new Contract.Request(nextId++, classIndex, tenant, left, false, room);
        requests.put(r.id, r);
        module.request(now, r);
        return r;
    }

    /** Wakes the module whenever it asked for it, up to a time. */
    void runTo(double until) {
        while (wakeAt <= until) {
            double at = wakeAt;
            this.now = at;
            wakeAt = Double.NaN;
            module.wake(at);
        }
    }

    void end(double now, Contract.Request r, Contract.Outcome outcome, double took) {
        int attempt = sentTo.get(r.id).size() - 1;
        module.outcome(now, r, attempt, outcome, took, outcome == Contract.Outcome.SERVED, null);
    }

    String lastServer(Contract.Request r) {
        List<String> s = sentTo.get(r.id);
        return s == null ? null : s.get(s.size() - 1);
    }

    int sends(Contract.Request r) {
        return sentTo.containsKey(r.id) ? sentTo.get(r.id).size() : 0;
    }

    private void answer(Contract.Request r, String what) {
        if (answers.put(r.id, what) != null) {
            throw new AssertionError("two answers for " + r.id);
        }
    }

    @Override
    public void send(Contract.Request r, String server, double within) {
        if (answers.containsKey(r.id)) {
            throw new AssertionError("sent after the answer: " + r.id);
        }
        if (checked) {
            checkRepeat(r, server);
            ends.get(r.id).add(null);
            sentAt.computeIfAbsent(r.id, k -> new ArrayList<>()).add(now);
        }
        sentTo.computeIfAbsent(r.id, k -> new ArrayList<>()).add(server);
        lastWithin = within;
        actions.add("send " + r.id + " " + server + " " + within);
    }

    @Override
    public boolean connected(Contract.Request r, String server) {
        return connected == null || connected.contains(server);
    }

    @Override
    public void cancel(Contract.Request r, int attempt) {
        cancels.add(new double[] {r.id, attempt});
        actions.add("cancel " + r.id + " " + attempt);
    }

    @Override
    public void refuse(Contract.Request r, double retryAfter) {
        if (checked) {
            checkRepeat(r, null);
        }
        answer(r, "refuse");
        lastRetryAfter = retryAfter;
        actions.add("refuse " + r.id + " " + retryAfter);
    }

    @Override
    public void fail(Contract.Request r) {
        answer(r, "fail");
        actions.add("fail " + r.id);
    }

    @Override
    public void probe(String server) {
        probes.add(server);
        actions.add("probe " + server);
    }

    @Override
    public void watchServers() {
        watches++;
        actions.add("watch");
    }

    @Override
    public void tellPeers(byte[] text) {
        actions.add("tell " + text.length);
    }

    @Override
    public void wake(double at) {
        wakeAt = at;
        actions.add("wake " + at);
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
