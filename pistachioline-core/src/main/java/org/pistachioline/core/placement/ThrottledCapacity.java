package org.pistachioline.core.placement;

import java.util.Collection;
import java.util.Optional;

import org.pistachioline.core.limit.InstanceLimit;

/**
 * What targets take that all name limits or want nothing for a while.
 *
 * @param nextStartWaitNanos how long until this daemon may start the next attempt at a
 * target that names a limit
 * @param ownStartsPerSecond how many attempts a second this daemon may start at those
 * @param totalStartsPerSecond how many attempts a second all daemons may start at those
 * together
 * @param backoffWaitNanos how long until a target that names no limit wants requests
 * again
 */
public record ThrottledCapacity(long nextStartWaitNanos, double ownStartsPerSecond, double totalStartsPerSecond,
		long backoffWaitNanos) {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NEVER_NANOS = Long.MAX_VALUE;

	/**
	 * Sums up what a model's or a service's targets take.
	 * @param nowNanos the monotonic time
	 * @param members the targets
	 * @return the sums; empty where some target that serves takes all that it has room
	 * for, or none serves
	 */
	static Optional<ThrottledCapacity> of(long nowNanos, Collection<TargetLoad> members) {
		long nextNanos = NEVER_NANOS;
		long openNanos = NEVER_NANOS;
		double own = 0;
		double all = 0;
		boolean any = false;
		for (final TargetLoad load : members) {
			if (!load.view().serving()) {
				continue;
			}
			if (!load.isThrottled(nowNanos)) {
				return Optional.empty();
			}
			any = true;
			final InstanceLimit limit = load.limit();
			final long restNanos = load.backoff().remainingNanos(nowNanos);
			if (limit.isLimited()) {
				nextNanos = Math.min(nextNanos, Math.max(restNanos, waitNanos(nowNanos, limit)));
				own += limit.ownRequestsPerSecond();
				all += limit.requestsPerSecond();
			}
			else {
				openNanos = Math.min(openNanos, restNanos);
			}
		}
		return any ? Optional.of(new ThrottledCapacity(nextNanos, own, all, openNanos)) : Optional.empty();
	}

	// Without a permit the next attempt is put off by each word of the target.
	private static long waitNanos(long nowNanos, InstanceLimit limit) {
		if (limit.mayStart(nowNanos)) {
			return 0;
		}
		return (limit.ownRequestsPerSecond() > 0) ? limit.nextStartNanos() - nowNanos : NEVER_NANOS;
	}

	/**
	 * Returns how long a request waits that comes now.
	 * @param ahead how many requests wait before it
	 * @return the time, in nanoseconds; infinite where this daemon may start one attempt
	 * at most and others wait for it
	 */
	public double waitNanos(int ahead) {
		final double limitedNanos = this.nextStartWaitNanos
				+ ((ahead > 0) ? ahead / this.ownStartsPerSecond * NANOS_PER_SECOND : 0);
		return Math.min(this.backoffWaitNanos, limitedNanos);
	}

	/**
	 * Returns when a request that is refused now may come back. Another daemon may have a
	 * permit sooner, so limits count for all daemons together.
	 * @param ahead how many requests wait before it
	 * @return the time, in nanoseconds; infinite where no target takes anything
	 */
	public double retryAfterNanos(int ahead) {
		final double limitedNanos = (ahead + 1) / this.totalStartsPerSecond * NANOS_PER_SECOND;
		return Math.min(this.backoffWaitNanos, limitedNanos);
	}

}
