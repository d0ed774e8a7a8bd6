package whinlead.mesh.storage;

/** The disk, or what is on it, can't be used. */
public final class LedgerException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What failed, and the reason that a layer below gave. */
    public LedgerException(String message, Throwable cause) {
        super(message, cause);
    }

    /** What was found. */
    public LedgerException(String message) {
        super(message);
    }
}
