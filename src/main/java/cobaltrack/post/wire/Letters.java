package cobaltrack.post.wire;

import cobaltrack.post.allowance.Use;
import cobaltrack.post.ballot.Ballot;
import cobaltrack.post.ballot.Decision;
import cobaltrack.post.ballot.Acceptor;
import cobaltrack.post.ballot.Message;
import cobaltrack.post.directory.Listing;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Letters as MessagePack: a tag, then the fields in their order. For any thread. */
public final class Letters {
    /** Lists longer than this are no letter of ours. */
    private static final int LIST_MOST = 1 << 16;

    private Letters() { }

    /** Writes a letter. */
    public static byte[] write(Letter letter) {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            if (letter instanceof Letter.Parcel l) {
                p.packByte((byte) 10).packLong(l.stream()).packString(l.method()).packString(l.uri());
                strings(p, l.headers());
                bytes(p, l.body());
                p.packInt(l.leftMs()).packString(l.target()).packString(l.endpoint()).packInt(l.rank());
                stamp(p, l.sentAt());
            } else if (letter instanceof Letter.Delivered l) {
                p.packByte((byte) 11).packLong(l.stream()).packInt(l.status());
                strings(p, l.headers());
                bytes(p, l.body());
                p.packDouble(l.util()).packDouble(l.perSecond());
            } else if (letter instanceof Letter.Returned l) {
                p.packByte((byte) 12).packLong(l.stream()).packInt(l.why().ordinal());
                p.packDouble(l.util()).packDouble(l.perSecond());
            } else {
                rest(p, letter);
            }
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    private static void rest(MessageBufferPacker p, Letter letter) throws IOException {
        if (letter instanceof Letter.Hello l) {
            p.packByte((byte) 1).packString(l.id()).packBoolean(l.office());
        } else if (letter instanceof Letter.Post l) {
            p.packByte((byte) 2).packInt(l.listings().size());
            for (Listing x : l.listings()) {
                p.packString(x.node()).packLong(x.life()).packLong(x.seq()).packString(x.zone());
                p.packString(x.endpoint()).packString(x.target()).packInt(x.phase().ordinal());
                p.packInt(x.capacity()).packInt(x.warmMs());
            }
        } else if (letter instanceof Letter.Ask l) {
            p.packByte((byte) 3).packLong(l.slot());
        } else if (letter instanceof Letter.Notice l) {
            p.packByte((byte) 4).packLong(l.slot());
        } else if (letter instanceof Letter.Fetch) {
            p.packByte((byte) 5);
        } else if (letter instanceof Letter.News l) {
            p.packByte((byte) 6);
            decision(p, l.decision());
            p.packBoolean(l.confirmed());
        } else if (letter instanceof Letter.Ping l) {
            p.packByte((byte) 7).packLong(l.number());
            stamp(p, l.sentAt());
        } else if (letter instanceof Letter.Pong l) {
            p.packByte((byte) 8).packLong(l.number()).packString(l.id()).packLong(l.slot());
        } else if (letter instanceof Letter.Paper l) {
            p.packByte((byte) 9);
            message(p, l.message());
        } else if (letter instanceof Letter.Uses l) {
            p.packByte((byte) 13);
            uses(p, l.uses());
            p.packBoolean(l.wanted());
        } else if (letter instanceof Letter.Sums l) {
            p.packByte((byte) 14).packInt(l.nodes());
            uses(p, l.totals());
        } else if (letter instanceof Letter.Seek) {
            p.packByte((byte) 15);
        } else if (letter instanceof Letter.Offices l) {
            p.packByte((byte) 16);
            strings(p, l.addresses());
        }
    }

    // A last field that older versions neither write nor read.
    private static void stamp(MessageBufferPacker p, long sentAt) throws IOException {
        if (sentAt != Letter.UNSTAMPED) {
            p.packLong(sentAt);
        }
    }

    private static long stamp(MessageUnpacker u) throws IOException {
        return u.hasNext() ? u.unpackLong() : Letter.UNSTAMPED;
    }

    private static void uses(MessageBufferPacker p, List<Use> uses) throws IOException {
        p.packInt(uses.size());
        for (Use u : uses) {
            p.packString(u.tenant()).packFloat((float) u.perSecond());
        }
    }

    private static List<Use> uses(MessageUnpacker u) throws IOException {
        int n = size(u.unpackInt());
        List<Use> uses = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            uses.add(new Use(u.unpackString(), u.unpackFloat()));
        }
        return uses;
    }

