package whinlead.mesh.rpc;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** The response to a call: a status and a JSON body. */
public record RpcResponse(int status, byte[] body) {
    private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

    /** Creates the response to a successful call without a result. */
    public static RpcResponse done() {
        return new RpcResponse(HttpResponseStatus.OK.code(), EMPTY_OBJECT);
    }

    /**
     * Creates the response to a call that was not carried out.
     *
     * @param message one line for the caller
     */
    public static RpcResponse error(HttpResponseStatus status, String message) {
        String text = message.replaceAll("[\\p{Cntrl}\"\\\\]", "'");
        return new RpcResponse(status.code(), ("{\"error\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8));
    }
}
