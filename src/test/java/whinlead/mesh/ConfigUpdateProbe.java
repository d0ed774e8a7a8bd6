package whinlead.mesh;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;
import whinlead.testbed.mesh.TestbedSettings;

/** Asks one control node for what it would have a sidecar begin with, some tens of times a second, and notes it. */
final class ConfigUpdateProbe implements AutoCloseable {
    private static final long EVERY_MS = 20;

    /** An answer: when it came, by {@link RelayedRig#now()}, and what it said. */
    record Seen(double at, long version, boolean confirmed) {}

    private final Socket socket;
    private final List<Seen> seen = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService threads = Executors.newScheduledThreadPool(2);

    ConfigUpdateProbe(TestbedSettings settings, int controlNode) throws IOException {
        String at = settings.talk(controlNode);
        int colon = at.lastIndexOf(':');
        socket = new Socket(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)));
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        say(out, new PeerMessage.Hello("probe", false));
        threads.execute(this::hear);
        threads.scheduleAtFixedRate(
                () -> {
                    try {
                        say(out, new PeerMessage.FetchConfig());
                    } catch (IOException e) {
                        throw new IllegalStateException("the control node closed the probe's link", e);
                    }
                },
                0,
                EVERY_MS,
                TimeUnit.MILLISECONDS);
    }

    private static void say(DataOutputStream out, PeerMessage message) throws IOException {
        byte[] written = PeerMessageCodec.write(message);
        out.writeInt(written.length);
        out.write(written);
        out.flush();
    }

    private void hear() {
        try {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                if (PeerMessageCodec.read(in.readNBytes(in.readInt())) instanceof PeerMessage.ConfigUpdate update) {
                    seen.add(new Seen(RelayedRig.now(), update.decision().version(), update.confirmed()));
                }
            }
        } catch (EOFException e) {
            return;
        } catch (IOException e) {
            if (!socket.isClosed()) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** All answers so far. */
    List<Seen> seen() {
        return List.copyOf(seen);
    }

    @Override
    public void close() throws IOException {
        threads.shutdownNow();
        socket.close();
    }
}
