package org.pistachioline.core.planner;

/**
 * Waits for every lost member as long as the platform lists it; a baseline.
 */
public final class AlwaysWait implements MemberLossPolicy {

	@Override
	public long waitNanos(MemberLoss loss) {
		return Long.MAX_VALUE;
	}

}
