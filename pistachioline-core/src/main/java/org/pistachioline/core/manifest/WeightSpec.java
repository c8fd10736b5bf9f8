package org.pistachioline.core.manifest;

/**
 * The relative costs of the two kinds of capacity loss, per second.
 *
 * @param groupDowntime the cost of a replica group that is down
 * @param strandedAccelerators the cost of an accelerator that is held by a group but not
 * used
 */
public record WeightSpec(double groupDowntime, double strandedAccelerators) {

	/** Equal costs. */
	public static final WeightSpec DEFAULT = new WeightSpec(1, 1);

}
