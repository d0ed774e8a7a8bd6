package whinlead.benchlink;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import whinlead.Contract;
import whinlead.decide.Decide;

/** One sidecar: its module, its open requests, and its actions put on the wire. */
final class Instance implements Contract.Actions {
    final int number;
    final Contract.Settings settings;
    final Contract.Events module;
    final byte[][] classNames;
    final byte[][] tenantNames;
    final LongTable<Tracked> open = new LongTable<>();
    private final WireWriter out;

    /** A request and how many of its attempts still owe an outcome, so that it can be forgotten in time. */
    static final class Tracked {
        final Contract.Request request;
        int owed;
        boolean over;

        Tracked(Contract.Request request) {
            this.request = request;
        }
    }

    Instance(int number, Contract.Settings settings, long seed, WireWriter out) {
        this.number = number;
        this.settings = settings;
        this.out = out;
        this.classNames = new byte[settings.classes().size()][];
        for (int i = 0; i < classNames.length; i++) {
            classNames[i] = settings.classes().get(i).name().getBytes(StandardCharsets.UTF_8);
        }
        this.tenantNames = new byte[settings.tenants().size()][];
        for (int i = 0; i < tenantNames.length; i++) {
            tenantNames[i] = settings.tenants().get(i).name().getBytes(StandardCharsets.UTF_8);
        }
        this.module = new Decide(settings, seed, this);
    }

    /** Forgets a request that is over and owes no outcome. */
    void tidy(Tracked t) {
        if (t.over && t.owed == 0) {
            open.remove(t.request.id);
        }
    }

    private void over(Contract.Request r) {
        Tracked t = open.get(r.id);
        if (t != null) {
            t.over = true;
            tidy(t);
        }
    }

    private WireWriter begin(String name) {
        return out.word(name).space().integer(number);
    }

    @Override
    public void send(Contract.Request r, String server, double within) {
        Tracked t = open.get(r.id);
        if (t != null) {
            t.owed++;
        }
        begin("forward")
                .space()
                .integer(r.id)
                .space()
                .word(server)
                .space()
                .millis(within)
                .line();
    }

    @Override
    public void cancel(Contract.Request r, int attempt) {
        begin("undo_send").space().integer(r.id).space().integer(attempt).line();
    }

    @Override
    public void refuse(Contract.Request r, double retryAfter) {
        begin("deny").space().integer(r.id).space().millis(retryAfter).line();
        over(r);
    }

    @Override
    public void fail(Contract.Request r) {
        begin("drop_request").space().integer(r.id).line();
        over(r);
    }

    @Override
    public void probe(String server) {
        begin("sound_out").space().word(server).line();
    }

    @Override
    public void watchServers() {
        begin("stream_changes").word(" 1").line();
    }

    @Override
    public void tellPeers(byte[] text) {
        begin("notify")
                .word(" * ")
                .word(Base64.getEncoder().encodeToString(text))
                .line();
    }

    @Override
    public void wake(double at) {
        begin("wake_me").word(" period ").millis(at).line();
    }

    @Override
    public void log(String line) {
        begin("log").space().word(line.replace('\n', ' ')).line();
    }

    void giveIn(Throwable t) {
        String text = t.getClass().getSimpleName() + ": " + t.getMessage();
        if (t.getStackTrace().length > 0) {
            text += " at " + t.getStackTrace()[0];
        }
        begin("give_in").space().word(text.replace('\n', ' ')).line();
    }
}
