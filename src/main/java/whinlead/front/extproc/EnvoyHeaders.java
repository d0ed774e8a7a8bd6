package whinlead.front.extproc;

import com.google.protobuf.ByteString;
import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;

/** Headers as Envoy tells of them: the value in one field or, in newer versions, as bytes in another. */
final class EnvoyHeaders {
    private EnvoyHeaders() {}

    /** The first of this name, or null. */
    static String get(HeaderMap headers, String name) {
        for (HeaderValue h : headers.getHeadersList()) {
            if (h.getKey().equalsIgnoreCase(name)) {
                return h.getRawValue().isEmpty()
                        ? h.getValue()
                        : h.getRawValue().toStringUtf8();
            }
        }
        return null;
    }

    /** Sets one, whatever it was. */
    static HeaderValueOption set(String name, String value) {
        return HeaderValueOption.newBuilder()
                .setAppendAction(HeaderValueOption.HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD)
                .setHeader(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)))
                .build();
    }
}
