package org.pistachioline.core.planner;

import org.pistachioline.core.manifest.WeightSpec;

/**
 * A group that lacks members, as a policy sees it.
 *
 * @param incompleteNanos how long it has lacked them
 * @param expectedLoadNanos how long a group of this model takes from formation to serving
 * @param survivingAccelerators the accelerators of the members that are there
 * @param accelerators the accelerators of the whole group
 * @param replaceable whether free instances of the fabric domain can take the places
 * @param acceleratorsToDrain the accelerators of other models' groups to be drained to
 * make room for the group anew; {@link #NOT_RECLAIMABLE} where none can be made
 * @param neededElsewhere whether another model lacks a group that the surviving members
 * and the free instances could form
 * @param weights what the operators weigh
 */
public record MemberLoss(long incompleteNanos, long expectedLoadNanos, int survivingAccelerators, int accelerators,
		boolean replaceable, int acceleratorsToDrain, boolean neededElsewhere, WeightSpec weights) {

	/** Stands for room that cannot be made. */
	public static final int NOT_RECLAIMABLE = -1;

}
