package whinlead.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects a reply as bytes and writes it at once. */
final class WireWriter {
    private final OutputStream out;
    private byte[] buf = new byte[1 << 14];
    private int size;

    WireWriter(OutputStream out) {
        this.out = out;
    }

    private void room(int n) {
        if (size + n > buf.length) {
            buf = Arrays.copyOf(buf, Math.max(buf.length * 2, size + n));
        }
    }

    WireWriter word(String s) {
        int n = s.length();
        room(n * 3 + 1);
        for (int i = 0; i < n; i++) {
            char c = s.charAt(i);
            if (c > 127) {
                byte[] rest = s.substring(i).getBytes(StandardCharsets.UTF_8);
                room(rest.length);
                System.arraycopy(rest, 0, buf, size, rest.length);
                size += rest.length;
                return this;
            }
            buf[size++] = (byte) c;
        }
        return this;
    }

    WireWriter space() {
        room(1);
        buf[size++] = ' ';
        return this;
    }

    WireWriter line() {
        room(1);
        buf[size++] = '\n';
        return this;
    }

    WireWriter integer(long v) {
        room(20);
        if (v < 0) {
            buf[size++] = '-';
            v = -v;
        }
        int from = size;
        do {
            buf[size++] = (byte) ('0' + v % 10);
            v /= 10;
        } while (v > 0);
        for (int i = from, j = size - 1; i < j; i++, j--) {
            byte b = buf[i];
            buf[i] = buf[j];
            buf[j] = b;
        }
        return this;
    }

    /** Milliseconds with three decimals, the simulator's own resolution. */
    WireWriter millis(double v) {
        long micros = Math.round(v * 1000);
        if (micros < 0) {
            room(1);
            buf[size++] = '-';
            micros = -micros;
        }
        integer(micros / 1000);
        int rest = (int) (micros % 1000);
        room(4);
        buf[size++] = '.';
        buf[size++] = (byte) ('0' + rest / 100);
        buf[size++] = (byte) ('0' + rest / 10 % 10);
        buf[size++] = (byte) ('0' + rest % 10);
        return this;
    }

    void flush() throws IOException {
        out.write(buf, 0, size);
        out.flush();
        size = 0;
    }
}
