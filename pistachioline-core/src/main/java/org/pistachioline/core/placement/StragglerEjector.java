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
	static final int MIN_SAMPLES = 2;

	private static final int MAX_CONSECUTIVE_FAILURES = 3;

	private static final int MAX_EJECTED_DIVISOR = 3;

	private static final long BASE_EJECTION_NANOS = 10_000_000_000L;

	private static final int MAX_DOUBLINGS = 4;

	private static final long MIN_STALL_NANOS = 2_000_000_000L;

	/**
	 * A target is silent for this many of the pool's token times before it is stalled.
	 */
	private static final double STALL_TOKENS = 100;

	private static final long EJECTION_DECAY_NANOS = 30_000_000_000L;

	private double[] sortBuffer = new double[0];

	private double medianInterTokenNanos;

	private long decayedAtNanos;

	void eject(long nowNanos, List<TargetLoad> members) {
		this.medianInterTokenNanos = median(members);
		int out = 0;
		for (final TargetLoad load : members) {
			out += load.isEjected(nowNanos) ? 1 : 0;
		}
		int left = members.size() / MAX_EJECTED_DIVISOR - out;
		for (final TargetLoad load : members) {
			if (left > 0 && load.view().serving() && !load.isEjected(nowNanos) && isOutlier(nowNanos, load)) {
				load.eject(nowNanos, BASE_EJECTION_NANOS, MAX_DOUBLINGS);
				left--;
			}
		}
		if (nowNanos - this.decayedAtNanos >= EJECTION_DECAY_NANOS) {
			this.decayedAtNanos = nowNanos;
			members.stream().filter((load) -> !load.isEjected(nowNanos)).forEach(TargetLoad::decayEjections);
		}
	}

	private boolean isOutlier(long nowNanos, TargetLoad load) {
		if (load.consecutiveFailures() >= MAX_CONSECUTIVE_FAILURES) {
			return true;
		}
		if (this.medianInterTokenNanos == 0) {
			return false;
		}
		final long stallNanos = Math.max(MIN_STALL_NANOS, (long) (STALL_TOKENS * this.medianInterTokenNanos));
		final boolean stalled = load.inFlight() > 0 && nowNanos - load.progressAtNanos() > stallNanos;
		final boolean slow = load.interTokenLatency().samples() >= MIN_SAMPLES
				&& load.interTokenLatency().meanNanos() > SLOW_RATIO * this.medianInterTokenNanos;
		return stalled || slow;
	}

	private double median(List<TargetLoad> members) {
		if (this.sortBuffer.length < members.size()) {
			this.sortBuffer = new double[members.size()];
		}
		int measured = 0;
		for (final TargetLoad load : members) {
			if (load.interTokenLatency().samples() >= MIN_SAMPLES) {
				this.sortBuffer[measured++] = load.interTokenLatency().meanNanos();
			}
		}
		if (measured == 0) {
			return this.medianInterTokenNanos;
		}
		Arrays.sort(this.sortBuffer, 0, measured);
		return this.sortBuffer[(measured - 1) / 2];
	}

	double medianInterTokenNanos() {
		return this.medianInterTokenNanos;
	}

}
