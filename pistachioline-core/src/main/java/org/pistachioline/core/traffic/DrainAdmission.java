package org.pistachioline.core.traffic;

import java.util.Optional;
import java.util.OptionalLong;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;

/**
 * Refuses new requests that a leaving daemon is not expected to complete before it stops.
 * <p>
 * A request fits if its deadline is within the time that is left. One that may be
 * repeated also fits if its limit of output is, at the slowest pace of its model lately,
 * or, as long as the terms allow it, if the longest time that requests like it took is.
 * Neither suffices for a request that may run only once, and the latter is no bound: the
 * next answer may be longer than all before it.
 */
final class DrainAdmission {

	private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final CompletionTimes completionTimes;

	private final OutputPace outputPace;

	private final ActiveRequests activeRequests;

	private final DrainTally tally = new DrainTally();

	private Optional<Drain> drain = Optional.empty();

	DrainAdmission(CompletionTimes completionTimes, OutputPace outputPace, ActiveRequests activeRequests) {
		this.completionTimes = completionTimes;
		this.outputPace = outputPace;
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
		if (this.drain.isEmpty()) {
			return Optional.empty();
		}
		final Drain terms = this.drain.get();
		final boolean accepted = fits(nowNanos, info, terms);
		this.tally.add(nowNanos, accepted);
		return accepted ? Optional.empty() : Optional.of(refusal(nowNanos, info, terms));
	}

	private boolean fits(long nowNanos, RequestInfo info, Drain terms) {
		if (terms.acceptance() == DrainAcceptance.NOTHING) {
			return false;
		}
		if (info.totalDeadlineNanos() - terms.endsAtNanos() <= 0) {
			return true;
		}
		if (!info.idempotent() || terms.acceptance() == DrainAcceptance.DEADLINE) {
			return false;
		}
		final long leftNanos = terms.endsAtNanos() - nowNanos;
		return outputFits(nowNanos, info, leftNanos)
				|| (terms.acceptance() == DrainAcceptance.ESTIMATE && estimateNanos(nowNanos, info) <= leftNanos);
	}

	private boolean outputFits(long nowNanos, RequestInfo info, long leftNanos) {
		final OptionalLong maxNanos = this.outputPace.maxNanos(nowNanos, info, this.activeRequests.all());
		return maxNanos.isPresent() && maxNanos.getAsLong() <= leftNanos;
	}

	// The slowest requests are those that have not ended yet.
	private long estimateNanos(long nowNanos, RequestInfo info) {
		return Math.max(this.completionTimes.maxNanos(nowNanos, info).orElse(Long.MAX_VALUE),
				this.activeRequests.longestActiveNanos(nowNanos, info));
	}

	/**
	 * Refuses the requests that have waited for a target for so long that they no longer
	 * fit, as they would be cut off. Estimates say nothing about them.
	 * @param nowNanos the monotonic time
	 */
	void refuseWaiting(long nowNanos) {
		if (this.drain.isEmpty() || this.drain.get().acceptance() == DrainAcceptance.ESTIMATE) {
			return;
		}
		final Drain terms = this.drain.get();
		for (final ActiveRequest request : this.activeRequests.all()) {
			if (request.isWaitingUnsent() && !fitsUnsent(nowNanos, request.info, terms)) {
				this.activeRequests.fail(nowNanos, request, ErrorKind.LEAVING,
						refusal(nowNanos, request.info, terms).retryAfterMillis());
			}
		}
	}

	private boolean fitsUnsent(long nowNanos, RequestInfo info, Drain terms) {
		return info.totalDeadlineNanos() - terms.endsAtNanos() <= 0
				|| (info.idempotent() && outputFits(nowNanos, info, terms.endsAtNanos() - nowNanos));
	}

	private Refusal refusal(long nowNanos, RequestInfo info, Drain terms) {
		final Refusal refusal = Refusal.withJitter(ErrorKind.LEAVING, info.requestId(), terms.retryAfterMillis(),
				MAX_RETRY_AFTER_MILLIS);
		return new Refusal(refusal.kind(), refusal.retryAfterMillis() + millisUntilGone(nowNanos, terms));
	}

	private long millisUntilGone(long nowNanos, Drain terms) {
		if (!terms.afterLastRequest()) {
			return 0;
		}
		final long lastEndNanos = this.activeRequests.all()
			.stream()
			.mapToLong((request) -> expectedEndNanos(nowNanos, request))
			.max()
			.orElse(nowNanos);
		return Math.max(0, Math.min(lastEndNanos, terms.endsAtNanos()) - nowNanos) / NANOS_PER_MILLI;
	}

	private long expectedEndNanos(long nowNanos, ActiveRequest request) {
		final OptionalLong usualNanos = this.completionTimes.maxNanos(nowNanos, request.info);
		return usualNanos.isPresent()
				? Math.min(request.info.totalDeadlineNanos(), request.arrivedAtNanos + usualNanos.getAsLong())
				: request.info.totalDeadlineNanos();
	}

	/**
	 * Returns what the daemon does for callers at present.
	 * @param nowNanos the monotonic time
	 * @return the report; empty counts without a drain
	 */
	DrainReport report(long nowNanos) {
		return this.drain.isEmpty() ? DrainReport.EMPTY : new DrainReport(this.tally.accepted(nowNanos),
				this.tally.refused(nowNanos), this.activeRequests.oldestAgeNanos(nowNanos));
	}

	/**
	 * Returns after which delay the caller of an interrupted request may retry.
	 * @return the delay, in milliseconds
	 */
	long retryAfterMillis() {
		return this.drain.map(Drain::retryAfterMillis).orElse(0L);
	}

}
