package whinlead.mesh.storage;

/** The disk, or what is on it, can't be used. */
public final class StateStoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What failed, and the reason that a layer below gave. */
    public StateStoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** What was found. */
    public StateStoreException(String message) {
        super(message);
    }
}
