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

/** Configurations as they are kept and sent: deflated, for links are narrow and routes alike. For any thread. */
public final class ConfigCodec {
    /** The largest configuration, in bytes. */
    private static final int MAX_BYTES = 16 << 20;
    /** Of a digest, what is kept. */
    private static final int DIGEST_BYTES = 16;

    private ConfigCodec() {}

    /** Deflates. */
    public static byte[] deflate(byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DeflaterOutputStream d = new DeflaterOutputStream(out)) {
            d.write(body);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return out.toByteArray();
    }

    /**
     * Inflates.
     *
     * @throws IOException if these bytes are not what {@link #deflate} gave
     */
    public static byte[] inflate(byte[] body) throws IOException {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(body))) {
            byte[] all = in.readNBytes(MAX_BYTES);
            if (in.read() >= 0) {
                throw new IOException("a configuration over " + MAX_BYTES + " bytes");
            }
            return all;
        }
    }

    /** What tells one configuration from another; short, for hundreds of them are kept and sent. */
    public static String digest(byte[] body) {
        try {
            byte[] all = MessageDigest.getInstance("SHA-256").digest(body);
            return Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(all, DIGEST_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
