package whinlead.benchlink;

/** The input violates the line protocol; the message names the line and the field. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
