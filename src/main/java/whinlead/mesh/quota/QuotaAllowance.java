package whinlead.mesh.quota;

/**
 * One tenant's limit over the whole mesh, as a token bucket. Every process that admits requests has a share of its rate
 * and depth; the shares in force never add up to more than 1.
 *
 * @param ratePerS tokens a second
 * @param depth the most tokens that the buckets may contain at a time
 * @param reserve tokens in any window that control nodes may give out in addition while they don't know what is leased
 */
public record QuotaAllowance(double ratePerS, double depth, double reserve) {}
