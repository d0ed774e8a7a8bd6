package whinlead.mesh;

import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * A connection of a program before protocol versions: its messages by hand, fields by position. Such a program ends a
 * connection by which a kind of message comes that it does not know; here that fails the test.
 */
final class OlderPeer implements AutoCloseable {
    static final byte HELLO = 1;
    static final byte POST = 2;
    static final byte ASK = 3;
    static final byte NOTICE = 4;
    static final byte FETCH = 5;
    static final byte NEWS = 6;
    static final byte PING = 7;
    static final byte PONG = 8;
    static final byte PAPER = 9;
    static final byte REQUEST = 10;
    static final byte DELIVERED = 11;
    static final byte USES = 13;
    static final byte SUMS = 14;
    private static final byte LAST_KIND = 16;
    private static final int WAIT_MS = 20_000;

    /** Writes a message's fields. */
    interface Fields {
        void write(MessageBufferPacker packer) throws IOException;
    }

    /** A message's kind, and what stands behind it. */
    record Heard(byte kind, MessageUnpacker fields) {}

    private final Socket socket;
    private final String id;
    private final boolean greetsFirst;
    private volatile long storedSlot;

    private OlderPeer(Socket socket, String id, boolean greetsFirst) throws IOException {
        this.socket = socket;
        this.id = id;
        this.greetsFirst = greetsFirst;
        socket.setSoTimeout(WAIT_MS);
    }

    /** One that connects to ADDRESS:PORT and greets. */
    static OlderPeer dial(String address, String id, boolean controlNode) throws IOException {
        int colon = address.lastIndexOf(':');
        OlderPeer peer = new OlderPeer(
                new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), id, true);
        peer.say(HELLO, p -> p.packString(id).packBoolean(controlNode));
        return peer;
    }

    /** One that was connected to, and has heard the greeting. */
    static OlderPeer accept(ServerSocket server, String id) throws IOException {
        OlderPeer peer = new OlderPeer(server.accept(), id, false);
        MessageUnpacker hello = peer.hear(HELLO);
        assertTrue(!hello.unpackString().isEmpty());
        hello.unpackBoolean();
        return peer;
    }

    /** Where such a program listens. */
    static ServerSocket listen(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        ServerSocket server = new ServerSocket(
                Integer.parseInt(address.substring(colon + 1)), 16, InetAddress.getByName(address.substring(0, colon)));
        server.setSoTimeout(WAIT_MS);
        return server;
    }

    /** What it tells from now on when it is asked for a sign of life. */
    void stored(long slot) {
        storedSlot = slot;
    }

    synchronized void say(byte kind, Fields fields) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packByte(kind);
            fields.write(packer);
            byte[] written = packer.toByteArray();
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(written.length);
            out.write(written);
            out.flush();
        }
    }

    /** The next message that is no question for a sign of life; these are answered. */
    Heard hear() throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            MessageUnpacker fields = MessagePack.newDefaultUnpacker(in.readNBytes(in.readInt()));
            byte kind = fields.unpackByte();
            assertTrue(kind >= HELLO && kind <= LAST_KIND, "an older program knows no kind " + kind);
            assertTrue(kind != HELLO || !greetsFirst, "who has greeted expects no greeting");
            if (kind != PING) {
                return new Heard(kind, fields);
            }
            long number = fields.unpackLong();
            say(PONG, p -> p.packLong(number).packString(id).packLong(storedSlot));
        }
    }

    /** The fields of the next message of this kind. */
    MessageUnpacker hear(byte kind) throws IOException {
        Heard heard = hear();
        while (heard.kind() != kind) {
            heard = hear();
        }
        return heard.fields();
    }

    static byte[] bytes(MessageUnpacker fields) throws IOException {
        return fields.readPayload(fields.unpackBinaryHeader());
    }

    static String[] strings(MessageUnpacker fields) throws IOException {
        String[] strings = new String[fields.unpackInt()];
        for (int i = 0; i < strings.length; i++) {
            strings[i] = fields.unpackString();
        }
        return strings;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
