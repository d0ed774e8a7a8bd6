package whinlead.front.extproc;

import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.service.ext_proc.v3.BodyResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.CommonResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.HeaderMutation;
import io.envoyproxy.envoy.service.ext_proc.v3.HeadersResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ImmediateResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest.RequestCase;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.TrailersResponse;
import io.envoyproxy.envoy.type.v3.HttpStatus;
import io.envoyproxy.envoy.type.v3.StatusCode;
import whinlead.consult.Directive;
import whinlead.http.Decimals;

/** What Envoy is told, in its own messages. */
final class ExtProcAnswers {
    /** Where to send it, for a cluster of type ORIGINAL_DST that goes by this header. */
    private static final String DESTINATION = "x-whinlead-destination";

    private static final String ENDPOINT = "x-whinlead-endpoint";
    private static final String ATTEMPT = "x-whinlead-attempt";
    private static final String DO = "consult-do";
    private static final String RETRY_AFTER = "retry-after";
    private static final String NAMESPACE = "whinlead";
    /** By which Envoy picks the subset of a cluster. */
    private static final String SUBSET_NAMESPACE = "envoy.lb";

    private ExtProcAnswers() {}

    /** Send it there. */
    static ProcessingResponse send(Directive.Send send) {
        HeaderMutation headers = HeaderMutation.newBuilder()
                .addSetHeaders(EnvoyHeaders.set(DESTINATION, send.address()))
                .addSetHeaders(EnvoyHeaders.set(ENDPOINT, send.endpoint()))
                .addSetHeaders(EnvoyHeaders.set(ATTEMPT, Integer.toString(send.attempt())))
                .build();
        Struct own = Struct.newBuilder()
                .putFields("destination", text(send.address()))
                .putFields("endpoint", text(send.endpoint()))
                .putFields("attempt", number(send.attempt()))
                .putFields("within_ms", number(Math.floor(send.withinMs())))
                .putFields("valid_ms", number(Math.floor(send.validMs())))
                .build();
        Struct subset =
                Struct.newBuilder().putFields("endpoint", text(send.endpoint())).build();
        return ProcessingResponse.newBuilder()
                .setRequestHeaders(HeadersResponse.newBuilder()
                        .setResponse(CommonResponse.newBuilder().setHeaderMutation(headers)))
                .setDynamicMetadata(Struct.newBuilder()
                        .putFields(
                                NAMESPACE,
                                Value.newBuilder().setStructValue(own).build())
                        .putFields(
                                SUBSET_NAMESPACE,
                                Value.newBuilder().setStructValue(subset).build()))
                .build();
    }

    private static Value text(String text) {
        return Value.newBuilder().setStringValue(text).build();
    }

    private static Value number(double number) {
        return Value.newBuilder().setNumberValue(number).build();
    }

    /** Nothing is to be changed. */
    static ProcessingResponse goOn(RequestCase what) {
        ProcessingResponse.Builder b = ProcessingResponse.newBuilder();
        return switch (what) {
            case REQUEST_HEADERS ->
                b.setRequestHeaders(HeadersResponse.getDefaultInstance()).build();
            case RESPONSE_HEADERS ->
                b.setResponseHeaders(HeadersResponse.getDefaultInstance()).build();
            case REQUEST_BODY ->
                b.setRequestBody(BodyResponse.getDefaultInstance()).build();
            case RESPONSE_BODY ->
                b.setResponseBody(BodyResponse.getDefaultInstance()).build();
            case REQUEST_TRAILERS ->
                b.setRequestTrailers(TrailersResponse.getDefaultInstance()).build();
            default ->
                b.setResponseTrailers(TrailersResponse.getDefaultInstance()).build();
        };
    }

    /** It is over: the client is answered at once. */
    static ProcessingResponse over(Directive directive) {
        if (directive instanceof Directive.Refused refused) {
            return immediate(StatusCode.ServiceUnavailable, directive, refused.retryAfterMs());
        } else if (directive instanceof Directive.TooMany tooMany) {
            return immediate(StatusCode.TooManyRequests, directive, tooMany.retryAfterMs());
        } else if (directive instanceof Directive.Failed) {
            return immediate(StatusCode.BadGateway, directive, 0);
        }
        // Another stream has it out, or had: what its client got can't be given again.
        return immediate(StatusCode.Conflict, directive, 0);
    }

    private static ProcessingResponse immediate(StatusCode status, Directive directive, double retryAfter) {
        HeaderMutation.Builder headers =
                HeaderMutation.newBuilder().addSetHeaders(EnvoyHeaders.set(DO, directive.wireName()));
        if (retryAfter > 0) {
            headers.addSetHeaders(EnvoyHeaders.set(RETRY_AFTER, Decimals.seconds(retryAfter)));
        }
        return immediate(
                ImmediateResponse.newBuilder().setHeaders(headers).setDetails("whinlead_" + directive.wireName()),
                status);
    }

    /** Its headers can't be understood. */
    static ProcessingResponse bad(String why) {
        return immediate(
                ImmediateResponse.newBuilder()
                        .setBody(ByteString.copyFromUtf8(why))
                        .setDetails("whinlead_bad"),
                StatusCode.BadRequest);
    }

    private static ProcessingResponse immediate(ImmediateResponse.Builder response, StatusCode status) {
        return ProcessingResponse.newBuilder()
                .setImmediateResponse(response.setStatus(HttpStatus.newBuilder().setCode(status)))
                .build();
    }
}
