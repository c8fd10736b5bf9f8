package org.pistachioline.core.placement;

import java.util.List;

/**
 * The targets that a daemon prefers, for operators.
 *
 * @param name the model or service
 * @param targetIds the targets, the most preferred one first
 */
public record SubsetReport(String name, List<String> targetIds) {

	public SubsetReport {
		targetIds = List.copyOf(targetIds);
	}

}
