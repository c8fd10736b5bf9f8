package org.pistachioline.core.placement;

import java.util.Arrays;
import java.util.List;

/**
 * Ejects targets that are much slower than the rest of their pool, that stall or that
 * fail repeatedly.
 * <p>
 * A target at a tenth of its speed looks half idle to a daemon that counts attempts, so
 * that it keeps receiving requests and one caller in n waits ten times as long. Slowness
 * is measured by the time between tokens relative to the pool's median, which depends on
 * the target alone and not on queues or prompts. At most a third of a pool is ejected at
 * once: if most targets seem slow, the cause is the load or this daemon's own network,
 * and ejecting them would turn slowness into an outage. An ejected target returns after
 * 10 s with a slow start. Each further ejection doubles the time, up to 160 s, so that a
 * flapping target is used ever more rarely; one doubling is taken back for each 30 s
 * without ejection.
 */
final class StragglerEjector {

	private static final double SLOW_RATIO = 2.5;

	/** The number of samples below which a measurement is not used. */
	static final int MIN_SAMPLES = 2;

	private static final int MAX_CONSECUTIVE_FAILURES = 3;

	private static final int MAX_EJECTED_DIVISOR = 3;

	private static final long BASE_EJECTION_NANOS = 10_000_000_000L;

	private static final int MAX_DOUBLINGS = 4;

	private static final long MIN_STALL_NANOS = 2_000_000_000L;

	/**
	 * The number of the pool's token intervals without progress after which a target
	 * counts as stalled.
	 */
	private static final double STALL_TOKENS = 100;

	private static final long EJECTION_DECAY_NANOS = 30_000_000_000L;

	private double[] sortBuffer = new double[0];

	private double medianInterTokenNanos;

	private long decayedAtNanos;

	void eject(long nowNanos, List<TargetLoad> members) {
		this.medianInterTokenNanos = median(members);
		int ejected = 0;
		for (final TargetLoad load : members) {
			ejected += load.ejection().isActive(nowNanos) ? 1 : 0;
		}
		int remaining = members.size() / MAX_EJECTED_DIVISOR - ejected;
		for (final TargetLoad load : members) {
			if (remaining > 0 && load.view().serving() && !load.ejection().isActive(nowNanos)
					&& isOutlier(nowNanos, load)) {
				load.eject(nowNanos, BASE_EJECTION_NANOS, MAX_DOUBLINGS);
				remaining--;
			}
		}
		if (nowNanos - this.decayedAtNanos >= EJECTION_DECAY_NANOS) {
			this.decayedAtNanos = nowNanos;
			members.stream()
				.filter((load) -> !load.ejection().isActive(nowNanos))
				.forEach((load) -> load.ejection().decay());
		}
	}

	private boolean isOutlier(long nowNanos, TargetLoad load) {
		if (load.failures().consecutiveErrors() >= MAX_CONSECUTIVE_FAILURES) {
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
