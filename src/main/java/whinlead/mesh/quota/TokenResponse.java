package whinlead.mesh.quota;

/**
 * The answer to a {@link TokenRequest}.
 *
 * @param number the request's
 * @param granted whether one request may pass
 * @param waitMs if not, in how many milliseconds there may be a token
 */
public record TokenResponse(long number, boolean granted, double waitMs) {}
