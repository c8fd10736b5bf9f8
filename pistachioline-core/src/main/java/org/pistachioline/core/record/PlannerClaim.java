package org.pistachioline.core.record;

/**
 * Takes over the planning of a fabric domain.
 *
 * @param fabricDomain the fabric domain
 * @param expectedEpoch the epoch that is replaced; {@link #NO_EPOCH} where there is none
 */
public record PlannerClaim(String fabricDomain, long expectedEpoch) implements RecordBody {

	/** Stands for the epoch of a fabric domain without a planner. */
	public static final long NO_EPOCH = -1;

}
