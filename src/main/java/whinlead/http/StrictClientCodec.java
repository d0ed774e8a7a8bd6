package whinlead.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.List;

/**
 * Encodes requests and decodes their responses on one connection, like Netty's {@code HttpClientCodec}, but rejects
 * malformed responses that the latter accepts. All connections to HTTP servers use it. The first message of a malformed
 * response that is found invalid has a failed decoder result, and nothing follows it.
 */
public final class StrictClientCodec extends CombinedChannelDuplexHandler<StrictResponseDecoder, HttpRequestEncoder> {
    private final StrictResponseDecoder decoder;

    /** Creates a codec with the usual limits of Netty. */
    public StrictClientCodec() {
        this(new HttpDecoderConfig());
    }

    /** Creates a codec with these limits for responses. */
    public StrictClientCodec(HttpDecoderConfig config) {
        decoder = new StrictResponseDecoder(config);
        init(decoder, new RequestEncoder(decoder));
    }

    /** Whether a response has begun to arrive that is not complete, or that is malformed. */
    public boolean hasUnfinishedInput() {
        return decoder.hasUnfinishedInput();
    }

    /** Tells the decoder of each request. */
    private static final class RequestEncoder extends HttpRequestEncoder {
        private final StrictResponseDecoder decoder;

        private RequestEncoder(StrictResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void encode(ChannelHandlerContext ctx, Object message, List<Object> out) throws Exception {
            if (message instanceof HttpRequest request) {
                decoder.requestSent(request.method());
            }
            super.encode(ctx, message, out);
        }
    }
}
