package whinlead.mesh.sidecar;

import java.util.ArrayDeque;

/**
 * A request's body that is passed on while it arrives, so that it is never held whole. A producer appends what has
 * arrived; one consumer at a time takes it in parts and releases each part when it has passed it on. The producer holds
 * back the rest of the body according to what was released. Used by one thread.
 *
 * <p>Nothing that was taken is kept: a request can be sent again only while {@link #isTaken()} is false.
 */
public final class BodyStream {
    /** The side on which the body arrives. */
    public interface Producer {
        /** The consumer is ready for the body; may be called once for each consumer. */
        void opened();

        /** The consumer has passed on this many bytes, so that as many more may be appended. */
        void released(int bytes);
    }

    /** A part of the body; the last one may be empty. */
    public record Part(byte[] bytes, boolean last) {}

    private final long length;
    private final Producer producer;
    private final ArrayDeque<byte[]> arrived = new ArrayDeque<>();
    /** Number of bytes of the first array that were taken. */
    private int firstOffset;

    private int availableBytes;
    private boolean isComplete;
    private boolean isTaken;
    private boolean isFinished;
    private Runnable arrivalListener = () -> {};

    /**
     * Creates a body of which nothing has arrived yet.
     *
     * @param length in bytes, or {@link whinlead.mesh.wire.PeerMessage#UNKNOWN_LENGTH}
     */
    public BodyStream(long length, Producer producer) {
        this.length = length;
        this.producer = producer;
    }

    /** Length of the whole body in bytes, or {@link whinlead.mesh.wire.PeerMessage#UNKNOWN_LENGTH}. */
    public long length() {
        return length;
    }

    /** Number of bytes that have arrived and were not taken. */
    public int availableBytes() {
        return availableBytes;
    }

    /** Whether the consumer has taken a part, which can't be taken again. */
    public boolean isTaken() {
        return isTaken;
    }

    /** Whether the last part was taken. */
    public boolean isFinished() {
        return isFinished;
    }

    /** Adds bytes that have arrived. */
    public void append(byte[] bytes, boolean last) {
        if (bytes.length > 0) {
            arrived.add(bytes);
            availableBytes += bytes.length;
        }
        isComplete |= last;
        arrivalListener.run();
    }

    /** Begins to consume the body; the listener runs now and whenever more has arrived. */
    public void open(Runnable listener) {
        arrivalListener = listener;
        producer.opened();
        listener.run();
    }

    /** Ends the consumer's interest in the body. */
    public void abandon() {
        arrivalListener = () -> {};
    }

    /** Takes the next part, of limited size; null if nothing more has arrived. */
    public Part take(int maxBytes) {
        int size = Math.min(maxBytes, availableBytes);
        boolean last = isComplete && size == availableBytes;
        if (isFinished || size == 0 && !last) {
            return null;
        }
        byte[] bytes = new byte[size];
        for (int copied = 0; copied < size; ) {
            copied += takeInto(bytes, copied);
        }
        isTaken = true;
        isFinished = last;
        return new Part(bytes, last);
    }

    private int takeInto(byte[] bytes, int position) {
        byte[] first = arrived.peek();
        int count = Math.min(first.length - firstOffset, bytes.length - position);
        System.arraycopy(first, firstOffset, bytes, position, count);
        firstOffset += count;
        availableBytes -= count;
        if (firstOffset == first.length) {
            arrived.remove();
            firstOffset = 0;
        }
        return count;
    }

    /** Tells the producer that taken bytes were passed on. */
    public void release(int bytes) {
        producer.released(bytes);
    }
}
