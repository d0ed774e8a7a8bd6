package whinlead.mesh.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import java.util.List;
import whinlead.mesh.wire.PeerMessage;

/**
 * Checks the responses that other sidecars pass on, before they become the response to a client: a sidecar of an
 * earlier version passes on malformed responses of its endpoint. Thread-safe.
 */
final class PeerResponseValidator {
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int VALID = -1;

    private PeerResponseValidator() {}

    /** The message itself, or a failure in its place if it is a response that is not valid in HTTP. */
    static PeerMessage validated(PeerMessage message) {
        if (message instanceof PeerMessage.ForwardResponse response && !isValid(response)) {
            // The endpoint has responded, so the request may have run.
            return new PeerMessage.ForwardFailure(
                    response.stream(), PeerMessage.FailureReason.BROKEN, response.util(), response.perSecond());
        }
        return message;
    }

    private static boolean isValid(PeerMessage.ForwardResponse response) {
        return response.status() >= MIN_FINAL_STATUS && response.status() <= MAX_STATUS && areValid(response.headers());
    }

    private static boolean areValid(List<String> headers) {
        if (headers.size() % 2 != 0) {
            return false;
        }
        for (int i = 0; i < headers.size(); i += 2) {
            if (!isValid(headers.get(i), headers.get(i + 1))) {
                return false;
            }
        }
        return true;
    }

    // The body's length is set anew for the client.
    private static boolean isValid(String name, String value) {
        return !name.isEmpty()
                && HttpHeaderValidationUtil.validateToken(name) == VALID
                && HttpHeaderValidationUtil.validateValidHeaderValue(value) == VALID
                && !HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)
                && !HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name);
    }
}
