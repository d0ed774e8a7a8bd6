package whinlead.http;

/**
 * An endpoint's answer to an attempt that was served.
 *
 * @param contentType its header of that name, or null
 */
public record HttpAnswer(byte[] body, String contentType) {}
