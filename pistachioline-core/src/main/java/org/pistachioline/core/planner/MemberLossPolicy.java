package org.pistachioline.core.planner;

/**
 * Decides how long a group waits for a lost member that may come back.
 */
public interface MemberLossPolicy {

	/**
	 * Returns how long the group waits before it is dissolved.
	 * @param loss the loss
	 * @return the wait since the member was lost; {@link Long#MAX_VALUE} for ever
	 */
	long waitNanos(MemberLoss loss);

}
