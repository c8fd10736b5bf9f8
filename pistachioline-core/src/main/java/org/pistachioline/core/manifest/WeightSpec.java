package org.pistachioline.core.manifest;

/**
 * What a second of each loss costs the operators, relative to each other.
 *
 * @param groupDowntime the cost of one group being down
 * @param strandedAccelerators the cost of one accelerator being held unused
 */
public record WeightSpec(double groupDowntime, double strandedAccelerators) {

	/** Both losses cost the same. */
	public static final WeightSpec DEFAULT = new WeightSpec(1, 1);

}
