package whinlead.mesh.config;

/** A configuration that can't be taken; the message is one line and names the field. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is wrong with which field. */
    public InvalidConfigException(String message) {
        super(message);
    }

    /** The same, for the reason that a layer below gave. */
    public InvalidConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
