package whinlead.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import whinlead.Contract;

/** Reads batches of events, hands each to the module of its instance, and writes the replies. Decides nothing. */
final class Link {
    private static final byte[][] OUTCOMES =
            bytes("done", "err", "busy", "etimedout", "econnrefused", "econnreset", "ecanceled", "skipped");
    private static final Contract.Outcome[] OUTCOME = {
        Contract.Outcome.SERVED,
        Contract.Outcome.ERROR,
        Contract.Outcome.FULL,
        Contract.Outcome.TIMED_OUT,
        Contract.Outcome.CONNECT_FAILED,
        Contract.Outcome.RESET,
        Contract.Outcome.CANCELLED,
        Contract.Outcome.NEVER_SENT
    };
    private static final byte[][] MODES = bytes("U", "L", "D");
    private static final Contract.Standing[] STANDING = Contract.Standing.values();
    private static final byte[][] SCOPES = bytes("D", "F", "C", "X");
    private static final Contract.ListKind[] KIND = Contract.ListKind.values();
    private static final byte[][] REPORTED = bytes("inflight", "queue", "util", "latency_ms", "qps", "eps");
    private static final int LISTS = 16;

    private final WireReader in;
    private final WireWriter out;
    private final ArrayList<Instance> instances = new ArrayList<>();
    private final List<List<Contract.Server>> lists = new ArrayList<>();
    private final double[] values = new double[REPORTED.length];
    private double now = Double.NEGATIVE_INFINITY;
    private long batch;

    Link(InputStream in, OutputStream out) {
        this.in = new WireReader(in);
        this.out = new WireWriter(out);
        for (int i = 0; i < LISTS; i++) {
            lists.add(null);
        }
    }

    private static byte[][] bytes(String... words) {
        byte[][] b = new byte[words.length][];
        for (int i = 0; i < words.length; i++) {
            b[i] = words[i].getBytes(StandardCharsets.UTF_8);
        }
        return b;
    }

    /** Runs until the input ends. */
    void run() throws IOException {
        while (in.nextLine()) {
            if (in.blank()) {
                continue;
            }
            in.field("message");
            if (!in.is("tick")) {
                throw in.fault("message", "'" + in.text() + "' where a tick was due");
            }
            double at = in.number("clock");
            if (at < now) {
                throw in.fault("clock", "runs backwards");
            }
            now = at;
            batch = in.integer("batch");
            events();
            out.word("next ").integer(batch).line().flush();
        }
    }

    private void events() throws IOException {
        while (in.nextLine()) {
            if (in.blank()) {
                continue;
            }
            in.field("message");
            if (in.is("eob")) {
                return;
            }
            event();
        }
        throw in.fault("message", "the input ends inside a batch");
    }

    private void event() throws IOException {
        if (in.is("answer")) {
            answer();
        } else if (in.is("order")) {
            order();
        } else if (in.is("deadline_hit")) {
            Instance i = instance();
            in.field("tag");
            guard(i, () -> i.module.wake(now));
        } else if (in.is("cancelled_by_client")) {
            gone();
        } else if (in.is("probed")) {
            probed();
        } else if (in.is("flowing")) {
            flowing();
        } else if (in.is("memo")) {
            memo();
        } else if (in.is("catalog")) {
            catalog();
        } else if (in.is("membership")) {
            membership();
        } else if (in.is("up")) {
            up();
        } else if (in.is("crash_now")) {
            int n = in.small("sidecar");
            if (n < instances.size()) {
                instances.set(n, null);
            }
        } else {
            throw in.fault("message", "'" + in.text() + "' is unknown");
        }
    }

    private interface Call {
        void run();
    }

    private void guard(Instance i, Call call) throws IOException {
        try {
            call.run();
        } catch (RuntimeException | StackOverflowError e) {
            i.giveIn(e);
        }
    }

    private Instance instance() {
        int n = in.small("sidecar");
        Instance i = n < instances.size() ? instances.get(n) : null;
        if (i == null) {
            throw in.fault("sidecar", "'" + n + "' is not running");
        }
        return i;
    }

    private void up() throws IOException {
        int n = in.small("sidecar");
        if (n > 1_000_000) {
            throw in.fault("sidecar", "'" + n + "' is out of range");
        }
        long seed = in.integer("seed");
        Contract.Settings settings;
        try {
            settings = new BootInfo(in.rest()).settings();
        } catch (WireException e) {
            throw in.fault("boot_info", e.getMessage().replace("field boot_info: ", ""));
        }
        while (instances.size() <= n) {
            instances.add(null);
        }
        Instance i = new Instance(n, settings, seed, out);
        instances.set(n, i);
        guard(i, () -> i.module.start(now));
    }

