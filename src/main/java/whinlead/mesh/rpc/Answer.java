package whinlead.mesh.rpc;

import java.nio.charset.StandardCharsets;

/** The answer to an order: a status and a body of JSON. */
public record Answer(int status, byte[] body) {
    private static final byte[] NOTHING = "{}".getBytes(StandardCharsets.US_ASCII);

    /** Done. */
    public static Answer done() {
        return new Answer(200, NOTHING);
    }

    /** Not done, for this reason; one line. */
    public static Answer not(int status, String why) {
        String text = why.replaceAll("[\\p{Cntrl}\"\\\\]", "'");
        return new Answer(status, ("{\"error\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8));
    }
}
