package org.pistachioline.core.planner;

import org.pistachioline.core.manifest.WeightSpec;

/**
 * A group that lacks members, as seen by a {@link MemberLossPolicy}.
 *
 * @param incompleteNanos how long it has lacked them
 * @param expectedLoadNanos the expected time from the formation of a group of this model
 * until it serves
 * @param survivingAccelerators the number of accelerators of the members that respond
 * @param accelerators the number of accelerators of the whole group
 * @param replaceable whether free instances of the fabric domain can replace the lost
 * members
 * @param acceleratorsToDrain the number of accelerators of the groups of other models
 * that must be drained before the group can be formed again; {@link #NOT_RECLAIMABLE}
 * where draining does not help
 * @param neededElsewhere whether another model lacks a group that the surviving members
 * and the free instances could form
 * @param weights the operators' weights of the costs
 */
public record MemberLoss(long incompleteNanos, long expectedLoadNanos, int survivingAccelerators, int accelerators,
		boolean replaceable, int acceleratorsToDrain, boolean neededElsewhere, WeightSpec weights) {

	/** Marks that no drain can make enough instances available. */
	public static final int NOT_RECLAIMABLE = -1;

}
