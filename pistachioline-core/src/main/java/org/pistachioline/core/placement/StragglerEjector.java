package org.pistachioline.core.placement;

import java.util.Arrays;
import java.util.List;

/**
 * Takes targets out of use that are far slower than their like, that stall or that fail
 * again and again.
 * <p>
 * Made for one target at a tenth of its speed: it looks half idle to a daemon that counts
 * attempts, so work keeps going there and every n-th caller waits ten times as long. The
 * measure is the time between tokens against the median of the pool, since that depends
 * on the target alone and not on queues or prompts. Never more than a third of a pool is
 * out at once: if most seem slow, the cause is the load or this daemon's own network, and
 * emptying the pool would turn slowness into an outage. A target comes back after 10 s by
 * a slow start; each further ejection doubles the time up to 160 s, so that one that
 * flaps is used ever more rarely, and half a minute of good behaviour takes one doubling
 * back.
 */
final class StragglerEjector {

	private static final double SLOW_RATIO = 2.5;

	/** A measurement of fewer samples than this is not acted on. */
	static final int LEAST_SAMPLES = 2;

	private static final int MOST_FAILURES = 3;

	private static final int POOL_PARTS = 3;

	private static final long BASE_NANOS = 10_000_000_000L;

	private static final int MOST_DOUBLINGS = 4;

	private static final long STALL_NANOS = 2_000_000_000L;

	/**
	 * A target is silent for this many of the pool's token times before it is stalled.
	 */
	private static final double STALL_TOKENS = 100;

	private static final long FORGIVE_NANOS = 30_000_000_000L;

	private double[] scratch = new double[0];

	private double medianTokenNanos;

	private long forgivenAtNanos;

	void eject(long nowNanos, List<TargetLoad> members) {
		this.medianTokenNanos = median(members);
		int out = 0;
		for (final TargetLoad load : members) {
			out += load.ejected(nowNanos) ? 1 : 0;
		}
		int left = members.size() / POOL_PARTS - out;
		for (final TargetLoad load : members) {
			if (left > 0 && load.view().serving() && !load.ejected(nowNanos) && bad(nowNanos, load)) {
				load.eject(nowNanos, BASE_NANOS, MOST_DOUBLINGS);
				left--;
			}
		}
		if (nowNanos - this.forgivenAtNanos >= FORGIVE_NANOS) {
			this.forgivenAtNanos = nowNanos;
			members.stream().filter((load) -> !load.ejected(nowNanos)).forEach(TargetLoad::forgive);
		}
	}

	private boolean bad(long nowNanos, TargetLoad load) {
		if (load.consecutiveFailures() >= MOST_FAILURES) {
			return true;
		}
		if (this.medianTokenNanos == 0) {
			return false;
		}
		final long stallNanos = Math.max(STALL_NANOS, (long) (STALL_TOKENS * this.medianTokenNanos));
		final boolean stalled = load.inFlight() > 0 && nowNanos - load.progressAtNanos() > stallNanos;
		final boolean slow = load.pace().samples() >= LEAST_SAMPLES
				&& load.pace().meanNanos() > SLOW_RATIO * this.medianTokenNanos;
		return stalled || slow;
	}

	private double median(List<TargetLoad> members) {
		if (this.scratch.length < members.size()) {
			this.scratch = new double[members.size()];
		}
		int measured = 0;
		for (final TargetLoad load : members) {
			if (load.pace().samples() >= LEAST_SAMPLES) {
				this.scratch[measured++] = load.pace().meanNanos();
			}
		}
		if (measured == 0) {
			return this.medianTokenNanos;
		}
		Arrays.sort(this.scratch, 0, measured);
		return this.scratch[(measured - 1) / 2];
	}

	double medianTokenNanos() {
		return this.medianTokenNanos;
	}

}
