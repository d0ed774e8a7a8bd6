package whinlead.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import whinlead.Contract;

/** Reads batches of events, passes each event to the module of its instance, and writes the replies. */
final class Link {
    private static final byte[][] OUTCOME_WORDS =
            bytes("done", "err", "busy", "etimedout", "econnrefused", "econnreset", "ecanceled", "skipped");
    private static final Contract.Outcome[] OUTCOME_VALUES = {
        Contract.Outcome.SERVED,
        Contract.Outcome.ERROR,
        Contract.Outcome.FULL,
        Contract.Outcome.TIMED_OUT,
        Contract.Outcome.CONNECT_FAILED,
        Contract.Outcome.RESET,
        Contract.Outcome.CANCELLED,
        Contract.Outcome.NEVER_SENT
    };
    private static final byte[][] STANDING_WORDS = bytes("U", "L", "D");
    private static final Contract.ServerState[] STANDING_VALUES = Contract.ServerState.values();
    private static final byte[][] LIST_KIND_WORDS = bytes("D", "F", "C", "X");
    private static final Contract.ListKind[] LIST_KIND_VALUES = Contract.ListKind.values();
    private static final byte[][] REPORT_FIELDS = bytes("inflight", "queue", "util", "latency_ms", "qps", "eps");
    private static final int MAX_LISTS = 16;

    private final WireReader in;
    private final WireWriter out;
    private final ArrayList<Instance> instances = new ArrayList<>();
    private final List<List<Contract.Server>> listBuffers = new ArrayList<>();
    private final double[] reportValues = new double[REPORT_FIELDS.length];
    private double nowMs = Double.NEGATIVE_INFINITY;
    private long batch;

    Link(InputStream in, OutputStream out) {
        this.in = new WireReader(in);
        this.out = new WireWriter(out);
        for (int i = 0; i < MAX_LISTS; i++) {
            listBuffers.add(null);
        }
    }

    private static byte[][] bytes(String... words) {
        byte[][] encoded = new byte[words.length][];
        for (int i = 0; i < words.length; i++) {
            encoded[i] = words[i].getBytes(StandardCharsets.UTF_8);
        }
        return encoded;
    }

    /** Processes batches until the input ends. */
    void run() throws IOException {
        while (in.nextLine()) {
            if (in.blank()) {
                continue;
            }
            in.field("message");
            if (!in.fieldEquals("tick")) {
                throw in.fault("message", "'" + in.text() + "' where a tick was expected");
            }
            double clockMs = in.number("clock");
            if (clockMs < nowMs) {
                throw in.fault("clock", "is before the previous tick");
            }
            nowMs = clockMs;
            batch = in.integer("batch");
            readBatch();
            out.word("next ").integer(batch).endLine().flush();
        }
    }

    private void readBatch() throws IOException {
        while (in.nextLine()) {
            if (in.blank()) {
                continue;
            }
            in.field("message");
            if (in.fieldEquals("eob")) {
                return;
            }
            readEvent();
        }
        throw in.fault("message", "the input ends inside a batch");
    }

    private void readEvent() throws IOException {
        if (in.fieldEquals("answer")) {
            readAnswer();
        } else if (in.fieldEquals("order")) {
            readOrder();
        } else if (in.fieldEquals("deadline_hit")) {
            Instance instance = readInstance();
            in.field("tag");
            runGuarded(instance, () -> instance.module.wake(nowMs));
        } else if (in.fieldEquals("cancelled_by_client")) {
            readClientCancellation();
        } else if (in.fieldEquals("probed")) {
            readProbed();
        } else if (in.fieldEquals("flowing")) {
            readFlowing();
        } else if (in.fieldEquals("memo")) {
            readMemo();
        } else if (in.fieldEquals("catalog")) {
            readCatalog();
        } else if (in.fieldEquals("membership")) {
            readMembership();
        } else if (in.fieldEquals("up")) {
            startInstance();
        } else if (in.fieldEquals("crash_now")) {
            int number = in.nonNegativeInt("sidecar");
            if (number < instances.size()) {
                instances.set(number, null);
            }
        } else {
            throw in.fault("message", "'" + in.text() + "' is unknown");
        }
    }

    private interface Call {
        void run();
    }

    private void runGuarded(Instance instance, Call call) throws IOException {
        try {
            call.run();
        } catch (RuntimeException | StackOverflowError e) {
            instance.reportFailure(e);
        }
    }

    private Instance readInstance() {
        int number = in.nonNegativeInt("sidecar");
        Instance instance = number < instances.size() ? instances.get(number) : null;
        if (instance == null) {
            throw in.fault("sidecar", "'" + number + "' is not running");
        }
        return instance;
    }

    private void startInstance() throws IOException {
        int number = in.nonNegativeInt("sidecar");
        if (number > 1_000_000) {
            throw in.fault("sidecar", "'" + number + "' is out of range");
        }
        long seed = in.integer("seed");
        Contract.Settings settings;
        try {
            settings = new BootInfo(in.rest()).settings();
        } catch (WireException e) {
            throw in.fault("boot_info", e.getMessage().replace("field boot_info: ", ""));
        }
        while (instances.size() <= number) {
            instances.add(null);
        }
        Instance instance = new Instance(number, settings, seed, out);
        instances.set(number, instance);
        runGuarded(instance, () -> instance.module.start(nowMs));
    }

