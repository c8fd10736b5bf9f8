package org.pistachioline.core.placement;

import java.util.Collection;
import java.util.Optional;

import org.pistachioline.core.limit.InstanceLimit;

/**
 * The capacity of a set of targets that are all throttled, by the limits of their
 * instances or by backoff.
 *
 * @param nextStartWaitNanos the time until this daemon may start the next attempt at a
 * target with a limit
 * @param ownStartsPerSecond the rate at which this daemon may start attempts at targets
 * with a limit
 * @param totalStartsPerSecond the rate at which all daemons together may start attempts
 * at targets with a limit
 * @param backoffWaitNanos the time until the first backoff of a target without a limit
 * ends, or until the first cold target without one is warm
 */
public record ThrottledCapacity(long nextStartWaitNanos, double ownStartsPerSecond, double totalStartsPerSecond,
		long backoffWaitNanos) {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NEVER_NANOS = Long.MAX_VALUE;

	/**
	 * Sums up the capacity of a model's or a service's targets.
	 * @param nowNanos the monotonic time
	 * @param members the targets
	 * @return the capacity; empty where a serving target is not throttled, or where none
	 * serves
	 */
	static Optional<ThrottledCapacity> of(long nowNanos, Collection<TargetLoad> members) {
		long startWaitNanos = NEVER_NANOS;
		long endWaitNanos = NEVER_NANOS;
		double ownPerSecond = 0;
		double allPerSecond = 0;
		boolean anyServing = false;
		for (final TargetLoad load : members) {
			if (!load.view().serving()) {
				continue;
			}
			if (!load.isThrottled(nowNanos)) {
				return Optional.empty();
			}
			anyServing = true;
			final InstanceLimit limit = load.limit();
			final long backoffLeftNanos = load.backoff().remainingNanos(nowNanos);
			if (limit.isLimited()) {
				startWaitNanos = Math.min(startWaitNanos, Math.max(backoffLeftNanos, limitWaitNanos(nowNanos, limit)));
				ownPerSecond += limit.ownRequestsPerSecond();
				allPerSecond += limit.requestsPerSecond();
				endWaitNanos = Math.min(endWaitNanos, Math.max(backoffLeftNanos, limit.remainingColdNanos(nowNanos)));
			}
			else {
				endWaitNanos = Math.min(endWaitNanos, backoffLeftNanos);
			}
		}
		return anyServing ? Optional.of(new ThrottledCapacity(startWaitNanos, ownPerSecond, allPerSecond, endWaitNanos))
				: Optional.empty();
	}

	// Without permits each new report of the limit postpones this daemon's next attempt,
	// so that its time is not known.
	private static long limitWaitNanos(long nowNanos, InstanceLimit limit) {
		if (limit.mayStart(nowNanos)) {
			return 0;
		}
		return (limit.ownRequestsPerSecond() > 0) ? limit.nextStartNanos() - nowNanos : NEVER_NANOS;
	}

	/**
	 * Returns how long a request that arrives now is expected to wait.
	 * @param ahead the number of requests that wait before it
	 * @return the time, in nanoseconds; infinite where this daemon may start one attempt
	 * at most and other requests wait for it
	 */
	public double waitNanos(int ahead) {
		final double limitedNanos = this.nextStartWaitNanos
				+ ((ahead > 0) ? ahead / this.ownStartsPerSecond * NANOS_PER_SECOND : 0);
		return Math.min(this.backoffWaitNanos, limitedNanos);
	}

	/**
	 * Returns after what time a request that is refused now may be retried. Another
	 * daemon may hold a permit sooner, so the limits count for all daemons together.
	 * @param ahead the number of requests that wait before it
	 * @return the time, in nanoseconds; infinite where no target accepts requests
	 */
	public double retryAfterNanos(int ahead) {
		final double limitedNanos = (ahead + 1) / this.totalStartsPerSecond * NANOS_PER_SECOND;
		return Math.min(this.backoffWaitNanos, limitedNanos);
	}

}
