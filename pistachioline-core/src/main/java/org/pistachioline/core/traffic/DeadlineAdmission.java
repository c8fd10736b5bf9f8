package org.pistachioline.core.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.placement.TargetSet;
import org.pistachioline.core.placement.ThrottledCapacity;

/**
 * Refuses the requests whose turn cannot come in time since all their targets take less
 * than they have room for.
 * <p>
 * The queue expects its wait from what runs; where the targets name limits or want
 * nothing for a while it would keep callers until their time is up.
 */
final class DeadlineAdmission {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

	private final TargetRegistry targets;

	private final ActiveRequests activeRequests;

	DeadlineAdmission(TargetRegistry targets, ActiveRequests flights) {
		this.targets = targets;
		this.activeRequests = flights;
	}

	/**
	 * Decides whether a request that comes now can still be served in time.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the refusal; empty where it can, or nothing stands in its way
	 */
	Optional<Refusal> check(long nowNanos, RequestInfo info) {
		final Optional<ThrottledCapacity> supply = pacedSupply(nowNanos, info);
		if (supply.isEmpty()) {
			return Optional.empty();
		}
		final int others = queuedByName().getOrDefault(nameKey(info), 0);
		return check(nowNanos, info, supply.get(), others, others);
	}

	/**
	 * Refuses those who wait and whose turn cannot come in time any more.
	 * @param nowNanos the monotonic time
	 */
	void recheckQueued(long nowNanos) {
		final Map<String, Integer> waiting = queuedByName();
		final Map<String, Integer> ahead = new HashMap<>();
		for (final ActiveRequest flight : this.activeRequests.all()) {
			final Optional<ThrottledCapacity> supply = flight.queued ? pacedSupply(nowNanos, flight.info)
					: Optional.empty();
			if (supply.isPresent()) {
				final String name = nameKey(flight.info);
				final Optional<Refusal> refusal = check(nowNanos, flight.info, supply.get(),
						ahead.getOrDefault(name, 0), waiting.get(name) - 1);
				if (refusal.isPresent()) {
					this.activeRequests.fail(nowNanos, flight, refusal.get().kind(), refusal.get().retryAfterMillis());
					waiting.merge(name, -1, Integer::sum);
				}
				else {
					ahead.merge(name, 1, Integer::sum);
				}
			}
		}
	}

	/**
	 * Lets time pass: whoever waits in vain by now is told so.
	 * @param nowNanos the monotonic time
	 */
	void onTick(long nowNanos) {
		if (this.targets.hasPacedTargets(nowNanos)) {
			recheckQueued(nowNanos);
		}
	}

	/**
	 * Returns when a request that its targets turned away may come back.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param usualMillis when it may where nothing is known of what the targets take
	 * @return the time, in milliseconds
	 */
	long retryAfterMillis(long nowNanos, RequestInfo info, long usualMillis) {
		return pacedSupply(nowNanos, info)
			.map((supply) -> Math.max(usualMillis, refusal(info, supply, 0).retryAfterMillis()))
			.orElse(usualMillis);
	}

	private Optional<ThrottledCapacity> pacedSupply(long nowNanos, RequestInfo info) {
		final TargetSet set = this.targets.targetSet(info);
		return (set != null) ? set.throttledCapacity(nowNanos) : Optional.empty();
	}

	private Map<String, Integer> queuedByName() {
		final Map<String, Integer> waiting = new HashMap<>();
		this.activeRequests.all()
			.stream()
			.filter((flight) -> flight.queued)
			.forEach((flight) -> waiting.merge(nameKey(flight.info), 1, Integer::sum));
		return waiting;
	}

	private static String nameKey(RequestInfo info) {
		return info.targetKind() + info.name();
	}

	// Whoever is late while others wait is overtaken by those who are on time; where a
	// target takes all that waits as soon as its rest is over, nobody is.
	private static Optional<Refusal> check(long nowNanos, RequestInfo info, ThrottledCapacity supply, int ahead,
			int others) {
		final long halfNanos = (info.firstTokenDeadlineNanos() - nowNanos) / 2;
		final long allowedNanos = (others > 0) ? info.softDeadlineNanos() - nowNanos : halfNanos;
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
