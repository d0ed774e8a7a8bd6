package whinlead.front.spop;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One frame of HAProxy's Stream Processing Offload Protocol 2.0 (HAProxy's {@code doc/SPOE.txt}, section 3). Written by
 * hand, since no maintained Java library implements it; Netty's codec for HAProxy is that of the PROXY protocol.
 *
 * @param payload valid until the frame's bytes are released
 */
public record SpopFrame(Type type, boolean fin, boolean abort, long stream, long frame, ByteBuf payload) {
    /** The frame types of both sides, with their numbers on the wire. */
    public enum Type {
        HAPROXY_HELLO(1),
        HAPROXY_DISCONNECT(2),
        NOTIFY(3),
        AGENT_HELLO(101),
        AGENT_DISCONNECT(102),
        ACK(103);

        private final int code;

        Type(int code) {
            this.code = code;
        }

        private static Type of(int code) throws Invalid {
            for (Type t : values()) {
                if (t.code == code) {
                    return t;
                }
            }
            throw new Invalid(Status.INVALID, "a frame of unknown type " + code);
        }
    }

    /** The reason for a disconnect, with its number on the wire. */
    public enum Status {
        NORMAL(0),
        TOO_BIG(3),
        INVALID(4),
        NO_VERSION(5),
        NO_FRAME_SIZE(6),
        BAD_VERSION(8),
        BAD_FRAME_SIZE(9),
        FRAGMENTED(10),
        RESOURCES(13);

        private final int code;

        Status(int code) {
            this.code = code;
        }

        int code() {
            return code;
        }
    }

    /** A malformed frame, with the status and message sent to the peer. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1;
        private final Status status;

        Invalid(Status status, String why) {
            super(why, null, false, false);
            this.status = status;
        }

        Status status() {
            return status;
        }
    }

    private static final int FIN = 1;
    private static final int ABORT = 2;
    /** Numbers from this value on take more than one byte. */
    private static final int ONE_BYTE_LIMIT = 240;

    private static final int CONTINUATION = 128;
    private static final int NUMBER_BITS = 64;
    private static final int TYPE_MASK = 0x0f;
    private static final int TRUE_FLAG = 0x10;
    private static final int TYPE_NULL = 0;
    private static final int TYPE_BOOL = 1;
    private static final int TYPE_INT32 = 2;
    private static final int TYPE_UINT32 = 3;
    private static final int TYPE_INT64 = 4;
    private static final int TYPE_UINT64 = 5;
    private static final int TYPE_IPV4 = 6;
    private static final int TYPE_IPV6 = 7;
    private static final int TYPE_STRING = 8;
    private static final int TYPE_BINARY = 9;
    private static final int IPV4_BYTES = 4;
    private static final int IPV6_BYTES = 16;
    private static final int SET_VAR = 1;
    private static final int SET_VAR_ARGS = 3;
    private static final int SCOPE_TRANSACTION = 2;

    /** Reads a frame that follows its length field. */
    public static SpopFrame read(ByteBuf in) throws Invalid {
        try {
            int type = in.readUnsignedByte();
            int flags = in.readInt();
            long stream = number(in);
            long frame = number(in);
            // A frame that continues another has type 0.
            if (type == 0 || (flags & FIN) == 0) {
                throw new Invalid(Status.FRAGMENTED, "fragments are not supported");
            }
            return new SpopFrame(Type.of(type), true, (flags & ABORT) != 0, stream, frame, in);
        } catch (IndexOutOfBoundsException e) {
            throw new Invalid(Status.INVALID, "a frame cut short");
        }
    }

    /** Starts a frame with a placeholder for its length, which {@link #end} sets. */
    public static ByteBuf begin(ByteBuf out, Type type, long stream, long frame) {
        out.writeInt(0).writeByte(type.code).writeInt(FIN);
        number(out, stream);
        number(out, frame);
        return out;
    }

    /** Ends a frame that starts at the beginning of the buffer, and sets its length. */
    public static ByteBuf end(ByteBuf out) {
        return out.setInt(0, out.readableBytes() - Integer.BYTES);
    }

    /** The key-value pairs of a HELLO or DISCONNECT. */
    Map<String, String> pairs() throws Invalid {
        try {
            Map<String, String> pairs = new LinkedHashMap<>();
            while (payload.isReadable()) {
                pairs.put(string(payload), value(payload));
            }
            return pairs;
        } catch (IndexOutOfBoundsException e) {
            throw new Invalid(Status.INVALID, "pairs cut short");
        }
    }

