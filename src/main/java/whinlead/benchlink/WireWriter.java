package whinlead.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Buffers a reply and writes it in one call. */
final class WireWriter {
    private final OutputStream out;
    private byte[] buffer = new byte[1 << 14];
    private int size;

    WireWriter(OutputStream out) {
        this.out = out;
    }

    private void ensureCapacity(int count) {
        if (size + count > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + count));
        }
    }

    WireWriter word(String s) {
        int length = s.length();
        ensureCapacity(length * 3 + 1);
        for (int i = 0; i < length; i++) {
            char c = s.charAt(i);
            if (c > 127) {
                byte[] rest = s.substring(i).getBytes(StandardCharsets.UTF_8);
                ensureCapacity(rest.length);
                System.arraycopy(rest, 0, buffer, size, rest.length);
                size += rest.length;
                return this;
            }
            buffer[size++] = (byte) c;
        }
        return this;
    }

    WireWriter space() {
        ensureCapacity(1);
        buffer[size++] = ' ';
        return this;
    }

    WireWriter endLine() {
        ensureCapacity(1);
        buffer[size++] = '\n';
        return this;
    }

    WireWriter integer(long v) {
        ensureCapacity(20);
        if (v < 0) {
            buffer[size++] = '-';
            v = -v;
        }
        int from = size;
        do {
            buffer[size++] = (byte) ('0' + v % 10);
            v /= 10;
        } while (v > 0);
        for (int i = from, j = size - 1; i < j; i++, j--) {
            byte b = buffer[i];
            buffer[i] = buffer[j];
            buffer[j] = b;
        }
        return this;
    }

    /** Writes milliseconds with three decimals, the simulator's resolution. */
    WireWriter millis(double v) {
        long micros = Math.round(v * 1000);
        if (micros < 0) {
            ensureCapacity(1);
            buffer[size++] = '-';
            micros = -micros;
        }
        integer(micros / 1000);
        int rest = (int) (micros % 1000);
        ensureCapacity(4);
        buffer[size++] = '.';
        buffer[size++] = (byte) ('0' + rest / 100);
        buffer[size++] = (byte) ('0' + rest / 10 % 10);
        buffer[size++] = (byte) ('0' + rest % 10);
        return this;
    }

    void flush() throws IOException {
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
    }
}
