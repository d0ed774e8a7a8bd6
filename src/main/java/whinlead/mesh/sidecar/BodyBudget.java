package whinlead.mesh.sidecar;

/**
 * Limits the memory for request bodies in this process: those of its clients and those that other sidecars forward to
 * its endpoint. Used by one thread.
 */
final class BodyBudget {
    /** Maximum size of all bodies that are held at a time, in bytes. */
    static final long MAX_BYTES = 40L << 20;

    private long reservedBytes;

    /** Reserves memory; returns false if there is not enough left. */
    boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > MAX_BYTES) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases reserved memory. */
    void release(int bytes) {
        reservedBytes -= bytes;
    }

    /** Number of bytes that are reserved. */
    long reservedBytes() {
        return reservedBytes;
    }
}
