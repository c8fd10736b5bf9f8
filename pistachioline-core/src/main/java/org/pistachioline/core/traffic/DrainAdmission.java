package org.pistachioline.core.traffic;

import java.util.Optional;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;

/**
 * Refuses new requests that a leaving daemon is not expected to complete before it stops.
 * <p>
 * A request fits if its deadline is within the time that is left. One that may be
 * repeated also fits if the longest time that requests like it took lately is: refusing
 * all of these would leave callers without service while few daemons restart in turn. An
 * estimate is no bound, so it does not suffice for a request that may run only once.
 */
final class DrainAdmission {

	private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

	private final CompletionTimes completionTimes;

	private final ActiveRequests activeRequests;

	private Optional<Drain> drain = Optional.empty();

	DrainAdmission(CompletionTimes completionTimes, ActiveRequests activeRequests) {
		this.completionTimes = completionTimes;
		this.activeRequests = activeRequests;
	}

	/**
	 * Starts the drain, or changes its terms.
	 * @param terms the terms
	 */
	void onDrain(Drain terms) {
		this.drain = Optional.of(terms);
	}

	/**
	 * Checks whether a new request can be completed before the end of the drain.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the refusal; empty if the request can be completed, or without a drain
	 */
	Optional<Refusal> check(long nowNanos, RequestInfo info) {
		return this.drain.filter((terms) -> !fits(nowNanos, info, terms)).map((terms) -> refusal(info, terms));
	}

	private boolean fits(long nowNanos, RequestInfo info, Drain terms) {
		final long leftNanos = terms.endsAtNanos() - nowNanos;
		if (info.totalDeadlineNanos() - nowNanos <= leftNanos) {
			return true;
		}
		return info.idempotent() && terms.acceptsEstimates() && estimateNanos(nowNanos, info) <= leftNanos;
	}

	// The slowest requests are those that have not ended yet.
	private long estimateNanos(long nowNanos, RequestInfo info) {
		return Math.max(this.completionTimes.maxNanos(nowNanos, info).orElse(Long.MAX_VALUE),
				this.activeRequests.longestActiveNanos(nowNanos, info));
	}

	private static Refusal refusal(RequestInfo info, Drain terms) {
		return Refusal.withJitter(ErrorKind.LEAVING, info.requestId(), terms.retryAfterMillis(),
				MAX_RETRY_AFTER_MILLIS);
	}

	/**
	 * Returns after which delay the caller of an interrupted request may retry.
	 * @return the delay, in milliseconds
	 */
	long retryAfterMillis() {
		return this.drain.map(Drain::retryAfterMillis).orElse(0L);
	}

}
