package org.pistachioline.replay.trace;

/**
 * What the trace must come out as.
 *
 * @param measure the measure
 * @param workspace the workspace that is measured; empty for all
 * @param error the code of the error kind that is counted; empty for all
 * @param atLeast the lower bound
 * @param atMost the upper bound
 */
public record OutcomeLine(String measure, String workspace, String error, Double atLeast,
		Double atMost) implements TraceLine {

	public OutcomeLine {
		Checks.text("measure", measure);
		workspace = Checks.or(workspace, "");
		error = Checks.or(error, "");
		if (atLeast == null && atMost == null) {
			throw new IllegalArgumentException("at_least or at_most is missing");
		}
	}

	/**
	 * Returns whether a figure is within the bounds.
	 * @param figure the figure
	 * @return whether it is
	 */
	public boolean isMet(double figure) {
		return (this.atLeast == null || figure >= this.atLeast) && (this.atMost == null || figure <= this.atMost);
	}

}
