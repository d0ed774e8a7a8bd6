package whinlead.mesh.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import whinlead.mesh.keys.KeyRange;

/** Reads the key of a request for a service that is divided by key. For any thread. */
final class ShardKey {
    /** The header that holds it. */
    static final String HEADER = "Shard-Key";
    /** In place of a key that is missing or no number from 0 to {@link KeyRange#MAX_KEY}. */
    static final int NONE = -1;

    private ShardKey() {}

    /** That of a client's request. */
    static int of(HttpHeaders headers) {
        return parse(headers.get(HEADER));
    }

    /** That of a forwarded request, whose headers are names and values in turn. */
    static int of(List<String> headers) {
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
