package org.pistachioline.core.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.limit.LimitReport;
import org.pistachioline.core.limit.StatedLimit;
import org.pistachioline.core.placement.LimitedSupply;
import org.pistachioline.core.placement.TargetSet;

/**
 * Keeps to the limits that targets name, and refuses the requests whose turn cannot come
 * in time since all their targets name one.
 * <p>
 * The queue expects its wait from what runs; where the targets take less than their slots
 * it would keep callers until their time is up.
 */
public final class LimitedTargets {

	private static final double MILLIS_PER_SECOND = 1e3;

	private static final long MOST_RETRY_MILLIS = 60_000;

	private final TargetBook targets;

	private final FlightBook flights;

	LimitedTargets(TargetBook targets, FlightBook flights) {
		this.targets = targets;
		this.flights = flights;
	}

	/**
	 * Takes what an instance's answer said of the requests that it takes from all
	 * daemons.
	 * @param nowNanos the monotonic time
	 * @param sentAtNanos when the answer's request was sent
	 * @param instanceId the instance
	 * @param requestsPerSecond the limit that it names; empty where it names none
	 * @return whether that changes anything
	 */
	public boolean hear(long nowNanos, long sentAtNanos, String instanceId, OptionalDouble requestsPerSecond) {
		final boolean changed = this.targets.hearLimit(nowNanos, sentAtNanos, instanceId, requestsPerSecond);
		if (changed) {
			refuseWaiting(nowNanos);
		}
		return changed;
	}

	/**
	 * Takes what another daemon told of instances' limits.
	 * @param nowNanos the monotonic time
	 * @param stated what instances said
	 * @return those that change anything
	 */
	public List<StatedLimit> hearFromPeer(long nowNanos, List<StatedLimit> stated) {
		final List<StatedLimit> changed = this.targets.hearLimitsOfPeer(nowNanos, stated);
		if (!changed.isEmpty()) {
			refuseWaiting(nowNanos);
		}
		return changed;
	}

	/**
	 * Returns what other daemons are to be told.
	 * @param nowNanos the monotonic time
	 * @return what instances said last, the newest first
	 */
	public List<StatedLimit> stated(long nowNanos) {
		return this.targets.limits().stated(nowNanos);
	}

	/**
	 * Describes the limits that hold, for operators.
	 * @param nowNanos the monotonic time
	 * @return the limits
	 */
	public List<LimitReport> reports(long nowNanos) {
		return this.targets.limits().reports(nowNanos);
	}

	/**
	 * Lets time pass: whoever waits in vain by now is told so.
	 * @param nowNanos the monotonic time
	 */
	void onTick(long nowNanos) {
		if (this.targets.anyLimitedSupply(nowNanos)) {
			refuseWaiting(nowNanos);
		}
	}

	/**
	 * Decides whether a request that comes now can still be served in time.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the refusal; empty where it can, or no limit stands in its way
	 */
	Optional<Refusal> refuse(long nowNanos, RequestInfo info) {
		final Optional<LimitedSupply> supply = supply(nowNanos, info);
		if (supply.isEmpty()) {
			return Optional.empty();
		}
		final int others = waiting().getOrDefault(nameOf(info), 0);
		return refuse(nowNanos, info, supply.get(), others, others);
	}

	private Optional<LimitedSupply> supply(long nowNanos, RequestInfo info) {
		final TargetSet set = this.targets.set(info);
		return (set != null) ? set.limitedSupply(nowNanos) : Optional.empty();
	}

	private Map<String, Integer> waiting() {
		final Map<String, Integer> waiting = new HashMap<>();
		this.flights.all()
			.stream()
			.filter((flight) -> flight.queued)
			.forEach((flight) -> waiting.merge(nameOf(flight.info), 1, Integer::sum));
		return waiting;
	}

	private static String nameOf(RequestInfo info) {
		return info.targetKind() + info.name();
	}

	// Whoever is late while others wait is overtaken by those who are on time.
	private static Optional<Refusal> refuse(long nowNanos, RequestInfo info, LimitedSupply supply, int ahead,
			int others) {
		final long allowedNanos = (others > 0) ? info.onTimeNanos() - nowNanos
				: (info.firstTokenDeadlineNanos() - nowNanos) / 2;
		if (supply.waitNanos(ahead) <= allowedNanos) {
			return Optional.empty();
		}
		// Another daemon may have a permit sooner, so the caller is told when some does.
		final double millis = Math.max(FlightBook.LEAST_RETRY_MILLIS,
				(ahead + 1) / supply.allPerSecond() * MILLIS_PER_SECOND);
		return Optional.of(Refusal.spread(ErrorKind.DEADLINE_UNREACHABLE, info.requestId(), millis, MOST_RETRY_MILLIS));
	}

	private void refuseWaiting(long nowNanos) {
		final Map<String, Integer> waiting = waiting();
		final Map<String, Integer> ahead = new HashMap<>();
		for (final Flight flight : this.flights.all()) {
			final Optional<LimitedSupply> supply = flight.queued ? supply(nowNanos, flight.info) : Optional.empty();
			if (supply.isPresent()) {
				final String name = nameOf(flight.info);
				final Optional<Refusal> refusal = refuse(nowNanos, flight.info, supply.get(),
						ahead.getOrDefault(name, 0), waiting.get(name) - 1);
				if (refusal.isPresent()) {
					this.flights.end(nowNanos, flight, refusal.get().kind(), refusal.get().retryAfterMillis());
					waiting.merge(name, -1, Integer::sum);
				}
				else {
					ahead.merge(name, 1, Integer::sum);
				}
			}
		}
	}

}
