package org.pistachioline.core.planner;

/**
 * Dissolves a group as soon as a member is lost; a baseline for comparing policies.
 */
public final class AlwaysDissolve implements MemberLossPolicy {

	@Override
	public long waitNanos(MemberLoss loss) {
		return 0;
	}

}
