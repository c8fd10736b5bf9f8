package org.pistachioline.core.planner;

/**
 * Decides how long a group waits for a lost member that may return.
 */
public interface MemberLossPolicy {

	/**
	 * Returns how long the group waits before it is dissolved.
	 * @param loss the loss
	 * @return the wait, counted from the loss of the member; {@link Long#MAX_VALUE} to
	 * wait without a limit
	 */
	long waitNanos(MemberLoss loss);

}
