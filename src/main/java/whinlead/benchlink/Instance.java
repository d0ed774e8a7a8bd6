package whinlead.benchlink;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import whinlead.Contract;
import whinlead.decide.Decide;

/** One sidecar instance: its decision module and open requests. Writes the module's actions to the wire. */
final class Instance implements Contract.Actions {
    final int number;
    final Contract.Settings settings;
    final Contract.Events module;
    final byte[][] classNames;
    final byte[][] tenantNames;
    final LongTable<Tracked> openRequests = new LongTable<>();
    private final WireWriter out;

    /** An open request with the number of its attempts whose outcome is pending. */
    static final class Tracked {
        final Contract.Request request;
        int pendingOutcomes;
        boolean finished;

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

    /** Removes a request that is finished and has no pending outcome. */
    void forgetIfFinished(Tracked tracked) {
        if (tracked.finished && tracked.pendingOutcomes == 0) {
            openRequests.remove(tracked.request.id);
        }
    }

    private void finish(Contract.Request request) {
        Tracked tracked = openRequests.get(request.id);
        if (tracked != null) {
            tracked.finished = true;
            forgetIfFinished(tracked);
        }
    }

    private WireWriter startLine(String name) {
        return out.word(name).space().integer(number);
    }

    @Override
    public void send(Contract.Request request, String server, double withinMs) {
        Tracked tracked = openRequests.get(request.id);
        if (tracked != null) {
            tracked.pendingOutcomes++;
        }
        startLine("forward")
                .space()
                .integer(request.id)
                .space()
                .word(server)
                .space()
                .millis(withinMs)
                .endLine();
    }

    @Override
    public void cancel(Contract.Request request, int attempt) {
        startLine("undo_send")
                .space()
                .integer(request.id)
                .space()
                .integer(attempt)
                .endLine();
    }

    @Override
    public void refuse(Contract.Request request, double retryAfterMs) {
        startLine("deny")
                .space()
                .integer(request.id)
                .space()
                .millis(retryAfterMs)
                .endLine();
        finish(request);
    }

    @Override
    public void fail(Contract.Request request) {
        startLine("drop_request").space().integer(request.id).endLine();
        finish(request);
    }

    @Override
    public void probe(String server) {
        startLine("sound_out").space().word(server).endLine();
    }

    @Override
    public void watchServers() {
        startLine("stream_changes").word(" 1").endLine();
    }

    @Override
    public void sendToPeers(byte[] text) {
        startLine("notify")
                .word(" * ")
                .word(Base64.getEncoder().encodeToString(text))
                .endLine();
    }

    @Override
    public void wake(double atMs) {
        startLine("wake_me").word(" period ").millis(atMs).endLine();
    }

    @Override
    public void log(String line) {
        startLine("log").space().word(line.replace('\n', ' ')).endLine();
    }

    void reportFailure(Throwable failure) {
        String text = failure.getClass().getSimpleName() + ": " + failure.getMessage();
        if (failure.getStackTrace().length > 0) {
            text += " at " + failure.getStackTrace()[0];
        }
        startLine("give_in").space().word(text.replace('\n', ' ')).endLine();
    }
}