    private void order() throws IOException {
        Instance i = instance();
        long id = in.integer("msg_id");
        int k = in.choice("grade", i.classNames, false);
        int tenant = in.choice("project", i.tenantNames, true);
        in.field("object");
        double left = in.number("time_left");
        in.number("work", Double.NaN);
        boolean repeat = in.flag("retry", false);
        in.flag("write", false);
        if (i.open.get(id) != null) {
            throw in.fault("msg_id", "'" + id + "' is open already");
        }
        Contract.Request r = new Contract.Request(id, k, tenant, left, repeat);
        i.open.put(id, new Instance.Tracked(r));
        guard(i, () -> i.module.request(now, r));
    }

    private void answer() throws IOException {
        Instance i = instance();
        long id = in.integer("msg_id");
        int attempt = in.small("attempt");
        in.field("endpoint");
        Contract.Outcome outcome = OUTCOME[in.choice("disposition", OUTCOMES, false)];
        double lag = in.number("lag");
        boolean last = in.flag("last", false);
        Contract.Report report = report();
        Instance.Tracked t = i.open.get(id);
        if (t == null) {
            return;
        }
        t.owed--;
        t.over |= last;
        guard(i, () -> i.module.outcome(now, t.request, attempt, outcome, lag, last, report));
        i.tidy(t);
    }

    private Contract.Report report() {
        if (!in.report("telemetry", values, REPORTED)) {
            return null;
        }
        return new Contract.Report(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    private void gone() throws IOException {
        Instance i = instance();
        Instance.Tracked t = i.open.get(in.integer("msg_id"));
        if (t != null) {
            t.over = true;
            guard(i, () -> i.module.abandoned(now, t.request));
            i.tidy(t);
        }
    }

    private void flowing() throws IOException {
        Instance i = instance();
        Instance.Tracked t = i.open.get(in.integer("msg_id"));
        int attempt = in.small("attempt");
        in.field("endpoint");
        in.number("lag");
        if (t != null) {
            guard(i, () -> i.module.streaming(now, t.request, attempt));
        }
    }

    private void probed() throws IOException {
        Instance i = instance();
        String server = in.word("endpoint");
        Contract.Outcome outcome = OUTCOME[in.choice("disposition", OUTCOMES, false)];
        double lag = in.number("lag");
        Contract.Report report = report();
        guard(i, () -> i.module.probed(now, server, outcome, lag, report));
    }

    private void memo() throws IOException {
        Instance i = instance();
        int from = in.small("src");
        String raw = in.more() ? in.word("raw") : "-";
        byte[] text;
        try {
            text = raw.equals("-") ? new byte[0] : Base64.getDecoder().decode(raw);
        } catch (IllegalArgumentException e) {
            throw in.fault("raw", "is not base64");
        }
        guard(i, () -> i.module.message(now, from, text));
    }

    private void catalog() throws IOException {
        int n = in.small("buffer");
        if (n >= LISTS) {
            throw in.fault("buffer", "'" + n + "' is out of range");
        }
        int count = in.small("entries");
        ArrayList<Contract.Server> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (!in.nextLine()) {
                throw in.fault("entries", "the input ends inside a list");
            }
            in.field("message");
            if (!in.is("entry")) {
                throw in.fault("message", "'" + in.text() + "' where an entry was due");
            }
            double size = in.number("power_hint", 1);
            Contract.Standing standing = STANDING[in.choice("mode", MODES, false)];
            in.field("family_type");
            String zone = in.word("area");
            int cell = (int) in.number("block", -1);
            String id = in.word("endpoint");
            list.add(new Contract.Server(id, standing, size, zone, cell, in.number("born", 0)));
        }
        lists.set(n, List.copyOf(list));
    }

    private void membership() throws IOException {
        Instance i = instance();
        in.number("epoch", 0);
        Contract.ListKind kind = KIND[in.choice("scope", SCOPES, false)];
        List<Contract.Server> entries = List.of();
        if (kind != Contract.ListKind.FAILED) {
            int n = in.small("buffer");
            if (n >= LISTS || lists.get(n) == null) {
                throw in.fault("buffer", "'" + n + "' holds no list");
            }
            entries = lists.get(n);
        }
        List<Contract.Server> list = entries;
        guard(i, () -> i.module.servers(now, kind, list));
    }
}
