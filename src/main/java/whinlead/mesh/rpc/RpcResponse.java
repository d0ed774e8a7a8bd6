package whinlead.mesh.rpc;

import java.nio.charset.StandardCharsets;

/** The answer to an order: a status and a body of JSON. */
public record RpcResponse(int status, byte[] body) {
    private static final byte[] NOTHING = "{}".getBytes(StandardCharsets.US_ASCII);

    /** Done. */
    public static RpcResponse done() {
        return new RpcResponse(200, NOTHING);
    }

    /** Not done, for this reason; one line. */
    public static RpcResponse not(int status, String why) {
        String text = why.replaceAll("[\\p{Cntrl}\"\\\\]", "'");
        return new RpcResponse(status, ("{\"error\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8));
    }
}
