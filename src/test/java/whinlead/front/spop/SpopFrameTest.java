package whinlead.front.spop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** SPOP frames, with the encodings of HAProxy's documentation and with random bytes. */
class SpopFrameTest {
    @ParameterizedTest
    @CsvSource({"0,00", "239,ef", "240,f000", "241,f100", "2287,ff7f", "2288,f08000", "264431,ffff7f", "264432,f0808000"
    })
    void numbersAreEncodedAsDocumented(long value, String hex) throws Exception {
        ByteBuf out = Unpooled.buffer();
        SpopFrame.number(out, value);
        assertEquals(hex, ByteBufUtil.hexDump(out));
        assertEquals(value, SpopFrame.number(out));
    }

    @Test
    void randomNumbersRoundTrip() throws Exception {
        Random dice = new Random(3);
        for (int i = 0; i < 20_000; i++) {
            long value = dice.nextLong() >>> 1 + dice.nextInt(62);
            ByteBuf out = Unpooled.buffer();
            SpopFrame.number(out, value);
            assertEquals(value, SpopFrame.number(out));
            assertEquals(0, out.readableBytes());
        }
    }

    @Test
    void messageWithAllValueTypesIsRead() throws Exception {
        ByteBuf in = SpopFrame.begin(Unpooled.buffer(), SpopFrame.Type.NOTIFY, 7, 300);
        in.writeByte(3).writeBytes("ask".getBytes()).writeByte(6);
        in.writeByte(1).writeByte('a').writeByte(0);
        in.writeByte(1).writeByte('b').writeByte(0x11);
        in.writeByte(1).writeByte('c').writeByte(3);
        SpopFrame.number(in, 70_000);
        in.writeByte(1).writeByte('d').writeByte(6).writeInt(0x7f000001);
        in.writeByte(1).writeByte('e').writeByte(8).writeByte(2).writeBytes("hi".getBytes());
        in.writeByte(1).writeByte('f').writeByte(1);
        SpopFrame.end(in).readInt();
        SpopFrame frame = SpopFrame.read(in);
        assertEquals(7, frame.stream());
        assertEquals(300, frame.frame());
        Map<String, String> a = frame.messages().get("ask");
        assertNull(a.get("a"));
        assertEquals("1", a.get("b"));
        assertEquals("70000", a.get("c"));
        assertNull(a.get("d"));
        assertEquals("hi", a.get("e"));
        assertEquals("0", a.get("f"));
    }

    @Test
    void randomBytesAreReadOrRejectedAsInvalid() {
        Random dice = new Random(5);
        int read = 0;
        for (int i = 0; i < 50_000; i++) {
            byte[] bytes = new byte[dice.nextInt(40)];
            dice.nextBytes(bytes);
            if (bytes.length > 5) {
                bytes[0] = (byte) (1 + dice.nextInt(3));
                bytes[4] |= 1;
            }
            try {
                SpopFrame f = SpopFrame.read(Unpooled.wrappedBuffer(bytes));
                if (f.type() == SpopFrame.Type.NOTIFY) {
                    f.messages();
                } else {
                    f.pairs();
                }
                read++;
            } catch (SpopFrame.Invalid e) {
                assertEquals(SpopFrame.Status.class, e.status().getClass());
            }
        }
        assertEquals(true, read > 100);
    }

    @Test
    void unterminatedNumberIsInvalid() {
        ByteBuf in = Unpooled.buffer();
        for (int i = 0; i < 20; i++) {
            in.writeByte(0xff);
        }
        assertThrows(SpopFrame.Invalid.class, () -> SpopFrame.number(in));
    }
}
