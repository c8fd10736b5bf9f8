package org.pistachioline.core.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.placement.TargetSet;
import org.pistachioline.core.placement.ThrottledCapacity;

/**
 * Refuses requests that cannot start before their deadline because all of their targets
 * are rate-limited, in backoff or in evacuated zones.
 * <p>
 * The queue estimates waiting times from the requests that are running. When targets
 * state rate limits or ask for backoff, free slots do not mean that a request can start,
 * and the queue alone would hold callers until their deadline.
 */
final class DeadlineAdmission {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

	private final TargetRegistry targets;

	private final ActiveRequests activeRequests;

	private final TargetEvacuation evacuation;

	DeadlineAdmission(TargetRegistry targets, ActiveRequests activeRequests) {
		this.targets = targets;
		this.activeRequests = activeRequests;
		this.evacuation = new TargetEvacuation(targets, activeRequests);
	}

	TargetEvacuation evacuation() {
		return this.evacuation;
	}

	/**
	 * Checks whether a new request can still be served in time.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the refusal; empty if the request can be served in time, or if limits and
	 * backoffs do not restrict its targets
	 */
	Optional<Refusal> check(long nowNanos, RequestInfo info) {
		final Optional<ThrottledCapacity> supply = pacedSupply(nowNanos, info);
		if (supply.isEmpty()) {
			return this.evacuation.check(info);
		}
		final int queued = queuedByName().getOrDefault(nameKey(info), 0);
		return check(nowNanos, info, supply.get(), queued, queued);
	}

	/**
	 * Fails the queued requests that can no longer be served in time.
	 * @param nowNanos the monotonic time
	 */
	void recheckQueued(long nowNanos) {
		final Map<String, Integer> queued = queuedByName();
		final Map<String, Integer> ahead = new HashMap<>();
		for (final ActiveRequest request : this.activeRequests.all()) {
			final Optional<ThrottledCapacity> supply = request.queued ? pacedSupply(nowNanos, request.info)
					: Optional.empty();
			if (supply.isPresent()) {
				final String name = nameKey(request.info);
				final Optional<Refusal> refusal = check(nowNanos, request.info, supply.get(),
						ahead.getOrDefault(name, 0), queued.get(name) - 1);
				if (refusal.isPresent()) {
					this.activeRequests.fail(nowNanos, request, refusal.get().kind(), refusal.get().retryAfterMillis());
					queued.merge(name, -1, Integer::sum);
				}
				else {
					ahead.merge(name, 1, Integer::sum);
				}
			}
		}
	}

	/**
	 * Fails the queued requests that have become unservable since the last check.
	 * @param nowNanos the monotonic time
	 */
	void onTick(long nowNanos) {
		this.evacuation.onTick(nowNanos);
		if (this.targets.hasPacedTargets(nowNanos)) {
			recheckQueued(nowNanos);
		}
	}

	/**
	 * Returns after which delay the caller of a request that its targets turned away may
	 * retry.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param defaultMillis the minimum delay, which also applies if the targets have
	 * neither limits nor backoffs
	 * @return the delay, in milliseconds
	 */
	long retryAfterMillis(long nowNanos, RequestInfo info, long defaultMillis) {
		return pacedSupply(nowNanos, info)
			.map((supply) -> Math.max(defaultMillis, refusal(info, supply, 0).retryAfterMillis()))
			.orElse(defaultMillis);
	}

	private Optional<ThrottledCapacity> pacedSupply(long nowNanos, RequestInfo info) {
		final TargetSet set = this.targets.targetSet(info);
		return (set != null) ? set.throttledCapacity(nowNanos) : Optional.empty();
	}

	private Map<String, Integer> queuedByName() {
		final Map<String, Integer> queued = new HashMap<>();
		this.activeRequests.all()
			.stream()
			.filter((request) -> request.queued)
			.forEach((request) -> queued.merge(nameKey(request.info), 1, Integer::sum));
		return queued;
	}

	private static String nameKey(RequestInfo info) {
		return info.targetKind() + info.name();
	}

	// A request past its soft deadline is overtaken by requests that are still on time,
	// so with others in the queue it must start by the soft deadline. The end of a
	// backoff releases all queued requests at once, so no request is overtaken then.
	private static Optional<Refusal> check(long nowNanos, RequestInfo info, ThrottledCapacity supply, int ahead,
			int othersQueued) {
		final long halfNanos = (info.firstTokenDeadlineNanos() - nowNanos) / 2;
		final long allowedNanos = (othersQueued > 0) ? info.softDeadlineNanos() - nowNanos : halfNanos;
		if (supply.backoffWaitNanos() <= halfNanos || supply.waitNanos(ahead) <= allowedNanos) {
			return Optional.empty();
		}
		return Optional.of(refusal(info, supply, ahead));
	}

	private static Refusal refusal(RequestInfo info, ThrottledCapacity supply, int ahead) {
		final double millis = Math.max(ActiveRequests.MIN_RETRY_AFTER_MILLIS,
				supply.retryAfterNanos(ahead) / NANOS_PER_MILLI);
		return Refusal.withJitter(ErrorKind.DEADLINE_UNREACHABLE, info.requestId(), millis, MAX_RETRY_AFTER_MILLIS);
	}

}
