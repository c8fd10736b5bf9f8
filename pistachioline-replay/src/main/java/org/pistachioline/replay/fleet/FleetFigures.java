package org.pistachioline.replay.fleet;

import org.pistachioline.core.manifest.WeightSpec;

/**
 * What a replay cost.
 *
 * @param downtimeGroupSeconds the seconds by which models were below their least number
 * of groups that truly serve, summed over the groups that lacked
 * @param strandedAcceleratorSeconds the seconds of accelerators that were up in a group
 * that did not serve, or free while a model lacked groups that it should have
 * @param formations how many groups were formed
 */
public record FleetFigures(double downtimeGroupSeconds, double strandedAcceleratorSeconds, int formations) {

	/**
	 * Returns the cost by the operators' weights.
	 * @param weights the weights
	 * @return the weighed sum
	 */
	public double cost(WeightSpec weights) {
		return this.downtimeGroupSeconds * weights.groupDowntime()
				+ this.strandedAcceleratorSeconds * weights.strandedAccelerators();
	}

}
