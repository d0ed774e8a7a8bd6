package whinlead.mesh.rpc;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** The answer to an order: a status and a body of JSON. */
public record RpcResponse(int status, byte[] body) {
    private static final byte[] NOTHING = "{}".getBytes(StandardCharsets.US_ASCII);

    /** The call was carried out. */
    public static RpcResponse done() {
        return new RpcResponse(HttpResponseStatus.OK.code(), NOTHING);
    }

    /**
     * The call was not carried out.
     *
     * @param why one line for whoever called
     */
    public static RpcResponse error(HttpResponseStatus status, String why) {
        String text = why.replaceAll("[\\p{Cntrl}\"\\\\]", "'");
        return new RpcResponse(status.code(), ("{\"error\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8));
    }
}
