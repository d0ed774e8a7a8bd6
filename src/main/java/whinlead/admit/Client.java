package whinlead.admit;

/**
 * A client, identified by the leading bits of its address; IPv4 addresses are in their mapped form (RFC 4291, section
 * 2.5.5.2).
 *
 * @param high the first 64 bits
 * @param low the last 64 bits
 */
public record Client(long high, long low) {
    private static final int V4_BYTES = 4;
    private static final int V6_BYTES = 16;
    private static final int HALF_BITS = Long.SIZE;
    private static final long MAPPED_PREFIX = 0xffffL << Integer.SIZE;

    /**
     * The number of leading bits that identify a client. A host commonly has an IPv6 /64 at its disposal.
     *
     * @param v4 from 0, where all addresses are one client, to 32
     * @param v6 from 0 to 128
     */
    public record Prefixes(int v4, int v6) {
        /** Checks the ranges. */
        public Prefixes {
            if (v4 < 0 || v4 > Integer.SIZE || v6 < 0 || v6 > 2 * HALF_BITS) {
                throw new IllegalArgumentException("prefix lengths must be 0 to 32 (IPv4) and 0 to 128 (IPv6)");
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
            return ofV4(bits(address, 0, V4_BYTES), prefixes);
        }
        if (address.length != V6_BYTES) {
            throw new IllegalArgumentException("address has " + address.length + " bytes");
        }
        long high = bits(address, 0, Long.BYTES);
        long low = bits(address, Long.BYTES, Long.BYTES);
        // A dual-stack socket reports IPv4 clients in this form.
        if (high == 0 && low >>> Integer.SIZE == MAPPED_PREFIX >>> Integer.SIZE) {
            return ofV4(low & 0xffffffffL, prefixes);
        }
        return new Client(
                high & leadingMask(Math.min(prefixes.v6(), HALF_BITS)),
                low & leadingMask(Math.max(0, prefixes.v6() - HALF_BITS)));
    }

    private static Client ofV4(long address, Prefixes prefixes) {
        return new Client(0, MAPPED_PREFIX | address & leadingMask(HALF_BITS - Integer.SIZE + prefixes.v4()));
    }

    private static long leadingMask(int bits) {
        return bits == 0 ? 0 : -1L << HALF_BITS - bits;
    }

    private static long bits(byte[] address, int offset, int length) {
        long bits = 0;
        for (int i = 0; i < length; i++) {
            bits = bits << Byte.SIZE | address[offset + i] & 0xff;
        }
        return bits;
    }
}
