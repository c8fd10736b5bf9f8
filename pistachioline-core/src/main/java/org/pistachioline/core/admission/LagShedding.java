package org.pistachioline.core.admission;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Refuses part of the requests while the process's own processor is overrun.
 * <p>
 * Made for the seconds after a restart, in which most code is still interpreted, and for
 * a machine that runs slowly. Each event of each stream passes several queues of the
 * process; once those fill, every caller is late, those that came first included, and
 * nobody is told to go elsewhere. How late a timer runs shows the overrun within a
 * fraction of a second. While it is late by more than {@value #LATE_MILLIS} ms, a growing
 * part of new requests is refused at once; a stream passes such a queue about four times
 * before its first event, which is all the time that its caller gives it. The part falls
 * again more slowly than it rises, so that it settles where the process just keeps up.
 */
public final class LagShedding implements ArrivalGate {

	private static final long LATE_MILLIS = 100;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Some requests are always taken: without work no code gets warm. */
	private static final double MOST_REFUSED_RATIO = 0.9;

	/** At ten samples a second the part rises to one half within half a second. */
	private static final double RISE = 0.1;

	private static final double FALL = 0.03;

	private final UniformRandomProvider random;

	private volatile double refusedRatio;

	/**
	 * Creates a gate that takes every request.
	 * @param seed what its draws depend on
	 */
	public LagShedding(long seed) {
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
	}

	/**
	 * Takes one measurement of how late a timer ran; called ten times a second.
	 * @param lateNanos how late it was
	 */
	public void onTimer(long lateNanos) {
		final double next = (lateNanos > LATE_MILLIS * NANOS_PER_MILLI) ? this.refusedRatio + RISE
				: this.refusedRatio - FALL;
		this.refusedRatio = Math.max(0, Math.min(MOST_REFUSED_RATIO, next));
	}

	/**
	 * Returns which part of new requests is refused.
	 * @return the part, from 0 to 1
	 */
	public double refusedRatio() {
		return this.refusedRatio;
	}

	@Override
	public boolean admits(long nowNanos) {
		final double ratio = this.refusedRatio;
		if (ratio <= 0) {
			return true;
		}
		synchronized (this.random) {
			return this.random.nextDouble() >= ratio;
		}
	}

}
