package org.pistachioline.core.placement;

/**
 * How often a daemon left its subsets of targets and reused connections, since its start.
 *
 * @param attempts the number of attempts
 * @param beyondSubset the number of those that went to a target beyond the subset
 * @param newConnections the number of those for which there was presumably no idle
 * connection
 */
public record PlacementCounts(long attempts, long beyondSubset, long newConnections) {

	/** The counts of a policy without subsets. */
	public static final PlacementCounts NONE = new PlacementCounts(0, 0, 0);

}
