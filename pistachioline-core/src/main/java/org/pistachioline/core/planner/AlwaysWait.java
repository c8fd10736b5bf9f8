package org.pistachioline.core.planner;

/**
 * Waits for a lost member for as long as the platform lists it; a baseline for comparing
 * policies.
 */
public final class AlwaysWait implements MemberLossPolicy {

	@Override
	public long waitNanos(MemberLoss loss) {
		return Long.MAX_VALUE;
	}

}
