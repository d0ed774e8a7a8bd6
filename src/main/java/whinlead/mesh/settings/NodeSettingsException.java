package whinlead.mesh.settings;

/** A settings file that can't be used; the message is one line and names the field. */
public final class NodeSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** A message that names the field and the problem. */
    public NodeSettingsException(String message) {
        super(message);
    }

    /** The same, with the exception that caused it. */
    public NodeSettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
