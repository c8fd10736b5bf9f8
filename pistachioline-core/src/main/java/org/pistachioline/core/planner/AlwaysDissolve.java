package org.pistachioline.core.planner;

/**
 * Gives a group up as soon as a member is missing; a baseline.
 */
public final class AlwaysDissolve implements MemberLossPolicy {

	@Override
	public long waitNanos(MemberLoss loss) {
		return 0;
	}

}
