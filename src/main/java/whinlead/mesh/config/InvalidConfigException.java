package whinlead.mesh.config;

/** A configuration that can't be accepted; the message is one line and names the field. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** A message that names the field and the problem. */
    public InvalidConfigException(String message) {
        super(message);
    }

    /** The same, with the exception that caused it. */
    public InvalidConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
