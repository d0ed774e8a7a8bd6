package whinlead.mesh.sidecar;

/** The body of a client's request: short ones are read whole before the request is handled, long ones are not. */
sealed interface RequestBody {
    /** A body that was read completely. */
    record Whole(byte[] bytes) implements RequestBody {}

    /** A body that is passed on while it arrives. */
    record Streamed(BodyStream stream) implements RequestBody {}

    /** A body that was read completely. */
    static RequestBody of(byte[] bytes) {
        return new Whole(bytes);
    }

    /** The bytes of a whole body; empty for a streamed one. */
    default byte[] wholeBytes() {
        return this instanceof Whole whole ? whole.bytes : new byte[0];
    }

    /** The stream of a streamed body; null for a whole one. */
    default BodyStream streamOrNull() {
        return this instanceof Streamed streamed ? streamed.stream : null;
    }
}
