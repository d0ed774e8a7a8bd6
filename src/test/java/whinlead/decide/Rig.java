package whinlead.decide;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import whinlead.Contract;

/** A scripted sidecar that collects the module's actions and lets a test answer them one by one. */
final class Rig implements Contract.Actions {
    /** The actions as text, for comparing whole runs. */
    final List<String> actions = new ArrayList<>();

    final Map<Long, List<String>> sentTo = new LinkedHashMap<>();
    final Map<Long, Contract.Request> requests = new LinkedHashMap<>();
    final Map<Long, String> answers = new LinkedHashMap<>();
    final List<String> probes = new ArrayList<>();
    final List<double[]> cancels = new ArrayList<>();
    int watches;
    double wakeAtMs = Double.NaN;
    double lastRetryAfter = Double.NaN;
    double lastTimeoutMs = Double.NaN;
    final Decide module;
    private final Contract.Settings settings;
    private long nextId;

    Rig(Contract.Settings settings, long seed) {
        this.settings = settings;
        module = new Decide(settings, seed, this);
    }

    static Contract.RequestClass requestClass(String name, double worth, Contract.Effect effect, Contract.Group group) {
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

    /** The time, and below the outcomes of each request's attempts, for tests that check the rules at each action. */
    double nowMs;

    boolean checkRules;
    /** Free share of the places at the front when a request arrives, and the servers with a free connection. */
    double freeShare = 1;

    Set<String> connected;
    private final Map<Long, List<Contract.Outcome>> outcomes = new LinkedHashMap<>();
    private final Map<Long, List<Double>> sentAtMs = new LinkedHashMap<>();

    void noteOutcome(Contract.Request request, int attempt, Contract.Outcome outcome) {
        outcomes.get(request.id).set(attempt, outcome);
    }

    int outstanding(Contract.Request request) {
        int count = 0;
        for (Contract.Outcome outcome : outcomes.getOrDefault(request.id, List.of())) {
            count += outcome == null ? 1 : 0;
        }
        return count;
    }

    /** Rule 2: which requests may be sent again, at which servers, and when a refusal is allowed. */
    private void checkRepeat(Contract.Request request, String server) {
        Contract.RequestClass requestClass = settings.classes().get(request.classIndex);
        List<Contract.Outcome> attemptOutcomes = outcomes.computeIfAbsent(request.id, x -> new ArrayList<>());
        if (server != null && !settings.limits().duplicates() && outstanding(request) > 0) {
            throw new AssertionError("two attempts in flight for request " + request.id);
        }
        for (int i = 0; i < attemptOutcomes.size(); i++) {
            if (attemptOutcomes.get(i) != null && attemptOutcomes.get(i).neverRan
                    || requestClass.effect() == Contract.Effect.SAFE) {
                continue;
            }
            if (requestClass.effect() == Contract.Effect.UNSAFE || server == null) {
                throw new AssertionError(
                        "request may have run but was " + (server == null ? "refused: " : "sent again: ") + request.id);
            }
            int zone = Integer.parseInt(server.substring(1)) % 3;
            if (zone != Integer.parseInt(sentTo.get(request.id).get(i).substring(1)) % 3) {
                throw new AssertionError("keyed request sent outside its group: " + request.id);
            }
            if (nowMs > sentAtMs.get(request.id).get(i) + requestClass.dedupWindow()) {
                throw new AssertionError("keyed request sent after its deduplication window: " + request.id);
            }
        }
    }

    int classCount() {
        return settings.classes().size();
    }

    static Contract.Server upServer(String id) {
        return new Contract.Server(id, Contract.ServerState.UP, 1, "z", 0, 0);
    }

    static List<Contract.Server> fleet(int count) {
        List<Contract.Server> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(upServer("s" + i));
        }
        return list;
    }

    Contract.Request sendRequest(double nowMs, int classIndex) {
        return sendRequest(nowMs, classIndex, -1, 2000);
    }

    Contract.Request sendRequest(double nowMs, int classIndex, int tenant, double timeLeftMs) {
        Contract.Request request = new Contract.Request(nextId++, classIndex, tenant, timeLeftMs, false, freeShare);
        requests.put(request.id, request);
        module.request(nowMs, request);
        return request;
    }

    /** Wakes the module at the times that it requested, up to the given time. */
    void runTo(double untilMs) {
        while (wakeAtMs <= untilMs) {
            double timeMs = wakeAtMs;
            this.nowMs = timeMs;
            wakeAtMs = Double.NaN;
            module.wake(timeMs);
        }
    }

    void endAttempt(double nowMs, Contract.Request request, Contract.Outcome outcome, double durationMs) {
        int attempt = sentTo.get(request.id).size() - 1;
        module.outcome(nowMs, request, attempt, outcome, durationMs, outcome == Contract.Outcome.SERVED, null);
    }

    String lastServer(Contract.Request request) {
        List<String> servers = sentTo.get(request.id);
        return servers == null ? null : servers.get(servers.size() - 1);
    }

    int sendCount(Contract.Request request) {
        return sentTo.containsKey(request.id) ? sentTo.get(request.id).size() : 0;
    }

    private void answer(Contract.Request request, String answer) {
        if (answers.put(request.id, answer) != null) {
            throw new AssertionError("two answers for request " + request.id);
        }
    }

    @Override
    public void send(Contract.Request request, String server, double timeoutMs) {
        if (answers.containsKey(request.id)) {
            throw new AssertionError("sent after its final answer: request " + request.id);
        }
        if (checkRules) {
            checkRepeat(request, server);
            outcomes.get(request.id).add(null);
            sentAtMs.computeIfAbsent(request.id, k -> new ArrayList<>()).add(nowMs);
        }
        sentTo.computeIfAbsent(request.id, k -> new ArrayList<>()).add(server);
        lastTimeoutMs = timeoutMs;
        actions.add("send " + request.id + " " + server + " " + timeoutMs);
    }

    @Override
    public boolean connected(Contract.Request request, String server) {
        return connected == null || connected.contains(server);
    }

    @Override
    public void cancel(Contract.Request request, int attempt) {
        cancels.add(new double[] {request.id, attempt});
        actions.add("cancel " + request.id + " " + attempt);
    }

    @Override
    public void refuse(Contract.Request request, double retryAfter) {
        if (checkRules) {
            checkRepeat(request, null);
        }
        answer(request, "refuse");
        lastRetryAfter = retryAfter;
        actions.add("refuse " + request.id + " " + retryAfter);
    }

    @Override
    public void fail(Contract.Request request) {
        answer(request, "fail");
        actions.add("fail " + request.id);
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
    public void sendToPeers(byte[] text) {
        actions.add("tell " + text.length);
    }

    @Override
    public void wake(double timeMs) {
        wakeAtMs = timeMs;
        actions.add("wake " + timeMs);
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
