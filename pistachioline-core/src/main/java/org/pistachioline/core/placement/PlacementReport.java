package org.pistachioline.core.placement;

import java.util.List;

/**
 * The placement of a daemon that uses subsets of the targets, for operators.
 *
 * @param counts how often it left the subsets and reused connections
 * @param subsets the subset of each model and service; empty for a daemon without subsets
 */
public record PlacementReport(PlacementCounts counts, List<SubsetReport> subsets) {

	/** The report of a daemon without subsets. */
	public static final PlacementReport NONE = new PlacementReport(PlacementCounts.NONE, List.of());

	public PlacementReport {
		subsets = List.copyOf(subsets);
	}

	/**
	 * Returns the number of targets in all subsets.
	 * @return the number of targets
	 */
	public int subsetTargets() {
		return this.subsets.stream().mapToInt((subset) -> subset.targetIds().size()).sum();
	}

}
