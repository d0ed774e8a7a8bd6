package whinlead.mesh.control;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Encodes configurations for storage and transfer: deflated, because links are narrow and routes compress well. For any
 * thread.
 */
public final class ConfigCodec {
    /** The largest configuration, in bytes. */
    private static final int MAX_BYTES = 16 << 20;
    /** The number of bytes of a hash that form a digest. */
    private static final int DIGEST_BYTES = 16;

    private ConfigCodec() {}

    /** Deflates a configuration. */
    public static byte[] deflate(byte[] body) {
        ByteArrayOutputStream deflated = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(deflated)) {
            deflater.write(body);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return deflated.toByteArray();
    }

    /**
     * Inflates a configuration.
     *
     * @throws IOException if these bytes were not made by {@link #deflate}
     */
    public static byte[] inflate(byte[] body) throws IOException {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(body))) {
            byte[] inflated = in.readNBytes(MAX_BYTES);
            if (in.read() >= 0) {
                throw new IOException("the configuration exceeds " + MAX_BYTES + " bytes");
            }
            return inflated;
        }
    }

    /** Identifies a configuration; short, because hundreds of digests are stored and sent. */
    public static String digest(byte[] body) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(body);
            return Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(hash, DIGEST_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
