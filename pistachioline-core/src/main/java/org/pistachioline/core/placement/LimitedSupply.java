package org.pistachioline.core.placement;

import java.util.Collection;
import java.util.Optional;

import org.pistachioline.core.limit.InstanceLimit;

/**
 * What targets take that all name limits.
 *
 * @param nextWaitNanos how long until this daemon may start the next attempt
 * @param ownPerSecond how many attempts a second this daemon may start
 * @param allPerSecond how many attempts a second all daemons may start together
 */
public record LimitedSupply(long nextWaitNanos, double ownPerSecond, double allPerSecond) {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NEVER_NANOS = Long.MAX_VALUE;

	/**
	 * Sums up the limits of a model's or a service's targets.
	 * @param nowNanos the monotonic time
	 * @param members the targets
	 * @return the sums; empty where some target that serves names no limit, or none
	 * serves
	 */
	static Optional<LimitedSupply> of(long nowNanos, Collection<TargetLoad> members) {
		long waitNanos = NEVER_NANOS;
		double own = 0;
		double all = 0;
		boolean any = false;
		for (final TargetLoad load : members) {
			final InstanceLimit limit = load.limit();
			if (!load.view().serving()) {
				continue;
			}
			if (!limit.isLimited()) {
				return Optional.empty();
			}
			waitNanos = Math.min(waitNanos, waitNanos(nowNanos, limit));
			own += limit.ownPerSecond();
			all += limit.perSecond();
			any = true;
		}
		return any ? Optional.of(new LimitedSupply(waitNanos, own, all)) : Optional.empty();
	}

	// Without a permit the next attempt is put off by each word of the target.
	private static long waitNanos(long nowNanos, InstanceLimit limit) {
		if (limit.mayStart(nowNanos)) {
			return 0;
		}
		return (limit.ownPerSecond() > 0) ? limit.nextStartNanos() - nowNanos : NEVER_NANOS;
	}

	/**
	 * Returns how long a request waits that comes now.
	 * @param ahead how many requests wait before it
	 * @return the time, in nanoseconds; infinite where this daemon may start one attempt
	 * at most and others wait for it
	 */
	public double waitNanos(int ahead) {
		return this.nextWaitNanos + ((ahead > 0) ? ahead / this.ownPerSecond * NANOS_PER_SECOND : 0);
	}

}
