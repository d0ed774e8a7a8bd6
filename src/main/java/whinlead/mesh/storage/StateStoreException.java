package whinlead.mesh.storage;

/** The disk or the store on it can't be used. */
public final class StateStoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What failed, with the exception that caused it. */
    public StateStoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** What failed. */
    public StateStoreException(String message) {
        super(message);
    }
}
