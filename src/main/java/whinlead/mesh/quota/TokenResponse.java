package whinlead.mesh.quota;

/**
 * The response to a {@link TokenRequest}.
 *
 * @param number of the request
 * @param granted whether one request may pass
 * @param waitMs if not granted, the milliseconds after which there may be a token
 */
public record TokenResponse(long number, boolean granted, double waitMs) {}
