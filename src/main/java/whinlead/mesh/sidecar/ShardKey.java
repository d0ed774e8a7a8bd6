package whinlead.mesh.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import whinlead.mesh.keys.KeyRange;

/** Reads the shard key of a request. Thread-safe. */
final class ShardKey {
    /** The header that contains the key. */
    static final String HEADER = "Shard-Key";
    /** Stands for a key that is missing or not a number from 0 to {@link KeyRange#MAX_KEY}. */
    static final int NONE = -1;

    private ShardKey() {}

    /** The key of a client's request. */
    static int fromHeaders(HttpHeaders headers) {
        return parse(headers.get(HEADER));
    }

    /** The key of a forwarded request, whose headers are alternating names and values. */
    static int fromHeaders(List<String> headers) {
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            if (headers.get(i).equalsIgnoreCase(HEADER)) {
                return parse(headers.get(i + 1));
            }
        }
        return NONE;
    }

    private static int parse(String text) {
        try {
            int key = text == null ? NONE : Integer.parseInt(text.trim());
            return key >= 0 && key <= KeyRange.MAX_KEY ? key : NONE;
        } catch (NumberFormatException e) {
            return NONE;
        }
    }
}
