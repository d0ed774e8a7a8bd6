package whinlead.mesh.quota;

/**
 * What may be spent of one tenant's limit over the whole mesh, as a token bucket. Every process that spends of it has a
 * share of both; the shares in force never add up to more than 1.
 *
 * @param ratePerS tokens a second
 * @param depth the most tokens that there are at a time
 * @param reserve tokens that control nodes may give out besides, in any window, while they can't tell what is leased
 */
public record QuotaAllowance(double ratePerS, double depth, double reserve) {}