    /** The messages of a NOTIFY, by name, with their arguments; null is an argument without a value. */
    Map<String, Map<String, String>> messages() throws Invalid {
        try {
            Map<String, Map<String, String>> messages = new LinkedHashMap<>();
            while (payload.isReadable()) {
                String name = string(payload);
                int count = payload.readUnsignedByte();
                Map<String, String> arguments = new LinkedHashMap<>();
                for (int i = 0; i < count; i++) {
                    arguments.put(string(payload), value(payload));
                }
                messages.put(name, arguments);
            }
            return messages;
        } catch (IndexOutOfBoundsException e) {
            throw new Invalid(Status.INVALID, "messages cut short");
        }
    }

    /** Writes a pair with a string value. */
    public static void pair(ByteBuf out, String key, String text) {
        string(out, key);
        out.writeByte(TYPE_STRING);
        string(out, text);
    }

    /** Writes a pair with a numeric value. */
    public static void pair(ByteBuf out, String key, int value) {
        string(out, key);
        out.writeByte(TYPE_UINT32);
        number(out, value);
    }

    /** Writes the action that sets a variable of the transaction. */
    static void setVariable(ByteBuf out, String name, String text) {
        out.writeByte(SET_VAR).writeByte(SET_VAR_ARGS).writeByte(SCOPE_TRANSACTION);
        string(out, name);
        out.writeByte(TYPE_STRING);
        string(out, text);
    }

    /** Writes the action that sets a variable of the transaction to an IPv4 or IPv6 address. */
    static void setVariable(ByteBuf out, String name, byte[] address) {
        out.writeByte(SET_VAR).writeByte(SET_VAR_ARGS).writeByte(SCOPE_TRANSACTION);
        string(out, name);
        out.writeByte(address.length == IPV4_BYTES ? TYPE_IPV4 : TYPE_IPV6).writeBytes(address);
    }

    /** Writes the action that sets a variable of the transaction to a number. */
    static void setVariable(ByteBuf out, String name, int value) {
        out.writeByte(SET_VAR).writeByte(SET_VAR_ARGS).writeByte(SCOPE_TRANSACTION);
        string(out, name);
        out.writeByte(TYPE_UINT32);
        number(out, value);
    }

    /** Reads a number in HAProxy's variable-length encoding. */
    public static long number(ByteBuf in) throws Invalid {
        long value = in.readUnsignedByte();
        if (value < ONE_BYTE_LIMIT) {
            return value;
        }
        int shift = 4;
        int more;
        do {
            if (shift >= NUMBER_BITS) {
                throw new Invalid(Status.INVALID, "a number without end");
            }
            more = in.readUnsignedByte();
            value += (long) more << shift;
            shift += 7;
        } while (more >= CONTINUATION);
        return value;
    }

    /** Writes a number in HAProxy's variable-length encoding. */
    static void number(ByteBuf out, long number) {
        if (number >= 0 && number < ONE_BYTE_LIMIT) {
            out.writeByte((int) number);
            return;
        }
        out.writeByte((int) (number | ONE_BYTE_LIMIT));
        long rest = number - ONE_BYTE_LIMIT >>> 4;
        while (rest >= CONTINUATION) {
            out.writeByte((int) (rest | CONTINUATION));
            rest = rest - CONTINUATION >>> 7;
        }
        out.writeByte((int) rest);
    }

    /** Reads a string with its length. */
    public static String string(ByteBuf in) throws Invalid {
        long length = number(in);
        if (length < 0 || length > in.readableBytes()) {
            throw new Invalid(Status.INVALID, "a text cut short");
        }
        return in.readCharSequence((int) length, StandardCharsets.UTF_8).toString();
    }

    /** Writes a string with its length. */
    public static void string(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        number(out, bytes.length);
        out.writeBytes(bytes);
    }

    /** Reads a value as a string; null for the null type and for addresses. */
    public static String value(ByteBuf in) throws Invalid {
        int type = in.readUnsignedByte();
        return switch (type & TYPE_MASK) {
            case TYPE_NULL -> null;
            case TYPE_BOOL -> (type & TRUE_FLAG) != 0 ? "1" : "0";
            case TYPE_INT32, TYPE_UINT32, TYPE_INT64, TYPE_UINT64 -> Long.toString(number(in));
            case TYPE_IPV4 -> skip(in, IPV4_BYTES);
            case TYPE_IPV6 -> skip(in, IPV6_BYTES);
            case TYPE_STRING, TYPE_BINARY -> string(in);
            default -> throw new Invalid(Status.INVALID, "a value of unknown type");
        };
    }

    // Addresses are not used.
    private static String skip(ByteBuf in, int bytes) {
        in.skipBytes(bytes);
        return null;
    }
}
