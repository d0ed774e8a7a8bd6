package whinlead.mesh.settings;

/** A settings file that can't be used; the message is one line and names the field. */
public final class NodeSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What is wrong with which field. */
    public NodeSettingsException(String message) {
        super(message);
    }

    /** The same, for the reason that a layer below gave. */
    public NodeSettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
