package whinlead.admit;

/**
 * Who counts as one client: the leading bits of an address, IPv4 ones in their mapped form (RFC 4291, section 2.5.5.2).
 *
 * @param high the first 64 bits
 * @param low the last 64 bits
 */
public record Client(long high, long low) {
    private static final int V4_BYTES = 4;
    private static final int V6_BYTES = 16;
    private static final int HALF = Long.SIZE;
    private static final long MAPPED = 0xffffL << Integer.SIZE;

    /**
     * How many leading bits tell clients apart. A host commonly has a /64 of IPv6 to choose from.
     *
     * @param v4 from 0, where all are one, to 32
     * @param v6 from 0 to 128
     */
    public record Prefixes(int v4, int v6) {
        /** Checks the ranges. */
        public Prefixes {
            if (v4 < 0 || v4 > Integer.SIZE || v6 < 0 || v6 > 2 * HALF) {
                throw new IllegalArgumentException("prefix lengths out of range");
            }
        }
    }

    /**
     * The client at an address.
     *
     * @param address 4 or 16 bytes, the most significant first
     */
    public static Client of(byte[] address, Prefixes prefixes) {
        if (address.length == V4_BYTES) {
            return v4(bits(address, 0, V4_BYTES), prefixes);
        }
        if (address.length != V6_BYTES) {
            throw new IllegalArgumentException("no address: " + address.length + " bytes");
        }
        long high = bits(address, 0, Long.BYTES);
        long low = bits(address, Long.BYTES, Long.BYTES);
        // A socket for both families shows IPv4 clients in this form.
        if (high == 0 && low >>> Integer.SIZE == MAPPED >>> Integer.SIZE) {
            return v4(low & 0xffffffffL, prefixes);
        }
        return new Client(
                high & leading(Math.min(prefixes.v6(), HALF)), low & leading(Math.max(0, prefixes.v6() - HALF)));
    }

    private static Client v4(long address, Prefixes prefixes) {
        return new Client(0, MAPPED | address & leading(HALF - Integer.SIZE + prefixes.v4()));
    }

    private static long leading(int bits) {
        return bits == 0 ? 0 : -1L << HALF - bits;
    }

    private static long bits(byte[] address, int from, int length) {
        long bits = 0;
        for (int i = 0; i < length; i++) {
            bits = bits << Byte.SIZE | address[from + i] & 0xff;
        }
        return bits;
    }
}
