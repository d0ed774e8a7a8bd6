package whinlead.mesh.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import whinlead.mesh.wire.PeerMessage;

/**
 * Reads the body of one client request. A body of up to {@link #MAX_WHOLE_BYTES} is collected; when more arrives, the
 * body becomes a stream, and at most that many bytes of it are held until they are passed on. Runs on the connection's
 * thread.
 */
final class RequestBodyReader implements BodyStream.Producer {
    /** Maximum size of a body that is collected before its request is handled, in bytes. */
    static final int MAX_WHOLE_BYTES = 1 << 20;

    /** What reading some content has led to. */
    enum Progress {
        /** More content is to come. */
        ARRIVING,
        /** The body is complete. */
        COMPLETE,
        /** The body is larger than the configuration allows. */
        TOO_LARGE,
        /** There is no memory left for bodies; the request has not been handled yet. */
        OUT_OF_MEMORY
    }

    private final ClientConnection.RequestHandler handler;
    private final long declaredLength;
    private final Runnable releaseListener;
    private long receivedBytes;
    private int reservedBytes;
    private ByteBuf collected = Unpooled.buffer(0);
    private BodyStream stream;

    /**
     * Creates a reader that has read nothing.
     *
     * @param declaredLength in bytes, or {@link PeerMessage#UNKNOWN_LENGTH}
     * @param releaseListener called when a part of a streamed body was passed on
     */
    RequestBodyReader(ClientConnection.RequestHandler handler, long declaredLength, Runnable releaseListener) {
        this.handler = handler;
        this.declaredLength = declaredLength;
        this.releaseListener = releaseListener;
    }

    /** Whether the body is passed on while it arrives. */
    boolean isStreamed() {
        return stream != null;
    }

    /** Whether nothing more should be read from the client until a part was passed on. */
    boolean isFull() {
        return stream != null && stream.availableBytes() >= MAX_WHOLE_BYTES;
    }

    /** Number of bytes that are reserved for this body. */
    int reservedBytes() {
        return reservedBytes;
    }

    /** The body, as far as it has arrived. */
    RequestBody body() {
        return isStreamed() ? new RequestBody.Streamed(stream) : RequestBody.of(ByteBufUtil.getBytes(collected));
    }

    /** Reads the next content of the body. */
    Progress read(HttpContent content) {
        int byteCount = content.content().readableBytes();
        if (receivedBytes + byteCount > handler.limits().bodyBytes()) {
            return Progress.TOO_LARGE;
        }
        if (!isStreamed() && byteCount > 0 && !handler.tryReserve(byteCount)) {
            return Progress.OUT_OF_MEMORY;
        }
        receivedBytes += byteCount;
        boolean last = content instanceof LastHttpContent;
        if (isStreamed()) {
            stream.append(ByteBufUtil.getBytes(content.content()), last);
        } else {
            reservedBytes += byteCount;
            collect(content.content(), last);
        }
        return last ? Progress.COMPLETE : Progress.ARRIVING;
    }

    // The reservation stays as it is from here on: no more than this is held of a streamed body.
    private void collect(ByteBuf content, boolean last) {
        collected.writeBytes(content);
        if (collected.readableBytes() > MAX_WHOLE_BYTES) {
            stream = new BodyStream(declaredLength, this);
            stream.append(ByteBufUtil.getBytes(collected), last);
            collected = Unpooled.EMPTY_BUFFER;
        }
    }

    @Override
    public void opened() {
        // What has arrived is in the stream already.
    }

    @Override
    public void released(int bytes) {
        releaseListener.run();
    }
}