    /**
     * Reads a letter.
     *
     * @throws IOException if these bytes are none
     */
    public static Letter read(byte[] bytes) throws IOException {
        try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
            byte tag = u.unpackByte();
            return switch (tag) {
                case 1 -> new Letter.Hello(u.unpackString(), u.unpackBoolean());
                case 2 -> {
                    int n = size(u.unpackInt());
                    List<Listing> list = new ArrayList<>();
                    for (int i = 0; i < n; i++) {
                        list.add(new Listing(u.unpackString(), u.unpackLong(), u.unpackLong(),
                                u.unpackString(), u.unpackString(), u.unpackString(),
                                Listing.Phase.values()[u.unpackInt()], u.unpackInt(), u.unpackInt()));
                    }
                    yield new Letter.Post(list);
                }
                case 3 -> new Letter.Ask(u.unpackLong());
                case 4 -> new Letter.Notice(u.unpackLong());
                case 5 -> new Letter.Fetch();
                case 6 -> new Letter.News(decision(u), u.unpackBoolean());
                case 7 -> new Letter.Ping(u.unpackLong(), stamp(u));
                case 8 -> new Letter.Pong(u.unpackLong(), u.unpackString(), u.unpackLong());
                case 9 -> new Letter.Paper(message(u));
                case 10 -> new Letter.Parcel(u.unpackLong(), u.unpackString(), u.unpackString(), strings(u),
                        bytes(u), u.unpackInt(), u.unpackString(), u.unpackString(), u.unpackInt(), stamp(u));
                case 11 -> new Letter.Delivered(u.unpackLong(), u.unpackInt(), strings(u), bytes(u),
                        u.unpackDouble(), u.unpackDouble());
                case 12 -> new Letter.Returned(u.unpackLong(), Letter.Why.values()[u.unpackInt()],
                        u.unpackDouble(), u.unpackDouble());
                case 13 -> new Letter.Uses(uses(u), u.unpackBoolean());
                case 14 -> new Letter.Sums(u.unpackInt(), uses(u));
                case 15 -> new Letter.Seek();
                case 16 -> new Letter.Offices(strings(u));
                default -> throw new IOException("no letter has the tag " + tag);
            };
        } catch (RuntimeException e) {
            // The library's own errors, and numbers that name nothing.
            throw new IOException("not a letter", e);
        }
    }

    /** Writes what an elector remembers. */
    public static byte[] write(Acceptor.Memory memory) {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            if (memory.decided() == null) {
                p.packNil();
            } else {
                decision(p, memory.decided());
            }
            ballot(p, memory.promised());
            vote(p, memory.vote());
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Reads what an elector remembers.
     *
     * @throws IOException if these bytes are no memory
     */
    public static Acceptor.Memory memory(byte[] bytes) throws IOException {
        try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
            Decision decided = u.tryUnpackNil() ? null : decision(u);
            return new Acceptor.Memory(decided, ballot(u), vote(u));
        } catch (RuntimeException e) {
            throw new IOException("not an elector's memory", e);
        }
    }

    private static void message(MessageBufferPacker p, Message message) throws IOException {
        if (message instanceof Message.Prepare s) {
            p.packByte((byte) 1).packLong(s.slot());
            ballot(p, s.ballot());
        } else if (message instanceof Message.Promise s) {
            p.packByte((byte) 2).packLong(s.slot());
            ballot(p, s.ballot());
            vote(p, s.vote());
        } else if (message instanceof Message.Accept s) {
            p.packByte((byte) 3);
            ballot(p, s.ballot());
            decision(p, s.value());
        } else if (message instanceof Message.Accepted s) {
            p.packByte((byte) 4).packLong(s.slot());
            ballot(p, s.ballot());
        } else if (message instanceof Message.Nack s) {
            p.packByte((byte) 5).packLong(s.slot());
            ballot(p, s.ballot());
            ballot(p, s.promised());
        } else if (message instanceof Message.Lagging s) {
            p.packByte((byte) 6).packLong(s.slot()).packLong(s.have());
        } else if (message instanceof Message.Decided s) {
            p.packByte((byte) 7);
            decision(p, s.decision());
        } else if (message instanceof Message.Query s) {
            p.packByte((byte) 8).packLong(s.nonce()).packLong(s.slot());
        } else if (message instanceof Message.State s) {
            p.packByte((byte) 9).packLong(s.nonce()).packLong(s.slot()).packBoolean(s.voted());
        } else if (message instanceof Message.Join s) {
            p.packByte((byte) 10).packLong(s.slot());
        }
    }

    private static Message message(MessageUnpacker u) throws IOException {
        byte tag = u.unpackByte();
        return switch (tag) {
            case 1 -> new Message.Prepare(u.unpackLong(), ballot(u));
            case 2 -> new Message.Promise(u.unpackLong(), ballot(u), vote(u));
            case 3 -> new Message.Accept(ballot(u), decision(u));
            case 4 -> new Message.Accepted(u.unpackLong(), ballot(u));
            case 5 -> new Message.Nack(u.unpackLong(), ballot(u), ballot(u));
            case 6 -> new Message.Lagging(u.unpackLong(), u.unpackLong());
            case 7 -> new Message.Decided(decision(u));
            case 8 -> new Message.Query(u.unpackLong(), u.unpackLong());
            case 9 -> new Message.State(u.unpackLong(), u.unpackLong(), u.unpackBoolean());
            case 10 -> new Message.Join(u.unpackLong());
            default -> throw new IOException("no message has the tag " + tag);
        };
    }

    private static void ballot(MessageBufferPacker p, Ballot b) throws IOException {
        p.packLong(b.round()).packString(b.by());
    }

    private static Ballot ballot(MessageUnpacker u) throws IOException {
        return new Ballot(u.unpackLong(), u.unpackString());
    }

    private static void vote(MessageBufferPacker p, Message.Vote vote) throws IOException {
        if (vote == null) {
            p.packNil();
        } else {
            ballot(p, vote.ballot());
            decision(p, vote.value());
        }
    }

    private static Message.Vote vote(MessageUnpacker u) throws IOException {
        return u.getNextFormat() == MessageFormat.NIL ? nil(u) : new Message.Vote(ballot(u), decision(u));
    }

    private static Message.Vote nil(MessageUnpacker u) throws IOException {
        u.unpackNil();
        return null;
    }

    private static void decision(MessageBufferPacker p, Decision d) throws IOException {
        p.packLong(d.slot()).packLong(d.version());
        bytes(p, d.body());
        p.packInt(d.taken().size());
        for (Decision.Taken t : d.taken()) {
            p.packLong(t.version()).packString(t.digest());
        }
        strings(p, d.electors());
    }

    private static Decision decision(MessageUnpacker u) throws IOException {
        long slot = u.unpackLong();
        long version = u.unpackLong();
        byte[] body = bytes(u);
        int n = size(u.unpackInt());
        List<Decision.Taken> taken = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            taken.add(new Decision.Taken(u.unpackLong(), u.unpackString()));
        }
        return new Decision(slot, version, body, taken, strings(u));
    }

    private static void strings(MessageBufferPacker p, List<String> list) throws IOException {
        p.packInt(list.size());
        for (String s : list) {
            p.packString(s);
        }
    }

    private static List<String> strings(MessageUnpacker u) throws IOException {
        int n = size(u.unpackInt());
        List<String> list = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            list.add(u.unpackString());
        }
        return list;
    }

    private static void bytes(MessageBufferPacker p, byte[] b) throws IOException {
        p.packBinaryHeader(b.length).writePayload(b);
    }

    private static byte[] bytes(MessageUnpacker u) throws IOException {
        return u.readPayload(u.unpackBinaryHeader());
    }

    private static int size(int n) throws IOException {
        if (n < 0 || n > LIST_MOST) {
            throw new IOException("a list of " + n);
        }
        return n;
    }
}
