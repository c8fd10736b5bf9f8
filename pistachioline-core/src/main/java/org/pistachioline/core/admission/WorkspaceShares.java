package org.pistachioline.core.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoublePredicate;
import java.util.function.ToDoubleFunction;

/**
 * Divides the room of one kind of request between the workspaces that compete for it.
 * <p>
 * Workspaces below their fair share by weight are admitted more often than those above
 * it, but only within bounds: a large workspace stands for many callers, and none of them
 * may be served less than half as often as others.
 */
final class WorkspaceShares {

	/** The most often admitted workspace, compared with the least often admitted one. */
	private static final double MAX_SPREAD = 1.5;

	/** Steps of a bisection; the error is below one part in ten thousand. */
	private static final int STEPS = 14;

	private final String[] workspaces;

	private final double[] demand;

	private final double[] weights;

	private final double total;

	private WorkspaceShares(Map<String, Double> demand, ToDoubleFunction<String> weights) {
		this.workspaces = demand.keySet().toArray(String[]::new);
		this.demand = Arrays.stream(this.workspaces).mapToDouble(demand::get).toArray();
		this.weights = Arrays.stream(this.workspaces).mapToDouble(weights).toArray();
		this.total = Arrays.stream(this.demand).sum();
	}

	/**
	 * Computes which part of each workspace's requests is admitted.
	 * @param demand the work that each workspace asks for, by workspace
	 * @param ratio the part of all work that is admitted
	 * @param weights the weights of the workspaces
	 * @return the part of its requests, by workspace; empty if the ratio applies to all
	 */
	static Map<String, Double> ratios(Map<String, Double> demand, double ratio, ToDoubleFunction<String> weights) {
		if (ratio <= 0 || ratio >= 1 || demand.size() < 2) {
			return Map.of();
		}
		return new WorkspaceShares(demand, weights).ratios(ratio);
	}

	private Map<String, Double> ratios(double ratio) {
		final double room = ratio * this.total;
		final double[] fair = fairRatios(room);
		final double lowest = smallest(1, (each) -> admitted(fair, each) >= room);
		final Map<String, Double> ratios = new HashMap<>();
		for (int index = 0; index < this.workspaces.length; index++) {
			ratios.put(this.workspaces[index], bounded(fair[index], lowest));
		}
		return ratios;
	}

	private double admitted(double[] fair, double lowest) {
		double sum = 0;
		for (int index = 0; index < fair.length; index++) {
			sum += this.demand[index] * bounded(fair[index], lowest);
		}
		return sum;
	}

	private static double bounded(double fairRatio, double lowest) {
		return Math.max(lowest, Math.min(fairRatio, Math.min(1, MAX_SPREAD * lowest)));
	}

	// Raises a common level by weight until the room is used; a workspace takes at most
	// what it asks for.
	private double[] fairRatios(double room) {
		final double lowestWeight = Arrays.stream(this.weights).min().orElse(1);
		final double level = smallest(this.total / lowestWeight, (each) -> used(each) >= room);
		final double[] ratios = new double[this.demand.length];
		for (int index = 0; index < ratios.length; index++) {
			ratios[index] = (this.demand[index] > 0) ? Math.min(1, level * this.weights[index] / this.demand[index])
					: 1;
		}
		return ratios;
	}

	private double used(double level) {
		double sum = 0;
		for (int index = 0; index < this.demand.length; index++) {
			sum += Math.min(this.demand[index], level * this.weights[index]);
		}
		return sum;
	}

	private static double smallest(double max, DoublePredicate enough) {
		double low = 0;
		double high = max;
		for (int step = 0; step < STEPS; step++) {
			final double middle = (low + high) / 2;
			if (enough.test(middle)) {
				high = middle;
			}
			else {
				low = middle;
			}
		}
		return high;
	}

}
