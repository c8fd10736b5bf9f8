package org.pistachioline.core.demand;

import java.util.Map;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Recognizes requests whose callers have waited before, by the time that they have left.
 * <p>
 * A caller that was refused comes back with the rest of its time. Its objective counts
 * from its first attempt, so that a place for it is worth less than a place for a request
 * that can still be on time. Where at least a fifth of the requests of a kind start with
 * the same timeout, a shorter one is taken for that of a caller who has waited; callers
 * who choose a shorter timeout themselves are then taken for late. Where timeouts differ
 * more, nothing is concluded.
 */
public final class UsualTimeouts {

	private static final int MAX_KINDS = 64;

	/** The part by which the longest timeout falls with each request that has less. */
	private static final double DECAY_RATIO = 0.0005;

	private static final double SAMPLE_WEIGHT = 0.05;

	/** The part of requests that must have the usual timeout. */
	private static final double MIN_USUAL_RATIO = 0.2;

	private static final double INITIAL_USUAL_RATIO = 0.5;

	private final Map<DemandKey, Timeouts> byKind = new RecentEntries<>(MAX_KINDS);

	/**
	 * Determines until when the first token of a new request counts as on time.
	 * @param nowNanos the monotonic time of its arrival
	 * @param info the request
	 * @return the monotonic time: the request's own or, if its caller has waited before,
	 * an earlier one
	 */
	public long softDeadlineNanos(long nowNanos, RequestInfo info) {
		final DemandKey key = new DemandKey(info.name(), info.priority());
		final long leftNanos = info.totalDeadlineNanos() - nowNanos;
		final long objectiveNanos = info.softDeadlineNanos() - nowNanos;
		final long waitedNanos = this.byKind.computeIfAbsent(key, (added) -> new Timeouts())
			.waitedNanos(leftNanos, objectiveNanos);
		return info.softDeadlineNanos() - waitedNanos;
	}

	private static final class Timeouts {

		private double usualNanos;

		private double usualRatio = INITIAL_USUAL_RATIO;

		long waitedNanos(long leftNanos, long objectiveNanos) {
			this.usualNanos = Math.max(leftNanos, this.usualNanos * (1 - DECAY_RATIO));
			final long waitedNanos = Math.round(this.usualNanos - leftNanos);
			final boolean usual = waitedNanos <= objectiveNanos;
			this.usualRatio += SAMPLE_WEIGHT * ((usual ? 1 : 0) - this.usualRatio);
			return (this.usualRatio >= MIN_USUAL_RATIO) ? waitedNanos : 0;
		}

	}

}
