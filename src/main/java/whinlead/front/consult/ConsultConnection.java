package whinlead.front.consult;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import java.nio.charset.StandardCharsets;
import whinlead.consult.Consultations;
import whinlead.consult.Directive;
import whinlead.consult.Peer;
import whinlead.http.Decimals;

/** One connection of a caller of the consult API, and the one call on it. */
final class ConsultConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String ASK = "/v1/ask";
    private static final String OUTCOME = "/v1/outcome";
    private static final String STREAMING = "/v1/streaming";
    private static final String CANCEL = "/v1/cancel";
    /** For a proxy that can only be told yes or no: nginx's auth_request takes 403 for no. */
    private static final String DENY = "deny";

    private static final int MIN_DENY = 400;
    private static final int MAX_DENY = 599;

    private final Consultations consultations;
    private final ConsultRequest.Names names;
    private final HeaderNames headers;
    private final ObjectMapper mapper;
    private final Peer peer;
    private boolean answerDue;

    ConsultConnection(
            Consultations consultations,
            ConsultRequest.Names names,
            HeaderNames headers,
            ObjectMapper mapper,
            Peer peer) {
        this.consultations = consultations;
        this.names = names;
        this.headers = headers;
        this.mapper = mapper;
        this.peer = peer;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (answerDue) {
            // Guards against answers out of order: one call at a time.
            ctx.close();
            return;
        }
        answerDue = true;
        boolean keep = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
        try {
            if (request.decoderResult().isFailure()) {
                throw new ConsultRequest.Bad("not HTTP");
            }
            call(ctx, request, keep);
        } catch (ConsultRequest.Bad e) {
            ObjectNode body = mapper.createObjectNode().put("error", e.getMessage());
            write(ctx, response(HttpResponseStatus.BAD_REQUEST, body), false);
        }
    }

    private void call(ChannelHandlerContext ctx, FullHttpRequest request, boolean keep) throws ConsultRequest.Bad {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        if (!request.method().equals(HttpMethod.POST) && !request.method().equals(HttpMethod.GET)) {
            write(ctx, response(HttpResponseStatus.METHOD_NOT_ALLOWED, null), keep);
            return;
        }
        ConsultRequest call = read(request);
        HttpResponseStatus deny = deny(uri);
        Consultations.Reply reply = directive -> write(ctx, response(directive, deny), keep);
        switch (uri.path()) {
            case ASK -> ask(call, reply);
            case OUTCOME -> {
                ConsultRequest.Ended e = call.ended();
                consultations.outcome(call.id(), e.attempt(), e.endpoint(), e.outcome(), e.report(), reply);
            }
            case STREAMING -> {
                consultations.streaming(call.id(), call.attempt());
                write(ctx, response(HttpResponseStatus.NO_CONTENT, null), keep);
            }
            case CANCEL -> {
                consultations.abandoned(call.id());
                write(ctx, response(HttpResponseStatus.NO_CONTENT, null), keep);
            }
            default -> write(ctx, response(HttpResponseStatus.NOT_FOUND, null), keep);
        }
    }

    // An ask may tell how the attempt before ended, for a proxy that does both in one call.
    private void ask(ConsultRequest call, Consultations.Reply reply) throws ConsultRequest.Bad {
        String id = call.id();
        var ask = call.ask(names);
        if (call.tellsAnEnd()) {
            ConsultRequest.Ended e = call.ended();
            consultations.outcome(id, e.attempt(), e.endpoint(), e.outcome(), e.report(), null);
        }
        consultations.ask(peer, id, ask, reply);
    }

    private ConsultRequest read(FullHttpRequest request) throws ConsultRequest.Bad {
        if (!request.content().isReadable()) {
            return ConsultRequest.headers(f -> request.headers().get(headers.of(f)), headers);
        }
        try {
            JsonNode json = mapper.readTree(request.content().toString(StandardCharsets.UTF_8));
            if (json == null || !json.isObject()) {
                throw new ConsultRequest.Bad("the body is no JSON object");
            }
            return ConsultRequest.json(
                    f -> json.hasNonNull(f.json()) ? json.get(f.json()).asText() : null);
        } catch (JsonProcessingException e) {
            throw new ConsultRequest.Bad("the body is no JSON object");
        }
    }

    private static HttpResponseStatus deny(QueryStringDecoder uri) throws ConsultRequest.Bad {
        if (!uri.parameters().containsKey(DENY)) {
            return null;
        }
        double code = Decimals.parse(uri.parameters().get(DENY).get(0), MAX_DENY);
        if (!(code >= MIN_DENY) || code != Math.rint(code)) {
            throw new ConsultRequest.Bad("deny is no status of a refusal");
        }
        return HttpResponseStatus.valueOf((int) code);
    }

    private FullHttpResponse response(Directive directive, HttpResponseStatus deny) {
        ObjectNode body = mapper.createObjectNode();
        HttpResponseStatus status;
        double retryAfter = 0;
        if (directive instanceof Directive.Send send) {
            body.put("do", directive.wireName())
                    .put("endpoint", send.endpoint())
                    .put("address", send.address())
                    .put("attempt", send.attempt())
                    .put("within_ms", Math.floor(send.withinMs()))
                    .put("valid_ms", Math.floor(send.validMs()));
            status = HttpResponseStatus.OK;
        } else if (directive instanceof Directive.Served) {
            body.put("do", directive.wireName());
            status = HttpResponseStatus.OK;
        } else if (directive instanceof Directive.Refused refused) {
            body.put("do", directive.wireName());
            retryAfter = refused.retryAfterMs();
            status = HttpResponseStatus.SERVICE_UNAVAILABLE;
        } else if (directive instanceof Directive.Failed) {
            body.put("do", directive.wireName());
            status = HttpResponseStatus.BAD_GATEWAY;
        } else if (directive instanceof Directive.AlreadyOut) {
            body.put("do", directive.wireName());
            status = HttpResponseStatus.CONFLICT;
        } else if (directive instanceof Directive.TooMany tooMany) {
            body.put("do", directive.wireName());
            retryAfter = tooMany.retryAfterMs();
            status = HttpResponseStatus.TOO_MANY_REQUESTS;
        } else {
            body.put("do", directive.wireName());
            status = HttpResponseStatus.NOT_FOUND;
        }
        if (retryAfter > 0) {
            body.put("retry_after_ms", retryAfter);
        }
        boolean no = deny != null && !status.equals(HttpResponseStatus.OK);
        FullHttpResponse response = response(no ? deny : status, body);
        response.headers().set("Consult-Do", body.get("do").asText());
        if (directive instanceof Directive.Send send) {
            response.headers()
                    .set("Consult-Endpoint", send.endpoint())
                    .set("Consult-Address", send.address())
                    .set("Consult-Attempt", send.attempt())
                    .set("Consult-Within", Decimals.seconds(send.withinMs()))
                    .set("Consult-Valid", Decimals.seconds(send.validMs()));
        }
        if (retryAfter > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Decimals.seconds(retryAfter));
        }
        return response;
    }

    private static FullHttpResponse response(HttpResponseStatus status, JsonNode body) {
        byte[] bytes = body == null ? new byte[0] : body.toString().getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        if (body != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        if (!status.equals(HttpResponseStatus.NO_CONTENT)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        }
        return response;
    }

    private void write(ChannelHandlerContext ctx, FullHttpResponse response, boolean keep) {
        answerDue = false;
        HttpUtil.setKeepAlive(response, keep);
        var written = ctx.writeAndFlush(response);
        if (!keep) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
