package whinlead.testbed;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import whinlead.Contract;

/** Plain decisions to measure the module's against, behind the same interface. None of them tries again. */
public final class Policies {
    /** Answers within this share of the aim let the limit grow. */
    private static final double AIMD_AIM_SHARE = 0.5;

    private static final double AIMD_CUT = 0.9;
    private static final double AIMD_FIRST = 20;
    private static final double MAX_AIMD = 1000;
    private static final double RETRY_AFTER_MS = 100;

    private Policies() {}

    /** Any server, by chance; turns nothing away. */
    public static Contract.Events random(Contract.Settings settings, long seed, Contract.Actions out) {
        return new Plain(settings, seed, out);
    }

    /** The server that holds the fewest of ours; turns nothing away. */
    public static Contract.Events leastConnections(Contract.Settings settings, long seed, Contract.Actions out) {
        return new Plain(settings, seed, out) {
            @Override
            boolean better(Server a, Server b) {
                return a.holds < b.holds;
            }
        };
    }

    /**
     * Fewest held, under a limit of attempts out at each server that grows by one a round of good answers and is cut by
     * a tenth for a bad one, as in Netflix's concurrency-limits; refuses beyond it.
     */
    public static Contract.Events aimd(Contract.Settings settings, long seed, Contract.Actions out) {
        return new Plain(settings, seed, out) {
            @Override
            boolean better(Server a, Server b) {
                return a.holds / a.limit < b.holds / b.limit;
            }

            @Override
            boolean full(Server s) {
                return s.holds >= s.limit;
            }

            @Override
            void learn(Server s, Contract.RequestClass type, Contract.Outcome outcome, double took) {
                boolean good = outcome == Contract.Outcome.SERVED && took < type.latencyTarget() * AIMD_AIM_SHARE;
                s.limit = good
                        ? s.holds * 2 >= s.limit ? Math.min(MAX_AIMD, s.limit + 1 / s.limit) : s.limit
                        : Math.max(1, s.limit * AIMD_CUT);
            }
        };
    }

    private static final class Server {
        final String id;
        int holds;
        double limit = AIMD_FIRST;

        Server(String id) {
            this.id = id;
        }
    }

    private static class Plain implements Contract.Events {
        private final Contract.Settings settings;
        private final Contract.Actions out;
        private final SplittableRandom random;
        private final List<Server> up = new ArrayList<>();
        private final Map<Long, Server> sentTo = new LinkedHashMap<>();

        Plain(Contract.Settings settings, long seed, Contract.Actions out) {
            this.settings = settings;
            this.out = out;
            this.random = new SplittableRandom(seed);
        }

        boolean better(Server a, Server b) {
            return false;
        }

        boolean full(Server s) {
            return false;
        }

        void learn(Server s, Contract.RequestClass type, Contract.Outcome outcome, double took) {}

        @Override
        public void start(double now) {}

        @Override
        public void servers(double now, Contract.ListKind kind, List<Contract.Server> entries) {
            if (kind == Contract.ListKind.FAILED) {
                return;
            }
            for (Contract.Server e : entries) {
                up.removeIf(s -> s.id.equals(e.id()));
                if (e.state() == Contract.ServerState.UP) {
                    up.add(new Server(e.id()));
                }
            }
        }

        @Override
        public void request(double now, Contract.Request request) {
            Server best = null;
            for (int i = up.size(); i > 0; i--) {
                int j = random.nextInt(i);
                Server s = up.get(j);
                up.set(j, up.get(i - 1));
                up.set(i - 1, s);
                if (best == null || better(s, best)) {
                    best = s;
                }
            }
            if (best == null || full(best)) {
                out.refuse(request, RETRY_AFTER_MS);
                return;
            }
            best.holds++;
            sentTo.put(request.id, best);
            out.send(request, best.id, 0);
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
            Server s = sentTo.remove(request.id);
            if (s == null) {
                return;
            }
            s.holds--;
            learn(s, settings.classes().get(request.classIndex), outcome, took);
            if (!finished && outcome != Contract.Outcome.SERVED) {
                if (outcome.neverRan) {
                    out.refuse(request, RETRY_AFTER_MS);
                } else {
                    out.fail(request);
                }
            }
        }

        @Override
        public void streaming(double now, Contract.Request request, int attempt) {}

        @Override
        public void abandoned(double now, Contract.Request request) {}

        @Override
        public void probed(double now, String server, Contract.Outcome outcome, double took, Contract.Report report) {}

        @Override
        public void message(double now, int from, byte[] text) {}

        @Override
        public void wake(double now) {}
    }
}
