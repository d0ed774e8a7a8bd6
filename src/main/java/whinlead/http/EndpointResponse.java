package whinlead.http;

/**
 * An endpoint's response to a served attempt.
 *
 * @param contentType the Content-Type header, or null
 */
public record EndpointResponse(byte[] body, String contentType) {}
