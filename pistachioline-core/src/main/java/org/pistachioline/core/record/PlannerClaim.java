package org.pistachioline.core.record;

/**
 * Makes its writer the planner of a fabric domain. The claim is rejected if another claim
 * was accepted since the epoch that it expects.
 *
 * @param fabricDomain the fabric domain
 * @param expectedEpoch the epoch of the planner that is replaced; {@link #NO_EPOCH} if
 * the domain has no planner
 */
public record PlannerClaim(String fabricDomain, long expectedEpoch) implements RecordBody {

	/** The expected epoch for a fabric domain that has no planner. */
	public static final long NO_EPOCH = -1;

}
