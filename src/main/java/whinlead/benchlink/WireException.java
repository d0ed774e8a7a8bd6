package whinlead.benchlink;

/** The input does not follow the wire; the message names the line and the field. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