    private void readOrder() throws IOException {
        Instance instance = readInstance();
        long id = in.integer("msg_id");
        int requestClass = in.choice("grade", instance.classNames, false);
        int tenant = in.choice("project", instance.tenantNames, true);
        in.field("object");
        double remainingMs = in.number("time_left");
        in.number("work", Double.NaN);
        boolean repeat = in.flag("retry", false);
        in.flag("write", false);
        if (instance.openRequests.get(id) != null) {
            throw in.fault("msg_id", "'" + id + "' is already open");
        }
        Contract.Request request = new Contract.Request(id, requestClass, tenant, remainingMs, repeat);
        instance.openRequests.put(id, new Instance.Tracked(request));
        runGuarded(instance, () -> instance.module.request(nowMs, request));
    }

    private void readAnswer() throws IOException {
        Instance instance = readInstance();
        long id = in.integer("msg_id");
        int attempt = in.nonNegativeInt("attempt");
        in.field("endpoint");
        Contract.Outcome outcome = OUTCOME_VALUES[in.choice("disposition", OUTCOME_WORDS, false)];
        double lagMs = in.number("lag");
        boolean last = in.flag("last", false);
        Contract.Report report = readReport();
        Instance.Tracked tracked = instance.openRequests.get(id);
        if (tracked == null) {
            return;
        }
        tracked.pendingOutcomes--;
        tracked.finished |= last;
        runGuarded(
                instance, () -> instance.module.outcome(nowMs, tracked.request, attempt, outcome, lagMs, last, report));
        instance.forgetIfFinished(tracked);
    }

    private Contract.Report readReport() {
        if (!in.report("telemetry", reportValues, REPORT_FIELDS)) {
            return null;
        }
        return new Contract.Report(
                reportValues[0], reportValues[1], reportValues[2], reportValues[3], reportValues[4], reportValues[5]);
    }

    private void readClientCancellation() throws IOException {
        Instance instance = readInstance();
        Instance.Tracked tracked = instance.openRequests.get(in.integer("msg_id"));
        if (tracked != null) {
            tracked.finished = true;
            runGuarded(instance, () -> instance.module.abandoned(nowMs, tracked.request));
            instance.forgetIfFinished(tracked);
        }
    }

    private void readFlowing() throws IOException {
        Instance instance = readInstance();
        Instance.Tracked tracked = instance.openRequests.get(in.integer("msg_id"));
        int attempt = in.nonNegativeInt("attempt");
        in.field("endpoint");
        in.number("lag");
        if (tracked != null) {
            runGuarded(instance, () -> instance.module.streaming(nowMs, tracked.request, attempt));
        }
    }

    private void readProbed() throws IOException {
        Instance instance = readInstance();
        String server = in.word("endpoint");
        Contract.Outcome outcome = OUTCOME_VALUES[in.choice("disposition", OUTCOME_WORDS, false)];
        double lagMs = in.number("lag");
        Contract.Report report = readReport();
        runGuarded(instance, () -> instance.module.probed(nowMs, server, outcome, lagMs, report));
    }

    private void readMemo() throws IOException {
        Instance instance = readInstance();
        int sender = in.nonNegativeInt("src");
        String raw = in.hasMore() ? in.word("raw") : "-";
        byte[] text;
        try {
            text = raw.equals("-") ? new byte[0] : Base64.getDecoder().decode(raw);
        } catch (IllegalArgumentException e) {
            throw in.fault("raw", "is not base64");
        }
        runGuarded(instance, () -> instance.module.message(nowMs, sender, text));
    }

    private void readCatalog() throws IOException {
        int bufferNumber = in.nonNegativeInt("buffer");
        if (bufferNumber >= MAX_LISTS) {
            throw in.fault("buffer", "'" + bufferNumber + "' is out of range");
        }
        int count = in.nonNegativeInt("entries");
        ArrayList<Contract.Server> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (!in.nextLine()) {
                throw in.fault("entries", "the input ends inside a list");
            }
            in.field("message");
            if (!in.fieldEquals("entry")) {
                throw in.fault("message", "'" + in.text() + "' where an entry was expected");
            }
            double size = in.number("power_hint", 1);
            Contract.ServerState standing = STANDING_VALUES[in.choice("mode", STANDING_WORDS, false)];
            in.field("family_type");
            String zone = in.word("area");
            int cell = (int) in.number("block", -1);
            String id = in.word("endpoint");
            list.add(new Contract.Server(id, standing, size, zone, cell, in.number("born", 0)));
        }
        listBuffers.set(bufferNumber, List.copyOf(list));
    }

    private void readMembership() throws IOException {
        Instance instance = readInstance();
        in.number("epoch", 0);
        Contract.ListKind kind = LIST_KIND_VALUES[in.choice("scope", LIST_KIND_WORDS, false)];
        List<Contract.Server> entries = List.of();
        if (kind != Contract.ListKind.FAILED) {
            int bufferNumber = in.nonNegativeInt("buffer");
            if (bufferNumber >= MAX_LISTS || listBuffers.get(bufferNumber) == null) {
                throw in.fault("buffer", "'" + bufferNumber + "' contains no list");
            }
            entries = listBuffers.get(bufferNumber);
        }
        List<Contract.Server> list = entries;
        runGuarded(instance, () -> instance.module.servers(nowMs, kind, list));
    }
}
